package keelmember

import (
	"net/netip"
	"slices"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// sendHellos sends the hellos that are due. They are frequent while no other
// instance is known. Later they are occasional, so that groups that lost
// contact with each other merge again.
func (c *Core) sendHellos() {
	if !c.now.Before(c.nextSync) {
		c.nextSync = c.now.Add(c.jittered(syncPeriod))
		c.sendSyncHello()
	}
	if c.now.Before(c.nextHello) {
		return
	}
	if c.isIsolated() {
		c.nextHello = c.now.Add(c.jittered(joinPeriod))
		for range min(len(c.cfg.Join), representativesPerDomain) {
			c.sendSeedHello()
		}
		return
	}
	period := seedPeriod
	if len(c.liveNames()) <= 1 {
		period = soleMemberSeedPeriod
	}
	c.nextHello = c.now.Add(c.jittered(period))
	if c.isRepresentative() {
		c.sendSeedHello()
	}
}

// isIsolated reports whether no other instance has been heard from recently.
func (c *Core) isIsolated() bool {
	for _, m := range c.members {
		if m.live() {
			return false
		}
	}
	for _, d := range c.domains {
		if !d.digestMade.IsZero() && c.now.Sub(d.digestMade) < maxConfirmAge {
			return false
		}
	}
	return true
}

// sendSeedHello sends a hello to a random seed.
func (c *Core) sendSeedHello() {
	if len(c.cfg.Join) > 0 {
		c.sendHello(c.cfg.Join[c.rand.IntN(len(c.cfg.Join))])
	}
}

// scheduleSyncWithin brings the next exchange of member lists forward. One new
// instance suggests more of them, and instances that start together miss each
// other in the first member lists.
func (c *Core) scheduleSyncWithin(d time.Duration) {
	if at := c.now.Add(c.jittered(d)); at.Before(c.nextSync) {
		c.nextSync = at
	}
}

// sendSyncHello requests the member list of another live member of the own domain.
func (c *Core) sendSyncHello() {
	others := slices.DeleteFunc(c.liveNames(), func(name keel.InstanceName) bool { return name == c.self.Name })
	if len(others) > 0 {
		c.sendHello(c.peerOf(others[c.rand.IntN(len(others))]))
	}
}

// sendHello sends a request to an address.
func (c *Core) sendHello(to netip.AddrPort) {
	c.send(to, keel.KindHello, &Hello{Instance: c.self, WantDomains: len(c.domains) == 0 || c.isIsolated()})
}

// handleHello handles a hello or the answer to one.
func (c *Core) handleHello(from keel.InstanceName, h *Hello) {
	if h.Instance.Name != from {
		return
	}
	c.handleNewerIncarnation(h.Newer)
	if from == c.self.Name {
		c.handleOwnNameHello(h)
		return
	}
	c.recordHelloSender(&h.Instance)
	if !h.Answer {
		c.answerHello(h)
		return
	}
	for _, in := range h.Members {
		c.addUnconfirmed(in)
	}
	for _, d := range h.Domains {
		c.handleContacts(d)
	}
}

// handleOwnNameHello handles a hello that carries this instance's own name.
func (c *Core) handleOwnNameHello(h *Hello) {
	if h.Instance.Peer == c.self.Peer && h.Instance.Incarnation == c.self.Incarnation {
		return // its own message
	}
	if h.Instance.Incarnation > c.self.Incarnation {
		c.handleNewerIncarnation(h.Instance.Incarnation)
		return
	}
	c.sendNewerIncarnation(&h.Instance, c.self.Incarnation)
}

// recordHelloSender adds the sender of a hello to the members or to the
// contacts of its domain.
func (c *Core) recordHelloSender(in *keel.Instance) {
	c.recordVoter(Contact{Name: in.Name, Peer: in.Peer}, in.Voter)
	if in.Domain == c.self.Domain {
		c.addUnconfirmed(*in)
		return
	}
	d := c.domain(in.Domain)
	if d == nil || len(d.contacts) >= representativesPerDomain {
		return
	}
	same := func(o Contact) bool { return o.Name == in.Name }
	d.contacts = slices.DeleteFunc(slices.Clone(d.contacts), same)
	d.contacts = append(d.contacts, Contact{Name: in.Name, Peer: in.Peer})
}

// answerHello sends the known members and contacts to the sender of a hello.
func (c *Core) answerHello(h *Hello) {
	a := &Hello{Instance: c.self, Answer: true}
	if m, ok := c.members[h.Instance.Name]; ok && m.inst.Incarnation > h.Instance.Incarnation {
		a.Newer = m.inst.Incarnation
	}
	if h.Instance.Domain == c.self.Domain {
		a.Members = c.helloMembers()
	}
	a.Domains = c.helloDomains(h)
	c.send(h.Instance.Peer, keel.KindHello, a)
}

// helloMembers returns the live members of the own domain, up to the limit of a
// hello.
func (c *Core) helloMembers() []keel.Instance {
	var out []keel.Instance
	for _, name := range c.memberNames() {
		if m := c.members[name]; m.live() && len(out) < maxHelloMembers {
			out = append(out, m.inst)
		}
	}
	return out
}

// helloDomains returns contacts of this domain and of the requesting one, and
// of all others if the hello asks for them.
func (c *Core) helloDomains(h *Hello) []DomainContacts {
	own := DomainContacts{Domain: c.self.Domain}
	for _, name := range c.representatives() {
		own.Contacts = append(own.Contacts, Contact{Name: name, Peer: c.peerOf(name)})
	}
	out := []DomainContacts{own}
	for _, name := range c.domainNames() {
		d := c.domains[name]
		wanted := h.WantDomains || name == h.Instance.Domain
		if wanted && len(d.contacts) > 0 && len(out) < maxHelloDomains {
			out = append(out, DomainContacts{Domain: name, Contacts: d.contacts})
		}
	}
	return out
}

// handleContacts handles contacts from the answer to a hello. Unknown contacts
// of the own domain are sent a hello. Contacts of another domain are stored if
// none are known.
func (c *Core) handleContacts(l DomainContacts) {
	if l.Domain == c.self.Domain {
		for _, contact := range l.Contacts {
			if _, known := c.members[contact.Name]; !known && contact.Name != c.self.Name {
				c.sendHello(contact.Peer)
			}
		}
		return
	}
	d := c.domain(l.Domain)
	if d == nil {
		return
	}
	if len(d.contacts) == 0 {
		d.contacts = l.Contacts
	}
}
