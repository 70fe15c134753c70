package keelworld

import (
	"maps"
	"slices"

	keel "github.com/greengagekeel/greengagekeel"
)

// Crash says that a request was in flight at an endpoint when the connection to it
// broke. Reports of several instances about the same request and incarnation are one
// crash.
type Crash struct {
	// Request is the fingerprint of the request, which is the same when it is sent
	// again.
	Request uint64 `cbor:"1,keyasint"`
	// Endpoint and Incarnation identify the start of the endpoint.
	Endpoint    string `cbor:"2,keyasint"`
	Incarnation int64  `cbor:"3,keyasint"`
}

// Check reports a malformed endpoint.
func (c *Crash) Check() keel.Faults {
	var fs keel.Faults
	checkText(&fs, "endpoint", c.Endpoint, maxEndpointIDBytes)
	return fs
}

const (
	// MaxCrashes is the number of crashes without an answer in between from which on a
	// request is sent to no endpoint. Two may be chance: a failure domain that is lost
	// can take both endpoints to which an attempt goes.
	MaxCrashes = 3
	// maxSuspects limits the requests with crashes; the one with the oldest crash is
	// evicted.
	maxSuspects = 4096
)

// Suspects holds the crashes of requests that no endpoint has answered since, by
// fingerprint. It must not be modified.
type Suspects map[uint64]Suspect

// Suspect holds the crashes of a request.
type Suspect struct {
	Crashes []Crash `cbor:"1,keyasint"`
	// Index is the index of the log entry with the last crash.
	Index uint64 `cbor:"2,keyasint"`
}

// Contains reports whether a crash is known or would not change a decision.
func (all Suspects) Contains(c Crash) bool {
	known := all[c.Request].Crashes
	return len(known) >= MaxCrashes || slices.Contains(known, c)
}

// applyCrashes removes the crashes of requests that were answered and adds new ones.
// The map is replaced, since views hold it.
func (s *State) applyCrashes(index uint64, answered []uint64, crashes []Crash) {
	if len(answered) == 0 && len(crashes) == 0 {
		return
	}
	next := maps.Clone(s.suspects)
	for _, request := range answered {
		delete(next, request)
	}
	for _, c := range crashes {
		if next.Contains(c) {
			continue
		}
		next[c.Request] = Suspect{Crashes: append(slices.Clone(next[c.Request].Crashes), c), Index: index}
		if len(next) > maxSuspects {
			next.evictOldest()
		}
	}
	s.suspects = next
}

func (all Suspects) evictOldest() {
	var oldest uint64
	first := true
	for request, o := range all {
		if p := all[oldest]; first || o.Index < p.Index || o.Index == p.Index && request < oldest {
			oldest, first = request, false
		}
	}
	delete(all, oldest)
}
