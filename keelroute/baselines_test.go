package keelroute_test

import (
	"math"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelroute"
)

// baseline steers by one rule over all domains that answer.
type baseline struct {
	pick   keel.Picker
	choose func(s *sim, r *request) int
}

func (b baseline) route(s *sim, r *request) int { return b.choose(s, r) }
func (b baseline) ended(*sim, *request)         {}
func (b baseline) tick(*sim)                    {}
func (b baseline) picker() keel.Picker          { return b.pick }
func (b baseline) ownership() ownership         { return ownPools }
func (b baseline) budgets() bool                { return false }

// alive reports whether the domain's last report is fresh and can arrive.
func alive(s *sim, r *request, d int) bool {
	k := &s.pools[d][r.svc].report
	return s.now-k.at <= silentAfter && k.slots > 0 && !s.cut[regionOf(d)][regionOf(r.entry/entriesPerDomain)]
}

// cheapest returns the live domain with the least cost.
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
	return baseline{pick: keelroute.First{}, choose: func(s *sim, r *request) int {
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
	return baseline{pick: keelroute.StaticWeights{}, choose: func(s *sim, r *request) int {
		return cheapest(s, r, func(d int) float64 {
			return s.rnd.ExpFloat64() / float64(s.pools[d][r.svc].slots)
		})
	}}
}

// leastReported chooses by what endpoints said up to two seconds ago.
func leastReported() steering {
	var told [domains][8]float64
	next := time.Duration(0)
	return baseline{pick: keelroute.LeastReported{}, choose: func(s *sim, r *request) int {
		if s.now >= next {
			next = s.now + 2*time.Second
			for d := range domains {
				for svc, p := range s.pools[d] {
					told[d][svc] = float64(p.report.told) / float64(p.slots)
				}
			}
		}
		return cheapest(s, r, func(d int) float64 { return told[d][r.svc] + 1e-6*s.rnd.Float64() })
	}}
}

// allKnowing chooses by the true state of all domains at this moment.
func allKnowing() steering {
	return baseline{pick: keelroute.PowerOfTwo{}, choose: func(s *sim, r *request) int {
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
