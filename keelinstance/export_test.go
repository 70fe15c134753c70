package keelinstance

import (
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelclaim"
)

// HolderSets gives tests access to the sets of claim holders.
type HolderSets struct{ *holderSets }

// NewHolderSets returns the sets of holders of the given declarations.
func NewHolderSets(d *keel.Declarations) HolderSets {
	return HolderSets{newHolderSets(func() *keel.Declarations { return d })}
}

// Update replaces the current sets by those of new declarations.
func (h HolderSets) Update(now time.Time, d *keel.Declarations) { h.update(now, d, true) }

// Sets returns the current and former sets of a failure domain.
func (h HolderSets) Sets(domain keel.DomainName) []keelclaim.Set { return h.sets(domain) }
