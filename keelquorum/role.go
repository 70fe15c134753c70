package keelquorum

import (
	_ "embed"

	"github.com/greengagekeel/greengagekeel/keelchart"
)

//go:embed role.json
var roleJSON []byte

var roleChart = keelchart.MustParse(roleJSON)

// Roles, as they stand in role.json.
const (
	// RoleFollower follows a leader or waits for one.
	RoleFollower keelchart.State = "follower"
	// RolePreCandidate asks whether it would get votes.
	RolePreCandidate keelchart.State = "pre_candidate"
	// RoleCandidate asks for votes.
	RoleCandidate keelchart.State = "candidate"
	// RoleLeader leads, though it may not be able to prove it.
	RoleLeader keelchart.State = "leader"
)

const (
	eventTimeout     keelchart.Event = "timeout"
	eventCampaign    keelchart.Event = "campaign"
	eventPreVotesWon keelchart.Event = "pre_votes_won"
	eventVotesWon    keelchart.Event = "votes_won"
	eventStepDown    keelchart.Event = "step_down"
)
