package keelroute

import (
	"math"
	"time"
)

// Average is an exponential average over time of a value that is known at
// certain moments. It smooths what [Targets] and grants decide from.
type Average struct {
	tau   time.Duration
	value float64
	at    time.Time
}

// NewAverage returns an average in which a value counts for 1/e after tau.
func NewAverage(tau time.Duration) Average { return Average{tau: tau} }

// Observe takes in the value at now. The first one becomes the average.
func (a *Average) Observe(now time.Time, value float64) {
	if a.at.IsZero() {
		a.value, a.at = value, now
		return
	}
	age := now.Sub(a.at)
	if age <= 0 {
		return
	}
	a.value += (1 - math.Exp(-age.Seconds()/a.tau.Seconds())) * (value - a.value)
	a.at = now
}

// Value returns the average, or 0 before the first value.
func (a *Average) Value() float64 { return a.value }
