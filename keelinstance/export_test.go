package keelinstance

import (
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelclaim"
)

// HolderSets are the holders of claims as an instance knows them.
type HolderSets struct{ *holderSets }

// NewHolderSets returns the holders that are declared now.
func NewHolderSets(d *keel.Declarations) HolderSets {
	return HolderSets{newHolderSets(func() *keel.Declarations { return d })}
}

// Update takes in new declarations.
func (h HolderSets) Update(now time.Time, d *keel.Declarations) { h.update(now, d, true) }

// Sets returns the present and former sets of a failure domain.
func (h HolderSets) Sets(domain keel.DomainName) []keelclaim.Set { return h.sets(domain) }
