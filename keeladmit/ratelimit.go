package keeladmit

import "time"

const (
	// MinRate is the rate, in requests per second, that is used even where an endpoint
	// accepts fewer: only an answer shows that it accepts more again.
	MinRate = 0.1
	// maxRate is the highest rate, in requests per second, that differs from no limit. It keeps
	// times and counts within their ranges.
	maxRate = 1e6
	// rateBurst is added to the rate of one second to get the burst of [LimitBurst].
	rateBurst = 3
	// maxRateInterval limits the time between two requests.
	maxRateInterval = time.Hour
)

// LimitBurst returns how many requests in excess of a rate in requests per second all
// instances together may send at once.
func LimitBurst(perSecond float64) float64 { return min(perSecond, maxRate) + rateBurst }

// RateLimiter limits the rate of requests by the generic cell rate algorithm. The zero value
// does not limit. It must be told the time, which may step back.
type RateLimiter struct {
	// interval is the time between two requests; 0 means that there is no limit.
	interval time.Duration
	// burst is the number of requests that may be sent at once after a pause, at least 1.
	burst float64
	// full is when the limiter allows the whole burst again. Each request moves it by an
	// interval.
	full time.Time
}

// Limit sets the rate in requests per second, and the burst in requests. A limiter without a
// limit, such as that of an instance that has just learnt of it, allows its first request
// after the fraction phase, from 0 to 1, of an interval: instances that learn of a limit at
// the same time must not all send at once.
func (l *RateLimiter) Limit(now time.Time, perSecond, burst, phase float64) {
	interval := maxRateInterval
	if perSecond > 0 {
		interval = time.Duration(min(float64(time.Second)/min(perSecond, maxRate), float64(maxRateInterval)))
	}
	burst = min(max(burst, 1), maxRate)
	switch {
	case l.interval == 0:
		l.full = now.Add(time.Duration((burst - 1 + phase) * float64(interval)))
	case l.full.After(now):
		used := float64(l.full.Sub(now)) / float64(l.interval)
		l.full = now.Add(time.Duration(used * float64(interval)))
	}
	l.interval, l.burst = interval, burst
}

// Lift removes the limit.
func (l *RateLimiter) Lift() { *l = RateLimiter{} }

// Wait returns the time until a request may be sent; 0 if that is now.
func (l *RateLimiter) Wait(now time.Time) time.Duration {
	if l.interval == 0 {
		return 0
	}
	return max(l.full.Sub(now)-time.Duration((l.burst-1)*float64(l.interval)), 0)
}

// Take records that a request is sent.
func (l *RateLimiter) Take(now time.Time) {
	if l.interval == 0 {
		return
	}
	if l.full.Before(now) {
		l.full = now
	}
	l.full = l.full.Add(l.interval)
}
