package keelroute_test

import (
	"fmt"
	"testing"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// loadFault is an offered load with the faults that are injected during it.
type loadFault struct {
	name string
	// load returns the offered load as a fraction of all slots; nil means 0.8.
	load func(sinceFault time.Duration, svc int) float64
	// script schedules the faults.
	script func(s *sim)
}

// timing holds the times of a run, from its start.
type timing struct {
	warmUp      time.Duration // how long the load ramps up at the start
	measureFrom time.Duration // requests that arrive earlier are not measured
	fault       time.Duration // when faults begin
	end         time.Duration // of arrivals
}

var (
	quick  = timing{2 * time.Second, 3 * time.Second, 4 * time.Second, 15 * time.Second}
	steady = timing{5 * time.Second, 18 * time.Second, 20 * time.Second, 40 * time.Second}
)

// runFault runs the simulation with one load and its faults.
func (s *sim) runFault(f loadFault, t timing) {
	s.times = t
	s.figures.measureFrom = t.measureFrom
	s.load = func(now time.Duration, svc int) float64 {
		l := 0.8
		if f.load != nil {
			l = f.load(now-t.fault, svc)
		}
		return l * (0.5 + 0.5*min(1, now.Seconds()/t.warmUp.Seconds()))
	}
	if f.script != nil {
		f.script(s)
	}
	s.run(t.end)
}

// lostFor makes a domain unavailable between two times, counted from the start
// of the fault.
func (s *sim) lostFor(d int, from, to time.Duration) {
	s.at(s.times.fault+from, func() { s.loseDomain(d) })
	s.at(s.times.fault+to, func() { s.lost[d] = false })
}

// asPolicy returns the run's policy, or nil for a baseline.
func (s *sim) asPolicy() *policy {
	p, _ := s.steer.(*policy)
	return p
}

func constantLoad(l float64) func(time.Duration, int) float64 {
	return func(time.Duration, int) float64 { return l }
}

func loadFaults() []loadFault {
	return []loadFault{
		{"load 0.8", nil, nil},
		{"competition night", func(since time.Duration, svc int) float64 {
			if since < 0 || svc > 1 {
				return 0.5
			}
			return 0.5 * min(3, 1+2*since.Seconds()/10)
		}, nil},
		{"domain lost", constantLoad(0.6), func(s *sim) { s.lostFor(0, 0, 8*time.Second) }},
		{"region lost", constantLoad(0.5), func(s *sim) {
			s.lostFor(0, 0, 8*time.Second)
			s.lostFor(1, 0, 8*time.Second)
		}},
		{"domain, then region lost", constantLoad(0.4), func(s *sim) {
			s.lostFor(2, 0, 10*time.Second)
			s.lostFor(0, 3*time.Second, 8*time.Second)
			s.lostFor(1, 3*time.Second, 8*time.Second)
		}},
		{"flapping domain", constantLoad(0.6), func(s *sim) {
			for i := range 4 {
				at := time.Duration(i) * 3 * time.Second
				s.lostFor(3, at, at+1500*time.Millisecond)
			}
		}},
		{"reports idle", nil, func(s *sim) { s.at(s.times.fault, func() { s.falseReports = "idle" }) }},
		{"reports full", nil, func(s *sim) { s.at(s.times.fault, func() { s.falseReports = "full" }) }},
		{"regions cut", constantLoad(0.7), func(s *sim) {
			s.at(s.times.fault, func() { s.setPartitioned(0, 1, true); s.setPartitioned(0, 2, true) })
			s.at(s.times.fault+10*time.Second, func() { s.setPartitioned(0, 1, false); s.setPartitioned(0, 2, false) })
		}},
		{"service drains", constantLoad(0.7), func(s *sim) {
			s.at(s.times.fault, func() {
				for i := range s.pools[0][0].endpoints {
					s.drainEndpoint(0, 0, i)
				}
			})
		}},
		{"cold endpoints", constantLoad(0.7), func(s *sim) {
			s.at(s.times.fault, func() {
				for _, p := range s.pools[2] {
					for _, id := range p.endpoints {
						p.coldRequests[id] = 60
					}
				}
			})
		}},
		{"links full", constantLoad(0.7), func(s *sim) {
			// No other case has uploads of this size.
			s.dep.services = append([]workload(nil), s.dep.services...)
			for i := range s.dep.services {
				if s.dep.services[i].class == keel.ClassBulk || s.dep.services[i].class == keel.ClassPatient {
					s.dep.services[i].bodyBytes = 2_000_000
				}
			}
		}},
		{"stale look-ups", constantLoad(0.6), func(s *sim) {
			// Callers with stale look-ups use only two entry instances of the
			// region.
			s.at(s.times.fault, func() {
				for e := 2; e < 2*entriesPerDomain; e++ {
					s.entryWeight[e] = 0
				}
			})
		}},
		{"entry restarts", nil, func(s *sim) {
			s.at(s.times.fault, func() {
				if p := s.asPolicy(); p != nil {
					before := p.entries[0].Digest()
					p.entries[0] = p.newShares(s.dep, s.clock(), false)
					p.entries[0].Merge(s.clock(), before)
				}
			})
		}},
		{"cap 0, then back", nil, func(s *sim) {
			s.at(s.times.warmUp+time.Second, func() { s.setCaps(0) })
			s.at(s.times.fault+4*time.Second, func() { s.setCaps(loadCap.Percent) })
		}},
		{"entry with 1% of traffic", nil, func(s *sim) { s.entryWeight[0] = 0.05 }},
		{"load 1.3", constantLoad(1.3), nil},
	}
}

func (s *sim) setCaps(percent float64) {
	p := s.asPolicy()
	if p == nil {
		return
	}
	for _, sh := range p.entries {
		for _, w := range s.dep.services {
			sh.SetCap(s.clock(), keel.SelectorName(w.name), keel.ShiftCap{Percent: percent, Window: p.cap.Window})
		}
	}
}

// TestInvariants runs every fault against both deployments. The simulation
// checks during the run that shifts stay within the cap, endpoints within their
// slots and links within their limit, that draining endpoints get no new work
// after two seconds, and that each request ends exactly once.
func TestInvariants(t *testing.T) {
	for i, f := range loadFaults() {
		for j, dep := range deployments() {
			t.Run(fmt.Sprint(f.name, "/", dep.name), func(t *testing.T) {
				t.Parallel()
				s := newSim(dep, newPolicy(dep, ownPools, loadCap), uint64(100+2*i+j), t.Errorf)
				s.runFault(f, quick)
				checkOutcome(t, s)
			})
		}
	}
}

func checkOutcome(t *testing.T, s *sim) {
	t.Helper()
	f := &s.figures
	if f.drain > f.longest+2*time.Second {
		t.Errorf("drain took %s, the longest request %s", f.drain, f.longest)
	}
	for svc, w := range s.dep.services {
		if w.class == keel.ClassPatient && f.fraction(svc, endAnswered) == 0 {
			t.Errorf("no patient request of %s was answered", w.name)
		}
	}
}
