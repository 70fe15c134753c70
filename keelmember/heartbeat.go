package keelmember

import (
	"net/netip"
	"slices"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// beatPeriod returns the time between two heartbeats to one member.
func (c *Core) beatPeriod() time.Duration {
	n := 1
	for _, m := range c.members {
		if m.state() != StateDead {
			n++
		}
	}
	return max(heartbeatPeriod, time.Duration(n)*heartbeatPerMember)
}

// beat sends a round of heartbeats if one is due.
func (c *Core) beat() {
	due := !c.now.Before(c.nextBeat)
	push := c.pushDue && c.now.Sub(c.lastPush) >= pushGap
	if !due && !push {
		return
	}
	if due {
		c.nextBeat = c.now.Add(c.jittered(c.beatPeriod()))
	}
	if push {
		c.lastPush = c.now
		c.pushVersion()
	}
	c.pushDue = c.pushDue && !push && !due
	c.number++
	c.raiseBeacon()
	if !due && !c.speaksFirst() {
		c.acknowledge()
		return
	}
	digests := c.takeRelays()
	for _, name := range c.memberNames() {
		c.beatTo(c.members[name], digests)
	}
}

// acknowledge tells those that report on the domain of the version in force
// here. The rest hear of it with the next heartbeat.
func (c *Core) acknowledge() {
	speakers := c.representatives()
	for _, name := range c.memberNames() {
		if m := c.members[name]; m.inst.Voter || slices.Contains(speakers, name) {
			c.beatTo(m, nil)
		}
	}
}

// speaksFirst reports whether all others wait for this instance to tell of a
// new version or that it leaves.
func (c *Core) speaksFirst() bool {
	return c.self.Voter || c.local.Leaving || c.isRepresentative()
}

func (c *Core) beatTo(m *member, digests []Digest) {
	if m.state() == StateDead && c.number%deadProbeEvery != 0 {
		return
	}
	h := &Heartbeat{
		Incarnation: c.self.Incarnation,
		Number:      c.number,
		Version:     c.local.Version,
		Leaving:     c.local.Leaving,
		Registered:  c.local.Registered,
		Room:        c.local.Room,
		HearsYou:    m.live() || m.state() == StateLeaving,
		Beacon:      c.agedBeacon(),
	}
	if m.live() {
		h.Digests = digests
	}
	if !m.hearsUs {
		self := c.self
		h.Instance = &self
	}
	c.send(m.inst.Peer, keel.KindHeartbeat, h)
}

// takeHeartbeat takes a heartbeat of another instance.
func (c *Core) takeHeartbeat(from keel.InstanceName, h *Heartbeat) {
	if h.Instance != nil && (h.Instance.Name != from || h.Instance.Domain != c.self.Domain) {
		return
	}
	if from == c.self.Name {
		c.meetNamesake(h)
		return
	}
	m, ok := c.members[from]
	switch {
	case ok && h.Incarnation < m.inst.Incarnation:
		c.tellNewer(h.Instance, m.inst.Incarnation)
		return
	case !ok || h.Incarnation > m.inst.Incarnation:
		if h.Instance == nil {
			return // it sends its addresses until it knows that it is heard
		}
		m = c.put(*h.Instance)
	case h.Number <= m.number:
		return // doubled or overtaken
	}
	c.heard(m, h)
}

// heard records a new heartbeat of a member.
func (c *Core) heard(m *member, h *Heartbeat) {
	m.number = h.Number
	m.heard, m.listened = c.now, c.listen
	c.changed = c.changed || h.Version > m.version
	m.version = max(m.version, h.Version)
	m.room, m.registered, m.hearsUs = h.Room, h.Registered, h.HearsYou
	c.joined = c.joined || h.HearsYou
	e := eventHeard
	if h.Leaving {
		e = eventLeft
	}
	c.changed = m.fire(e) || c.changed
	if h.Instance != nil {
		m.inst = *h.Instance
	}
	c.noticeVersion(m.inst.Peer, h.Version, true)
	c.noteVoter(Contact{Name: m.inst.Name, Peer: m.inst.Peer}, m.inst.Voter)
	c.noteBeacon(h.Beacon)
	for i := range h.Digests {
		c.storeDigest(&h.Digests[i])
	}
}

// meetNamesake handles a heartbeat that carries this instance's own name.
func (c *Core) meetNamesake(h *Heartbeat) {
	if h.Incarnation > c.self.Incarnation {
		c.newer(h.Incarnation)
		return
	}
	if h.Incarnation < c.self.Incarnation {
		c.tellNewer(h.Instance, c.self.Incarnation)
	}
}

// newer handles the news that a higher incarnation of this instance's name is
// known. One that has just started takes a higher number, since it is the
// latest; one that others know already was replaced.
func (c *Core) newer(incarnation uint64) {
	if incarnation <= c.self.Incarnation {
		return
	}
	if !c.joined {
		c.self.Incarnation = incarnation + 1
		c.number = 0
	} else {
		c.superseded = true
	}
	c.changed = true
}

// tellNewer tells an instance that a later incarnation of it is known.
func (c *Core) tellNewer(old *keel.Instance, incarnation uint64) {
	if old != nil {
		c.send(old.Peer, keel.KindHello, &Hello{Instance: c.self, Answer: true, Newer: incarnation})
	}
}

// voterSign is what is known of a voter.
type voterSign struct {
	beacon Beacon
	peer   netip.AddrPort // invalid until it is known
}

// maxVoters bounds the voters that are remembered.
const maxVoters = 16

func (c *Core) noteVoter(at Contact, voter bool) {
	if !voter {
		return
	}
	if _, ok := c.voters[at.Name]; !ok && len(c.voters) < maxVoters {
		c.voters[at.Name] = &voterSign{}
	}
	if s, ok := c.voters[at.Name]; ok && at.Peer.IsValid() {
		s.peer = at.Peer
	}
}

// raiseBeacon renews this instance's own beacon if it is a voter with a working
// majority.
func (c *Core) raiseBeacon() {
	if !c.local.QuorumBacked {
		return
	}
	n := uint64(1)
	if s, ok := c.voters[c.self.Name]; ok {
		n = s.beacon.Number + 1
	}
	c.noteBeacon(&Beacon{Voter: c.self.Name, Incarnation: c.self.Incarnation, Number: n, Version: c.local.Version})
}

// agedBeacon returns the latest beacon with its present age.
func (c *Core) agedBeacon() *Beacon {
	if c.beacon == nil {
		return nil
	}
	b := *c.beacon
	b.AgeMillis = c.now.Sub(c.quorumHeard).Milliseconds()
	return &b
}

// noteBeacon records a beacon if it is newer than the last one of its voter.
// An old one that goes round proves nothing.
func (c *Core) noteBeacon(b *Beacon) {
	if b == nil {
		return
	}
	c.noteVoter(Contact{Name: b.Voter}, true)
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
	if c.beacon == nil || made.After(c.quorumHeard) {
		c.beacon = b
		c.quorumHeard = made
	}
}
