package keeladmit

import (
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// StartNext starts a waiting request for which a matching endpoint has a free
// slot. Call it until it returns false.
func (q *Queue) StartNext(now time.Time) (Start, bool) {
	if q.waiting == 0 {
		return Start{}, false
	}
	if q.isLowPriorityStart() {
		if s, ok := q.startFrom(now, len(q.classes)-1, -1); ok {
			return s, true
		}
	}
	return q.startFrom(now, 0, 1)
}

// isLowPriorityStart reports whether the next start is reserved for the least
// urgent class that waits, so that this class doesn't starve.
func (q *Queue) isLowPriorityStart() bool { return (q.starts+1)%q.cfg.LowPriorityEvery == 0 }

// startFrom tries the ranks in order, from first on in steps of step, and starts
// the first request that can start.
func (q *Queue) startFrom(now time.Time, first, step int) (Start, bool) {
	for r := first; r >= 0 && r < len(q.classes); r += step {
		if q.classes[r].waiting == 0 {
			continue
		}
		if s, ok := q.startRank(now, r); ok {
			return s, true
		}
	}
	return Start{}, false
}

// startRank starts the oldest request of the rank, among the heads of the
// groups, for which an endpoint has a free slot.
func (q *Queue) startRank(now time.Time, rank int) (Start, bool) {
	var best *group
	for _, g := range q.order {
		f := &g.fifo[rank]
		f.skipRemoved()
		if f.len() == 0 || !g.hasFree(now, f.head().item.Avoid) {
			continue
		}
		if best == nil || f.head().arrived.Before(best.fifo[rank].head().arrived) {
			best = g
		}
	}
	if best == nil {
		return Start{}, false
	}
	f := &best.fifo[rank]
	e := best.pick(now, f.head().item.Avoid, q.cfg)
	if e == nil {
		return Start{}, false
	}
	it := f.pop().item
	q.starts++
	q.addWaiting(now, rank, -1)
	e.start(now)
	return Start{ID: it.ID, Endpoint: e.view.ID}, true
}

// Outcome is the result of a started request with respect to its endpoint.
type Outcome uint8

// Outcomes of a started request.
const (
	// OutcomeOK means that the endpoint sent a complete response.
	OutcomeOK Outcome = iota
	// OutcomeFailed means that the endpoint aborted its response, sent an invalid
	// one, or none for much longer than it normally takes.
	OutcomeFailed
	// OutcomeCancelled means that the request was cancelled. Its duration is not
	// a latency of the endpoint.
	OutcomeCancelled
	// OutcomeShed means that the endpoint answered that it takes no requests now. The
	// time until then is not a service time.
	OutcomeShed
)

// smoothingWeight is the weight of one response in the moving averages of the
// service time and of latencies.
const smoothingWeight = 0.1

// Done releases the slot of a started request that has ended after latency.
// Only latencies of successful requests are averaged.
func (q *Queue) Done(_ time.Time, id keel.EndpointID, o Outcome, latency time.Duration) {
	e := q.find(id)
	if e == nil {
		return
	}
	e.view.InFlight = max(0, e.view.InFlight-1)
	if e.removed && e.view.InFlight == 0 {
		q.Remove(id)
	}
	if o != OutcomeOK {
		return
	}
	q.serviceTime += smoothingWeight * (latency.Seconds() - q.serviceTime)
	if e.view.Latency == 0 {
		e.view.Latency = latency
	}
	e.view.Latency += time.Duration(smoothingWeight * float64(latency-e.view.Latency))
}

// Cancel removes a waiting request. It returns false if no request with the ID
// waits.
func (q *Queue) Cancel(now time.Time, id uint64) bool {
	for _, g := range q.order {
		for rank := range g.fifo {
			if g.fifo[rank].remove(id) {
				q.addWaiting(now, rank, -1)
				return true
			}
		}
	}
	return false
}

// Expire removes and returns the waiting requests whose deadline has passed, and
// those that waited for longer than QueueConfig.ShedTarget in a class that is
// shed by delay and has a standing queue. Call it at least every 10 ms while
// requests wait.
func (q *Queue) Expire(now time.Time) []Refused {
	if q.waiting == 0 {
		return nil
	}
	var list []Refused
	for _, g := range q.order {
		for rank := range g.fifo {
			list = q.expireFrom(now, &g.fifo[rank], rank, list)
		}
	}
	return list
}

func (q *Queue) expireFrom(now time.Time, f *fifo, rank int, list []Refused) []Refused {
	for i := f.first; i < len(f.entries); i++ {
		en := &f.entries[i]
		if en.removed {
			continue
		}
		waited := now.Sub(en.arrived)
		late := !en.item.Deadline.After(now)
		if !late && !(q.shedsByDelay(rank) && q.hasStandingQueue(now, rank) && waited > q.cfg.ShedTarget) {
			continue
		}
		en.removed = true
		reason := keel.ReasonOverload
		if late {
			reason = keel.ReasonQueueTimeout
		}
		list = append(list, Refused{ID: en.item.ID, Refusal: keel.Refuse(keel.NotRun, reason,
			q.cfg.ShedTarget, "waited %s for a slot of service %q", waited, q.cfg.Service)})
		q.addWaiting(now, rank, -1)
	}
	f.skipRemoved()
	return list
}
