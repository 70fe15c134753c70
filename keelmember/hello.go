package keelmember

import (
	"net/netip"
	"slices"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// hello asks for others if that is due: often while nobody is known, else now
// and then, so that groups which lost each other meet again.
func (c *Core) hello() {
	if !c.now.Before(c.nextSync) {
		c.nextSync = c.now.Add(c.jittered(syncPeriod))
		c.syncOne()
	}
	if c.now.Before(c.nextHello) {
		return
	}
	if c.alone() {
		c.nextHello = c.now.Add(c.jittered(joinPeriod))
		for range min(len(c.cfg.Join), representatives) {
			c.askSeed()
		}
		return
	}
	period := seedPeriod
	if len(c.liveNames()) <= 1 {
		period = lonelySeedPeriod
	}
	c.nextHello = c.now.Add(c.jittered(period))
	if c.isRepresentative() {
		c.askSeed()
	}
}

// alone reports whether no other instance was heard.
func (c *Core) alone() bool {
	for _, m := range c.members {
		if m.live() {
			return false
		}
	}
	for _, d := range c.domains {
		if !d.made.IsZero() && c.now.Sub(d.made) < maxConfirmAge {
			return false
		}
	}
	return true
}

// askSeed sends a hello to one of the addresses to join by.
func (c *Core) askSeed() {
	if len(c.cfg.Join) > 0 {
		c.ask(c.cfg.Join[c.rand.IntN(len(c.cfg.Join))])
	}
}

// syncWithin brings the next comparison forward. Where one instance is new,
// others may be too, and those that start together don't hear of each other at
// first.
func (c *Core) syncWithin(d time.Duration) {
	if at := c.now.Add(c.jittered(d)); at.Before(c.nextSync) {
		c.nextSync = at
	}
}

// syncOne compares notes with one live member of the own domain.
func (c *Core) syncOne() {
	names := c.liveNames()
	if len(names) > 0 {
		c.ask(c.peerOf(names[c.rand.IntN(len(names))]))
	}
}

func (c *Core) ask(to netip.AddrPort) {
	c.send(to, keel.KindHello, &Hello{Instance: c.self, WantDomains: len(c.domains) == 0 || c.alone()})
}

// takeHello takes a hello or the answer to one.
func (c *Core) takeHello(from keel.InstanceName, h *Hello) {
	if h.Instance.Name != from {
		return
	}
	c.newer(h.Newer)
	if from == c.self.Name {
		c.helloNamesake(h)
		return
	}
	c.meet(&h.Instance)
	if !h.Answer {
		c.answer(h)
		return
	}
	for _, in := range h.Members {
		c.learn(in)
	}
	for _, d := range h.Domains {
		c.learnContacts(d)
	}
}

func (c *Core) helloNamesake(h *Hello) {
	if h.Instance.Peer == c.self.Peer && h.Instance.Incarnation == c.self.Incarnation {
		return // its own message
	}
	if h.Instance.Incarnation > c.self.Incarnation {
		c.newer(h.Instance.Incarnation)
		return
	}
	c.tellNewer(&h.Instance, c.self.Incarnation)
}

// meet notes the sender of a hello.
func (c *Core) meet(in *keel.Instance) {
	c.noteVoter(Contact{Name: in.Name, Peer: in.Peer}, in.Voter)
	if in.Domain == c.self.Domain {
		c.learn(*in)
		return
	}
	d := c.domain(in.Domain)
	if d == nil || len(d.contacts) >= representatives {
		return
	}
	same := func(o Contact) bool { return o.Name == in.Name }
	d.contacts = slices.DeleteFunc(slices.Clone(d.contacts), same)
	d.contacts = append(d.contacts, Contact{Name: in.Name, Peer: in.Peer})
}

func (c *Core) answer(h *Hello) {
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

func (c *Core) helloMembers() []keel.Instance {
	var out []keel.Instance
	for _, name := range c.memberNames() {
		if m := c.members[name]; m.live() && len(out) < maxHelloMembers {
			out = append(out, m.inst)
		}
	}
	return out
}

// helloDomains returns contacts of this domain, of the asking one, and of all
// others if they are asked for.
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

// learnContacts takes contacts by hearsay. Those of the own domain are asked
// who else is there.
func (c *Core) learnContacts(l DomainContacts) {
	if l.Domain == c.self.Domain {
		for _, contact := range l.Contacts {
			if _, known := c.members[contact.Name]; !known && contact.Name != c.self.Name {
				c.ask(contact.Peer)
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
