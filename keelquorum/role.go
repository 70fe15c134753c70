package keelquorum

import (
	_ "embed"

	"github.com/greengagekeel/greengagekeel/keelchart"
)

//go:embed role.json
var roleJSON []byte

var roleChart = keelchart.MustParse(roleJSON)

// Roles of a voter, the states of role.json.
const (
	// RoleFollower follows a leader or waits for one.
	RoleFollower keelchart.State = "follower"
	// RolePreCandidate requests pre-votes.
	RolePreCandidate keelchart.State = "pre_candidate"
	// RoleCandidate requests votes.
	RoleCandidate keelchart.State = "candidate"
	// RoleLeader is the leader of its term, with or without a valid lease.
	RoleLeader keelchart.State = "leader"
)

// Events of the chart in role.json.
const (
	eventTimeout     keelchart.Event = "timeout"
	eventCampaign    keelchart.Event = "campaign"
	eventPreVotesWon keelchart.Event = "pre_votes_won"
	eventVotesWon    keelchart.Event = "votes_won"
	eventStepDown    keelchart.Event = "step_down"
)
