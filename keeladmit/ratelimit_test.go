package keeladmit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keeladmit"
)

// Requests wait for a limiter at any time. It allows no more than its rate and its burst, also if
// the limit is set again and again, the rate changes, and the clock steps back, and no fewer.
func TestRateLimiter(t *testing.T) {
	tests := []struct {
		name        string
		rate, burst float64
		// pauses is whether there are times without requests, in which the burst builds up.
		pauses bool
		// change is called before each step.
		change func(l *keeladmit.RateLimiter, now time.Time, step int)
	}{
		{"always", 8, 1, false, nil},
		{"slow", 0.3, 1, false, nil},
		{"with pauses", 8, 5, true, nil},
		{"fractional burst", 2, 2.5, true, nil},
		{"set again", 4, 2, true, func(l *keeladmit.RateLimiter, now time.Time, _ int) { l.Limit(now, 4, 2, 0.5) }},
		{"rate changes", 4, 1, false, func(l *keeladmit.RateLimiter, now time.Time, step int) { l.Limit(now, 4-0.1*float64(step%3), 1, 0) }},
		{"steps back", 4, 2, false, func(l *keeladmit.RateLimiter, now time.Time, _ int) { l.Wait(now.Add(-time.Minute)) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var l keeladmit.RateLimiter
			l.Limit(epoch, tt.rate, tt.burst, 0)
			sent := 0
			var times []time.Time
			for step := range 6000 {
				now := epoch.Add(time.Duration(step) * 10 * time.Millisecond)
				if tt.change != nil {
					tt.change(&l, now, step)
				}
				for !(tt.pauses && step/1000%2 == 1) && l.Wait(now) == 0 {
					l.Take(now)
					sent++
					times = append(times, now)
				}
			}
			for i := range times {
				for k := i; k < len(times); k++ {
					seconds := times[k].Sub(times[i]).Seconds()
					if float64(k-i+1) > tt.burst+tt.rate*seconds+1e-6 {
						t.Fatalf("%d requests in %.2f s", k-i+1, seconds)
					}
				}
			}
			length := 60.0
			if tt.pauses {
				length = 30
			}
			is.True(float64(sent) >= 0.9*tt.rate*length)
		})
	}
}

// A limiter that is new to a limit starts without a burst, after a part of an interval.
func TestRateLimiterPhase(t *testing.T) {
	is := is.New(t)
	for _, phase := range []float64{0, 0.25, 0.5, 0.99} {
		var l keeladmit.RateLimiter
		is.Equal(l.Wait(epoch), time.Duration(0))
		l.Limit(epoch, 2, 5, phase)
		is.Equal(l.Wait(epoch).Round(time.Millisecond), time.Duration(phase*float64(500*time.Millisecond)))
		l.Lift()
		is.Equal(l.Wait(epoch), time.Duration(0))
	}
}

// An owner keeps to the limit of its endpoint. Requests wait for it as far as their deadline allows,
// are refused at once beyond that, and use another endpoint as long as there is one.
func TestQueueKeepsRateLimit(t *testing.T) {
	const limit = 2.0
	is := is.New(t)
	q := newQueue(4)
	q.Limit(epoch, endpointID("p1"), limit)
	now := epoch
	var times []time.Time
	started := func(id keel.EndpointID) {
		is.Equal(id, endpointID("p1"))
		times = append(times, now)
		q.Done(now, id, keeladmit.OutcomeOK, 10*time.Millisecond)
	}
	id, refused := uint64(0), 0
	for step := range 2000 {
		now = epoch.Add(time.Duration(step) * 10 * time.Millisecond)
		id++
		it := item(id, keel.ClassLive, 0)
		it.Deadline = now.Add(time.Second)
		switch d := q.Offer(now, it); d.Action {
		case keeladmit.ActionStart:
			started(d.Endpoint)
		case keeladmit.ActionRefuse:
			is.Equal(d.Refusal.Verdict, keel.NotRun)
			is.True(d.Refusal.RetryAfter > 0)
			refused++
		case keeladmit.ActionWait:
		}
		for s, ok := q.StartNext(now); ok; s, ok = q.StartNext(now) {
			started(s.Endpoint)
		}
		q.Expire(now)
	}
	most := 0
	for i := range times {
		n := 0
		for _, at := range times[i:] {
			if at.Sub(times[i]) <= 4*time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	is.True(float64(most) <= 1.5*limit*4+5)
	is.True(float64(len(times)) >= 0.9*limit*20)
	is.True(refused > 1500)
	slots, _ := q.Slots(now)
	is.Equal(slots, 1) // what the rate fills
	q.SetEndpoint(now, keeladmit.EndpointState{ID: endpointID("p2"), Slots: 4})
	for range 4 {
		id++
		it := item(id, keel.ClassAtMostOnce, time.Minute)
		d := q.Offer(now, it)
		is.Equal(d.Action, keeladmit.ActionStart)
		is.Equal(d.Endpoint, endpointID("p2"))
	}
	q.Unlimit(endpointID("p1"))
	for i := range 4 {
		id++
		d := q.Offer(now, item(id, keel.ClassAtMostOnce, time.Minute))
		is.Equal(fmt.Sprint(i, d.Action), fmt.Sprint(i, keeladmit.ActionStart))
	}
}

// An endpoint names a rate beyond any use, or next to none. Neither overflows.
func TestExtremeRates(t *testing.T) {
	is := is.New(t)
	for _, rate := range []float64{1e7, 1e300, 1e308} {
		var l keeladmit.RateLimiter
		l.Limit(epoch, rate, keeladmit.LimitBurst(rate), 0.5)
		now := epoch.Add(2 * time.Second)
		for range 1000 {
			is.Equal(l.Wait(now), time.Duration(0))
			l.Take(now)
		}
		q := newQueue(4)
		q.Limit(epoch, endpointID("p1"), rate)
		slots, _ := q.Slots(epoch)
		is.Equal(slots, 4)
	}
	var l keeladmit.RateLimiter
	l.Limit(epoch, 1e-300, 1, 0)
	l.Take(epoch)
	is.True(l.Wait(epoch) > time.Minute)
}
