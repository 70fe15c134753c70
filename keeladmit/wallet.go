package keeladmit

import (
	"cmp"
	"slices"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// Wallet holds this instance's share of the credits that other failure domains
// granted to its domain.
type Wallet struct {
	self    keel.InstanceName
	credits map[creditKey][]*credit
}

type creditKey struct {
	domain  keel.DomainName
	service keel.ServiceName
}

// credit is the state of the credits from one grantor.
type credit struct {
	grantor  keel.InstanceName
	number   uint64
	slots    int
	expires  time.Time
	inFlight int
}

// NewWallet returns a wallet without credits for the instance self.
func NewWallet(self keel.InstanceName) *Wallet {
	return &Wallet{self: self, credits: map[creditKey][]*credit{}}
}

// Receive records a grant that an instance of the failure domain from issued. A
// grant that isn't newer than the last one of its grantor is ignored.
func (w *Wallet) Receive(now time.Time, from keel.DomainName, g Grant) {
	key := creditKey{from, g.Service}
	list := w.credits[key]
	i, ok := slices.BinarySearchFunc(list, g.Grantor, func(c *credit, n keel.InstanceName) int {
		return cmp.Compare(c.grantor, n)
	})
	if !ok {
		list = slices.Insert(list, i, &credit{grantor: g.Grantor})
		w.credits[key] = list
	}
	c := list[i]
	if ok && g.Number <= c.number {
		return
	}
	c.number = g.Number
	c.slots = SplitCredit(g, w.self)
	c.expires = now.Add(g.TTL.Std())
}

// grantsPerRotation is the number of consecutive grants in which the same
// members get the remainder. Frequent changes would waste slots, since the
// grantor must also count the credits that a member may still hold from earlier
// grants.
const grantsPerRotation = 64

// SplitCredit returns one member's share of the slots of a grant. The shares of
// all members add up to the grant. The members that get the remainder rotate
// slowly with the number of the grant.
func SplitCredit(g Grant, self keel.InstanceName) int {
	n := len(g.Members)
	i, ok := slices.BinarySearch(g.Members, self)
	if !ok {
		return 0
	}
	share, remainder := g.Slots/n, g.Slots%n
	if at := (uint64(i) + g.Number/grantsPerRotation) % uint64(n); at < uint64(remainder) {
		share++
	}
	return share
}

// Take uses one credit to send a request to the domain and returns the instance
// that granted it. It returns false if no credit is left. Call [Wallet.Release]
// when the request has ended.
func (w *Wallet) Take(now time.Time, domain keel.DomainName, service keel.ServiceName) (keel.InstanceName, bool) {
	var best *credit
	for _, c := range w.credits[creditKey{domain, service}] {
		if c.left(now) > 0 && (best == nil || c.left(now) > best.left(now)) {
			best = c
		}
	}
	if best == nil {
		return "", false
	}
	best.inFlight++
	return best.grantor, true
}

// Release returns the credit of a request that has ended.
func (w *Wallet) Release(domain keel.DomainName, service keel.ServiceName, grantor keel.InstanceName) {
	for _, c := range w.credits[creditKey{domain, service}] {
		if c.grantor == grantor && c.inFlight > 0 {
			c.inFlight--
			return
		}
	}
}

// Left returns how many more requests may be sent to the domain now.
func (w *Wallet) Left(now time.Time, domain keel.DomainName, service keel.ServiceName) int {
	n := 0
	for _, c := range w.credits[creditKey{domain, service}] {
		n += max(0, c.left(now))
	}
	return n
}

// left returns the unused credits, or 0 once they have expired. It is negative
// while more requests are in flight than the last grant allows.
func (c *credit) left(now time.Time) int {
	if !now.Before(c.expires) {
		return 0
	}
	return c.slots - c.inFlight
}
