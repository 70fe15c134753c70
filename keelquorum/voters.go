package keelquorum

import (
	"slices"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// voterSet is a set of voters that holds from an index of the log on.
type voterSet struct {
	index  uint64
	voters []keel.Voter
}

// bootstrapSet returns the set of the first start. Its incarnations are not
// known yet.
func bootstrapSet(names []keel.InstanceName) voterSet {
	var s voterSet
	for _, name := range names {
		s.voters = append(s.voters, keel.Voter{Name: name})
	}
	return s
}

// bound says whether the set names its voters' disks.
func (s *voterSet) bound() bool {
	return len(s.voters) > 0 && s.voters[0].Incarnation != 0
}

// find returns the member with that name.
func (s *voterSet) find(name keel.InstanceName) (keel.Voter, bool) {
	for _, v := range s.voters {
		if v.Name == name {
			return v, true
		}
	}
	return keel.Voter{}, false
}

// member returns the member with that name and disk.
func (s *voterSet) member(name keel.InstanceName, incarnation uint64) (keel.Voter, bool) {
	v, ok := s.find(name)
	if !ok || v.Incarnation != 0 && v.Incarnation != incarnation {
		return keel.Voter{}, false
	}
	return v, true
}

// counts says whether votes and answers of that disk count.
func (s *voterSet) counts(name keel.InstanceName, incarnation uint64) bool {
	v, ok := s.member(name, incarnation)
	return ok && !v.Learner
}

// replaced says whether the set names the instance with another disk.
func (s *voterSet) replaced(name keel.InstanceName, incarnation uint64) bool {
	v, ok := s.find(name)
	return ok && v.Incarnation != 0 && v.Incarnation != incarnation
}

func (s *voterSet) size() int {
	n := 0
	for _, v := range s.voters {
		if !v.Learner {
			n++
		}
	}
	return n
}

// quorum returns the number of voters that decide: a majority, and all of them
// as long as their disks are not known.
func (s *voterSet) quorum() int {
	if !s.bound() {
		return max(s.size(), 1)
	}
	return s.size()/2 + 1
}

// reached returns the highest index that a quorum holds.
func (s *voterSet) reached(held func(keel.Voter) uint64) uint64 {
	var all []uint64
	for _, v := range s.voters {
		if !v.Learner {
			all = append(all, held(v))
		}
	}
	if len(all) < s.quorum() {
		return 0
	}
	slices.Sort(all)
	return all[len(all)-s.quorum()]
}

// heardSince returns the latest time since when a quorum was heard.
func (s *voterSet) heardSince(heard func(keel.Voter) time.Time) time.Time {
	var all []time.Time
	for _, v := range s.voters {
		if !v.Learner {
			all = append(all, heard(v))
		}
	}
	if len(all) < s.quorum() {
		return time.Time{}
	}
	slices.SortFunc(all, time.Time.Compare)
	return all[len(all)-s.quorum()]
}

// without returns the voters other than name.
func (s *voterSet) without(name keel.InstanceName) []keel.Voter {
	return slices.DeleteFunc(slices.Clone(s.voters), func(v keel.Voter) bool { return v.Name == name })
}

// with returns the voters with v in place of the one of its name.
func (s *voterSet) with(v keel.Voter) []keel.Voter {
	voters := append(s.without(v.Name), v)
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
