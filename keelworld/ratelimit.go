package keelworld

import (
	"maps"
	"math"

	keel "github.com/greengagekeel/greengagekeel"
)

// RateLimit is what an endpoint said about the rate of requests that it accepts from all
// instances together.
type RateLimit struct {
	// Endpoint and Incarnation identify the start of the endpoint.
	Endpoint    string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
	// PerSecond is the rate in requests per second.
	PerSecond float64 `cbor:"3,keyasint,omitempty"`
	// Lifted is whether the endpoint no longer names a limit.
	Lifted bool `cbor:"4,keyasint,omitempty"`
	// Index is the index of the log entry that holds the limit. It is set when that is
	// applied.
	Index uint64 `cbor:"5,keyasint,omitempty"`
}

// Check reports a malformed endpoint, and a rate that is negative or no number.
func (l *RateLimit) Check() keel.Faults {
	var fs keel.Faults
	checkText(&fs, "endpoint", l.Endpoint, maxEndpointIDBytes)
	if !(l.PerSecond >= 0) || math.IsInf(l.PerSecond, 0) {
		fs.Add("per_second", "is %v, must be a number of at least 0", l.PerSecond)
	}
	return fs
}

// rateTolerance is the relative difference up to which two rates count as equal. An endpoint
// that corrects its limit with each answer must not cause as many log entries.
const rateTolerance = 0.1

// RateLimits holds the limits of the endpoints that named one, by id. It must not be modified.
type RateLimits map[string]RateLimit

// Agrees reports whether the known limits say the same as l, up to a tenth of the rate.
func (all RateLimits) Agrees(l *RateLimit) bool {
	known, ok := all[l.Endpoint]
	ok = ok && known.Incarnation == l.Incarnation
	if !ok || l.Lifted {
		return ok != l.Lifted
	}
	return math.Abs(known.PerSecond-l.PerSecond) <= rateTolerance*known.PerSecond
}

// ChangesRateLimit reports whether a limit would change the state.
func (s *State) ChangesRateLimit(l *RateLimit) bool {
	e, ok := s.endpoints[l.Endpoint]
	return ok && e.Incarnation == l.Incarnation && !s.rateLimits.Agrees(l)
}

// applyRateLimits applies the limits of endpoints that are still the same start. The map is
// replaced, since views hold it.
func (s *State) applyRateLimits(index uint64, limits []RateLimit) {
	for i := range limits {
		l := limits[i]
		if !s.ChangesRateLimit(&l) {
			continue
		}
		if l.Lifted {
			s.dropRateLimit(l.Endpoint)
			continue
		}
		l.Index = index
		s.rateLimits = maps.Clone(s.rateLimits)
		s.rateLimits[l.Endpoint] = l
	}
}

// dropRateLimit removes the limit of an endpoint that lifted it, or has started again.
func (s *State) dropRateLimit(id string) {
	if _, ok := s.rateLimits[id]; !ok {
		return
	}
	s.rateLimits = maps.Clone(s.rateLimits)
	delete(s.rateLimits, id)
}
