package keelmember

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelchart"
)

// member is the state of another instance of the own failure domain.
type member struct {
	inst                keel.Instance
	machine             keelchart.Machine
	heartbeatNumber     uint64 // number of the last heartbeat
	lastHeard           time.Time
	lastHeardListenTime time.Duration // Core.listenTime at lastHeard
	version             keel.Version
	registered          bool
	capacity            []ServiceCapacity
	// acknowledged means that the member's last heartbeat acknowledged this
	// incarnation.
	acknowledged bool
}

func (m *member) state() MemberState { return m.machine.State() }

// live reports whether the member is alive and takes part in the work of its
// domain.
func (m *member) live() bool { return m.state() == StateAlive }

// countsForVersions reports whether the versions of the domain include that of
// the member.
func (m *member) countsForVersions() bool {
	return m.live() || m.state() == StateSuspect || m.state() == StateLeaving
}

func (m *member) view() Member {
	return Member{
		Instance: m.inst, State: m.state(), Version: m.version, Capacity: m.capacity,
		AsOf: m.lastHeard, Acknowledged: m.acknowledged, Registered: m.registered,
	}
}

// fire applies an event and reports whether the state of the member changed.
func (m *member) fire(e keelchart.Event) bool {
	before := m.state()
	after, err := m.machine.Fire(e)
	return err == nil && after != before
}

// addUnconfirmed adds an instance that another instance reported.
func (c *Core) addUnconfirmed(in keel.Instance) {
	if in.Name == c.self.Name || in.Domain != c.self.Domain {
		return
	}
	m, ok := c.members[in.Name]
	if ok && m.inst.Incarnation >= in.Incarnation {
		return
	}
	if ok && m.live() {
		return // its own heartbeats take precedence
	}
	c.addMember(in)
}

// addMember adds an instance, or replaces an earlier incarnation of it.
func (c *Core) addMember(in keel.Instance) *member {
	if _, ok := c.members[in.Name]; !ok && len(c.members) >= maxMembers {
		c.evictSilent()
	}
	m := &member{inst: in, machine: keelchart.NewMachine(memberChart), lastHeard: c.now, lastHeardListenTime: c.listenTime}
	c.members[in.Name] = m
	c.changed = true
	c.scheduleSyncWithin(newMemberSyncPeriod)
	return m
}

// evictSilent removes the member that has been silent for longest.
func (c *Core) evictSilent() {
	var oldest *member
	for _, m := range c.members {
		if oldest == nil || m.lastHeardListenTime < oldest.lastHeardListenTime ||
			m.lastHeardListenTime == oldest.lastHeardListenTime && m.inst.Name < oldest.inst.Name {
			oldest = m
		}
	}
	delete(c.members, oldest.inst.Name)
}

// expireMembers updates the states of silent members and removes those that
// have been dead or unconfirmed for too long.
func (c *Core) expireMembers() {
	period := c.heartbeatPeriod()
	suspectAfter := time.Duration(suspectPeriods * float64(period))
	for _, name := range c.memberNames() {
		m := c.members[name]
		silent := c.listenTime - m.lastHeardListenTime
		switch {
		case m.state() == StateUnconfirmed && silent > unconfirmedTimeout,
			m.state() == StateDead && silent > deadMemberRetention:
			delete(c.members, name)
			c.changed = true
		case m.state() == StateUnconfirmed:
		case silent > deadPeriods*period:
			c.markSilent(m, eventExpired)
		case silent > suspectAfter:
			c.markSilent(m, eventMissed)
		}
	}
}

// markSilent applies an event to a member that is silent.
func (c *Core) markSilent(m *member, e keelchart.Event) {
	if m.fire(e) {
		m.acknowledged = false
		c.changed = true
	}
}

// memberNames returns the sorted names of the members.
func (c *Core) memberNames() []keel.InstanceName {
	names := make([]keel.InstanceName, 0, len(c.members))
	for name := range c.members {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// voterNames returns the sorted names of the known voters.
func (c *Core) voterNames() []keel.InstanceName {
	return slices.Sorted(maps.Keys(c.voters))
}

// liveNames returns the sorted names of the live instances of the own domain.
// It includes this one unless it leaves.
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

// representatives returns the instances that exchange digests for the own
// domain. An instance that leaves does so only if no other one is live.
func (c *Core) representatives() []keel.InstanceName {
	names := c.liveNames()
	if len(names) == 0 {
		return []keel.InstanceName{c.self.Name}
	}
	return names[:min(len(names), representativesPerDomain)]
}

func (c *Core) isRepresentative() bool {
	return slices.Contains(c.representatives(), c.self.Name)
}

// peerOf returns the peer address of a member or of this instance.
func (c *Core) peerOf(name keel.InstanceName) netip.AddrPort {
	if name == c.self.Name {
		return c.self.Peer
	}
	if m, ok := c.members[name]; ok {
		return m.inst.Peer
	}
	return netip.AddrPort{}
}
