package keeladmit

import (
	"maps"
	"math"
	"slices"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// EndpointState is the state of an endpoint that the queue's instance owns, as
// set with [Queue.SetEndpoint].
type EndpointState struct {
	ID     keel.EndpointID
	Labels keel.Labels
	// Slots is how many requests this instance may have in flight there at once.
	Slots int
	// Ramp is the fraction of the slots that may be used during slow start.
	// Values up to 0 or above 1 mean all slots.
	Ramp     float64
	Reported keel.LoadReport
	// ReportedAt is when the report was made.
	ReportedAt time.Time
	// EjectedUntil is the time before which the endpoint gets no new work.
	EjectedUntil time.Time
}

// endpoint is the queue's state of one endpoint.
type endpoint struct {
	view         keel.EndpointView
	labels       keel.Labels
	reportedAt   time.Time
	ejectedUntil time.Time
	// draining endpoints get no new work.
	draining bool
	// removed endpoints get no new work, and are deleted once no request is in
	// flight there.
	removed bool
	// limiter limits the rate of requests, perSecond is that rate; 0 without a limit.
	limiter   RateLimiter
	perSecond float64
}

func (e *endpoint) acceptsWork(now time.Time) bool {
	return !e.draining && !e.removed && !now.Before(e.ejectedUntil)
}

// hasFree reports whether the endpoint can start a request now.
func (e *endpoint) hasFree(now time.Time) bool {
	return e.acceptsWork(now) && e.view.Free() > 0 && e.limiter.Wait(now) == 0
}

// start records the start of a request.
func (e *endpoint) start(now time.Time) {
	e.view.InFlight++
	e.limiter.Take(now)
}

// SetEndpoint adds an endpoint or updates its state. It cancels a previous
// [Queue.Drain] or [Queue.Remove] of the endpoint.
func (q *Queue) SetEndpoint(_ time.Time, s EndpointState) {
	e := q.find(s.ID)
	if e == nil {
		e = &endpoint{view: keel.EndpointView{ID: s.ID}}
		q.endpoints = append(q.endpoints, e)
		q.byID[s.ID] = e
	}
	relabelled := e.labels == nil || !maps.Equal(e.labels, s.Labels)
	e.labels = s.Labels.Over(keel.Labels{}) // a copy, never nil
	e.view.Slots = s.Slots
	e.view.Ramp = s.Ramp
	if s.Ramp <= 0 || s.Ramp > 1 {
		e.view.Ramp = 1
	}
	e.view.Reported = s.Reported
	e.reportedAt = s.ReportedAt
	e.ejectedUntil = s.EjectedUntil
	e.draining = false
	e.removed = false
	if relabelled {
		q.rematch()
	}
}

// Drain stops new work to the endpoint. Requests in flight there continue.
func (q *Queue) Drain(id keel.EndpointID) {
	if e := q.find(id); e != nil {
		e.draining = true
	}
}

// Eject stops new work to the endpoint until a time. A later [Queue.SetEndpoint]
// replaces it.
func (q *Queue) Eject(id keel.EndpointID, until time.Time) {
	if e := q.find(id); e != nil {
		e.ejectedUntil = until
	}
}

// Limit limits the rate of requests to the endpoint, in requests per second. This instance is
// the only one that sends to it, and has the whole rate.
func (q *Queue) Limit(now time.Time, id keel.EndpointID, perSecond float64) {
	if e := q.find(id); e != nil {
		e.perSecond = min(max(perSecond, MinRate), maxRate)
		e.limiter.Limit(now, e.perSecond, LimitBurst(perSecond), 0)
	}
}

// Unlimit removes the limit of the endpoint, if there is one.
func (q *Queue) Unlimit(id keel.EndpointID) {
	if e := q.find(id); e != nil {
		e.perSecond = 0
		e.limiter.Lift()
	}
}

// Remove stops new work to the endpoint, and deletes it once no request is in
// flight there.
func (q *Queue) Remove(id keel.EndpointID) {
	e := q.find(id)
	if e == nil {
		return
	}
	e.removed = true
	if e.view.InFlight == 0 {
		delete(q.byID, id)
		q.endpoints = slices.DeleteFunc(q.endpoints, func(x *endpoint) bool { return x == e })
		q.rematch()
	}
}

// InFlight returns how many requests of this instance are in flight at the
// endpoint.
func (q *Queue) InFlight(id keel.EndpointID) int {
	if e := q.find(id); e != nil {
		return e.view.InFlight
	}
	return 0
}

// Usable returns how many requests this instance may have in flight at the
// endpoint at once. It is 0 while the endpoint gets no new work.
func (q *Queue) Usable(now time.Time, id keel.EndpointID) int {
	if e := q.find(id); e != nil && e.acceptsWork(now) {
		return e.view.Usable()
	}
	return 0
}

// Slots returns the number of slots of all endpoints that accept work, and how
// many of them are free. An endpoint with a limited rate counts with the slots that
// this rate fills.
func (q *Queue) Slots(now time.Time) (slots, free int) {
	for _, e := range q.endpoints {
		if !e.acceptsWork(now) {
			continue
		}
		usable := q.usable(e)
		slots += usable
		if e.hasFree(now) {
			free += max(0, usable-e.view.InFlight)
		}
	}
	return slots, free
}

func (q *Queue) usable(e *endpoint) int {
	n := e.view.Usable()
	if e.perSecond > 0 {
		n = min(n, max(1, int(math.Round(e.perSecond*q.serviceTime))))
	}
	return n
}

func (q *Queue) find(id keel.EndpointID) *endpoint {
	return q.byID[id]
}

// group holds the waiting requests of one selector and the endpoints that match
// it.
type group struct {
	labels  keel.Labels
	matches []*endpoint
	fifo    []fifo
	// candidates and candidateIndex are buffers that pick reuses: the endpoints
	// that can take the request, and their indexes in matches.
	candidates     []keel.EndpointView
	candidateIndex []int
}

func (q *Queue) group(it Item) *group {
	g, ok := q.groups[it.Selector]
	if !ok {
		g = &group{fifo: make([]fifo, len(q.classes))}
		q.groups[it.Selector] = g
		q.order = append(q.order, g)
	}
	if !ok || !maps.Equal(g.labels, it.Labels) {
		g.labels = it.Labels
		g.match(q.endpoints)
	}
	return g
}

func (q *Queue) rematch() {
	for _, g := range q.order {
		g.match(q.endpoints)
	}
}

func (g *group) match(endpoints []*endpoint) {
	g.matches = g.matches[:0]
	for _, e := range endpoints {
		if e.labels.Matches(g.labels) {
			g.matches = append(g.matches, e)
		}
	}
}

// slots returns the number of slots of the matching endpoints that accept work.
func (g *group) slots(now time.Time) int {
	n := 0
	for _, e := range g.matches {
		if e.acceptsWork(now) {
			n += e.view.Usable()
		}
	}
	return n
}

// limitedRate returns the rate of requests that the matching endpoints accept together; 0
// if one of them does not limit it.
func (g *group) limitedRate(now time.Time) float64 {
	var sum float64
	for _, e := range g.matches {
		if !e.acceptsWork(now) {
			continue
		}
		if e.perSecond == 0 {
			return 0
		}
		sum += e.perSecond
	}
	return sum
}

func (g *group) hasFree(now time.Time, avoid keel.EndpointName) bool {
	for _, e := range g.matches {
		if e.hasFree(now) && e.view.ID.Name != avoid {
			return true
		}
	}
	return false
}

// pick returns the endpoint that the configured picker chooses among those with
// a free slot, or nil.
func (g *group) pick(now time.Time, avoid keel.EndpointName, cfg QueueConfig) *endpoint {
	g.candidates, g.candidateIndex = g.candidates[:0], g.candidateIndex[:0]
	for i, e := range g.matches {
		if !e.hasFree(now) || e.view.ID.Name == avoid {
			continue
		}
		e.view.ReportAge = now.Sub(e.reportedAt)
		g.candidates = append(g.candidates, e.view)
		g.candidateIndex = append(g.candidateIndex, i)
	}
	if len(g.candidates) == 0 {
		return nil
	}
	i := cfg.Picker.Pick(g.candidates, cfg.Random)
	if i < 0 {
		return nil
	}
	return g.matches[g.candidateIndex[i]]
}
