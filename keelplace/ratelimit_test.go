package keelplace_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/greengagekeel/greengagekeel/keelplace"
	"github.com/greengagekeel/greengagekeel/keelworld"
	"github.com/matryer/is"
)

const limitWindow = 4 * time.Second

// limitBound is the number of requests that an endpoint may get within the window at most.
func limitBound(limit float64) float64 { return 1.5*limit*limitWindow.Seconds() + 5 }

// limitedSystem is a number of instances that have more requests for one endpoint than it accepts
// from all of them.
type limitedSystem struct {
	now   time.Time
	limit float64
	// named is whether the endpoint names its limit.
	named bool
	pools []*keelplace.Pool
	sent  []time.Time
}

func newLimitedSystem(limit float64) *limitedSystem {
	s := &limitedSystem{now: time.Unix(1000, 0), limit: limit, named: true, pools: boundsPools(time.Unix(1000, 0))}
	s.update(0, len(s.pools), 0, len(s.pools), nil)
	return s
}

// update gives the instances from first to end a view of the instances from..to, and the limit if
// there is one.
func (s *limitedSystem) update(first, end, from, to int, limit *keelworld.RateLimit) {
	v := boundsView(from, to-from)
	v.Endpoints["s"][0].Cold = 0
	v.Endpoints["s"][0].Sequence = 2
	if limit != nil {
		v.RateLimits = keelworld.RateLimits{"e": *limit}
	}
	for _, p := range s.pools[first:end] {
		p.Update(s.now, v, nil)
	}
}

// run lets all instances send as often as they may. An endpoint answers after 20 ms.
func (s *limitedSystem) run(length time.Duration) {
	r := &keelplace.Request{Route: "x", Spec: &keelworld.Route{}, TimeLeft: time.Second, TargetLeft: time.Second}
	type answer struct {
		p    *keelplace.Pool
		c    *keelplace.Choice
		sent time.Time
	}
	var running []answer
	for end := s.now.Add(length); s.now.Before(end) || len(running) > 0; s.now = s.now.Add(10 * time.Millisecond) {
		for len(running) > 0 && s.now.Sub(running[0].sent) >= 20*time.Millisecond {
			a := running[0]
			running = running[1:]
			n := keelplace.Notice{}
			if s.named {
				n = keelplace.Notice{Limited: true, RateLimit: s.limit}
			}
			a.p.Heed(s.now, a.c, n)
			a.p.Ended(s.now, a.sent, "x", a.c, keelplace.Outcome{Kind: keelplace.Answered, Took: s.now.Sub(a.sent)})
		}
		if !s.now.Before(end) {
			continue
		}
		for _, p := range s.pools {
			if c, refused := p.Choose(s.now, r); refused == nil {
				p.Started(s.now, c)
				s.sent = append(s.sent, s.now)
				running = append(running, answer{p, c, s.now})
			}
		}
	}
}

// since returns the requests that were sent from a time on.
func (s *limitedSystem) since(at time.Time) []time.Time {
	for i := range s.sent {
		if !s.sent[i].Before(at) {
			return s.sent[i:]
		}
	}
	return nil
}

// The limit of an endpoint holds for all instances together, although each keeps to its part on its
// own, whatever the limit, and although a partition changes the number of instances that each counts.
// The part that is not cut off uses most of it.
func TestRateLimitOfAllInstances(t *testing.T) {
	for _, limit := range []float64{0, 0.1, 0.7, 1.4, 4.2, 8.4, 60} {
		for _, tt := range partitions {
			t.Run(fmt.Sprint(tt.name, " ", limit), func(t *testing.T) {
				is := is.New(t)
				s := newLimitedSystem(limit)
				s.run(3 * time.Second)
				start := s.now
				s.run(10 * time.Second)
				is.True(float64(maxInWindow(s.since(start), limitWindow+1)) <= limitBound(limit))
				is.True(float64(len(s.since(start))) >= 0.8*limit*10)
				first := 0
				for _, sd := range tt.sides {
					from := first
					if sd.known == len(s.pools) {
						from = 0
					}
					s.update(first, first+sd.instances, from, from+sd.known, nil)
					first += sd.instances
				}
				cut := s.now
				s.run(10 * time.Second)
				// Instances that are cut off are excused: they may add their parts of before.
				is.True(float64(maxInWindow(s.since(cut), limitWindow+1)) <= limitBound(limit)+limit*limitWindow.Seconds()+5)
				is.True(float64(len(s.since(cut))) >= 0.8*limit*10)
				s.update(0, len(s.pools), 0, len(s.pools), nil)
				s.run(time.Second)
				healed := s.now
				s.run(10 * time.Second)
				is.True(float64(maxInWindow(s.since(healed), limitWindow+1)) <= limitBound(limit))
			})
		}
	}
}

// Instances start, stop and start again one after the other, and get to know the limit from the
// state. The limit holds all the while: an instance that has just started has no burst.
func TestRateLimitDuringRestarts(t *testing.T) {
	const limit = 2.0
	is := is.New(t)
	s := newLimitedSystem(limit)
	s.run(3 * time.Second)
	start := s.now
	known := &keelworld.RateLimit{Endpoint: "e", Incarnation: 1, PerSecond: limit, Index: 7}
	for i := range s.pools {
		s.pools[i] = boundsPools(s.now)[i]
		s.update(i, i+1, 0, len(s.pools), known)
		s.run(300 * time.Millisecond)
	}
	is.True(float64(maxInWindow(s.since(start), limitWindow+1)) <= limitBound(limit))
}

// Only few instances send to an endpoint with a low limit. The others get no answers, and follow the
// state: when it has a limit, when that changes, and when it is lifted.
func TestRateLimitFromState(t *testing.T) {
	is := is.New(t)
	s := newLimitedSystem(2)
	for i, limit := range []float64{2, 20} {
		s.limit = limit
		s.update(0, len(s.pools), 0, len(s.pools), &keelworld.RateLimit{Endpoint: "e", Incarnation: 1, PerSecond: limit, Index: uint64(i + 5)})
		s.run(time.Second)
		start := s.now
		s.run(10 * time.Second)
		is.True(float64(maxInWindow(s.since(start), limitWindow+1)) <= limitBound(limit))
		is.True(float64(len(s.since(start))) >= 0.8*limit*10)
	}
	s.named = false
	s.update(0, len(s.pools), 0, len(s.pools), nil)
	start := s.now
	s.run(time.Second)
	is.True(len(s.since(start)) > 200)
}

// An answer without a limit lifts it, but not one to a request that was sent before the endpoint named
// it. A limit that can't be read changes nothing.
func TestRateLimitLifted(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p := boundsPools(now)[0]
	r := &keelplace.Request{Route: "x", Spec: &keelworld.Route{}, TimeLeft: time.Second, TargetLeft: time.Second}
	v := boundsView(0, 1)
	v.Endpoints["s"][0].Cold, v.Endpoints["s"][0].Sequence = 0, 2
	p.Update(now, v, nil)
	choose := func() *keelplace.Choice {
		c, refused := p.Choose(now, r)
		if refused != nil {
			return nil
		}
		p.Started(now, c)
		return c
	}
	early, first := choose(), choose()
	now = now.Add(10 * time.Millisecond)
	is.True(p.Heed(now, first, keelplace.Notice{Limited: true, RateLimit: 0.5}))
	is.True(!p.Heed(now, first, keelplace.Notice{Limited: true, RateLimit: 0.5})) // no news
	is.True(!p.Heed(now, early, keelplace.Notice{}))
	is.True(!p.Heed(now, early, keelplace.Notice{Limited: true, RateLimit: -1}))
	rate, unlimited := p.Limit(first)
	is.True(rate == 0.5 && !unlimited)
	for _, c := range []*keelplace.Choice{early, first} {
		p.Ended(now, now.Add(-10*time.Millisecond), "x", c, keelplace.Outcome{Kind: keelplace.Answered, Took: 10 * time.Millisecond})
	}
	now = now.Add(10 * time.Second)
	later := choose()
	is.True(later != nil)
	for choose() != nil {
	}
	is.True(!p.Heed(now, later, keelplace.Notice{Limited: true, RateLimit: -1}))
	is.True(p.Heed(now, later, keelplace.Notice{}))
	_, unlimited = p.Limit(first)
	is.True(unlimited)
	is.True(choose() != nil)
}

// A request that is rejected because its endpoints are at their limits may come again when one
// accepts it.
func TestRateLimitRetryAfter(t *testing.T) {
	is := is.New(t)
	s := newLimitedSystem(0.1)
	s.run(30 * time.Second)
	r := &keelplace.Request{Route: "x", Spec: &keelworld.Route{}, TimeLeft: time.Second, TargetLeft: time.Second}
	longest := time.Duration(0)
	for _, p := range s.pools {
		_, refused := p.Choose(s.now, r)
		is.True(refused != nil)
		is.True(refused.RetryAfter > 0)
		longest = max(longest, refused.RetryAfter)
	}
	is.True(longest > 5*time.Second)
}

// A rate beyond any use does not keep instances from sending.
func TestExtremeRateLimit(t *testing.T) {
	is := is.New(t)
	s := newLimitedSystem(1e300)
	s.run(3 * time.Second)
	start := s.now
	s.run(time.Second)
	is.True(len(s.since(start)) > 200)
}
