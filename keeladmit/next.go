package keeladmit

import (
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// Next starts a waiting request if an endpoint that it may use has a free slot.
// Call it until it returns false.
func (q *Queue) Next(now time.Time) (Start, bool) {
	if q.waiting == 0 {
		return Start{}, false
	}
	if q.agedTurn() {
		if s, ok := q.startFrom(now, len(q.classes)-1, -1); ok {
			return s, true
		}
	}
	return q.startFrom(now, 0, 1)
}

// agedTurn reports whether the next start goes to the least urgent class that
// waits.
func (q *Queue) agedTurn() bool { return (q.starts+1)%q.cfg.AgedEvery == 0 }

// startFrom starts the first request that can, going through the ranks from
// first on in the direction of step.
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

// startRank starts the oldest request of the rank that has a free endpoint.
func (q *Queue) startRank(now time.Time, rank int) (Start, bool) {
	var best *group
	for _, g := range q.order {
		f := &g.fifo[rank]
		f.skipGone()
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
	q.count(now, rank, -1)
	e.view.InFlight++
	return Start{ID: it.ID, Endpoint: e.view.ID}, true
}

// Outcome says how a started request ended, as far as the endpoint is
// concerned.
type Outcome uint8

// Outcomes of a started request.
const (
	// OutcomeOK means that the endpoint answered in full.
	OutcomeOK Outcome = iota
	// OutcomeFailed means that the endpoint broke off or answered wrongly.
	OutcomeFailed
	// OutcomeCancelled means that the request was given up; its time says
	// nothing about the endpoint.
	OutcomeCancelled
)

// smoothing is the weight of one answer in a smoothed time.
const smoothing = 0.1

// Done gives back the slot of a started request that has ended after latency.
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
	q.service += smoothing * (latency.Seconds() - q.service)
	if e.view.Latency == 0 {
		e.view.Latency = latency
	}
	e.view.Latency += time.Duration(smoothing * float64(latency-e.view.Latency))
}

// Cancel takes back a request that waits. It returns false if no such request
// waits.
func (q *Queue) Cancel(now time.Time, id uint64) bool {
	for _, g := range q.order {
		for rank := range g.fifo {
			if g.fifo[rank].remove(id) {
				q.count(now, rank, -1)
				return true
			}
		}
	}
	return false
}

// Expire refuses the waiting requests that can no longer start in time, or
// whose class has a standing queue and that waited for too long. Call it at
// least every 10 ms while requests wait.
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
		if en.gone {
			continue
		}
		waited := now.Sub(en.arrived)
		late := !en.item.Deadline.After(now)
		if !late && !(q.sheds(rank) && q.standing(now, rank) && waited > q.cfg.ShedTarget) {
			continue
		}
		en.gone = true
		reason := keel.ReasonOverload
		if late {
			reason = keel.ReasonQueueTimeout
		}
		list = append(list, Refused{ID: en.item.ID, Refusal: keel.Refuse(keel.NotRun, reason,
			q.cfg.ShedTarget, "waited %s for service %q", waited, q.cfg.Service)})
		q.count(now, rank, -1)
	}
	f.skipGone()
	return list
}
