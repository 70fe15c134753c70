package keelclaim

import (
	"slices"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// After a restart an instance reads the declared holders, but not those that
// were replaced shortly before. A claim needs a majority of these as well, so
// holders report former sets: to each other with a refill, and to claimants
// with each vote.

// addFormerSets adds the former sets that are not in sets yet. It reports
// whether any was added.
func addFormerSets(now time.Time, sets []Set, former []FormerSet, retention time.Duration) ([]Set, bool) {
	added := false
	for _, f := range former {
		s := Set{Holders: f.Holders, Until: now.Add(-f.Age.Std())}
		tag := s.Tag()
		known := slices.ContainsFunc(sets, func(k Set) bool { return k.Tag() == tag })
		if known || f.Age.Std() > retention || len(sets) >= maxFormerSets {
			continue
		}
		sets, added = append(sets, s), true
	}
	return sets, added
}

// maxRetention is how long any holder of a former set may keep its claims.
func (h *Holder) maxRetention() time.Duration { return h.cfg.Retention + 2*h.cfg.ClockSlack }

// addReportedSets adds former sets that another holder reported.
func (h *Holder) addReportedSets(now time.Time, former []FormerSet) {
	var added bool
	if h.reported, added = addFormerSets(now, h.reported, former, h.maxRetention()); added {
		h.SetHolders(now, h.declared)
	}
}

// knownSets returns the sets from the declarations, and the former ones that
// other holders reported.
func (h *Holder) knownSets(now time.Time) []Set {
	h.reported = InForce(h.reported, now, h.maxRetention())
	all := slices.Clone(h.declared)
	for _, s := range h.reported {
		tag := s.Tag()
		if !slices.ContainsFunc(all, func(k Set) bool { return k.Tag() == tag }) {
			all = append(all, s)
		}
	}
	return all
}

// formerSets returns the former sets that are in force.
func (h *Holder) formerSets(now time.Time) []FormerSet {
	var out []FormerSet
	for _, s := range h.sets {
		if !s.Until.IsZero() && len(out) < maxFormerSets {
			out = append(out, FormerSet{Holders: s.Holders, Age: keel.Duration(max(0, now.Sub(s.Until)))})
		}
	}
	return out
}
