package keelsync

import (
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// Member describes a member of the voter set as seen by the leader.
type Member struct {
	Name keel.InstanceName
	// Domain is the failure domain, empty if unknown.
	Domain  keel.DomainName
	Learner bool
	// Seen means that this leader has received a message from the member, and
	// SilentFor is the time since the last one.
	Seen      bool
	SilentFor time.Duration
}

// VoterToRemove returns a member of the voter set that is silent while another one
// votes in its failure domain, or false if there is none. self is the leader and
// leaderFor is how long it has led. A member is silent if its last message is
// [voterSilenceTimeout] old, or if self has led for that long without any message
// from it.
func VoterToRemove(self keel.InstanceName, members []Member, leaderFor time.Duration) (Member, bool) {
	votingDomains := map[keel.DomainName]bool{}
	for _, m := range members {
		if m.Domain != "" && !m.Learner && (m.Name == self || m.Seen && m.SilentFor < electionTimeout) {
			votingDomains[m.Domain] = true
		}
	}
	for _, m := range members {
		silent := m.SilentFor
		if !m.Seen {
			silent = leaderFor
		}
		if m.Name != self && votingDomains[m.Domain] && silent >= voterSilenceTimeout {
			return m, true
		}
	}
	return Member{}, false
}
