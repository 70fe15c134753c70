package keelclaim

import (
	"slices"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// An instance that restarted knows the declared holders, but not those that were
// replaced shortly before. A claim needs their majority as well, so holders pass
// former sets on: to each other with a refill, and to claimants with each vote.

// addFormer adds the sets that are not known yet. It reports whether there were
// any.
func addFormer(now time.Time, sets []Set, former []FormerSet, memory time.Duration) ([]Set, bool) {
	news := false
	for _, f := range former {
		s := Set{Holders: f.Holders, Until: now.Add(-f.Age.Std())}
		tag := s.Tag()
		known := slices.ContainsFunc(sets, func(k Set) bool { return k.Tag() == tag })
		if known || f.Age.Std() > memory || len(sets) >= maxFormerSets {
			continue
		}
		sets, news = append(sets, s), true
	}
	return sets, news
}

// memoryTime is how long claims of a former set may be remembered.
func (h *Holder) memoryTime() time.Duration { return h.cfg.Retention + 2*h.cfg.ClockSlack }

// hearFormer takes former sets that another holder knows of.
func (h *Holder) hearFormer(now time.Time, former []FormerSet) {
	var news bool
	if h.learnt, news = addFormer(now, h.learnt, former, h.memoryTime()); news {
		h.SetHolders(now, h.told)
	}
}

// withLearnt returns the sets that the holder was told of, and the former ones
// that it learnt of from others.
func (h *Holder) withLearnt(now time.Time) []Set {
	h.learnt = InForce(h.learnt, now, h.memoryTime())
	all := slices.Clone(h.told)
	for _, s := range h.learnt {
		tag := s.Tag()
		if !slices.ContainsFunc(all, func(k Set) bool { return k.Tag() == tag }) {
			all = append(all, s)
		}
	}
	return all
}

// former returns the former sets that are in force.
func (h *Holder) former(now time.Time) []FormerSet {
	var out []FormerSet
	for _, s := range h.sets {
		if !s.Until.IsZero() && len(out) < maxFormerSets {
			out = append(out, FormerSet{Holders: s.Holders, Age: keel.Duration(max(0, now.Sub(s.Until)))})
		}
	}
	return out
}
