package keelclaim

import (
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	keel "github.com/greengagekeel/greengagekeel"
)

// Set is the holders of a failure domain that were registered together.
type Set struct {
	Holders []keel.InstanceName `json:"holders"`
	// SeenNew says that this instance ran when the set came into force, and knew
	// the declarations before it as the current ones. It has then lost no
	// votes of this set.
	SeenNew bool `json:"seen_new,omitempty"`
	// Until is when the set was replaced, or zero for the current set. A
	// former set is of no use once the retention has passed.
	Until time.Time `json:"until,omitzero"`
}

// Majority returns how many votes of the set a claim needs.
func (s Set) Majority() int { return len(s.Holders)/2 + 1 }

// refillQuorum returns from how many whole other holders a restarted holder
// reads. Every majority that counted a lost vote has a member among them, also
// if one of them restarts afterwards. A single holder has nobody to read from.
func (s Set) refillQuorum() int { return max(1, min(s.Majority(), len(s.Holders)-1)) }

func (s Set) has(name keel.InstanceName) bool { return slices.Contains(s.Holders, name) }

// SetTag stands for the names of a set's holders.
type SetTag uint64

// Tag returns the tag of the set.
func (s Set) Tag() SetTag {
	var b []byte
	for _, name := range slices.Sorted(slices.Values(s.Holders)) {
		b = append(append(b, name...), 0)
	}
	return SetTag(xxh3.Hash(b))
}

// others returns the holders of the set without self.
func (s Set) others(self keel.InstanceName) []keel.InstanceName {
	return slices.DeleteFunc(slices.Clone(s.Holders), func(n keel.InstanceName) bool { return n == self })
}

// InForce returns the sets that count at now: the current ones, and the former
// ones whose claims may still be remembered.
func InForce(sets []Set, now time.Time, retention time.Duration) []Set {
	return slices.DeleteFunc(slices.Clone(sets), func(s Set) bool {
		return !s.Until.IsZero() && now.Sub(s.Until) > retention
	})
}

// majorities reports whether a majority of each set is live.
func majorities(sets []Set, live map[keel.InstanceName]bool) bool {
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

// members returns every holder of the sets once, in the order of first mention.
func members(sets []Set) []keel.InstanceName {
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
