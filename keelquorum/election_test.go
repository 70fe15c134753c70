package keelquorum_test

import (
	"slices"
	"testing"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/matryer/is"
)

// All six voters stop at once and two of them lose their disks, so that an
// election needs the votes of the four others. They all restart at once, with the
// delays of links between regions: a round trip takes a tenth of the election
// timeout. Concurrent candidates must not delay the election for many rounds.
func TestElectionNeedsEveryVote(t *testing.T) {
	is := is.New(t)
	const runs, voters, lost = 200, 6, 2
	var times, terms []int
	for seed := range uint64(runs) {
		s := newSim(t, seed, voters)
		s.propose, s.read = 0, 0
		if !s.runUntil(2000, s.allVoting) {
			t.Fatalf("seed %d: not all instances became voters", seed)
		}
		before := s.leader().core.Status(s.clock(s.leader())).Term
		for i, v := range s.voters {
			s.crash(v)
			if i < lost {
				s.loseDisk(v)
			}
		}
		for _, from := range s.names {
			for _, to := range s.names {
				s.delay[[2]keel.InstanceName{from, to}] = 4 + s.rnd.IntN(2)
			}
		}
		s.run(5)
		start := s.now
		for _, v := range s.voters {
			s.start(v)
		}
		if !s.runUntil(5000, func() bool { return s.leader() != nil }) {
			t.Fatalf("seed %d: no leader", seed)
		}
		times = append(times, s.now-start)
		terms = append(terms, int(s.leader().core.Status(s.clock(s.leader())).Term-before))
	}
	slices.Sort(times)
	slices.Sort(terms)
	t.Logf("time until a lease: %d ms at the median, %d ms at the 95th percentile, %d ms at most; terms %d, %d, %d",
		times[runs/2], times[runs*19/20], times[runs-1], terms[runs/2], terms[runs*19/20], terms[runs-1])
	election := int(simElection.Milliseconds())
	// A restarted voter grants no vote for one election timeout, and one election
	// takes at most two timeouts.
	is.True(times[runs*19/20] <= 3*election)
	is.True(times[runs-1] <= 6*election)
}
