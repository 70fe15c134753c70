package keeladmit

import (
	"maps"
	"slices"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// EndpointState is what a queue is told of an endpoint that its instance owns.
type EndpointState struct {
	ID     keel.EndpointID
	Labels keel.Labels
	// Slots is how many requests this instance may run there at once.
	Slots int
	// Ramp is the part of the slots that a starting endpoint takes; 0 or more
	// than 1 means all.
	Ramp     float64
	Reported keel.LoadReport
	// ReportedAt is when the report was made.
	ReportedAt time.Time
	// EjectedUntil keeps new work away until then.
	EjectedUntil time.Time
}

// endpoint is an endpoint of a queue.
type endpoint struct {
	view    keel.EndpointView
	labels  keel.Labels
	report  time.Time
	ejected time.Time
	// draining endpoints take no new work.
	draining bool
	// removed endpoints are forgotten once nothing runs there.
	removed bool
}

func (e *endpoint) takes(now time.Time) bool {
	return !e.draining && !e.removed && !now.Before(e.ejected)
}

// SetEndpoint adds an endpoint or changes what is known of it. A drain that was
// set before ends.
func (q *Queue) SetEndpoint(_ time.Time, s EndpointState) {
	e := q.find(s.ID)
	if e == nil {
		e = &endpoint{view: keel.EndpointView{ID: s.ID}}
		q.endpoints = append(q.endpoints, e)
		q.byID[s.ID] = e
	}
	relabelled := e.labels == nil || !maps.Equal(e.labels, s.Labels)
	e.labels = s.Labels.Over(keel.Labels{})
	e.view.Slots = s.Slots
	e.view.Ramp = s.Ramp
	if s.Ramp <= 0 || s.Ramp > 1 {
		e.view.Ramp = 1
	}
	e.view.Reported = s.Reported
	e.report = s.ReportedAt
	e.ejected = s.EjectedUntil
	e.draining = false
	e.removed = false
	if relabelled {
		q.rematch()
	}
}

// Drain stops new work to the endpoint. What runs there runs to its end.
func (q *Queue) Drain(id keel.EndpointID) {
	if e := q.find(id); e != nil {
		e.draining = true
	}
}

// Remove stops new work to the endpoint and forgets it once nothing runs there.
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

// InFlight returns how many requests this instance runs at the endpoint.
func (q *Queue) InFlight(id keel.EndpointID) int {
	if e := q.find(id); e != nil {
		return e.view.InFlight
	}
	return 0
}

// Usable returns how many requests this instance may run at the endpoint at
// once. It is 0 while the endpoint takes no new work.
func (q *Queue) Usable(now time.Time, id keel.EndpointID) int {
	if e := q.find(id); e != nil && e.takes(now) {
		return e.view.Usable()
	}
	return 0
}

// Slots returns how many slots of endpoints that take work there are, and how
// many of them are free.
func (q *Queue) Slots(now time.Time) (slots, free int) {
	for _, e := range q.endpoints {
		if e.takes(now) {
			slots += e.view.Usable()
			free += max(0, e.view.Free())
		}
	}
	return slots, free
}

func (q *Queue) find(id keel.EndpointID) *endpoint {
	return q.byID[id]
}

// group is the requests of one selector with the endpoints that they may use.
type group struct {
	labels  keel.Labels
	matches []*endpoint
	fifo    []fifo
	// views and at are space for one choice: the endpoints that take work, and
	// their places in matches.
	views []keel.EndpointView
	at    []int
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

// slots returns the slots of endpoints that the group may use.
func (g *group) slots(now time.Time) int {
	n := 0
	for _, e := range g.matches {
		if e.takes(now) {
			n += e.view.Usable()
		}
	}
	return n
}

func (g *group) hasFree(now time.Time, avoid keel.EndpointName) bool {
	for _, e := range g.matches {
		if e.takes(now) && e.view.ID.Name != avoid && e.view.Free() > 0 {
			return true
		}
	}
	return false
}

// pick returns the endpoint that the picker chooses, or nil.
func (g *group) pick(now time.Time, avoid keel.EndpointName, cfg QueueConfig) *endpoint {
	g.views, g.at = g.views[:0], g.at[:0]
	for i, e := range g.matches {
		if !e.takes(now) || e.view.ID.Name == avoid || e.view.Free() <= 0 {
			continue
		}
		e.view.ReportAge = now.Sub(e.report)
		g.views = append(g.views, e.view)
		g.at = append(g.at, i)
	}
	if len(g.views) == 0 {
		return nil
	}
	i := cfg.Picker.Pick(g.views, cfg.Random)
	if i < 0 {
		return nil
	}
	return g.matches[g.at[i]]
}
