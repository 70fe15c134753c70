package keel

import (
	"net/netip"
	"time"
)

// EndpointView is the local state of an endpoint on which an instance bases its
// choice.
type EndpointView struct {
	ID    EndpointID
	Slots int
	// InFlight is the number of requests of this instance that the endpoint is
	// running.
	InFlight int
	// Reported is the last load report of the endpoint, received ReportAge ago.
	Reported  LoadReport
	ReportAge time.Duration
	// Latency is the smoothed latency of this instance's requests; 0 if none
	// has been measured yet.
	Latency time.Duration
	// Ramp is the fraction of its slots that a starting endpoint may use, from
	// 0 to 1. [EndpointView.Usable] treats 0 as no restriction.
	Ramp float64
}

// Picker chooses an endpoint for a request among those that an instance owns. The
// production policy and the baseline policies implement it. Implementations are
// not safe for concurrent use.
type Picker interface {
	// Pick returns the index in views of the chosen endpoint, or -1 if none has
	// a free slot. random returns numbers that are uniform over uint64.
	Pick(views []EndpointView, random func() uint64) int
}

// BlockTable maps addresses to client blocks.
type BlockTable interface {
	// Find returns the preferred sites of the block with the longest prefix that
	// contains addr, the best site first.
	Find(addr netip.Addr) (sites []SiteName, ok bool)
}
