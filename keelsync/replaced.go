package keelsync

import (
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// Member is what a leader knows of a member of the voter set.
type Member struct {
	Name keel.InstanceName
	// Domain is its failure domain, empty if that is not known.
	Domain  keel.DomainName
	Learner bool
	// Heard says that this leader has heard it, Silent how long ago.
	Heard  bool
	Silent time.Duration
}

// Replaced returns a voter that is silent while another one votes in its failure
// domain. The leader, self, has been in office for some time; it takes a voter
// that it never heard for silent only after [voterSilence] in office.
func Replaced(self keel.InstanceName, members []Member, leading time.Duration) (Member, bool) {
	live := map[keel.DomainName]bool{}
	for _, m := range members {
		if m.Domain != "" && !m.Learner && (m.Name == self || m.Heard && m.Silent < election) {
			live[m.Domain] = true
		}
	}
	for _, m := range members {
		silent := m.Silent
		if !m.Heard {
			silent = leading
		}
		if m.Name != self && live[m.Domain] && silent >= voterSilence {
			return m, true
		}
	}
	return Member{}, false
}
