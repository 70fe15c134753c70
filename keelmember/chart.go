package keelmember

import (
	_ "embed"

	"github.com/greengagekeel/greengagekeel/keelchart"
)

//go:embed member.json
var memberChartFile []byte

var memberChart = keelchart.MustParse(memberChartFile)

// MemberState is the state of another instance of the failure domain, as seen
// by this one.
type MemberState = keelchart.State

// States of members.
const (
	// StateUnconfirmed was reported by another instance, but has sent no
	// heartbeat yet.
	StateUnconfirmed MemberState = "unconfirmed"
	// StateAlive has sent a heartbeat recently.
	StateAlive MemberState = "alive"
	// StateSuspect has missed several heartbeats.
	StateSuspect MemberState = "suspect"
	// StateLeaving has announced that it will stop.
	StateLeaving MemberState = "leaving"
	// StateDead has sent no heartbeat for so long that it is assumed to have
	// failed.
	StateDead MemberState = "dead"
)

// Events of members, as in member.json.
const (
	eventHeard   keelchart.Event = "heard"
	eventLeft    keelchart.Event = "left"
	eventMissed  keelchart.Event = "missed"
	eventExpired keelchart.Event = "expired"
)
