package keelinstance

import (
	"slices"
	"sync"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelclaim"
)

// holderSets keeps the present and former claim holders of each failure domain,
// since a claim needs a majority of each set that was registered within the
// retention. It is safe for use by several goroutines.
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

// update takes in the registered instances of new declarations. seen says that
// the declarations before them were known here as the current ones.
func (h *holderSets) update(now time.Time, d *keel.Declarations, seen bool) {
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
			h.current[domain] = keelclaim.Set{Holders: names, ObservedFromStart: seen}
		}
	}
}

// sets returns the present set of a domain, if it has registered instances, and
// the former ones within the retention.
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
