package keelplace

import (
	"slices"
	"time"
)

// Report is the load that an endpoint reports with an answer.
type Report struct {
	// Known is whether the answer contained a report.
	Known                   bool
	Running, Waiting, Slots int
}

// Full reports whether the endpoint had no free slot or reported no load.
func (r Report) Full() bool { return !r.Known || r.Running >= r.Slots }

// OutcomeKind says how a request ended at an endpoint.
type OutcomeKind uint8

// Kinds of outcomes.
const (
	// Answered means that the endpoint answered.
	Answered OutcomeKind = iota
	// Shed means that the endpoint answered that it did not run the request.
	Shed
	// Elsewhere means that another endpoint now has the address.
	Elsewhere
	// Unreachable means that no connection could be opened.
	Unreachable
	// Broken means that the connection broke, or the answer could not be used.
	Broken
	// Late means that no answer came before the deadline.
	Late
	// GivenUp means that the caller cancelled the request.
	GivenUp
)

var outcomeTexts = [...]string{"answered", "shed", "elsewhere", "unreachable", "broken", "late", "given_up"}

// String returns the name of the kind in logs.
func (k OutcomeKind) String() string { return outcomeTexts[k] }

// Outcome describes how a request ended at an endpoint.
type Outcome struct {
	Kind OutcomeKind
	// Failed is whether the endpoint answered with a server error.
	Failed bool
	// Took is the time from the start of the request to its outcome.
	Took   time.Duration
	Report Report
}

// Started records that a request was sent to the endpoint of a choice. Each call
// must be followed by one of [Pool.Ended].
func (p *Pool) Started(now time.Time, c *Choice) {
	e := p.endpoints[c.Endpoint.ID]
	if e == nil {
		return
	}
	e.inFlight++
	p.inFlight++
	e.started = append(e.started, now)
	e.rateLimit.limiter.Take(now)
	e.noteSent(now)
	if e.isCold(now) {
		e.pace.sent(now, p.spec.ColdRate/maxColdSenders)
	}
}

const (
	// ejectAfter is the number of consecutive failures after which an endpoint is
	// ejected, for minEjection at first and maxEjection at most.
	ejectAfter = 3
	// ejectAfterSilent is the same if the endpoint answered nothing at all during
	// a request that timed out. It is not 1, since a single answer may be lost.
	ejectAfterSilent = 2
	minEjection      = 300 * time.Millisecond
	maxEjection      = 3 * time.Second
	// wrongEndpointEjection is how long an endpoint is ejected whose address now
	// belongs to another one. It will not come back at that address.
	wrongEndpointEjection = 5 * time.Second
	// maxWaitDivisor limits which requests are used to measure processing times:
	// the estimated wait, which may be wrong by half, must be at most this
	// fraction (1/maxWaitDivisor) of the time that the request took.
	maxWaitDivisor = 4
	// unresponsiveAfter is the time without any answer after which a request that
	// timed out shows a dead endpoint rather than an overloaded one, and does not
	// reduce the limit. It is above the usual time limits.
	unresponsiveAfter = 1500 * time.Millisecond
)

// Ended records the outcome of a request. started must be the time that was
// passed to [Pool.Started].
func (p *Pool) Ended(now, started time.Time, route string, c *Choice, o Outcome) {
	p.inFlight = max(p.inFlight-1, 0)
	e := p.endpoints[c.Endpoint.ID]
	switch {
	case o.Kind == Answered:
		p.raiseLimit()
	case o.Kind == Late && e != nil && now.Sub(e.answeredAt) < unresponsiveAfter:
		p.reduceLimit(now)
	}
	if e == nil || e.Incarnation != c.Endpoint.Incarnation {
		return
	}
	e.inFlight = max(e.inFlight-1, 0)
	if i := slices.Index(e.started, started); i >= 0 {
		e.started = slices.Delete(e.started, i, i+1)
	}
	if o.Report.Known {
		e.recordReport(now, o.Report)
	}
	switch o.Kind {
	case Answered, Shed:
		e.answeredAt, e.failures, e.suspected = now, 0, false
	case Elsewhere:
		e.ejectedUntil = now.Add(wrongEndpointEjection)
		return
	case Unreachable, Broken, Late:
		silent := o.Kind == Late && e.answeredAt.Before(started)
		p.recordFailure(now, e, o.Kind, silent)
	case GivenUp:
		return
	}
	switch o.Kind {
	case Shed:
		p.recordShed(now, e, o.Report.Full())
	case Answered:
		p.recordTaken(e)
	}
	if !(o.Kind == Shed && p.shedsCommonly()) {
		e.recordFailureRate(now, o)
	}
	times := p.processingTimesOf(route)
	cached, uncached, _ := times.estimates()
	expected := uncached
	if c.Cached {
		expected = cached
	}
	ratio := float64(o.Took) / float64(max(expected+c.Wait, time.Millisecond))
	if o.Kind == Late {
		e.recordDuration(now, ratio)
		e.timedOut.add(now, c.key)
	}
	if o.Kind != Answered || o.Failed {
		return
	}
	e.cached.add(now, c.key)
	e.timedOut.remove(c.key)
	e.recordDuration(now, ratio)
	if c.Wait > o.Took/maxWaitDivisor {
		return // the processing time can't be separated from the wait
	}
	processing := float64(o.Took - c.Wait)
	times.overall.add(processing)
	if c.Cached {
		times.cached.add(processing)
	} else {
		times.uncached.add(processing)
	}
}

// recordFailureRate updates the failure rate with an outcome. A request that a full endpoint
// shed is no failure.
func (e *endpoint) recordFailureRate(now time.Time, o Outcome) {
	failure := 0.0
	if o.Failed || o.Kind != Answered && !(o.Kind == Shed && o.Report.Known && o.Report.Full()) {
		failure = 1
	}
	before := e.currentFailureRate(now)
	e.failureRate = before + (failure-before)*averageWeight
	e.failureRateAt = now
}

// recordFailure counts a failed request and ejects the endpoint if there were
// enough in a row. silent is whether the endpoint answered nothing at all during a
// request that timed out.
func (p *Pool) recordFailure(now time.Time, e *endpoint, kind OutcomeKind, silent bool) {
	e.failures++
	if e.failures < ejectAfter && kind != Unreachable && !(silent && e.failures >= ejectAfterSilent) {
		return
	}
	e.suspected = kind != Broken
	e.ejectedUntil = now.Add(min(minEjection<<min(e.failures-1, 4), maxEjection))
	if kind == Unreachable {
		// The endpoint may have restarted when it is reachable again.
		e.assumedColdUntil = e.ejectedUntil.Add(p.spec.ColdTime)
	}
}

// Arrived records a new request for the service, for the retry budget and the
// demand.
func (p *Pool) Arrived(now time.Time, cfg RetryBudget, route string) {
	p.budget.earn(now, cfg, p.capacity.instances)
	p.recordDemand(now, time.Duration(p.processingTimesOf(route).cached.valueOr(float64(defaultProcessingTime))))
}

// AllowRetry reports whether a request may be retried at another endpoint, and
// takes the retry from the budget if so.
func (p *Pool) AllowRetry(now time.Time, cfg RetryBudget) bool {
	return p.budget.spend(now, cfg, p.capacity.instances)
}
