package keelmember_test

import (
	"slices"
	"testing"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelmember"
	"github.com/matryer/is"
)

// confirmGoal is the time limit for confirming at the voters that a change is
// in force everywhere, without faults at 18 instances.
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

// everywhere reports whether every running node has at least a version in
// force.
func (s *sim) everywhere(v keel.Version) bool {
	return !slices.ContainsFunc(s.nodes, func(n *node) bool { return !n.down && n.local.Version < v })
}

// confirmed reports whether all running voters have confirmed that a version is
// in force everywhere. It fails the test if one of them does so too early.
func (s *sim) confirmed(t *testing.T, v keel.Version) bool {
	t.Helper()
	domains, all := s.allDomains(), true
	for _, n := range s.nodes {
		if n.down || !n.inst.Voter {
			continue
		}
		c := n.core.View().Confirm(v, domains)
		if c.InForce && !s.everywhere(v) {
			t.Fatalf("%s confirmed version %d at %s, but it is not in force everywhere", n.inst.Name, v, s.now.Sub(start))
		}
		all = all && c.InForce
	}
	return all
}

// confirm commits a version and returns the time until all voters have
// confirmed that it is in force everywhere, or limit if that takes longer.
func (s *sim) confirm(t *testing.T, v keel.Version, limit time.Duration) time.Duration {
	t.Helper()
	s.propose(v)
	for proposedAt := s.now; s.now.Sub(proposedAt) < limit; s.run(s.step) {
		if s.confirmed(t, v) {
			return s.now.Sub(proposedAt)
		}
	}
	return limit
}

func TestConfirmed(t *testing.T) {
	const third, tenth = 0.33, 0.1
	tests := []struct {
		name             string
		domains, size    int
		loss             float64
		maxExtraDelay    time.Duration
		duplicate        bool
		interDomainDelay time.Duration
		goal             time.Duration
		seeds            uint64
	}{
		{name: "3 instances", domains: 1, size: 3, goal: confirmGoal, seeds: 10},
		{name: "18 instances", domains: 6, size: 3, goal: confirmGoal, seeds: 5},
		{name: "20 instances, high latency", domains: 5, size: 4, interDomainDelay: 100 * time.Millisecond, goal: confirmGoal, seeds: 5},
		{name: "duplicated", domains: 6, size: 3, duplicate: true, goal: confirmGoal, seeds: 5},
		{name: "a tenth lost", domains: 6, size: 3, loss: tenth, goal: inForceGoal, seeds: 10},
		{name: "a third lost", domains: 6, size: 3, loss: third, goal: 2 * inForceGoal, seeds: 10},
		{name: "delayed and reordered", domains: 6, size: 3, maxExtraDelay: 700 * time.Millisecond, goal: inForceGoal, seeds: 10},
		{name: "lost, duplicated and delayed", domains: 6, size: 3, loss: tenth, duplicate: true, maxExtraDelay: 700 * time.Millisecond, goal: inForceGoal, seeds: 10},
		{name: "many domains, high latency", domains: 46, size: 3, interDomainDelay: 100 * time.Millisecond, goal: inForceGoal, seeds: 1},
		{name: "many domains, a tenth lost", domains: 46, size: 3, loss: tenth, goal: inForceGoal, seeds: 1},
		{name: "large domains, a tenth lost", domains: 4, size: 20, loss: tenth, goal: inForceGoal, seeds: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			for seed := range tt.seeds {
				is := is.New(t)
				s := newSim(seed, tt.domains, tt.size)
				s.autoFetch = true
				s.run(30 * second)
				s.drop = func(_, _ *node) bool { return s.rand.Float64() < tt.loss }
				s.maxExtraDelay, s.duplicate, s.interDomainDelay = tt.maxExtraDelay, tt.duplicate, tt.interDomainDelay
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

// TestOneReportPerVoter checks that each domain reports a version once to each
// voter of other domains, and that no requests are sent once every voter has
// confirmed it.
func TestOneReportPerVoter(t *testing.T) {
	is := is.New(t)
	const domains, voters = 6, 3
	s := newSim(21, domains, 5)
	s.autoFetch = true
	s.run(30 * second)
	reports, requests := map[keel.DomainName]int{}, 0
	s.onSend = func(n *node, body keel.Checker) {
		g, ok := body.(*keelmember.Digest)
		switch {
		case ok && g.Brief && g.Live > 0:
			reports[n.inst.Domain]++
		case ok && g.ReportRequested:
			requests++
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
	before := requests
	s.run(60 * second)
	is.Equal(requests, before) // no requests without a missing report
}

// TestRepresentativeDies stops a representative at the moment of a change; the
// last case is a voter too. The other instances of its domain get the change,
// and the stopped one is listed as lagging until it is considered dead.
func TestRepresentativeDies(t *testing.T) {
	for _, name := range []keel.InstanceName{"d04-00", "d04-01", "d00-00"} {
		t.Run(string(name), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(5) {
				is := is.New(t)
				s := newSim(seed, 5, 4)
				s.autoFetch = true
				s.run(30 * second)
				dead := s.node(name)
				dead.down = true
				is.Equal(s.confirm(t, 1, 2*second), 2*second) // not confirmed while it is considered live
				is.True(s.everywhere(1))
				for _, voter := range []keel.InstanceName{"d01-00", "d02-00"} {
					c := s.node(voter).core.View().Confirm(1, nil)
					is.Equal(c.Lags, []keelmember.LaggingInstance{{Name: dead.inst.Name}})
				}
				s.run(20 * second) // until it is considered dead
				is.True(s.confirmed(t, 1))
				is.True(s.confirm(t, 2, confirmGoal) < confirmGoal)
			}
		})
	}
}

// TestReportLost loses the report of a domain and all answers of one
// representative to other domains. The request must reach the other
// representative.
func TestReportLost(t *testing.T) {
	is := is.New(t)
	s := newSim(23, 5, 4)
	s.autoFetch = true
	s.run(30 * second)
	s.drop = func(a, b *node) bool { return a.inst.Name == "d04-00" && b.inst.Domain != "domain-04" }
	for v := keel.Version(1); v <= 5; v++ {
		is.True(s.confirm(t, v, inForceGoal) < 3*second)
	}
}

// TestConfirmNamesPartitionedDomain checks that the instances of a partitioned
// domain are listed as lagging, then the domain as unreported, and that a change
// is confirmed after the partition ends.
func TestConfirmNamesPartitionedDomain(t *testing.T) {
	is := is.New(t)
	s := newSim(24, 5, 3)
	s.autoFetch = true
	s.run(30 * second)
	s.drop = func(a, b *node) bool { return (a.inst.Domain == "domain-04") != (b.inst.Domain == "domain-04") }
	is.Equal(s.confirm(t, 1, 5*second), 5*second)
	c := s.node("d00-00").core.View().Confirm(1, nil)
	is.Equal(c.Lagging, 3)
	is.Equal(c.Lags, []keelmember.LaggingInstance{{Name: "d04-00"}, {Name: "d04-01"}, {Name: "d04-02"}})
	s.run(2 * time.Minute)
	is.Equal(s.node("d00-00").core.View().Confirm(1, nil).Unreported, []keel.DomainName{"domain-04"})
	s.drop = nil
	is.True(s.confirm(t, 2, inForceGoal) < inForceGoal)
}

// TestReportedVersionNeverDecreases delays, duplicates and reorders messages,
// and passes an older local version to the cores.
func TestReportedVersionNeverDecreases(t *testing.T) {
	is := is.New(t)
	s := newSim(25, 4, 3)
	s.autoFetch = true
	s.maxExtraDelay, s.duplicate = 700*time.Millisecond, true
	s.run(30 * second)
	previous := map[keel.InstanceName]keel.Version{}
	for v := keel.Version(1); v <= 20; v++ {
		s.propose(v)
		s.run(200 * time.Millisecond)
		for _, n := range s.nodes {
			older := n.local
			older.Version = 0
			s.apply(n, n.core.Tick(s.now, older))
			self, _ := n.core.View().Member(n.inst.Name)
			is.True(self.Version >= previous[n.inst.Name])
			is.Equal(self.Version, n.local.Version) // visible at once
			previous[n.inst.Name] = self.Version
		}
	}
}
