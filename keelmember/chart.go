package keelmember

import (
	_ "embed"

	"github.com/greengagekeel/greengagekeel/keelchart"
)

//go:embed member.json
var memberChartFile []byte

var memberChart = keelchart.MustParse(memberChartFile)

// MemberState is what an instance knows of another one in its failure domain.
type MemberState = keelchart.State

// States of members.
const (
	// StateUnconfirmed is known by hearsay alone.
	StateUnconfirmed MemberState = "unconfirmed"
	// StateAlive was heard lately.
	StateAlive MemberState = "alive"
	// StateSuspect has missed some heartbeats.
	StateSuspect MemberState = "suspect"
	// StateLeaving said that it will stop.
	StateLeaving MemberState = "leaving"
	// StateDead was not heard for long.
	StateDead MemberState = "dead"
)

const (
	eventHeard   keelchart.Event = "heard"
	eventLeft    keelchart.Event = "left"
	eventMissed  keelchart.Event = "missed"
	eventExpired keelchart.Event = "expired"
)
