package keelinstance

import (
	"slices"
	"sync"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelclaim"
)

// holderSets records the current and former sets of claim holders of each failure
// domain, since a claim needs a majority of each set that was registered within
// the retention period. It is safe for concurrent use.
type holderSets struct {
	declared func() *keel.Declarations

	mu      sync.Mutex
	current map[keel.DomainName]keelclaim.Set
	former  map[keel.DomainName][]keelclaim.Set
}

func newHolderSets(declared func() *keel.Declarations) *holderSets {
	h := &holderSets{
		declared: declared,
		current:  make(map[keel.DomainName]keelclaim.Set),
		former:   make(map[keel.DomainName][]keelclaim.Set),
	}
	h.update(time.Time{}, declared(), false)
	return h
}

// update replaces the current sets by those of new declarations. observed reports
// whether the preceding declarations were confirmed as the latest ones at this
// instance, so that it observes the new sets from their start.
func (h *holderSets) update(now time.Time, d *keel.Declarations, observed bool) {
	next := make(map[keel.DomainName][]keel.InstanceName)
	for _, in := range d.Instances {
		if !in.NoClaims {
			next[in.Domain] = append(next[in.Domain], in.Name)
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for domain, old := range h.current {
		if slices.Equal(old.Holders, next[domain]) {
			continue
		}
		old.Until = now
		h.former[domain] = append(h.former[domain], old)
		delete(h.current, domain)
	}
	for domain, names := range next {
		if _, same := h.current[domain]; !same {
			h.current[domain] = keelclaim.Set{Holders: names, ObservedFromStart: observed}
		}
	}
}

// sets returns the current set of a domain, if it has claim holders, followed by
// the former sets that were replaced within the retention period.
func (h *holderSets) sets(domain keel.DomainName) []keelclaim.Set {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	former := slices.DeleteFunc(h.former[domain], func(s keelclaim.Set) bool {
		return now.Sub(s.Until) > claimRetention
	})
	h.former[domain] = former
	if current, ok := h.current[domain]; ok {
		return append([]keelclaim.Set{current}, former...)
	}
	return slices.Clone(former)
}
