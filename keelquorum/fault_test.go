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
	// faults runs the voters, which have a leader, with the faults of the case.
	faults func(s *sim)
}

// pick returns a random voter.
func (s *sim) pick() *simVoter { return s.voters[s.rnd.IntN(len(s.voters))] }

// rounds runs f a number of times with milliseconds between.
func (s *sim) rounds(n, ms int, f func()) {
	for range n {
		f()
		s.run(ms)
	}
}

// killLeader lets the leader die at a step of its next commit.
func (s *sim) killLeader(at step) {
	l := s.leader()
	if l == nil {
		return
	}
	l.die = at
	s.until(300, func() bool { return l.core == nil })
	s.run(s.rnd.IntN(300))
	if l.core == nil {
		s.start(l)
	}
	l.die = stepNone
}

// isolate cuts v off in one or both directions.
func (s *sim) isolate(v *simVoter, in, out bool) {
	for _, name := range s.names {
		s.cut[[2]keel.InstanceName{name, v.name}] = in
		s.cut[[2]keel.InstanceName{v.name, name}] = out
	}
}

func (s *sim) randomCuts() {
	clear(s.cut)
	for range 1 + s.rnd.IntN(2*len(s.names)) {
		s.cut[[2]keel.InstanceName{s.pick().name, s.pick().name}] = true
	}
}

// loseAndRepair lets voters lose their disks at once and waits until each is a
// voter again.
func (s *sim) loseAndRepair(n int) {
	first := s.rnd.IntN(len(s.voters))
	for i := range n {
		s.lose(s.voters[(first+i)%len(s.voters)])
	}
	s.run(s.rnd.IntN(400))
	for _, v := range s.voters {
		if v.core == nil {
			s.start(v)
		}
	}
	if !s.until(5000, s.repaired) {
		s.fail("the voters were not repaired")
	}
}

func faultCases() []faultCase {
	cases := []faultCase{
		{"none", func(s *sim) { s.run(1000) }},
		{"lost, late, doubled and reordered messages", func(s *sim) {
			s.drop, s.double, s.slow = 0.1, 0.2, 0.1
			s.run(3000)
		}},
		{"asymmetric cuts", func(s *sim) { s.rounds(12, 250, s.randomCuts) }},
		{"cut-off leader goes on accepting", cutOffLeader},
		{"leader hears but is not heard", func(s *sim) { s.rounds(4, 500, func() { s.isolateLeader(false, true) }) }},
		{"leader is heard but does not hear", func(s *sim) { s.rounds(4, 500, func() { s.isolateLeader(true, false) }) }},
		{"crash of any voter at any step", func(s *sim) {
			s.rounds(20, 150, func() {
				for _, v := range s.voters {
					if v.core == nil {
						s.start(v)
					}
				}
				s.pick().die = step(s.rnd.IntN(int(stepCount)))
			})
		}},
		{"voter loses its disk and comes back", func(s *sim) { s.rounds(3, 100, func() { s.loseAndRepair(1) }) }},
		{"second voter lost right after the first one's repair", func(s *sim) { s.rounds(5, 0, func() { s.loseAndRepair(1) }) }},
		{"as many disks lost at once as may be", func(s *sim) { s.rounds(2, 0, func() { s.loseAndRepair(len(s.voters) / 2) }) }},
		{"clock jumps", func(s *sim) {
			s.rounds(30, 80, func() {
				s.pick().offset += time.Duration(s.rnd.IntN(20000)-10000) * time.Millisecond
			})
		}},
		{"restart of all voters at once", func(s *sim) {
			s.rounds(5, 400, func() {
				for _, v := range s.voters {
					s.crash(v)
				}
				s.run(s.rnd.IntN(50))
				for _, v := range s.voters {
					s.start(v)
				}
			})
		}},
		{"voter back after 500 missed entries, by tail", missed(1 << 30)},
		{"voter back after 500 missed entries, by snapshot", missed(100)},
		{"snapshot damaged on its way", func(s *sim) {
			s.rot = 0.5
			missed(100)(s)
		}},
		{"hand-over", func(s *sim) {
			s.slow = 0.02
			s.rounds(12, 200, func() {
				if l := s.leader(); l != nil {
					l.core.HandOver(s.clock(l))
				}
			})
		}},
		{"voters removed and added under cuts", func(s *sim) {
			s.rounds(30, 100, func() {
				s.randomCuts()
				for _, v := range s.voters {
					if s.rnd.IntN(2) == 0 {
						_ = v.core.RemoveVoter(s.clock(v), s.pick().name)
					} else {
						_ = v.core.AddVoter(s.clock(v), s.pick().name)
					}
				}
			})
		}},
		{"all of it", everything},
	}
	for at := stepBeforeEarly; at < stepCount; at++ {
		cases = append(cases, faultCase{fmt.Sprintf("leader killed at step %d of a commit", at), func(s *sim) {
			s.rounds(6, 100, func() { s.killLeader(at) })
		}})
	}
	return cases
}

func (s *sim) isolateLeader(in, out bool) {
	clear(s.cut)
	if l := s.leader(); l != nil {
		s.isolate(l, in, out)
	}
}

func cutOffLeader(s *sim) {
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
		clear(s.cut)
		s.run(300)
	}
}

func missed(snapEvery int) func(*sim) {
	return func(s *sim) {
		s.snapEvery, s.propose = snapEvery, 0.8
		v := s.pick()
		s.crash(v)
		last := v.index
		s.until(5000, func() bool { l := s.leader(); return l != nil && l.index > last+500 })
		missing := s.last
		s.start(v)
		if !s.until(2000, func() bool { return v.index >= missing }) {
			s.fail("%s holds entry %d and did not catch up", v.name, v.index)
		}
	}
}

func everything(s *sim) {
	s.snapEvery = 60
	s.rounds(30, 120, func() {
		s.drop, s.double, s.slow = 0.05*s.rnd.Float64(), 0.1*s.rnd.Float64(), 0.05*s.rnd.Float64()
		switch s.rnd.IntN(7) {
		case 0:
			s.randomCuts()
		case 1:
			clear(s.cut)
		case 2:
			s.pick().die = step(s.rnd.IntN(int(stepCount)))
		case 3:
			if v := s.pick(); v.core == nil {
				s.start(v)
			}
		case 4:
			s.pick().offset += time.Duration(s.rnd.IntN(4000)-2000) * time.Millisecond
		case 5:
			if l := s.leader(); l != nil {
				l.core.HandOver(s.clock(l))
			}
		case 6:
			if s.repaired() {
				s.lose(s.pick())
			}
		}
	})
}

func TestFaults(t *testing.T) {
	for _, tt := range faultCases() {
		for _, voters := range []int{3, 5} {
			t.Run(fmt.Sprintf("%s/%d voters", tt.name, voters), func(t *testing.T) {
				t.Parallel()
				accepted, refused := 0, 0
				for seed := uint64(1); seed <= *seeds && !t.Failed(); seed++ {
					s := newSim(t, seed, voters)
					if !s.until(3000, s.repaired) {
						s.fail("no first leader")
					}
					tt.faults(s)
					s.finish()
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
