package keelplace

import (
	"slices"
	"time"
)

// Report is what an answer says of its endpoint.
type Report struct {
	// Known says that the answer told the load.
	Known                   bool
	Running, Waiting, Slots int
}

// Full reports whether the endpoint had no room, as far as its answer tells.
func (r Report) Full() bool { return !r.Known || r.Running >= r.Slots }

// OutcomeKind says how a request ended at an endpoint.
type OutcomeKind uint8

// Kinds of outcomes.
const (
	// Answered means that the endpoint answered.
	Answered OutcomeKind = iota
	// Shed means that the endpoint said that it did not run the request.
	Shed
	// Elsewhere means that the endpoint is not the one that was meant.
	Elsewhere
	// Unreachable means that no connection could be opened.
	Unreachable
	// Broken means that the connection broke, or the answer could not be used.
	Broken
	// Late means that no answer came in time.
	Late
	// GivenUp means that the caller left.
	GivenUp
)

var outcomeTexts = [...]string{"answered", "shed", "elsewhere", "unreachable", "broken", "late", "given_up"}

// String returns the kind as it stands in logs.
func (k OutcomeKind) String() string { return outcomeTexts[k] }

// Outcome is how a request ended at an endpoint.
type Outcome struct {
	Kind OutcomeKind
	// Failed says that the endpoint answered with a failure of its own.
	Failed bool
	Took   time.Duration
	Report Report
}

// Started notes that a request was sent to the endpoint of a choice.
func (p *Pool) Started(now time.Time, c *Choice) {
	e := p.endpoints[c.Endpoint.ID]
	if e == nil {
		return
	}
	e.inFlight++
	p.inFlight++
	e.started = append(e.started, now)
	if now.Before(e.coldUntil) {
		e.pace.take(now, p.spec.ColdRate/coldSenders)
	}
}

const (
	// ejectAfter is how many failures in a row put an endpoint out of use, and
	// ejectFor and ejectMost for how long at first and at most.
	ejectAfter = 3
	// silentAfter is the same for requests that were late while nothing else was
	// answered either. One may be an answer that was lost.
	silentAfter = 2
	ejectFor    = 300 * time.Millisecond
	ejectMost   = 3 * time.Second
	// elsewhereFor is how long an endpoint is out of use whose address another
	// one has. It will not come back there.
	elsewhereFor = 5 * time.Second
	// maxWaitPart is which part of its time a request may have waited, by the
	// guess at its choice, for its work to be measured: a guess is off by half.
	maxWaitPart = 4
	// deadAfter is the time without any answer after which an endpoint counts
	// as dead and not as overloaded. It is above the usual time limits.
	deadAfter = 1500 * time.Millisecond
)

// Ended notes how a request ended that began at started.
func (p *Pool) Ended(now, started time.Time, route string, c *Choice, o Outcome) {
	p.inFlight = max(p.inFlight-1, 0)
	e := p.endpoints[c.Endpoint.ID]
	switch {
	case o.Kind == Answered:
		p.finished()
	case o.Kind == Late && e != nil && now.Sub(e.answeredAt) < deadAfter:
		p.unfinished(now)
	}
	if e == nil || e.Born != c.Endpoint.Born {
		return
	}
	e.inFlight = max(e.inFlight-1, 0)
	if i := slices.Index(e.started, started); i >= 0 {
		e.started = slices.Delete(e.started, i, i+1)
	}
	if o.Report.Known {
		e.report(now, o.Report)
	}
	switch o.Kind {
	case Answered, Shed:
		e.answeredAt, e.failures, e.doubted = now, 0, false
	case Elsewhere:
		e.ejectedUntil = now.Add(elsewhereFor)
		return
	case Unreachable, Broken, Late:
		silent := o.Kind == Late && e.answeredAt.Before(started)
		p.fail(now, e, o.Kind, silent)
	case GivenUp:
		return
	}
	bad := 0.0
	if o.Failed || o.Kind != Answered && !(o.Kind == Shed && o.Report.Known && o.Report.Full()) {
		bad = 1
	}
	before := e.failed(now)
	e.failing = before + (bad-before)*averageWeight
	e.failingAt = now
	w := p.workOf(route)
	warm, cold, _ := w.times()
	usual := cold
	if c.Warm {
		usual = warm
	}
	ratio := float64(o.Took) / float64(max(usual+c.Wait, time.Millisecond))
	if o.Kind == Late {
		e.took(now, ratio)
		e.missed.add(now, c.key)
	}
	if o.Kind != Answered || o.Failed {
		return
	}
	e.warm.add(now, c.key)
	e.missed.remove(c.key)
	e.took(now, ratio)
	if c.Wait > o.Took/maxWaitPart {
		return // how long it waited is a guess, and so is how long it ran
	}
	run := float64(o.Took - c.Wait)
	w.all.add(run)
	if c.Warm {
		w.warm.add(run)
	} else {
		w.cold.add(run)
	}
}

// fail notes a failure of the connection to an endpoint, which was silent if it
// answered nothing in the time of a request that was late.
func (p *Pool) fail(now time.Time, e *endpoint, kind OutcomeKind, silent bool) {
	e.failures++
	if e.failures < ejectAfter && kind != Unreachable && !(silent && e.failures >= silentAfter) {
		return
	}
	e.doubted = kind != Broken
	e.ejectedUntil = now.Add(min(ejectFor<<min(e.failures-1, 4), ejectMost))
	if kind == Unreachable {
		// What comes back there may have started anew.
		e.coldUntil = e.ejectedUntil.Add(p.spec.ColdTime)
	}
}

// Earn notes a new request for the service, of which a part may be sent again.
func (p *Pool) Earn(now time.Time, of Budget, route string) {
	p.budget.earn(now, of, p.room.senders)
	p.want(now, time.Duration(p.workOf(route).warm.or(float64(unknownWork))))
}

// Spend reports whether a request may be sent to one more endpoint.
func (p *Pool) Spend(now time.Time, of Budget) bool { return p.budget.spend(now, of, p.room.senders) }
