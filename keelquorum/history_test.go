package keelquorum_test

import (
	"slices"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelquorum"
)

// checkSets checks each voter set that a leader appends: it differs by one voter
// from the previous set, the previous set and an entry of the leader's term are
// committed, and a new incarnation is a learner first.
func (s *sim) checkSets(v *simVoter, a *keelquorum.Actions) {
	committed, term := s.lastApplied, s.terms[s.lastApplied]
	if n := len(a.Apply); n > 0 && a.Apply[n-1].Index > committed {
		committed, term = a.Apply[n-1].Index, a.Apply[n-1].Term
	}
	for _, e := range a.Append {
		if e.Type != keel.EntryVoters || e.Index == 1 || v.core.Status(s.clock(v)).Role != string(keelquorum.RoleLeader) {
			continue
		}
		at, before := s.setBefore(v, e.Index)
		if changed := countNewVoters(e.Voters, before) + countNewVoters(before, e.Voters); changed > 1 {
			s.fail("%s changes %d voters at once: %v to %v", v.name, changed, before, e.Voters)
		}
		for _, m := range e.Voters {
			if !m.Learner && !slices.ContainsFunc(before, func(o keel.Voter) bool { return o.Name == m.Name && o.Incarnation == m.Incarnation }) {
				s.fail("%s makes %v a voter that was not a learner", v.name, m)
			}
		}
		if term != e.Term || at > committed {
			s.fail("%s changes the voters at entry %d of term %d, committed are %d of term %d", v.name, e.Index, e.Term, committed, term)
		}
	}
}

// setBefore returns the last voter set on v's disk before index, and its index.
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

// countNewVoters counts the voters in a that are not in b.
func countNewVoters(a, b []keel.Voter) int {
	n := 0
	for _, v := range a {
		if !v.Learner && !slices.Contains(b, v) {
			n++
		}
	}
	return n
}

// checkLeaders checks that a term has only one leader and that only one voter
// holds a lease.
func (s *sim) checkLeaders() {
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

// recoverAndCheck ends all faults, waits until all voters have the same log, and
// checks the history.
func (s *sim) recoverAndCheck() {
	clear(s.partitioned)
	s.drop, s.duplicate, s.delayed, s.corrupt = 0, 0, 0, 0
	for _, v := range s.voters {
		v.crashAt = crashNever
		if v.core == nil {
			s.start(v)
		}
	}
	if !s.runUntil(5000, s.allVoting) {
		s.fail("the voters did not recover")
	}
	s.run(500)
	s.propose, s.read = 0, 0
	converged := func() bool {
		if !s.allVoting() {
			return false
		}
		for _, v := range s.voters {
			if !slices.Equal(v.core.Status(s.clock(v)).Voters, s.voters[0].core.Status(s.clock(s.voters[0])).Voters) || v.index != s.voters[0].index || v.core.Status(s.clock(v)).Last != v.index {
				return false
			}
		}
		return true
	}
	if !s.runUntil(2000, converged) {
		s.fail("the voters hold different logs")
	}
	if !s.failed {
		s.checkHistory()
	}
}

// checkHistory checks that the proposals and reads are linearizable. The
// replicated state is a list: the value of a proposal is its index, and the value
// of a read is the length of the list.
func (s *sim) checkHistory() {
	indexOf := map[uint64]uint64{}
	for index, id := range s.commandIDs {
		if id != 0 && indexOf[id] != 0 {
			s.fail("command %d was applied at entries %d and %d", id, indexOf[id], index)
		}
		indexOf[id] = index
	}
	var done []*op
	for _, o := range s.ops {
		if o.done && !o.read && indexOf[o.id] != o.value {
			s.fail("accepted command %d was lost from entry %d", o.id, o.value)
		}
		if o.done {
			done = append(done, o)
		} else if !o.read {
			o.value = indexOf[o.id]
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
