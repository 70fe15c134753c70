package keelmember_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelmember"
)

const (
	second           = time.Second
	alive            = keelmember.StateAlive
	intraDomainDelay = time.Millisecond
	step             = 50 * time.Millisecond
)

// start is the initial time of every simulation.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// sim connects cores by a simulated network on simulated time.
type sim struct {
	nodes     []*node
	byPeer    map[netip.AddrPort][]*node
	now       time.Time
	rand      *rand.Rand
	queue     []message
	drop      func(from, to *node) bool
	duplicate bool
	// autoFetch makes nodes fetch a version as soon as they are notified of it.
	autoFetch        bool
	maxExtraDelay    time.Duration // maximum random extra delay of a message
	interDomainDelay time.Duration // delay of a message between domains; 0 means intraDomainDelay
	step             time.Duration // by which the time advances
	onSend           func(from *node, body keel.Checker)
}

type node struct {
	core              *keelmember.Core
	inst              keel.Instance
	local             keelmember.Local
	down              bool
	notices           []keelmember.VersionNotice
	sent              int
	bytes             int
	received, bytesIn int
}

type message struct {
	due      time.Time
	from, to *node
	body     keel.Checker
	fetched  keel.Version // set if there is no body
}

func peerAddr(domain, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(domain), byte(i + 1)}), 7000)
}

func instance(domain, i int, incarnation uint64) keel.Instance {
	return keel.Instance{
		Name:        keel.InstanceName(fmt.Sprintf("d%02d-%02d", domain, i)),
		Domain:      keel.DomainName(fmt.Sprintf("domain-%02d", domain)),
		Region:      keel.RegionName(fmt.Sprintf("region-%d", domain/2)),
		Caller:      netip.AddrPortFrom(peerAddr(domain, i).Addr(), 8000),
		Peer:        peerAddr(domain, i),
		Incarnation: incarnation,
		Voter:       i == 0 && domain < 3,
	}
}

// newSim returns a simulation of domains with size instances each. The first
// instances of the first two domains are the seeds.
func newSim(seed uint64, domains, size int) *sim {
	s := &sim{now: start, step: step, byPeer: map[netip.AddrPort][]*node{}, rand: rand.New(rand.NewPCG(seed, 0))}
	for d := range domains {
		for i := range size {
			s.add(instance(d, i, 1))
		}
	}
	return s
}

func (s *sim) add(in keel.Instance) *node {
	return s.addWithSeeds(in, []netip.AddrPort{peerAddr(0, 0), peerAddr(1, 0)})
}

// addWithSeeds adds an instance that joins by the given peer addresses.
func (s *sim) addWithSeeds(in keel.Instance, join []netip.AddrPort) *node {
	n := &node{inst: in}
	n.core = keelmember.NewCore(keelmember.CoreConfig{Self: in, Join: join, Seed: s.rand.Uint64()}, s.now)
	s.nodes = append(s.nodes, n)
	s.byPeer[in.Peer] = append(s.byPeer[in.Peer], n)
	return n
}

// node returns the running node with a name.
func (s *sim) node(name keel.InstanceName) *node {
	i := slices.IndexFunc(s.nodes, func(n *node) bool { return n.inst.Name == name && !n.down })
	return s.nodes[i]
}

// state returns the state of another member of the domain as seen by n.
func (n *node) state(name keel.InstanceName) keelmember.MemberState {
	m, ok := n.core.View().Member(name)
	if !ok {
		return "unknown"
	}
	return m.State
}

// fetch makes a node fetch the versions that it was notified of, which takes
// one message each way.
func (s *sim) fetch(n *node) {
	for _, v := range n.notices {
		if v.Version > n.local.Version && len(s.byPeer[v.Peer]) > 0 {
			from := s.byPeer[v.Peer][0]
			if from.down || s.drop != nil && (s.drop(n, from) || s.drop(from, n)) {
				continue
			}
			s.queue = append(s.queue, message{due: s.now.Add(2 * s.delay(n, from)), to: n, fetched: v.Version})
		}
	}
	n.notices = nil
}

// delay returns the time that a message takes, without extra delay.
func (s *sim) delay(a, b *node) time.Duration {
	if s.interDomainDelay > 0 && a.inst.Domain != b.inst.Domain {
		return s.interDomainDelay
	}
	return intraDomainDelay
}

// install puts a fetched version in force at n.
func (s *sim) install(n *node, v keel.Version) {
	if v > n.local.Version {
		n.local.Version = v
		s.apply(n, n.core.Tick(s.now, n.local))
	}
}

// propose puts a version in force at the voters.
func (s *sim) propose(v keel.Version) {
	for _, n := range s.nodes {
		if n.inst.Voter && !n.down {
			n.local.Version = v
			s.apply(n, n.core.Tick(s.now, n.local))
		}
	}
}

// commit puts a version in force at the voters and returns the time until it
// is in force everywhere, or limit if that takes longer.
func (s *sim) commit(v keel.Version, limit time.Duration) time.Duration {
	s.propose(v)
	proposedAt := s.now
	for s.now.Sub(proposedAt) < limit {
		s.run(s.step)
		lag := func(n *node) bool { return !n.down && n.local.Version < v }
		if !slices.ContainsFunc(s.nodes, lag) {
			return s.now.Sub(proposedAt)
		}
	}
	return limit
}

func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(s.step) {
		s.deliver()
		for _, n := range s.nodes {
			if !n.down && !n.core.Next().After(s.now) {
				s.apply(n, n.core.Tick(s.now, n.local))
			}
		}
	}
}

func (s *sim) deliver() {
	var due []message
	s.queue = slices.DeleteFunc(s.queue, func(m message) bool {
		if m.due.After(s.now) {
			return false
		}
		due = append(due, m)
		return true
	})
	slices.SortStableFunc(due, func(a, b message) int { return cmp.Compare(a.due.UnixNano(), b.due.UnixNano()) })
	for _, m := range due {
		switch {
		case m.to.down:
		case m.body == nil:
			s.install(m.to, m.fetched)
		default:
			s.apply(m.to, m.to.core.Receive(s.now, m.from.inst.Name, m.body))
		}
	}
}

func (s *sim) apply(n *node, out keelmember.Actions) {
	n.notices = append(n.notices, out.Versions...)
	if s.autoFetch {
		s.fetch(n)
	}
	for _, m := range out.Sends {
		body, err := keel.EncodeCBOR(m.Body)
		if err != nil {
			panic(err)
		}
		n.sent++
		n.bytes += len(body)
		if s.onSend != nil {
			s.onSend(n, m.Body)
		}
		for _, to := range s.byPeer[m.To] {
			if !to.down {
				s.transmit(n, to, body, m.Body)
			}
		}
	}
}

// transmit queues a copy of a message that was encoded and decoded, or two if
// messages are duplicated.
func (s *sim) transmit(from, to *node, body []byte, sent keel.Checker) {
	if s.drop != nil && s.drop(from, to) {
		return
	}
	copies := 1
	if s.duplicate {
		copies = 2
	}
	to.received += copies
	to.bytesIn += copies * len(body)
	for range copies {
		var got keel.Checker
		switch sent.(type) {
		case *keelmember.Heartbeat:
			got = &keelmember.Heartbeat{}
		case *keelmember.Digest:
			got = &keelmember.Digest{}
		default:
			got = &keelmember.Hello{}
		}
		if err := keel.DecodeCBOR(body, got); err != nil {
			panic(err)
		}
		extra := time.Duration(0)
		if s.maxExtraDelay > 0 {
			extra = time.Duration(s.rand.Int64N(int64(s.maxExtraDelay)))
		}
		s.queue = append(s.queue, message{due: s.now.Add(s.delay(from, to) + extra), from: from, to: to, body: got})
	}
}
