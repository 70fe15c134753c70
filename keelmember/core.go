package keelmember

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/zeebo/xxh3"
)

// Timing and limits of membership.
const (
	// minHeartbeatPeriod is the time between two heartbeats to one member of a
	// small domain. In a larger domain the period is heartbeatPeriodPerMember
	// times the number of members, so that the number of heartbeats per second
	// stays the same.
	minHeartbeatPeriod       = time.Second
	heartbeatPeriodPerMember = 75 * time.Millisecond
	// heartbeatJitter is the largest fraction of a period that is subtracted at
	// random, so that instances do not send in step.
	heartbeatJitter = 0.2
	// suspectPeriods and deadPeriods are the numbers of heartbeat periods
	// without a heartbeat after which a member becomes suspect or dead.
	suspectPeriods      = 3.5
	deadPeriods         = 8
	deadMemberRetention = 10 * time.Minute
	// unconfirmedTimeout is how long an instance that was reported by others
	// may send no heartbeat before it is removed.
	unconfirmedTimeout = 30 * time.Second
	// deadProbeRounds is the number of rounds of heartbeats for each one that
	// also goes to dead members.
	deadProbeRounds = 10
	maxMembers      = 256
	// representativesPerDomain is how many instances exchange digests on behalf
	// of a failure domain.
	representativesPerDomain = 2
	// digestGap is the minimum time between two digests of a representative to
	// any domains. It bounds the cost when there are many domains.
	digestGap = 400 * time.Millisecond
	// minDigestPeriod is the minimum time between two digests to one domain.
	minDigestPeriod = time.Second
	// relayPeriodPerMember times the number of members is the minimum time
	// between two digests of one domain that are relayed inside the own domain.
	relayPeriodPerMember = 150 * time.Millisecond
	// pushGap is the minimum time between two rounds of heartbeats or digests
	// that are sent early because the version changed.
	pushGap = 100 * time.Millisecond
	// minBeaconPeriod is the minimum time between two beacons of a voter to one
	// domain. With many domains the period is beaconPeriodPerDomain times their
	// number.
	minBeaconPeriod       = 2 * time.Second
	beaconPeriodPerDomain = 100 * time.Millisecond
	// reportRequestPeriod is the time after which a voter requests a report
	// from a domain that has not reported the current version. The request is
	// repeated until it was sent maxReportRequests times; after that, beacons
	// carry it.
	reportRequestPeriod = 500 * time.Millisecond
	maxReportRequests   = 6
	// reorderWindow is the time within which a summary with a lower version
	// than the one before is assumed to have been reordered in transit.
	reorderWindow = 2 * time.Second
	// pushersPerDomain is how many voters send a new version to each domain.
	pushersPerDomain = 2
	// joinPeriod is the time between two rounds of hellos to seeds while no other
	// instance is known to be alive.
	joinPeriod = time.Second
	// seedPeriod is the time between two hellos of a representative to seeds, so
	// that groups that lost contact with each other merge again.
	seedPeriod = 30 * time.Second
	// soleMemberSeedPeriod is the time between two hellos to seeds while no other
	// member of the own domain is alive.
	soleMemberSeedPeriod = 5 * time.Second
	// syncPeriod is the time between two exchanges of member lists.
	syncPeriod = 30 * time.Second
	// newMemberSyncPeriod is the maximum time from the addition of a member to
	// the next exchange of member lists.
	newMemberSyncPeriod = 3 * time.Second
	// maxListenStep is the longest interval between two calls that counts as
	// time spent listening. A longer interval means that the process was
	// paused, which must not count as silence of other members.
	maxListenStep = 2 * time.Second
	// viewPeriod is the maximum time between two views.
	viewPeriod = 250 * time.Millisecond
)

// Local is the state that an instance reports about itself.
type Local struct {
	// Version is the version of the declarations in force.
	Version keel.Version
	// Capacity is the capacity of the endpoints that the instance owns.
	Capacity []ServiceCapacity
	// Leaving means that the instance will stop.
	Leaving bool
	// Registered means that the instance holds claims for its failure domain.
	Registered bool
	// QuorumBacked means that the instance is a voter in contact with a working
	// majority.
	QuorumBacked bool
}

// CoreConfig is the configuration of a [Core].
type CoreConfig struct {
	Self keel.Instance
	// Join lists the peer addresses of seeds, which are asked for other instances. The
	// instance's own address is ignored.
	Join []netip.AddrPort
	// Seed is the seed of the random number generator.
	Seed uint64
}

// Send is a message to send.
type Send struct {
	To   netip.AddrPort
	Kind keel.MessageKind
	// Body is a *[Heartbeat], *[Digest] or *[Hello].
	Body keel.Checker
}

// VersionNotice reports a peer that has the same version of the declarations as
// this instance, or a higher one. A peer with the same version can still have
// client blocks that this instance lacks.
type VersionNotice struct {
	Peer       netip.AddrPort
	Version    keel.Version
	SameDomain bool
}

// Actions lists what the caller of a [Core] must do.
type Actions struct {
	Sends    []Send
	Versions []VersionNotice
}

// Core decides on membership. The same sequence of calls leads to the same
// actions. It is not safe for concurrent use.
type Core struct {
	cfg   CoreConfig
	self  keel.Instance
	local Local
	rand  *rand.Rand

	now        time.Time
	listenTime time.Duration // total time spent listening, without pauses of the process
	members    map[keel.InstanceName]*member
	domains    map[keel.DomainName]*domain
	voters     map[keel.InstanceName]*voterState
	// beacon is the latest beacon of any voter; quorumSeen is when it was created.
	beacon     *Beacon
	quorumSeen time.Time
	joined     bool // some member has acknowledged this incarnation
	superseded bool

	heartbeatNumber uint64 // number of the last round of heartbeats
	nextHeartbeat   time.Time
	lastPush        time.Time
	pushDue         bool
	nextDigest      time.Time
	nextBeacon      time.Time
	digestCursor    int // index in domainNames of the next domain to send a digest to
	digestRound     int // number of completed passes over domainNames
	nextHello       time.Time
	nextSync        time.Time
	lastRelayed     map[keel.DomainName]time.Time
	pendingRelays   []keel.DomainName

	reportedVersion keel.Version // the latest version reported to the voters as in force in the domain
	lastReport      time.Time

	changed   bool // since the last view
	viewBuilt time.Time
	view      *View
	actions   Actions
}

// NewCore returns a core whose only member is the instance itself.
func NewCore(cfg CoreConfig, now time.Time) *Core {
	isSelf := func(a netip.AddrPort) bool { return a == cfg.Self.Peer }
	cfg.Join = slices.DeleteFunc(slices.Clone(cfg.Join), isSelf)
	c := &Core{
		cfg:         cfg,
		self:        cfg.Self,
		rand:        rand.New(rand.NewPCG(cfg.Seed, cfg.Self.Incarnation)),
		now:         now,
		members:     map[keel.InstanceName]*member{},
		domains:     map[keel.DomainName]*domain{},
		voters:      map[keel.InstanceName]*voterState{},
		lastRelayed: map[keel.DomainName]time.Time{},
	}
	c.nextHeartbeat = now.Add(c.jittered(minHeartbeatPeriod))
	c.nextHello = now
	c.nextSync = now.Add(c.jittered(syncPeriod))
	c.nextDigest = now.Add(digestGap)
	c.buildView()
	return c
}

// jittered returns d shortened by a random fraction of up to heartbeatJitter.
func (c *Core) jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - heartbeatJitter*c.rand.Float64()))
}

// Tick performs the work that is due at now. It must be called no later than
// the time that [Core.Next] returns.
func (c *Core) Tick(now time.Time, local Local) Actions {
	c.advance(now)
	c.setLocal(local)
	c.expireMembers()
	c.sendHellos()
	c.sendHeartbeats()
	c.sendBeacons()
	c.requestReports()
	c.sendNextDigest()
	c.sendReport()
	return c.finish()
}

// Receive handles a message from the named instance. The body is a
// *[Heartbeat], *[Digest] or *[Hello].
func (c *Core) Receive(now time.Time, from keel.InstanceName, body keel.Checker) Actions {
	c.advance(now)
	switch m := body.(type) {
	case *Heartbeat:
		c.handleHeartbeat(from, m)
	case *Digest:
		c.handleDigest(from, m)
	case *Hello:
		c.handleHello(from, m)
	}
	c.sendReport()
	return c.finish()
}

// Next returns the time at which the next call of [Core.Tick] is due.
func (c *Core) Next() time.Time {
	next := c.nextHeartbeat
	due := []time.Time{c.nextDigest, c.nextHello, c.viewBuilt.Add(viewPeriod)}
	if c.pushDue {
		due = append(due, c.lastPush.Add(pushGap))
	}
	if c.reportDue() {
		due = append(due, c.lastReport.Add(pushGap))
	}
	for _, t := range due {
		if t.Before(next) {
			next = t
		}
	}
	return next
}

// advance sets the current time. A time before the current one is ignored.
func (c *Core) advance(now time.Time) {
	step := now.Sub(c.now)
	if step <= 0 {
		return
	}
	c.now = now
	c.listenTime += min(step, maxListenStep)
}

// setLocal replaces the local state. The version never decreases.
func (c *Core) setLocal(l Local) {
	if l.Version > c.local.Version {
		c.pushDue, c.changed = true, true
	}
	if l.Leaving != c.local.Leaving {
		c.pushDue, c.changed = true, true
	}
	l.Version = max(l.Version, c.local.Version)
	c.local = l
}

// finish returns the collected actions and rebuilds the view if it is out of
// date.
func (c *Core) finish() Actions {
	if c.changed || c.now.Sub(c.viewBuilt) >= viewPeriod {
		c.buildView()
	}
	out := c.actions
	c.actions = Actions{}
	return out
}

func (c *Core) send(to netip.AddrPort, kind keel.MessageKind, body keel.Checker) {
	if to == c.self.Peer || !to.IsValid() {
		return
	}
	c.actions.Sends = append(c.actions.Sends, Send{To: to, Kind: kind, Body: body})
}

// addVersionNotice adds a notice if the version of the peer is at least that of
// this instance.
func (c *Core) addVersionNotice(peer netip.AddrPort, v keel.Version, sameDomain bool) {
	if v >= c.local.Version && v > 0 {
		c.actions.Versions = append(c.actions.Versions, VersionNotice{Peer: peer, Version: v, SameDomain: sameDomain})
	}
}

// View returns the latest view. Every call of [Core.Tick] or [Core.Receive] may
// replace it.
func (c *Core) View() *View { return c.view }

func (c *Core) buildView() {
	v := &View{
		Time:            c.now,
		Self:            c.self,
		Representatives: c.representatives(),
		QuorumSeen:      c.quorumSeen,
		Superseded:      c.superseded,
	}
	if c.beacon != nil {
		v.QuorumVersion = c.beacon.Version
	}
	v.Domain = append(v.Domain, c.selfMember())
	for _, m := range c.members {
		v.Domain = append(v.Domain, m.view())
	}
	slices.SortFunc(v.Domain, func(a, b Member) int {
		return strings.Compare(string(a.Instance.Name), string(b.Instance.Name))
	})
	for _, name := range c.domainNames() {
		v.Others = append(v.Others, c.domains[name].view())
	}
	c.view, c.viewBuilt, c.changed = v, c.now, false
}

func (c *Core) selfMember() Member {
	state := StateAlive
	if c.local.Leaving {
		state = StateLeaving
	}
	return Member{
		Instance: c.self, State: state, Version: c.local.Version, Capacity: c.local.Capacity,
		AsOf: c.now, Acknowledged: true, Registered: c.local.Registered,
	}
}

// rankSeed is a constant, so that all instances compute the same ranks.
const rankSeed = 0x9e3779b97f4a7c15

// rank returns the rank of a name for a key. The order of names differs from
// key to key.
func rank(key, name string) uint64 { return xxh3.HashStringSeed(key+"/"+name, rankSeed) }
