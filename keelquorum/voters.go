package keelquorum

import (
	"slices"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// voterSet is a set of voters that is in force from a log index on.
type voterSet struct {
	index  uint64
	voters []keel.Voter
}

// bootstrapSet returns the voter set of the first start. The incarnations of its
// members are not known yet.
func bootstrapSet(names []keel.InstanceName) voterSet {
	var s voterSet
	for _, name := range names {
		s.voters = append(s.voters, keel.Voter{Name: name})
	}
	return s
}

// incarnationsKnown reports whether the set contains the incarnations of its
// members, which is the case for every set but the bootstrap set.
func (s *voterSet) incarnationsKnown() bool {
	return len(s.voters) > 0 && s.voters[0].Incarnation != 0
}

// find returns the member with a name.
func (s *voterSet) find(name keel.InstanceName) (keel.Voter, bool) {
	for _, v := range s.voters {
		if v.Name == name {
			return v, true
		}
	}
	return keel.Voter{}, false
}

// member returns the member with a name and incarnation. Every incarnation
// matches while those of the set are unknown.
func (s *voterSet) member(name keel.InstanceName, incarnation uint64) (keel.Voter, bool) {
	v, ok := s.find(name)
	if !ok || v.Incarnation != 0 && v.Incarnation != incarnation {
		return keel.Voter{}, false
	}
	return v, true
}

// isVoter reports whether votes and answers of an instance with that incarnation
// count.
func (s *voterSet) isVoter(name keel.InstanceName, incarnation uint64) bool {
	v, ok := s.member(name, incarnation)
	return ok && !v.Learner
}

// hasOtherIncarnation reports whether the set contains the instance with another
// incarnation.
func (s *voterSet) hasOtherIncarnation(name keel.InstanceName, incarnation uint64) bool {
	v, ok := s.find(name)
	return ok && v.Incarnation != 0 && v.Incarnation != incarnation
}

// votingCount returns the number of members without the learners.
func (s *voterSet) votingCount() int {
	n := 0
	for _, v := range s.voters {
		if !v.Learner {
			n++
		}
	}
	return n
}

// quorum returns the number of voters that form a quorum: a majority, or all of
// them while their incarnations are unknown.
func (s *voterSet) quorum() int {
	if !s.incarnationsKnown() {
		return max(s.votingCount(), 1)
	}
	return s.votingCount()/2 + 1
}

// quorumIndex returns the highest index that indexOf reaches or exceeds for a
// quorum.
func (s *voterSet) quorumIndex(indexOf func(keel.Voter) uint64) uint64 {
	var all []uint64
	for _, v := range s.voters {
		if !v.Learner {
			all = append(all, indexOf(v))
		}
	}
	if len(all) < s.quorum() {
		return 0
	}
	slices.Sort(all)
	return all[len(all)-s.quorum()]
}

// quorumTime returns the latest time that timeOf reaches or exceeds for a quorum.
func (s *voterSet) quorumTime(timeOf func(keel.Voter) time.Time) time.Time {
	var all []time.Time
	for _, v := range s.voters {
		if !v.Learner {
			all = append(all, timeOf(v))
		}
	}
	if len(all) < s.quorum() {
		return time.Time{}
	}
	slices.SortFunc(all, time.Time.Compare)
	return all[len(all)-s.quorum()]
}

// withoutVoter returns the members except the one with that name.
func (s *voterSet) withoutVoter(name keel.InstanceName) []keel.Voter {
	return slices.DeleteFunc(slices.Clone(s.voters), func(v keel.Voter) bool { return v.Name == name })
}

// withVoter returns the members with v added, or in place of the one with its
// name. They are sorted by name.
func (s *voterSet) withVoter(v keel.Voter) []keel.Voter {
	voters := append(s.withoutVoter(v.Name), v)
	slices.SortFunc(voters, func(a, b keel.Voter) int {
		switch {
		case a.Name < b.Name:
			return -1
		case a.Name > b.Name:
			return 1
		default:
			return 0
		}
	})
	return voters
}
