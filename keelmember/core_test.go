package keelmember_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelmember"
	"github.com/matryer/is"
)

// checkConverged fails the test unless every running node sees all other nodes
// of its domain alive and has a recent digest of every other domain.
func checkConverged(t *testing.T, s *sim, size, domains int) {
	t.Helper()
	is := is.New(t)
	for _, n := range s.nodes {
		if n.down {
			continue
		}
		v := n.core.View()
		is.Equal(len(v.Members(n.inst.Domain)), size)
		is.Equal(len(v.Others), domains-1)
		for _, d := range v.Others {
			is.True(d.Age(s.now) < 10*second) // received a digest, directly or relayed
			is.Equal(d.Digest.Live, size)
		}
	}
}

func TestJoin(t *testing.T) {
	tests := []struct {
		name          string
		domains, size int
		loss          float64
		duplicate     bool
		maxExtraDelay time.Duration
	}{
		{"6 domains of 3", 6, 3, 0, false, 0},
		{"one instance a domain", 3, 1, 0, false, 0},
		{"one domain", 1, 5, 0, false, 0},
		{"a fifth lost", 6, 3, 0.2, false, 0},
		{"all duplicated", 6, 3, 0, true, 0},
		{"reordered", 6, 3, 0, true, 3 * second},
		{"large domain", 1, 24, 0, false, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(1, tt.domains, tt.size)
			s.duplicate, s.maxExtraDelay = tt.duplicate, tt.maxExtraDelay
			s.drop = func(_, _ *node) bool { return s.rand.Float64() < tt.loss }
			s.run(40 * second)
			s.drop, s.maxExtraDelay = nil, 0
			s.run(20 * second) // replaces digests from before
			checkConverged(t, s, tt.size, tt.domains)
		})
	}
}

// TestJoinTogether starts the instances of a domain at once, each with the earlier ones as
// seeds. All of them must know each other after the first exchange of member lists, which
// follows the addition of a member within 3 seconds, and two rounds of heartbeats, even if
// the seeds that they chose at random did not know all of them.
func TestJoinTogether(t *testing.T) {
	const seeds = 2000
	for _, size := range []int{2, 3} {
		t.Run(fmt.Sprint(size, " instances"), func(t *testing.T) {
			for seed := range uint64(seeds) {
				s := newSim(seed, 0, 0)
				var join []netip.AddrPort
				for i := range size {
					s.addWithSeeds(instance(0, i, 1), join)
					join = append(join, peerAddr(0, i))
				}
				s.run(6 * second)
				for _, n := range s.nodes {
					if known := len(n.core.View().Members(n.inst.Domain)); known != size {
						t.Errorf("seed %d: %s knows %d of %d members", seed, n.inst.Name, known, size)
					}
				}
			}
		})
	}
}

// TestOwnAddressAmongSeeds checks that an instance whose own address is among its seeds
// asks another one.
func TestOwnAddressAmongSeeds(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(100) {
		in := instance(0, 0, 1)
		c := keelmember.NewCore(keelmember.CoreConfig{
			Self: in, Join: []netip.AddrPort{in.Peer, peerAddr(0, 1)}, Seed: seed,
		}, start)
		sends := c.Tick(start, keelmember.Local{}).Sends
		is.True(len(sends) > 0)
		for _, m := range sends {
			is.Equal(m.To, peerAddr(0, 1))
		}
	}
}

func TestSilentMember(t *testing.T) {
	is := is.New(t)
	s := newSim(2, 2, 4)
	s.run(15 * second)
	gone := s.nodes[0]
	gone.down = true
	s.run(5 * second)
	is.Equal(s.nodes[1].state(gone.inst.Name), keelmember.StateSuspect)
	is.Equal(s.nodes[1].core.View().Representatives, []keel.InstanceName{"d00-01", "d00-02"})
	s.run(5 * second)
	is.Equal(s.nodes[1].state(gone.inst.Name), keelmember.StateDead)
	s.run(11 * time.Minute)
	is.Equal(s.nodes[1].state(gone.inst.Name), keelmember.MemberState("unknown"))
}

func TestLeave(t *testing.T) {
	is := is.New(t)
	s := newSim(3, 2, 4)
	s.run(15 * second)
	s.nodes[0].local.Leaving = true
	s.run(second)
	for _, n := range s.nodes[1:4] {
		is.Equal(n.state("d00-00"), keelmember.StateLeaving)
		is.Equal(n.core.View().Representatives[0], keel.InstanceName("d00-01"))
	}
	s.run(3 * second)
	for _, n := range s.nodes[4:] {
		for _, m := range n.core.View().Members("domain-00") {
			is.True(m.Instance.Name != "d00-00") // digests don't list it
		}
	}
}

func TestRepresentativesLost(t *testing.T) {
	s := newSim(4, 4, 5)
	s.run(20 * second)
	s.nodes[5].down, s.nodes[6].down = true, true // both representatives of domain 1
	s.run(40 * second)
	is := is.New(t)
	for _, n := range s.nodes {
		if n.down || n.inst.Domain == "domain-01" {
			continue
		}
		for _, d := range n.core.View().Others {
			is.True(d.Age(s.now) < 10*second)
			if d.Domain == "domain-01" {
				is.Equal(d.Digest.Live, 3)
				is.Equal(d.Digest.Sender.Name < "d01-04", true)
			}
		}
	}
}

// TestRestart restarts an instance under the same name.
func TestRestart(t *testing.T) {
	tests := []struct {
		name        string
		incarnation uint64
		oldStays    bool
		moved       bool // to another address
	}{
		{"higher incarnation", 9, false, false},
		{"higher incarnation elsewhere", 9, false, true},
		{"old one still runs elsewhere", 9, true, true},
		{"clock went back", 2, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(5, 2, 3)
			old := s.nodes[2]
			old.down = true
			in := old.inst
			in.Incarnation = 5
			old = s.add(in)
			s.run(15 * second)
			old.down = !tt.oldStays
			in.Incarnation = tt.incarnation
			if tt.moved {
				in.Peer = peerAddr(0, 99)
			}
			fresh := s.add(in)
			s.run(20 * second)
			is.True(!fresh.core.View().Superseded)
			is.Equal(old.core.View().Superseded, tt.oldStays) // the older one is notified
			now := fresh.core.View().Self
			is.True(now.Incarnation > 5)
			for _, n := range s.nodes[:2] {
				m, ok := n.core.View().Member(in.Name)
				is.True(ok)
				is.Equal(m.State, alive)
				is.Equal(m.Instance, now)
			}
		})
	}
}

// TestPartitions separates nodes for a minute and then lets them reconnect.
func TestPartitions(t *testing.T) {
	first := func(n *node) bool { return n.inst.Name == "d00-00" }
	half := func(n *node) bool { return n.inst.Name < "d00-02" }
	domain0 := func(n *node) bool { return n.inst.Domain == "domain-00" }
	tests := []struct {
		name string
		cut  func(from, to *node) bool
		want map[string]keelmember.MemberState // "observer observed"
	}{
		{"one node partitioned", func(a, b *node) bool { return first(a) != first(b) }, map[string]keelmember.MemberState{
			"d00-00 d00-01": keelmember.StateDead, "d00-01 d00-00": keelmember.StateDead, "d00-01 d00-02": alive,
		}},
		{"messages of one node lost", func(a, _ *node) bool { return first(a) }, map[string]keelmember.MemberState{
			"d00-00 d00-01": alive, "d00-01 d00-00": keelmember.StateDead,
		}},
		{"messages to one node lost", func(_, b *node) bool { return first(b) }, map[string]keelmember.MemberState{
			"d00-00 d00-01": keelmember.StateDead, "d00-01 d00-00": alive,
		}},
		{"domain split inside", func(a, b *node) bool { return half(a) != half(b) && domain0(a) && domain0(b) }, map[string]keelmember.MemberState{
			"d00-00 d00-01": alive, "d00-00 d00-02": keelmember.StateDead, "d00-03 d00-02": alive,
		}},
		{"domain partitioned", func(a, b *node) bool { return domain0(a) != domain0(b) }, map[string]keelmember.MemberState{
			"d00-00 d00-01": alive, "d01-00 d01-01": alive,
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(6, 3, 4)
			s.run(15 * second)
			s.drop = tt.cut
			s.run(60 * second)
			for pair, want := range tt.want {
				var observer, observed keel.InstanceName
				_, err := fmt.Sscan(pair, &observer, &observed)
				is.NoErr(err)
				is.Equal(s.node(observer).state(observed), want)
			}
			s.drop = nil
			s.run(40 * second)
			checkConverged(t, s, 4, 3)
		})
	}
}

// TestOneWayLoss loses all heartbeats in one direction between two members.
// Only the one that is not received sees itself as not acknowledged.
func TestOneWayLoss(t *testing.T) {
	is := is.New(t)
	s := newSim(7, 1, 3)
	s.run(10 * second)
	s.drop = func(from, to *node) bool { return from == s.nodes[0] && to == s.nodes[1] }
	s.run(10 * second)
	m, _ := s.nodes[0].core.View().Member("d00-01")
	is.Equal(m.State, alive)
	is.True(!m.Acknowledged)
	m, _ = s.nodes[0].core.View().Member("d00-02")
	is.True(m.Acknowledged)
}

func TestClockJumps(t *testing.T) {
	for _, jump := range []time.Duration{time.Hour, -time.Hour, 90 * second} {
		t.Run(jump.String(), func(t *testing.T) {
			is := is.New(t)
			s := newSim(8, 2, 3)
			s.run(15 * second)
			n := s.nodes[0]
			n.core.Tick(s.now.Add(jump), n.local)
			for _, m := range n.core.View().Domain {
				is.Equal(m.State, alive) // a paused process suspects no other member
			}
			if jump > 0 { // the pause is over, and time goes on from there
				s.now = s.now.Add(jump)
			}
			s.run(20 * second)
			checkConverged(t, s, 3, 2)
		})
	}
}

// TestQuorumHeard gives the voters a majority and takes it away again.
func TestQuorumHeard(t *testing.T) {
	is := is.New(t)
	s := newSim(9, 4, 3)
	s.run(15 * second)
	_, ok := s.nodes[10].core.View().Staleness(s.now)
	is.True(!ok) // no voter has a majority
	for _, n := range s.nodes {
		n.local.QuorumBacked, n.local.Version = n.inst.Voter, 3
	}
	s.run(15 * second)
	for _, n := range s.nodes {
		age, ok := n.core.View().Staleness(s.now)
		is.True(ok)
		is.True(age < 5*second)
		is.Equal(n.core.View().QuorumVersion, keel.Version(3))
	}
	for _, n := range s.nodes {
		n.local.QuorumBacked, n.local.Version = false, 4
	}
	s.run(60 * second)
	for _, n := range s.nodes { // relayed old beacons don't count again
		age, _ := n.core.View().Staleness(s.now)
		is.True(age > 50*second)
		is.Equal(n.core.View().QuorumVersion, keel.Version(3))
	}
}
