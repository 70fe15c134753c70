package keeladmit

import (
	"math"
	"time"
)

// SpareInput is the input of [SpareSlots].
type SpareInput struct {
	// Slots is how many requests the instance's endpoints can run at once.
	Slots int
	// OwnDemand is the mean number of requests there that need no credits, those of
	// this instance's own failure domain. It includes waiting ones.
	OwnDemand float64
	// ServiceTime is how long a request holds a slot.
	ServiceTime time.Duration
	// RoundTrip is the longest round-trip time to a domain that gets grants.
	RoundTrip time.Duration
}

const (
	// maxPlannedUse is the fraction of the slots that requests of the own domain
	// and granted requests fill together, on average.
	maxPlannedUse = 0.95
	// burstFraction is how many more requests may arrive at once and wait, as a
	// fraction of the slots.
	burstFraction = 0.5
)

// SpareSlots returns how many requests of other failure domains may be in flight
// for the endpoints of an instance. That is the number of slots left by requests
// of the own domain, plus the requests that are in transit while those slots are
// in use, plus a burst. Without the burst, grants of one or two slots would be
// used up half of the time.
func SpareSlots(in SpareInput) int {
	free := maxPlannedUse*float64(in.Slots) - in.OwnDemand
	if free <= 0 || in.ServiceTime <= 0 {
		return 0
	}
	lifetime := 1 + in.RoundTrip.Seconds()/in.ServiceTime.Seconds()
	return int(math.Round(free*lifetime + burstFraction*float64(in.Slots)))
}

// WantSlots returns how many credits a domain should request from another one
// for the given request rate: the mean number of requests in flight plus two
// standard deviations of a Poisson distribution. It is 0 for a rate of 0.
func WantSlots(ratePerSecond float64, serviceTime, roundTrip time.Duration) int {
	mean := ratePerSecond * (serviceTime + roundTrip).Seconds()
	return int(math.Ceil(mean + 2*math.Sqrt(mean)))
}
