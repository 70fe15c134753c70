package keel

import (
	"net/netip"
	"time"
)

// EndpointView is what an instance knows of an endpoint when it chooses one.
type EndpointView struct {
	ID    EndpointID
	Slots int
	// InFlight is what this instance itself has sent and not seen end.
	InFlight int
	// Reported is the last report, of age ReportAge.
	Reported  LoadReport
	ReportAge time.Duration
	// Latency is a smoothed time per request as seen by this instance; 0
	// means that none was seen yet.
	Latency time.Duration
	// Ramp is the part of its slots that a starting endpoint takes, from 0 to
	// 1.
	Ramp float64
}

// Picker chooses an endpoint for a request among those that an instance owns.
// The policy and its baselines implement it. Implementations are not safe for
// use by several goroutines.
type Picker interface {
	// Pick returns the position in views of the chosen endpoint, or -1 if none
	// has a free slot. random supplies numbers that are uniform over uint64.
	Pick(views []EndpointView, random func() uint64) int
}

// BlockTable finds the client block of an address.
type BlockTable interface {
	// Find returns the preferred sites of the longest block that holds addr,
	// the best first.
	Find(addr netip.Addr) (sites []SiteName, ok bool)
}
