package keelmember

import (
	"net/netip"
	"slices"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// heartbeatPeriod returns the time between two heartbeats to one member.
func (c *Core) heartbeatPeriod() time.Duration {
	n := 1
	for _, m := range c.members {
		if m.state() != StateDead {
			n++
		}
	}
	return max(minHeartbeatPeriod, time.Duration(n)*heartbeatPeriodPerMember)
}

// sendHeartbeats sends a round of heartbeats if one is due, or if a change must
// be sent early.
func (c *Core) sendHeartbeats() {
	due := !c.now.Before(c.nextHeartbeat)
	push := c.pushDue && c.now.Sub(c.lastPush) >= pushGap
	if !due && !push {
		return
	}
	if due {
		c.nextHeartbeat = c.now.Add(c.jittered(c.heartbeatPeriod()))
	}
	if push {
		c.lastPush = c.now
		c.pushVersion()
	}
	c.pushDue = c.pushDue && !push && !due
	c.heartbeatNumber++
	c.advanceBeacon()
	if !due && !c.mustBroadcast() {
		c.sendToReporters()
		return
	}
	digests := c.dequeueRelays()
	for _, name := range c.memberNames() {
		c.sendHeartbeat(c.members[name], digests)
	}
}

// sendToReporters sends a heartbeat to the voters and representatives of the
// domain, which report the versions in force there. Other members get the
// version with the next regular heartbeat.
func (c *Core) sendToReporters() {
	representatives := c.representatives()
	for _, name := range c.memberNames() {
		if m := c.members[name]; m.inst.Voter || slices.Contains(representatives, name) {
			c.sendHeartbeat(m, nil)
		}
	}
}

// mustBroadcast reports whether changes of this instance must be sent to all
// members at once: a new version from a voter or a representative, or the
// announcement that the instance leaves.
func (c *Core) mustBroadcast() bool {
	return c.self.Voter || c.local.Leaving || c.isRepresentative()
}

// sendHeartbeat sends a heartbeat to one member. A dead member gets one only
// every deadProbeRounds rounds.
func (c *Core) sendHeartbeat(m *member, digests []Digest) {
	if m.state() == StateDead && c.heartbeatNumber%deadProbeRounds != 0 {
		return
	}
	h := &Heartbeat{
		Incarnation:  c.self.Incarnation,
		Number:       c.heartbeatNumber,
		Version:      c.local.Version,
		Leaving:      c.local.Leaving,
		Registered:   c.local.Registered,
		Capacity:     c.local.Capacity,
		Acknowledged: m.live() || m.state() == StateLeaving,
		Beacon:       c.currentBeacon(),
	}
	if m.live() {
		h.Digests = digests
	}
	if !m.acknowledged {
		self := c.self
		h.Instance = &self
	}
	c.send(m.inst.Peer, keel.KindHeartbeat, h)
}

// handleHeartbeat handles a heartbeat from another instance.
func (c *Core) handleHeartbeat(from keel.InstanceName, h *Heartbeat) {
	if h.Instance != nil && (h.Instance.Name != from || h.Instance.Domain != c.self.Domain) {
		return
	}
	if from == c.self.Name {
		c.handleOwnNameHeartbeat(h)
		return
	}
	m, ok := c.members[from]
	switch {
	case ok && h.Incarnation < m.inst.Incarnation:
		c.sendNewerIncarnation(h.Instance, m.inst.Incarnation)
		return
	case !ok || h.Incarnation > m.inst.Incarnation:
		if h.Instance == nil {
			return // the sender includes its addresses until it is acknowledged
		}
		m = c.addMember(*h.Instance)
	case h.Number <= m.heartbeatNumber:
		return // duplicate or reordered
	}
	c.recordHeartbeat(m, h)
}

// recordHeartbeat updates a member from a new heartbeat.
func (c *Core) recordHeartbeat(m *member, h *Heartbeat) {
	m.heartbeatNumber = h.Number
	m.lastHeard, m.lastHeardListenTime = c.now, c.listenTime
	c.changed = c.changed || h.Version > m.version
	m.version = max(m.version, h.Version)
	m.capacity, m.registered, m.acknowledged = h.Capacity, h.Registered, h.Acknowledged
	c.joined = c.joined || h.Acknowledged
	e := eventHeard
	if h.Leaving {
		e = eventLeft
	}
	c.changed = m.fire(e) || c.changed
	if h.Instance != nil {
		m.inst = *h.Instance
	}
	c.addVersionNotice(m.inst.Peer, h.Version, true)
	c.recordVoter(Contact{Name: m.inst.Name, Peer: m.inst.Peer}, m.inst.Voter)
	c.recordBeacon(h.Beacon)
	for i := range h.Digests {
		c.storeDigest(&h.Digests[i])
	}
}

// handleOwnNameHeartbeat handles a heartbeat from another process with this
// instance's own name.
func (c *Core) handleOwnNameHeartbeat(h *Heartbeat) {
	if h.Incarnation > c.self.Incarnation {
		c.handleNewerIncarnation(h.Incarnation)
		return
	}
	if h.Incarnation < c.self.Incarnation {
		c.sendNewerIncarnation(h.Instance, c.self.Incarnation)
	}
}

// handleNewerIncarnation handles the report that a higher incarnation of this
// instance's name exists. If no member has acknowledged this incarnation yet,
// this process has just started and takes a higher number, since it is the
// latest one. Otherwise it was replaced.
func (c *Core) handleNewerIncarnation(incarnation uint64) {
	if incarnation <= c.self.Incarnation {
		return
	}
	if !c.joined {
		c.self.Incarnation = incarnation + 1
		c.heartbeatNumber = 0
	} else {
		c.superseded = true
	}
	c.changed = true
}

// sendNewerIncarnation informs an instance that a later incarnation of it is
// known.
func (c *Core) sendNewerIncarnation(old *keel.Instance, incarnation uint64) {
	if old != nil {
		c.send(old.Peer, keel.KindHello, &Hello{Instance: c.self, Answer: true, Newer: incarnation})
	}
}

// voterState is the latest beacon and the address of a voter.
type voterState struct {
	beacon Beacon
	peer   netip.AddrPort // invalid until it is known
}

// maxVoters limits the number of voters that are tracked.
const maxVoters = 16

// recordVoter adds a voter or updates its address.
func (c *Core) recordVoter(at Contact, voter bool) {
	if !voter {
		return
	}
	if _, ok := c.voters[at.Name]; !ok && len(c.voters) < maxVoters {
		c.voters[at.Name] = &voterState{}
	}
	if s, ok := c.voters[at.Name]; ok && at.Peer.IsValid() {
		s.peer = at.Peer
	}
}

// advanceBeacon increments the number of this instance's own beacon if it is a
// voter with a working majority.
func (c *Core) advanceBeacon() {
	if !c.local.QuorumBacked {
		return
	}
	n := uint64(1)
	if s, ok := c.voters[c.self.Name]; ok {
		n = s.beacon.Number + 1
	}
	c.recordBeacon(&Beacon{Voter: c.self.Name, Incarnation: c.self.Incarnation, Number: n, Version: c.local.Version})
}

// currentBeacon returns the latest beacon with its current age.
func (c *Core) currentBeacon() *Beacon {
	if c.beacon == nil {
		return nil
	}
	b := *c.beacon
	b.AgeMillis = c.now.Sub(c.quorumSeen).Milliseconds()
	return &b
}

// recordBeacon stores a beacon if it is newer than the last one of its voter.
// An old beacon that is still relayed proves nothing.
func (c *Core) recordBeacon(b *Beacon) {
	if b == nil {
		return
	}
	c.recordVoter(Contact{Name: b.Voter}, true)
	s, ok := c.voters[b.Voter]
	if !ok {
		return
	}
	newer := b.Incarnation > s.beacon.Incarnation ||
		b.Incarnation == s.beacon.Incarnation && b.Number > s.beacon.Number
	if !newer {
		return
	}
	s.beacon = *b
	made := c.now.Add(-time.Duration(b.AgeMillis) * time.Millisecond)
	if c.beacon == nil || made.After(c.quorumSeen) {
		c.beacon = b
		c.quorumSeen = made
	}
}
