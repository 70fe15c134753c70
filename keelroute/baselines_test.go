package keelroute_test

import (
	"math"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelroute"
)

// fixedRule is a baseline that chooses the domain by one rule, without shares,
// credits or link budgets.
type fixedRule struct {
	endpointPicker keel.Picker
	chooseDomain   func(s *sim, r *request) int
}

func (b fixedRule) route(s *sim, r *request) int { return b.chooseDomain(s, r) }
func (b fixedRule) ended(*sim, *request)         {}
func (b fixedRule) tick(*sim)                    {}
func (b fixedRule) picker() keel.Picker          { return b.endpointPicker }
func (b fixedRule) ownership() ownership         { return ownPools }
func (b fixedRule) budgets() bool                { return false }

// alive reports whether the domain's last report is recent and its region is
// reachable from the entry of r.
func alive(s *sim, r *request, d int) bool {
	k := &s.pools[d][r.svc].report
	return s.now-k.at <= silentAfter && k.slots > 0 && !s.partitioned[regionOf(d)][regionOf(r.entry/entriesPerDomain)]
}

// cheapest returns the live domain with the least cost, or -1.
func cheapest(s *sim, r *request, cost func(d int) float64) int {
	best, least := -1, math.Inf(1)
	for d := range domains {
		if c := cost(d); alive(s, r, d) && c < least {
			best, least = d, c
		}
	}
	return best
}

func nearestFirst() steering {
	return fixedRule{endpointPicker: keelroute.FirstFree{}, chooseDomain: func(s *sim, r *request) int {
		home := r.entry / entriesPerDomain
		return cheapest(s, r, func(d int) float64 {
			if d == home {
				return 0
			}
			return float64(1 + (regionOf(d)-regionOf(home)+regions)%regions)
		})
	}}
}

func staticWeights() steering {
	return fixedRule{endpointPicker: keelroute.StaticWeights{}, chooseDomain: func(s *sim, r *request) int {
		return cheapest(s, r, func(d int) float64 {
			return s.rnd.ExpFloat64() / float64(s.pools[d][r.svc].slots)
		})
	}}
}

// leastReported chooses the domain with the least load that its endpoints
// reported; the reports are up to two seconds old.
func leastReported() steering {
	var reportedLoad [domains][8]float64
	next := time.Duration(0)
	return fixedRule{endpointPicker: keelroute.LeastReported{}, chooseDomain: func(s *sim, r *request) int {
		if s.now >= next {
			next = s.now + 2*time.Second
			for d := range domains {
				for svc, p := range s.pools[d] {
					reportedLoad[d][svc] = float64(p.report.reportedInFlight) / float64(p.slots)
				}
			}
		}
		return cheapest(s, r, func(d int) float64 { return reportedLoad[d][r.svc] + 1e-6*s.rnd.Float64() })
	}}
}

// oracle chooses by the actual present state of all domains, which no real
// steering can observe.
func oracle() steering {
	return fixedRule{endpointPicker: keelroute.PowerOfTwo{}, chooseDomain: func(s *sim, r *request) int {
		return cheapest(s, r, func(d int) float64 {
			if s.lost[d] {
				return math.Inf(1)
			}
			p := s.pools[d][r.svc]
			n, slots := 0.0, float64(p.slots)
			for _, k := range p.bySource {
				n += float64(k)
			}
			r.dest = d
			wait := max(0, n-slots+1) / slots * s.dep.services[r.svc].time.Seconds()
			return s.trip(r).Seconds() + wait + 1e-4*n/slots
		})
	}}
}
