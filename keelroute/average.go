package keelroute

import (
	"math"
	"time"
)

// Average is an exponentially weighted moving average of a value that is
// sampled at irregular intervals. It smooths the inputs of [Targets] and of
// credit grants.
type Average struct {
	tau       time.Duration
	value     float64
	updatedAt time.Time
}

// NewAverage returns an average with the time constant tau: the weight of a
// sample falls to 1/e after tau.
func NewAverage(tau time.Duration) Average { return Average{tau: tau} }

// Observe adds a sample taken at now. The first sample becomes the average; a
// sample that is not later than the one before is ignored.
func (a *Average) Observe(now time.Time, value float64) {
	if a.updatedAt.IsZero() {
		a.value, a.updatedAt = value, now
		return
	}
	age := now.Sub(a.updatedAt)
	if age <= 0 {
		return
	}
	a.value += (1 - math.Exp(-age.Seconds()/a.tau.Seconds())) * (value - a.value)
	a.updatedAt = now
}

// Value returns the average, or 0 before the first sample.
func (a *Average) Value() float64 { return a.value }
