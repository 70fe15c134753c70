package keeladmit

import (
	"math"
	"time"
)

// SpareInput is what [SpareSlots] decides from.
type SpareInput struct {
	// Slots is how many requests the instance's endpoints run at once.
	Slots int
	// Home is the mean number of requests of the own region there, waiting ones
	// included.
	Home float64
	// ServiceTime is how long a request holds a slot.
	ServiceTime time.Duration
	// RoundTrip is that of the longest link over which grants are used.
	RoundTrip time.Duration
}

const (
	// highestPlan is the part of the slots that home and granted work fill.
	highestPlan = 0.95
	// burstPart is how much, beside, may come at once and wait, as a part of
	// the slots.
	burstPart = 0.5
)

// SpareSlots returns how many requests of other regions may be under way to the
// endpoints of an instance: as many as the slots that home work leaves, times
// the part of a request's life that it spends on the way, and a burst.
// Without the burst, grants of one or two slots would be empty half of the time.
func SpareSlots(in SpareInput) int {
	free := highestPlan*float64(in.Slots) - in.Home
	if free <= 0 || in.ServiceTime <= 0 {
		return 0
	}
	way := 1 + in.RoundTrip.Seconds()/in.ServiceTime.Seconds()
	return int(math.Round(free*way + burstPart*float64(in.Slots)))
}

// WantSlots returns how many requests a domain should want to have under way to
// another one: the mean number at that rate and twice its usual spread. It
// returns 0 if nothing is sent.
func WantSlots(perSecond float64, serviceTime, roundTrip time.Duration) int {
	mean := perSecond * (serviceTime + roundTrip).Seconds()
	return int(math.Ceil(mean + 2*math.Sqrt(mean)))
}
