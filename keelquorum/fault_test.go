package keelquorum_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

var seeds = flag.Uint64("quorum.seeds", 4, "runs of each case of the fault table with each number of voters")

// faultCase is a row of the fault table.
type faultCase struct {
	name string
	// faults runs the voters, which already have a leader, while injecting the
	// faults of the case.
	faults func(s *sim)
}

// randomVoter returns a random voter.
func (s *sim) randomVoter() *simVoter { return s.voters[s.rnd.IntN(len(s.voters))] }

// repeat calls f n times and runs the voters for ms milliseconds after each call.
func (s *sim) repeat(n, ms int, f func()) {
	for range n {
		f()
		s.run(ms)
	}
}

// killLeader crashes the leader at a step of its next commit and restarts it
// after a random time.
func (s *sim) killLeader(at crashStep) {
	l := s.leader()
	if l == nil {
		return
	}
	l.crashAt = at
	s.runUntil(300, func() bool { return l.core == nil })
	s.run(s.rnd.IntN(300))
	if l.core == nil {
		s.start(l)
	}
	l.crashAt = crashNever
}

// isolate partitions v from all others: in blocks messages to v, out those from
// v.
func (s *sim) isolate(v *simVoter, in, out bool) {
	for _, name := range s.names {
		s.partitioned[[2]keel.InstanceName{name, v.name}] = in
		s.partitioned[[2]keel.InstanceName{v.name, name}] = out
	}
}

// randomPartitions replaces all partitions by random one-way ones.
func (s *sim) randomPartitions() {
	clear(s.partitioned)
	for range 1 + s.rnd.IntN(2*len(s.names)) {
		s.partitioned[[2]keel.InstanceName{s.randomVoter().name, s.randomVoter().name}] = true
	}
}

// loseAndRepair replaces the disks of n voters at once by empty ones and waits
// until all vote again.
func (s *sim) loseAndRepair(n int) {
	first := s.rnd.IntN(len(s.voters))
	for i := range n {
		s.loseDisk(s.voters[(first+i)%len(s.voters)])
	}
	s.run(s.rnd.IntN(400))
	for _, v := range s.voters {
		if v.core == nil {
			s.start(v)
		}
	}
	if !s.runUntil(5000, s.allVoting) {
		s.fail("not all instances vote again")
	}
}

func faultCases() []faultCase {
	cases := []faultCase{
		{"none", func(s *sim) { s.run(1000) }},
		{"lost, delayed, duplicated and reordered messages", func(s *sim) {
			s.drop, s.duplicate, s.delayed = 0.1, 0.2, 0.1
			s.run(3000)
		}},
		{"asymmetric partitions", func(s *sim) { s.repeat(12, 250, s.randomPartitions) }},
		{"partitioned leader accepts nothing", partitionLeader},
		{"leader receives but cannot send", func(s *sim) { s.repeat(4, 500, func() { s.isolateLeader(false, true) }) }},
		{"leader sends but cannot receive", func(s *sim) { s.repeat(4, 500, func() { s.isolateLeader(true, false) }) }},
		{"crash of any voter at any step", func(s *sim) {
			s.repeat(20, 150, func() {
				for _, v := range s.voters {
					if v.core == nil {
						s.start(v)
					}
				}
				s.randomVoter().crashAt = crashStep(s.rnd.IntN(int(crashStepCount)))
			})
		}},
		{"voter restarts with an empty disk", func(s *sim) { s.repeat(3, 100, func() { s.loseAndRepair(1) }) }},
		{"second disk lost right after the first one was replaced", func(s *sim) { s.repeat(5, 0, func() { s.loseAndRepair(1) }) }},
		{"largest tolerable number of disks lost at once", func(s *sim) { s.repeat(2, 0, func() { s.loseAndRepair(len(s.voters) / 2) }) }},
		{"clock jumps", func(s *sim) {
			s.repeat(30, 80, func() {
				s.randomVoter().offset += time.Duration(s.rnd.IntN(20000)-10000) * time.Millisecond
			})
		}},
		{"restart of all voters at once", func(s *sim) {
			s.repeat(5, 400, func() {
				for _, v := range s.voters {
					s.crash(v)
				}
				s.run(s.rnd.IntN(50))
				for _, v := range s.voters {
					s.start(v)
				}
			})
		}},
		{"voter catches up 500 missed entries from the log", catchUpAfterMissing(1 << 30)},
		{"voter catches up 500 missed entries by snapshot", catchUpAfterMissing(100)},
		{"snapshot corrupted in transit", func(s *sim) {
			s.corrupt = 0.5
			catchUpAfterMissing(100)(s)
		}},
		{"hand-over", func(s *sim) {
			s.delayed = 0.02
			s.repeat(12, 200, func() {
				if l := s.leader(); l != nil {
					l.core.HandOver(s.clock(l))
				}
			})
		}},
		{"voters removed and added during partitions", func(s *sim) {
			s.repeat(30, 100, func() {
				s.randomPartitions()
				for _, v := range s.voters {
					if s.rnd.IntN(2) == 0 {
						_ = v.core.RemoveVoter(s.clock(v), s.randomVoter().name)
					} else {
						_ = v.core.AddVoter(s.clock(v), s.randomVoter().name)
					}
				}
			})
		}},
		{"all faults combined", allFaults},
	}
	for at := crashBeforeFirstSend; at < crashStepCount; at++ {
		cases = append(cases, faultCase{fmt.Sprintf("leader killed at step %d of a commit", at), func(s *sim) {
			s.repeat(6, 100, func() { s.killLeader(at) })
		}})
	}
	return cases
}

func (s *sim) isolateLeader(in, out bool) {
	clear(s.partitioned)
	if l := s.leader(); l != nil {
		s.isolate(l, in, out)
	}
}

// partitionLeader partitions the leader from all others. It must accept no proposal
// once an election timeout has passed.
func partitionLeader(s *sim) {
	for range 4 {
		l := s.leader()
		if l == nil {
			s.run(300)
			continue
		}
		s.isolate(l, true, true)
		s.run(int(simElection / time.Millisecond))
		if _, _, err := l.core.Propose(s.clock(l), make([]byte, 8)); err == nil {
			s.fail("%s accepted a proposal while it was cut off", l.name)
		}
		s.run(500)
		clear(s.partitioned)
		s.run(300)
	}
}

// catchUpAfterMissing returns faults that stop a voter while 500 entries are
// committed. After its restart it must catch up.
func catchUpAfterMissing(snapEvery int) func(*sim) {
	return func(s *sim) {
		s.snapshotEvery, s.propose = snapEvery, 0.8
		v := s.randomVoter()
		s.crash(v)
		last := v.index
		s.runUntil(5000, func() bool { l := s.leader(); return l != nil && l.index > last+500 })
		missing := s.lastApplied
		s.start(v)
		if !s.runUntil(2000, func() bool { return v.index >= missing }) {
			s.fail("%s holds entry %d and did not catch up", v.name, v.index)
		}
	}
}

// allFaults combines message faults, partitions, crashes, clock jumps, handovers
// and lost disks at random.
func allFaults(s *sim) {
	s.snapshotEvery = 60
	s.repeat(30, 120, func() {
		s.drop, s.duplicate, s.delayed = 0.05*s.rnd.Float64(), 0.1*s.rnd.Float64(), 0.05*s.rnd.Float64()
		switch s.rnd.IntN(7) {
		case 0:
			s.randomPartitions()
		case 1:
			clear(s.partitioned)
		case 2:
			s.randomVoter().crashAt = crashStep(s.rnd.IntN(int(crashStepCount)))
		case 3:
			if v := s.randomVoter(); v.core == nil {
				s.start(v)
			}
		case 4:
			s.randomVoter().offset += time.Duration(s.rnd.IntN(4000)-2000) * time.Millisecond
		case 5:
			if l := s.leader(); l != nil {
				l.core.HandOver(s.clock(l))
			}
		case 6:
			if s.allVoting() {
				s.loseDisk(s.randomVoter())
			}
		}
	})
}

// TestFaults checks that every history under a kind of fault is linearizable and
// that the voters recover.
func TestFaults(t *testing.T) {
	for _, tt := range faultCases() {
		for _, voters := range []int{3, 5} {
			t.Run(fmt.Sprintf("%s/%d voters", tt.name, voters), func(t *testing.T) {
				t.Parallel()
				accepted, refused := 0, 0
				for seed := uint64(1); seed <= *seeds && !t.Failed(); seed++ {
					s := newSim(t, seed, voters)
					if !s.runUntil(3000, s.allVoting) {
						s.fail("not all instances vote after the start")
					}
					tt.faults(s)
					s.recoverAndCheck()
					if s.failed {
						t.Errorf("failed with seed %d", seed)
					}
					accepted, refused = accepted+s.accepted(), refused+s.refused
				}
				if accepted == 0 {
					t.Error("no proposal was accepted")
				}
				t.Logf("%d runs, %d proposals accepted, %d refused", *seeds, accepted, refused)
			})
		}
	}
}
