package keelplace

import (
	"time"
)

const (
	// limitBack is what is left of the limit after work ended unfinished, and
	// limitPause the time in which that counts once: about as long as requests
	// that were sent before take to end.
	limitBack  = 0.5
	limitPause = 500 * time.Millisecond
	// limitStart is how many times its even share of the slots an instance may
	// use at first, and limitMost at most.
	limitStart = 2.0
	limitMost  = 4.0
)

// limit bounds the requests that an instance has at the endpoints of a service.
// No instance knows the load by all others in time. So each takes more room as
// long as its work is finished, and less when work ends unfinished. This
// answers overload from a cold start, where slots that all believe to be free
// are given away many times.
type limit struct {
	value  float64
	backAt time.Time
}

// share is an instance's part of all slots: an even one for each failure domain
// with callers, since each instance gets an even part of those of its domain.
func (p *Pool) share() float64 {
	return float64(p.room.all) / float64(p.room.domains*p.room.beside)
}

// mayTake reports whether one more request may be sent.
func (p *Pool) mayTake() bool {
	if p.limit.value == 0 {
		p.limit.value = max(limitStart*p.share(), 1)
	}
	return float64(p.inFlight) < p.limit.value
}

// finished notes that a request ended with an answer.
func (p *Pool) finished() {
	p.limit.value = min(p.limit.value+1/max(p.limit.value, 1), max(limitMost*p.share(), 2))
}

// unfinished notes that the work of a request was lost since it took too long.
func (p *Pool) unfinished(now time.Time) {
	if now.Sub(p.limit.backAt) < limitPause {
		return
	}
	p.limit.backAt = now
	p.limit.value = max(p.limit.value*limitBack, 1)
}
