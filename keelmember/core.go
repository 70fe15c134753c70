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

// Periods and limits of membership.
const (
	// heartbeatPeriod is the time between two heartbeats to one member in a
	// small domain. In a larger one it is heartbeatPerMember times the number
	// of members, so that the cost stays the same.
	heartbeatPeriod    = time.Second
	heartbeatPerMember = 75 * time.Millisecond
	// heartbeatJitter is the largest part of a period that is taken off it at
	// random, so that instances don't send in step.
	heartbeatJitter = 0.2
	// suspectPeriods and deadPeriods are the heartbeat periods of silence
	// after which a member is suspect or dead.
	suspectPeriods = 3.5
	deadPeriods    = 8
	forgetAfter    = 10 * time.Minute
	// unconfirmedLife is how long an instance that is known by hearsay alone
	// is tried.
	unconfirmedLife = 30 * time.Second
	// deadProbeEvery is the number of heartbeat periods between two heartbeats
	// to a dead member.
	deadProbeEvery = 10
	maxMembers     = 256
	// representatives is how many instances speak for a failure domain.
	representatives = 2
	// digestStep is the least time between two digests of a representative, so
	// that its cost does not rise with the number of domains.
	digestStep = 400 * time.Millisecond
	// minDigestPeriod is the least time between two digests to one domain.
	minDigestPeriod = time.Second
	// relayPerMember times the number of members is the least time between two
	// digests of one domain that are passed on inside the own one.
	relayPerMember = 150 * time.Millisecond
	// pushGap is the least time between two heartbeats or rounds of digests
	// that a change of the version causes.
	pushGap = 100 * time.Millisecond
	// minSignPeriod and signPerDomain give the time between two signs of a
	// working majority that a voter sends to a domain.
	minSignPeriod = 2 * time.Second
	signPerDomain = 100 * time.Millisecond
	// askPeriod is the time after which a voter asks a domain that has not
	// reported a version, again and again until it has asked maxAsks times.
	// From then on the sign of a working majority asks.
	askPeriod = 500 * time.Millisecond
	maxAsks   = 6
	// overtakenWithin is the time within which a summary with a lower version
	// than the one before counts as overtaken on its way.
	overtakenWithin = 2 * time.Second
	// pushersPerDomain is how many voters tell each domain of a new version.
	pushersPerDomain = 2
	joinPeriod       = time.Second
	seedPeriod       = 30 * time.Second
	// lonelySeedPeriod is the time between two hellos to seeds of an instance
	// that knows no other live one in its domain.
	lonelySeedPeriod = 5 * time.Second
	syncPeriod       = 30 * time.Second
	// newsSyncPeriod is the longest time until members are compared after one
	// was added.
	newsSyncPeriod = 3 * time.Second
	// maxStep is the longest time between two calls that counts as listening.
	// More means that the process was paused, and others are not blamed.
	maxStep = 2 * time.Second
	// viewPeriod is the longest time between two views.
	viewPeriod = 250 * time.Millisecond
)

// Local is what an instance tells about itself.
type Local struct {
	// Version is the version of the declarations in force.
	Version keel.Version
	// Room is that of the endpoints which the instance owns.
	Room []ServiceRoom
	// Leaving says that the instance will stop.
	Leaving bool
	// Registered says that the instance holds claims of its failure domain.
	Registered bool
	// QuorumBacked says that the instance is a voter and hears a working
	// majority.
	QuorumBacked bool
}

// CoreConfig is the configuration of a [Core].
type CoreConfig struct {
	Self keel.Instance
	// Join lists peer addresses to ask for others.
	Join []netip.AddrPort
	// Seed makes the random choices.
	Seed uint64
}

// Send is a message to send.
type Send struct {
	To   netip.AddrPort
	Kind keel.MessageKind
	// Body is a *[Heartbeat], *[Digest] or *[Hello].
	Body keel.Checker
}

// VersionNotice says that a peer has the version of the declarations that this
// instance has, or a higher one. One with the same version can still have client
// blocks that this instance lacks.
type VersionNotice struct {
	Peer       netip.AddrPort
	Version    keel.Version
	SameDomain bool
}

// Actions is what a [Core] wants done.
type Actions struct {
	Sends    []Send
	Versions []VersionNotice
}

// Core decides on membership. Equal calls lead to equal actions. It is not safe
// for use by several goroutines.
type Core struct {
	cfg   CoreConfig
	self  keel.Instance
	local Local
	rand  *rand.Rand

	now     time.Time
	listen  time.Duration // time that was spent listening
	members map[keel.InstanceName]*member
	domains map[keel.DomainName]*domain
	voters  map[keel.InstanceName]*voterSign
	beacon  *Beacon
	// quorumHeard is when the beacon was made.
	quorumHeard time.Time
	joined      bool // some member hears this incarnation
	superseded  bool

	number        uint64 // of the last round of heartbeats
	nextBeat      time.Time
	lastPush      time.Time
	pushDue       bool
	nextDigest    time.Time
	nextSign      time.Time
	digestCursor  int
	digestRound   int
	nextHello     time.Time
	nextSync      time.Time
	relayed       map[keel.DomainName]time.Time
	pendingRelays []keel.DomainName

	reported   keel.Version // the version that voters were last told to be in force in the domain
	lastReport time.Time

	changed bool // since the last view
	viewed  time.Time
	view    *View
	out     Actions
}

// NewCore returns a core that knows only itself.
func NewCore(cfg CoreConfig, now time.Time) *Core {
	c := &Core{
		cfg:     cfg,
		self:    cfg.Self,
		rand:    rand.New(rand.NewPCG(cfg.Seed, cfg.Self.Incarnation)),
		now:     now,
		members: map[keel.InstanceName]*member{},
		domains: map[keel.DomainName]*domain{},
		voters:  map[keel.InstanceName]*voterSign{},
		relayed: map[keel.DomainName]time.Time{},
	}
	c.nextBeat = now.Add(c.jittered(heartbeatPeriod))
	c.nextHello = now
	c.nextSync = now.Add(c.jittered(syncPeriod))
	c.nextDigest = now.Add(digestStep)
	c.buildView()
	return c
}

// jittered returns d less a random part.
func (c *Core) jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - heartbeatJitter*c.rand.Float64()))
}

// Tick does what is due at now. It is called at least at the time that
// [Core.Next] names.
func (c *Core) Tick(now time.Time, local Local) Actions {
	c.advance(now)
	c.setLocal(local)
	c.expire()
	c.hello()
	c.beat()
	c.sign()
	c.askAgain()
	c.digests()
	c.report()
	return c.finish()
}

// Receive takes a message, which is a *[Heartbeat], *[Digest] or *[Hello], of
// the named instance.
func (c *Core) Receive(now time.Time, from keel.InstanceName, body keel.Checker) Actions {
	c.advance(now)
	switch m := body.(type) {
	case *Heartbeat:
		c.takeHeartbeat(from, m)
	case *Digest:
		c.takeDigest(from, m)
	case *Hello:
		c.takeHello(from, m)
	}
	c.report()
	return c.finish()
}

// Next returns when the next call of [Core.Tick] is due.
func (c *Core) Next() time.Time {
	next := c.nextBeat
	due := []time.Time{c.nextDigest, c.nextHello, c.viewed.Add(viewPeriod)}
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

// advance moves the time on. Time that goes back counts as standing still.
func (c *Core) advance(now time.Time) {
	step := now.Sub(c.now)
	if step <= 0 {
		return
	}
	c.now = now
	c.listen += min(step, maxStep)
}

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

// finish returns the actions and brings the view up to date.
func (c *Core) finish() Actions {
	if c.changed || c.now.Sub(c.viewed) >= viewPeriod {
		c.buildView()
	}
	out := c.out
	c.out = Actions{}
	return out
}

func (c *Core) send(to netip.AddrPort, kind keel.MessageKind, body keel.Checker) {
	if to == c.self.Peer || !to.IsValid() {
		return
	}
	c.out.Sends = append(c.out.Sends, Send{To: to, Kind: kind, Body: body})
}

// noticeVersion reports a peer that has no less than this instance.
func (c *Core) noticeVersion(peer netip.AddrPort, v keel.Version, sameDomain bool) {
	if v >= c.local.Version && v > 0 {
		c.out.Versions = append(c.out.Versions, VersionNotice{Peer: peer, Version: v, SameDomain: sameDomain})
	}
}

// View returns what is known. It is renewed by the calls of the core.
func (c *Core) View() *View { return c.view }

func (c *Core) buildView() {
	v := &View{
		Time:            c.now,
		Self:            c.self,
		Representatives: c.representatives(),
		QuorumHeard:     c.quorumHeard,
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
	c.view, c.viewed, c.changed = v, c.now, false
}

func (c *Core) selfMember() Member {
	state := StateAlive
	if c.local.Leaving {
		state = StateLeaving
	}
	return Member{
		Instance: c.self, State: state, Version: c.local.Version, Room: c.local.Room,
		Heard: c.now, HearsUs: true, Registered: c.local.Registered,
	}
}

// rankSeed makes ranks equal at all instances.
const rankSeed = 0x9e3779b97f4a7c15

// rank orders names for one key, in a way that differs from key to key.
func rank(key, name string) uint64 { return xxh3.HashStringSeed(key+"/"+name, rankSeed) }
