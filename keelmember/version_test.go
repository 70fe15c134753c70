package keelmember_test

import (
	"testing"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelmember"
	"github.com/matryer/is"
)

// inForceGoal is the time limit for a change to be in force everywhere.
const inForceGoal = 8 * second

func TestVersionReachesAll(t *testing.T) {
	tests := []struct {
		name          string
		domains, size int
		loss          float64
		maxExtraDelay time.Duration
		goal          time.Duration
	}{
		{"6 domains of 3", 6, 3, 0, 0, second},
		{"a tenth lost", 6, 3, 0.1, 0, inForceGoal},
		{"a third lost", 6, 3, 0.33, 0, inForceGoal},
		{"delayed by half a second", 6, 3, 0, 500 * time.Millisecond, inForceGoal},
		{"many domains, a tenth lost", 20, 3, 0.1, 0, inForceGoal},
		{"larger domains, a tenth lost", 4, 12, 0.1, 0, inForceGoal},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(11, tt.domains, tt.size)
			s.autoFetch = true
			s.run(20 * second)
			s.drop = func(_, _ *node) bool { return s.rand.Float64() < tt.loss }
			s.maxExtraDelay = tt.maxExtraDelay
			for v := keel.Version(1); v <= 10; v++ {
				is.True(s.commit(v, 2*tt.goal) < tt.goal)
				s.run(second)
			}
		})
	}
}

// TestPartitionedDomainCatchesUp checks that a partitioned domain misses
// changes and gets them after the partition ends.
func TestPartitionedDomainCatchesUp(t *testing.T) {
	is := is.New(t)
	s := newSim(12, 5, 3)
	s.autoFetch = true
	s.run(20 * second)
	partitioned := func(n *node) bool { return n.inst.Domain == "domain-04" }
	s.drop = func(a, b *node) bool { return partitioned(a) != partitioned(b) }
	for v := keel.Version(1); v <= 5; v++ {
		is.Equal(s.commit(v, second), second) // not everywhere
		s.run(20 * second)
	}
	inside := s.nodes[len(s.nodes)-1]
	is.Equal(inside.local.Version, keel.Version(0))
	c := s.nodes[0].core.View().Confirm(5, []keel.DomainName{"domain-00", "domain-03", "domain-04"})
	is.True(!c.InForce)
	is.Equal(c.Unreported, []keel.DomainName{"domain-04"})
	s.drop = nil
	is.True(s.commit(6, inForceGoal) < inForceGoal)
	s.run(20 * second)
	c = s.nodes[0].core.View().Confirm(6, nil)
	is.Equal(c, keelmember.Confirmation{Version: 6, InForce: true})
}

// TestConfirmNamesLaggingInstances checks that a confirmation lists instances
// that did not put a version in force.
func TestConfirmNamesLaggingInstances(t *testing.T) {
	is := is.New(t)
	s := newSim(13, 3, 3)
	s.run(20 * second)
	for _, n := range s.nodes {
		n.local.Version = 7
	}
	s.nodes[1].local.Version, s.nodes[5].local.Version = 6, 3
	s.run(20 * second)
	for _, n := range s.nodes {
		c := n.core.View().Confirm(7, nil)
		is.True(!c.InForce)
		is.Equal(c.Lagging, 2)
		is.Equal(c.Lags, []keelmember.LaggingInstance{{Name: "d01-02", Version: 3}, {Name: "d00-01", Version: 6}})
		is.True(n.core.View().Confirm(3, nil).InForce)
	}
}
