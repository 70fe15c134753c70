package keelclaim

import (
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	keel "github.com/greengagekeel/greengagekeel"
)

// Set lists the holders of a failure domain that were registered at the same
// time.
type Set struct {
	Holders []keel.InstanceName `json:"holders"`
	// ObservedFromStart says that this instance was running with the preceding
	// declarations in force when the set came into force. It has then lost no
	// votes of this set.
	ObservedFromStart bool `json:"seen_new,omitempty"`
	// Until is when the set was replaced, or zero for the current set. A former
	// set no longer counts once the retention has passed.
	Until time.Time `json:"until,omitzero"`
}

// Majority returns the number of votes of the set that a claim needs.
func (s Set) Majority() int { return len(s.Holders)/2 + 1 }

// refillQuorum returns the number of other whole holders that a restarted
// holder must read. Every majority that included a lost vote has a member among
// them, even if one of them restarts afterwards. A single holder has no other
// to read from.
func (s Set) refillQuorum() int { return max(1, min(s.Majority(), len(s.Holders)-1)) }

func (s Set) contains(name keel.InstanceName) bool { return slices.Contains(s.Holders, name) }

// SetTag is a hash of the names of a set's holders.
type SetTag uint64

// Tag returns the tag of the set.
func (s Set) Tag() SetTag {
	var b []byte
	for _, name := range slices.Sorted(slices.Values(s.Holders)) {
		b = append(append(b, name...), 0)
	}
	return SetTag(xxh3.Hash(b))
}

// others returns the holders of the set except self.
func (s Set) others(self keel.InstanceName) []keel.InstanceName {
	return slices.DeleteFunc(slices.Clone(s.Holders), func(n keel.InstanceName) bool { return n == self })
}

// InForce returns the sets that count at now: the current ones, and the former
// ones whose claims may not have expired everywhere.
func InForce(sets []Set, now time.Time, retention time.Duration) []Set {
	return slices.DeleteFunc(slices.Clone(sets), func(s Set) bool {
		return !s.Until.IsZero() && now.Sub(s.Until) > retention
	})
}

// haveLiveMajorities reports whether a majority of each set is live.
func haveLiveMajorities(sets []Set, live map[keel.InstanceName]bool) bool {
	for _, set := range sets {
		n := 0
		for _, name := range set.Holders {
			if live[name] {
				n++
			}
		}
		if n < set.Majority() {
			return false
		}
	}
	return len(sets) > 0
}

// allHolders returns every holder of the sets once, in the order of first
// occurrence.
func allHolders(sets []Set) []keel.InstanceName {
	var names []keel.InstanceName
	for _, s := range sets {
		for _, n := range s.Holders {
			if !slices.Contains(names, n) {
				names = append(names, n)
			}
		}
	}
	return names
}
