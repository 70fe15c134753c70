package keelplace

import (
	"math"
	"time"
)

const (
	// reportLife is the time in which the load that an answer told of gives way
	// to the usual one. It is about as long as a request holds a slot.
	reportLife = 400 * time.Millisecond
	// usualLife is the time in which the usual load is forgotten too. An
	// endpoint that nobody dares to send to tells of no load, and must not stay
	// full by what was last heard.
	usualLife = 1500 * time.Millisecond
	// slowLife is the time in which it is forgotten that an endpoint was slow,
	// so that it is tried again.
	slowLife = 4 * time.Second
	// slowFrom is how many times the usual time counts as slow; less is spread
	// of the work.
	slowFrom = 1.7
	// maxSlow bounds the slowness that is believed.
	maxSlow = 12
)

// fading is the part that is left of something noted at a time.
func fading(now, at time.Time, life time.Duration) float64 {
	return math.Exp(-float64(now.Sub(at)) / float64(life))
}

// load returns the requests that an endpoint is taken to have: those of this
// instance, which are known, and those of others by the last report, which fades
// to the usual number.
func (e *endpoint) load(now time.Time) float64 {
	fresh := fading(now, e.othersAt, reportLife)
	usual := e.usual.or(0) * fading(now, e.othersAt, usualLife)
	return float64(e.inFlight) + e.others*fresh + usual*(1-fresh)
}

// report takes the load that an answer told of.
func (e *endpoint) report(now time.Time, r Report) {
	// The answered request counts no more here, but may in the report.
	e.others = max(float64(r.Running+r.Waiting-e.inFlight-1), 0)
	e.othersAt = now
	e.usual.add(e.others)
}

// slowNow returns how many times longer requests were seen to take, as far as
// that is remembered.
func (e *endpoint) slowNow(now time.Time) float64 {
	return 1 + (e.slow-1)*fading(now, e.slowAt, slowLife)
}

// slowness returns how many times longer than usual requests take at an
// endpoint, if that is much longer than at the mean endpoint. Where all are slow
// alike, it helps nobody to go elsewhere.
func (e *endpoint) slowness(now time.Time, mean float64) float64 {
	s := e.slowNow(now)
	if s < slowFrom*max(mean, 1) {
		return 1
	}
	return min(s, maxSlow)
}

// slow returns the mean of how many times longer than usual requests take.
func (p *Pool) slow(now time.Time) float64 {
	var sum float64
	for _, e := range p.order {
		sum += min(e.slowNow(now), maxSlow)
	}
	return sum / float64(max(len(p.order), 1))
}

const (
	// failingFrom is the part of failed requests from which an endpoint counts
	// as in trouble, if that is also failingTimes as much as the mean. Where all
	// fail alike, it helps nobody to go elsewhere.
	failingFrom  = 0.3
	failingTimes = 1.5
)

// sound reports whether an endpoint is not in trouble.
func (e *endpoint) sound(now time.Time, means means) bool {
	return e.slowness(now, means.slow) == 1 && e.failed(now) < max(failingFrom, failingTimes*means.failing)
}

// failed returns the part of the latest requests that failed, as of now.
func (e *endpoint) failed(now time.Time) float64 {
	return e.failing * fading(now, e.failingAt, slowLife)
}

// means are what endpoints are compared with.
type means struct{ slow, failing float64 }

func (p *Pool) means(now time.Time) means { return means{p.slow(now), p.failing(now)} }

// failing returns the mean part of requests that fail.
func (p *Pool) failing(now time.Time) float64 {
	var sum float64
	for _, e := range p.order {
		sum += e.failed(now)
	}
	return sum / float64(max(len(p.order), 1))
}

// took notes how long a request took compared to what was expected.
func (e *endpoint) took(now time.Time, ratio float64) {
	before := e.slowNow(now)
	const weight = 0.4
	e.slow = max(before+(min(ratio, maxSlow)-before)*weight, 1)
	e.slowAt = now
}
