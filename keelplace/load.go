package keelplace

import (
	"math"
	"time"
)

const (
	// reportDecay is the time constant with which the estimated load moves from
	// the last reported load to the mean one. It is about as long as a request
	// holds a slot.
	reportDecay = 400 * time.Millisecond
	// meanLoadDecay is the time constant with which the mean load decays as well.
	// An endpoint that gets no requests reports no load, and must not count as
	// full by its last report forever.
	meanLoadDecay = 1500 * time.Millisecond
	// healthDecay is the time constant with which the slowdown and the failure
	// rate of an endpoint decay, so that it is tried again.
	healthDecay = 4 * time.Second
	// slowdownThreshold is the slowdown from which an endpoint counts as slow.
	// Lower values are within the spread of processing times.
	slowdownThreshold = 1.7
	// maxSlowdown is the highest slowdown that is recorded or compared.
	maxSlowdown = 12
)

// decay returns the factor by which a value of time at has decayed exponentially.
func decay(now, at time.Time, timeConstant time.Duration) float64 {
	return math.Exp(-float64(now.Sub(at)) / float64(timeConstant))
}

// load estimates the requests at an endpoint: those in flight from this instance,
// and those of others by the last report, which decays to their mean number.
func (e *endpoint) load(now time.Time) float64 {
	fresh := decay(now, e.reportedAt, reportDecay)
	meanLoad := e.meanLoad.valueOr(0) * decay(now, e.reportedAt, meanLoadDecay)
	return float64(e.inFlight) + e.otherLoad*fresh + meanLoad*(1-fresh)
}

// recordReport records the load that an endpoint reported with an answer.
func (e *endpoint) recordReport(now time.Time, r Report) {
	// The answered request is no longer in flight here, but the report may include
	// it.
	e.otherLoad = max(float64(r.Running+r.Waiting-e.inFlight-1), 0)
	e.reportedAt = now
	e.meanLoad.add(e.otherLoad)
}

// currentSlowdown returns the slowdown of an endpoint, decayed to now.
func (e *endpoint) currentSlowdown(now time.Time) float64 {
	return 1 + (e.slowdown-1)*decay(now, e.slowdownAt, healthDecay)
}

// relativeSlowdown returns the slowdown of an endpoint if it is well above the
// mean, and 1 otherwise. Where all endpoints are equally slow, avoiding one gains
// nothing.
func (e *endpoint) relativeSlowdown(now time.Time, mean float64) float64 {
	s := e.currentSlowdown(now)
	if s < slowdownThreshold*max(mean, 1) {
		return 1
	}
	return min(s, maxSlowdown)
}

// meanSlowdown returns the mean slowdown of the serving endpoints.
func (p *Pool) meanSlowdown(now time.Time) float64 {
	var sum float64
	for _, e := range p.serving {
		sum += min(e.currentSlowdown(now), maxSlowdown)
	}
	return sum / float64(max(len(p.serving), 1))
}

const (
	// An endpoint is unhealthy if its failure rate is at least failureRateThreshold
	// and also at least failureRateFactor times the mean. Where all endpoints fail
	// equally often, avoiding one gains nothing.
	failureRateThreshold = 0.3
	failureRateFactor    = 1.5
)

// healthy reports whether an endpoint is neither slow nor failing compared to the
// others, and has not shed requests with free slots.
func (e *endpoint) healthy(now time.Time, means poolMeans) bool {
	return !now.Before(e.setAsideUntil) && e.relativeSlowdown(now, means.slowdown) == 1 && e.currentFailureRate(now) < max(failureRateThreshold, failureRateFactor*means.failureRate)
}

// currentFailureRate returns the failure rate of an endpoint, decayed to now.
func (e *endpoint) currentFailureRate(now time.Time) float64 {
	return e.failureRate * decay(now, e.failureRateAt, healthDecay)
}

// poolMeans holds the means over the serving endpoints that one is compared with.
type poolMeans struct{ slowdown, failureRate float64 }

func (p *Pool) means(now time.Time) poolMeans {
	return poolMeans{p.meanSlowdown(now), p.meanFailureRate(now)}
}

// meanFailureRate returns the mean failure rate of the serving endpoints.
func (p *Pool) meanFailureRate(now time.Time) float64 {
	var sum float64
	for _, e := range p.serving {
		sum += e.currentFailureRate(now)
	}
	return sum / float64(max(len(p.serving), 1))
}

// recordDuration updates the slowdown with the ratio of a request's actual time to
// its expected time.
func (e *endpoint) recordDuration(now time.Time, ratio float64) {
	before := e.currentSlowdown(now)
	const weight = 0.4
	e.slowdown = max(before+(min(ratio, maxSlowdown)-before)*weight, 1)
	e.slowdownAt = now
}
