package keelmember_test

import (
	"slices"
	"testing"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelmember"
	"github.com/matryer/is"
)

// confirmGoal is the time within which a change is known to be in force
// everywhere, without faults at 18 instances.
const confirmGoal = second

// allDomains returns the names of the domains of a simulation.
func (s *sim) allDomains() []keel.DomainName {
	var out []keel.DomainName
	for _, n := range s.nodes {
		if !slices.Contains(out, n.inst.Domain) {
			out = append(out, n.inst.Domain)
		}
	}
	return out
}

// everywhere reports whether every running node has a version.
func (s *sim) everywhere(v keel.Version) bool {
	return !slices.ContainsFunc(s.nodes, func(n *node) bool { return !n.down && n.local.Version < v })
}

// confirmed reports whether all running voters know a version to be in force
// everywhere. One of them knowing it before it is true fails the test.
func (s *sim) confirmed(t *testing.T, v keel.Version) bool {
	t.Helper()
	domains, all := s.allDomains(), true
	for _, n := range s.nodes {
		if n.down || !n.inst.Voter {
			continue
		}
		c := n.core.View().Confirm(v, domains)
		if c.InForce && !s.everywhere(v) {
			t.Fatalf("%s says that version %d is in force everywhere at %s, which it is not", n.inst.Name, v, s.now.Sub(start))
		}
		all = all && c.InForce
	}
	return all
}

// confirm commits a version and returns the time until all voters know it to be
// in force everywhere, or limit if that takes longer.
func (s *sim) confirm(t *testing.T, v keel.Version, limit time.Duration) time.Duration {
	t.Helper()
	s.propose(v)
	for began := s.now; s.now.Sub(began) < limit; s.run(s.step) {
		if s.confirmed(t, v) {
			return s.now.Sub(began)
		}
	}
	return limit
}

func TestConfirmed(t *testing.T) {
	const third, tenth = 0.33, 0.1
	tests := []struct {
		name          string
		domains, size int
		loss          float64
		late          time.Duration
		doubled       bool
		far           time.Duration
		goal          time.Duration
		seeds         uint64
	}{
		{name: "3 instances", domains: 1, size: 3, goal: confirmGoal, seeds: 10},
		{name: "18 instances", domains: 6, size: 3, goal: confirmGoal, seeds: 5},
		{name: "20 instances, long ways", domains: 5, size: 4, far: 100 * time.Millisecond, goal: confirmGoal, seeds: 5},
		{name: "doubled", domains: 6, size: 3, doubled: true, goal: confirmGoal, seeds: 5},
		{name: "a tenth lost", domains: 6, size: 3, loss: tenth, goal: inForceGoal, seeds: 10},
		{name: "a third lost", domains: 6, size: 3, loss: third, goal: 2 * inForceGoal, seeds: 10},
		{name: "late and overtaken", domains: 6, size: 3, late: 700 * time.Millisecond, goal: inForceGoal, seeds: 10},
		{name: "lost, doubled and late", domains: 6, size: 3, loss: tenth, doubled: true, late: 700 * time.Millisecond, goal: inForceGoal, seeds: 10},
		{name: "many domains, long ways", domains: 46, size: 3, far: 100 * time.Millisecond, goal: inForceGoal, seeds: 1},
		{name: "many domains, a tenth lost", domains: 46, size: 3, loss: tenth, goal: inForceGoal, seeds: 1},
		{name: "large domains, a tenth lost", domains: 4, size: 20, loss: tenth, goal: inForceGoal, seeds: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			for seed := range tt.seeds {
				is := is.New(t)
				s := newSim(seed, tt.domains, tt.size)
				s.fetching = true
				s.run(30 * second)
				s.drop = func(_, _ *node) bool { return s.rand.Float64() < tt.loss }
				s.late, s.doubled, s.far = tt.late, tt.doubled, tt.far
				for v := keel.Version(1); v <= 8; v++ {
					took := s.confirm(t, v, 2*tt.goal)
					if took >= tt.goal {
						t.Errorf("seed %d: version %d was confirmed after %s", seed, v, took)
					}
					is.True(s.everywhere(v))
				}
			}
		})
	}
}

// TestOneReport has each domain tell each voter of another one once of a
// version, and nothing more once all know it.
func TestOneReport(t *testing.T) {
	is := is.New(t)
	const domains, voters = 6, 3
	s := newSim(21, domains, 5)
	s.fetching = true
	s.run(30 * second)
	reports, asks := map[keel.DomainName]int{}, 0
	s.posted = func(n *node, body keel.Checker) {
		g, ok := body.(*keelmember.Digest)
		switch {
		case ok && g.Brief && g.Live > 0:
			reports[n.inst.Domain]++
		case ok && g.Ask:
			asks++
		}
	}
	for v := keel.Version(1); v <= 3; v++ {
		clear(reports)
		is.True(s.confirm(t, v, inForceGoal) < inForceGoal)
		s.run(10 * second)
		for i, d := range s.allDomains() {
			others := voters
			if i < voters {
				others-- // one is in the domain itself
			}
			is.Equal(reports[d], others)
		}
	}
	pushed := asks
	s.run(60 * second)
	is.Equal(asks, pushed) // nothing is asked while all is known
}

// TestRepresentativeDies at the moment of a change; the last one is a voter too.
// The others of its domain get the change at once, and it is named until it
// counts as dead.
func TestRepresentativeDies(t *testing.T) {
	for _, name := range []keel.InstanceName{"d04-00", "d04-01", "d00-00"} {
		t.Run(string(name), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(5) {
				is := is.New(t)
				s := newSim(seed, 5, 4)
				s.fetching = true
				s.run(30 * second)
				dead := s.node(name)
				dead.down = true
				is.Equal(s.confirm(t, 1, 2*second), 2*second) // not while it counts as live
				is.True(s.everywhere(1))
				for _, voter := range []keel.InstanceName{"d01-00", "d02-00"} {
					c := s.node(voter).core.View().Confirm(1, nil)
					is.Equal(c.Lags, []keelmember.Lag{{Name: dead.inst.Name}})
				}
				s.run(20 * second) // it counts as dead
				is.True(s.confirmed(t, 1))
				is.True(s.confirm(t, 2, confirmGoal) < confirmGoal)
			}
		})
	}
}

// TestReportLost has the report of a domain, and the answers of one of its
// representatives, not arrive. The other one is asked.
func TestReportLost(t *testing.T) {
	is := is.New(t)
	s := newSim(23, 5, 4)
	s.fetching = true
	s.run(30 * second)
	s.drop = func(a, b *node) bool { return a.inst.Name == "d04-00" && b.inst.Domain != "domain-04" }
	for v := keel.Version(1); v <= 5; v++ {
		is.True(s.confirm(t, v, inForceGoal) < 3*second)
	}
}

// TestCutOffDomainIsNamed with its instances, and confirmed once it is back.
func TestCutOffDomainIsNamed(t *testing.T) {
	is := is.New(t)
	s := newSim(24, 5, 3)
	s.fetching = true
	s.run(30 * second)
	s.drop = func(a, b *node) bool { return (a.inst.Domain == "domain-04") != (b.inst.Domain == "domain-04") }
	is.Equal(s.confirm(t, 1, 5*second), 5*second)
	c := s.node("d00-00").core.View().Confirm(1, nil)
	is.Equal(c.Lagging, 3)
	is.Equal(c.Lags, []keelmember.Lag{{Name: "d04-00"}, {Name: "d04-01"}, {Name: "d04-02"}})
	s.run(2 * time.Minute)
	is.Equal(s.node("d00-00").core.View().Confirm(1, nil).Unheard, []keel.DomainName{"domain-04"})
	s.drop = nil
	is.True(s.confirm(t, 2, inForceGoal) < inForceGoal)
}

// TestToldVersionNeverFalls, whatever order messages come in and also if the
// shell names an older version.
func TestToldVersionNeverFalls(t *testing.T) {
	is := is.New(t)
	s := newSim(25, 4, 3)
	s.fetching = true
	s.late, s.doubled = 700*time.Millisecond, true
	s.run(30 * second)
	told := map[keel.InstanceName]keel.Version{}
	for v := keel.Version(1); v <= 20; v++ {
		s.propose(v)
		s.run(200 * time.Millisecond)
		for _, n := range s.nodes {
			older := n.local
			older.Version = 0
			s.act(n, n.core.Tick(s.now, older))
			self, _ := n.core.View().Member(n.inst.Name)
			is.True(self.Version >= told[n.inst.Name])
			is.Equal(self.Version, n.local.Version) // known at once
			told[n.inst.Name] = self.Version
		}
	}
}
