package keeladmit

import (
	"cmp"
	"slices"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// Wallet holds the credits that other failure domains granted to the domain of
// this instance, as far as they fall to this instance.
type Wallet struct {
	self    keel.InstanceName
	credits map[creditKey][]*credit
}

type creditKey struct {
	domain  keel.DomainName
	service keel.ServiceName
}

// credit is what one grantor allows.
type credit struct {
	grantor  keel.InstanceName
	number   uint64
	slots    int
	expires  time.Time
	inFlight int
}

// NewWallet returns a wallet without credits. Self is the instance's name in
// the lists of members.
func NewWallet(self keel.InstanceName) *Wallet {
	return &Wallet{self: self, credits: map[creditKey][]*credit{}}
}

// Receive takes in a grant of an instance of the failure domain from. A grant
// that is not newer than the last of its grantor changes nothing.
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

// remainderGrants is for how many grants the same members get the remainder.
// Changing them often would cost slots, since the grantor must count what a
// member may still have from the grant before.
const remainderGrants = 64

// SplitCredit returns the part of a grant that falls to one member. The parts
// of all members add up to the grant. The remainder goes round slowly with the
// number of the grant.
func SplitCredit(g Grant, self keel.InstanceName) int {
	n := len(g.Members)
	i, ok := slices.BinarySearch(g.Members, self)
	if !ok {
		return 0
	}
	part, rest := g.Slots/n, g.Slots%n
	if at := (uint64(i) + g.Number/remainderGrants) % uint64(n); at < uint64(rest) {
		part++
	}
	return part
}

// Take uses one credit to send a request to an instance of the domain. It
// returns false if there is none. Call Release when the request has ended.
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

// Release gives back the credit of a request that has ended.
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

// left is negative while more runs than the last grant allows.
func (c *credit) left(now time.Time) int {
	if !now.Before(c.expires) {
		return 0
	}
	return c.slots - c.inFlight
}
