package keelmember

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelchart"
)

// member is another instance of the own failure domain.
type member struct {
	inst       keel.Instance
	machine    keelchart.Machine
	number     uint64 // of the last heartbeat
	heard      time.Time
	listened   time.Duration // the core's listening time then
	version    keel.Version
	registered bool
	room       []ServiceRoom
	// hearsUs says that the member's last heartbeat confirmed this
	// incarnation.
	hearsUs bool
}

func (m *member) state() MemberState { return m.machine.State() }

// live reports whether the member takes part in its domain's work.
func (m *member) live() bool { return m.state() == StateAlive }

// counts reports whether the domain's versions include the member's.
func (m *member) counts() bool {
	return m.live() || m.state() == StateSuspect || m.state() == StateLeaving
}

func (m *member) view() Member {
	return Member{
		Instance: m.inst, State: m.state(), Version: m.version, Room: m.room,
		Heard: m.heard, HearsUs: m.hearsUs, Registered: m.registered,
	}
}

// fire moves the member along its chart and reports whether its state changed.
func (m *member) fire(e keelchart.Event) bool {
	before := m.state()
	after, err := m.machine.Fire(e)
	return err == nil && after != before
}

// learn adds an instance that is known by hearsay.
func (c *Core) learn(in keel.Instance) {
	if in.Name == c.self.Name || in.Domain != c.self.Domain {
		return
	}
	m, ok := c.members[in.Name]
	if ok && m.inst.Incarnation >= in.Incarnation {
		return
	}
	if ok && m.live() {
		return // it speaks for itself
	}
	c.put(in)
}

// put makes in the present incarnation of its name.
func (c *Core) put(in keel.Instance) *member {
	if _, ok := c.members[in.Name]; !ok && len(c.members) >= maxMembers {
		c.dropSilent()
	}
	m := &member{inst: in, machine: keelchart.NewMachine(memberChart), heard: c.now, listened: c.listen}
	c.members[in.Name] = m
	c.changed = true
	c.syncWithin(newsSyncPeriod)
	return m
}

// dropSilent forgets the member that was silent for longest.
func (c *Core) dropSilent() {
	var oldest *member
	for _, m := range c.members {
		if oldest == nil || m.listened < oldest.listened ||
			m.listened == oldest.listened && m.inst.Name < oldest.inst.Name {
			oldest = m
		}
	}
	delete(c.members, oldest.inst.Name)
}

// expire moves silent members on and forgets those that are long dead.
func (c *Core) expire() {
	period := c.beatPeriod()
	suspectAfter := time.Duration(suspectPeriods * float64(period))
	for _, name := range c.memberNames() {
		m := c.members[name]
		silent := c.listen - m.listened
		switch {
		case m.state() == StateUnconfirmed && silent > unconfirmedLife,
			m.state() == StateDead && silent > forgetAfter:
			delete(c.members, name)
			c.changed = true
		case m.state() == StateUnconfirmed:
		case silent > deadPeriods*period:
			c.silent(m, eventExpired)
		case silent > suspectAfter:
			c.silent(m, eventMissed)
		}
	}
}

func (c *Core) silent(m *member, e keelchart.Event) {
	if m.fire(e) {
		m.hearsUs = false
		c.changed = true
	}
}

// memberNames returns the names of the members in order.
func (c *Core) memberNames() []keel.InstanceName {
	names := make([]keel.InstanceName, 0, len(c.members))
	for name := range c.members {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// voterNames returns the names of the known voters in order.
func (c *Core) voterNames() []keel.InstanceName {
	return slices.Sorted(maps.Keys(c.voters))
}

// liveNames returns the names of the live instances of the own domain, with
// this one unless it leaves, in order.
func (c *Core) liveNames() []keel.InstanceName {
	var names []keel.InstanceName
	for name, m := range c.members {
		if m.live() {
			names = append(names, name)
		}
	}
	if !c.local.Leaving {
		names = append(names, c.self.Name)
	}
	slices.Sort(names)
	return names
}

// representatives returns the instances that speak for the own domain. An
// instance that leaves speaks only if nobody else is left.
func (c *Core) representatives() []keel.InstanceName {
	names := c.liveNames()
	if len(names) == 0 {
		return []keel.InstanceName{c.self.Name}
	}
	return names[:min(len(names), representatives)]
}

func (c *Core) isRepresentative() bool {
	return slices.Contains(c.representatives(), c.self.Name)
}

// peerOf returns the address of a member or of this instance.
func (c *Core) peerOf(name keel.InstanceName) netip.AddrPort {
	if name == c.self.Name {
		return c.self.Peer
	}
	if m, ok := c.members[name]; ok {
		return m.inst.Peer
	}
	return netip.AddrPort{}
}
