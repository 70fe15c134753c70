package keelquorum_test

import (
	"slices"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelquorum"
)

// checkSets checks each voter set that a leader puts into its log: it differs
// by one voter from the one before, which is committed like an entry of the
// leader's term, and a new disk is a learner first.
func (s *sim) checkSets(v *simVoter, a *keelquorum.Actions) {
	committed, term := s.last, s.terms[s.last]
	if n := len(a.Apply); n > 0 && a.Apply[n-1].Index > committed {
		committed, term = a.Apply[n-1].Index, a.Apply[n-1].Term
	}
	for _, e := range a.Append {
		if e.Type != keel.EntryVoters || e.Index == 1 || v.core.Status(s.clock(v)).Role != string(keelquorum.RoleLeader) {
			continue
		}
		at, before := s.setBefore(v, e.Index)
		if changed := difference(e.Voters, before) + difference(before, e.Voters); changed > 1 {
			s.fail("%s changes %d voters at once: %v to %v", v.name, changed, before, e.Voters)
		}
		for _, m := range e.Voters {
			if !m.Learner && !slices.ContainsFunc(before, func(o keel.Voter) bool { return o.Name == m.Name && o.Incarnation == m.Incarnation }) {
				s.fail("%s makes %v a voter that was no learner", v.name, m)
			}
		}
		if term != e.Term || at > committed {
			s.fail("%s changes the voters at entry %d of term %d, committed are %d of term %d", v.name, e.Index, e.Term, committed, term)
		}
	}
}

// setBefore returns the voter set that is on v's disk before an entry.
func (s *sim) setBefore(v *simVoter, index uint64) (uint64, []keel.Voter) {
	st, _ := v.disk.Load()
	at, set := st.Snapshot.Index, st.Snapshot.Voters
	for _, e := range st.Entries {
		if e.Type == keel.EntryVoters && e.Index < index {
			at, set = e.Index, e.Voters
		}
	}
	return at, set
}

// difference counts the voters of a that are none of b.
func difference(a, b []keel.Voter) int {
	n := 0
	for _, v := range a {
		if !v.Learner && !slices.Contains(b, v) {
			n++
		}
	}
	return n
}

// check looks for a second leader of a term and a second lease.
func (s *sim) check() {
	var lease *simVoter
	for _, v := range s.voters {
		if v.core == nil {
			continue
		}
		st := v.core.Status(s.clock(v))
		if st.Role == string(keelquorum.RoleLeader) {
			if l, ok := s.leaders[st.Term]; ok && l != v.name {
				s.fail("%s and %s lead in term %d", l, v.name, st.Term)
			}
			s.leaders[st.Term] = v.name
		}
		if st.LeaseValid && lease != nil {
			s.fail("%s and %s hold the lease", lease.name, v.name)
		}
		if st.LeaseValid {
			lease = v
		}
	}
}

// finish ends all faults, waits until all voters hold the same, and checks the
// whole history.
func (s *sim) finish() {
	clear(s.cut)
	s.drop, s.double, s.slow, s.rot = 0, 0, 0, 0
	for _, v := range s.voters {
		v.die = stepNone
		if v.core == nil {
			s.start(v)
		}
	}
	if !s.until(5000, s.repaired) {
		s.fail("the voters did not recover")
	}
	s.run(500)
	s.propose, s.read = 0, 0
	same := func() bool {
		if !s.repaired() {
			return false
		}
		for _, v := range s.voters {
			if !slices.Equal(v.core.Status(s.clock(v)).Voters, s.voters[0].core.Status(s.clock(s.voters[0])).Voters) || v.index != s.voters[0].index || v.core.Status(s.clock(v)).Last != v.index {
				return false
			}
		}
		return true
	}
	if !s.until(2000, same) {
		s.fail("the voters hold different logs")
	}
	if !s.failed {
		s.checkHistory()
	}
}

// checkHistory checks that the proposals and reads are linearizable: the state
// is a list, a proposal's value is its place, a read's value is the length.
func (s *sim) checkHistory() {
	place := map[uint64]uint64{}
	for index, id := range s.entries {
		if id != 0 && place[id] != 0 {
			s.fail("command %d stands at entries %d and %d", id, place[id], index)
		}
		place[id] = index
	}
	var done []*op
	for _, o := range s.ops {
		if o.done && !o.read && place[o.id] != o.value {
			s.fail("accepted command %d was lost from entry %d", o.id, o.value)
		}
		if o.done {
			done = append(done, o)
		} else if !o.read {
			o.value = place[o.id]
		}
	}
	slices.SortFunc(done, func(a, b *op) int { return a.end - b.end })
	slices.SortStableFunc(s.ops, func(a, b *op) int { return a.start - b.start })
	before, i := uint64(0), 0
	for _, o := range s.ops {
		for ; i < len(done) && done[i].end < o.start; i++ {
			before = max(before, done[i].value)
		}
		if o.value != 0 && (o.value < before || !o.read && o.value == before) {
			s.fail("operation %+v is ordered before one that had ended, at entry %d", *o, before)
		}
	}
}

func (s *sim) accepted() int {
	n := 0
	for _, o := range s.ops {
		if o.done && !o.read {
			n++
		}
	}
	return n
}
