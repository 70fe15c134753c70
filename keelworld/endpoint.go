package keelworld

import (
	"net/netip"
	"time"
	"unicode/utf8"

	keel "github.com/greengagekeel/greengagekeel"
)

// EndpointState is the state of an endpoint in its life cycle.
type EndpointState uint8

// States of an endpoint.
const (
	// EndpointServing means that the endpoint takes new requests.
	EndpointServing EndpointState = 1
	// EndpointDraining means that the endpoint takes no new requests.
	EndpointDraining EndpointState = 2
	// EndpointLeft means that the incarnation has left. Its announcements are
	// ignored from then on.
	EndpointLeft EndpointState = 3
	// EndpointSilent means that the endpoint has sent no announcement for too
	// long. Its next announcement reinstates it.
	EndpointSilent EndpointState = 4
)

// Endpoint is an announcement of an endpoint, and the state of one.
type Endpoint struct {
	// ID identifies the endpoint among all endpoints.
	ID string `cbor:"1,keyasint"`
	// Incarnation is when the incarnation started, in milliseconds since 1970 by the
	// endpoint's clock. 0 in a notice of leaving means the current incarnation.
	Incarnation int64 `cbor:"2,keyasint,omitempty"`
	// Sequence is the number of the announcement within the incarnation.
	Sequence int64            `cbor:"3,keyasint,omitempty"`
	State    EndpointState    `cbor:"4,keyasint"`
	Service  keel.ServiceName `cbor:"5,keyasint,omitempty"`
	Address  netip.AddrPort   `cbor:"6,keyasint,omitempty"`
	Domain   keel.DomainName  `cbor:"7,keyasint,omitempty"`
	Slots    int              `cbor:"8,keyasint,omitempty"`
	// Cold is how long the endpoint stays cold from its announcement on.
	Cold time.Duration `cbor:"9,keyasint,omitempty"`
	// AsOf is set in a notice of leaving without an incarnation: a log index that was
	// reached while its sender still waited for the answer. The notice does not refer
	// to an incarnation that was registered by a later entry.
	AsOf uint64 `cbor:"10,keyasint,omitempty"`
}

// Limits on announced values. Every instance holds the announcements of all endpoints.
const (
	maxEndpointIDBytes = 128
	maxNameBytes       = 256
	maxSlots           = 10_000
	// maxCold is longer than any endpoint takes to load its objects.
	maxCold = time.Hour
)

// Check reports all faults of an announcement.
func (e *Endpoint) Check() keel.Faults {
	var fs keel.Faults
	checkText(&fs, "id", e.ID, maxEndpointIDBytes)
	if e.State < EndpointServing || e.State > EndpointSilent {
		fs.Add("state", "is %d, must be %d to %d", e.State, EndpointServing, EndpointSilent)
	}
	if e.Sequence < 0 || e.Cold < 0 || e.Incarnation < 0 {
		fs.Add("sequence", "sequence %d, cold time %s and incarnation %d must not be negative", e.Sequence, e.Cold, e.Incarnation)
	}
	if e.Cold > maxCold {
		fs.Add("cold", "is %s, must be at most %s", e.Cold, maxCold)
	}
	if e.State == EndpointLeft || e.State == EndpointSilent {
		return fs
	}
	checkText(&fs, "service", string(e.Service), maxNameBytes)
	checkText(&fs, "domain", string(e.Domain), maxNameBytes)
	if a := e.Address.Addr(); !e.Address.IsValid() || e.Address.Port() == 0 || a.IsUnspecified() || a.Zone() != "" {
		fs.Add("address", "must be an IP address without a zone and a port other than 0")
	}
	if e.Slots < 1 || e.Slots > maxSlots {
		fs.Add("slots", "is %d, must lie between 1 and %d", e.Slots, maxSlots)
	}
	return fs
}

// checkText reports a text that is empty, too long or not in UTF-8. The encoding of
// messages has only texts in UTF-8: another one could be sent, but not read.
func checkText(fs *keel.Faults, field, text string, limit int) {
	if text == "" || len(text) > limit || !utf8.ValidString(text) {
		fs.Add(field, "has %d bytes, must be text in UTF-8 of 1 to %d bytes", len(text), limit)
	}
}

// supersedes reports whether e is newer than o, which is of the same endpoint. An
// incarnation that has left is superseded only by a later incarnation.
func (e *Endpoint) supersedes(o *Endpoint) bool {
	if e.Incarnation != o.Incarnation {
		return e.Incarnation > o.Incarnation
	}
	if e.State == EndpointLeft {
		return o.State != EndpointLeft
	}
	return o.State != EndpointLeft && e.Sequence > o.Sequence
}

// NeedsReplication reports whether an announcement e has to be replicated, given
// that o was replicated the time knownFor ago. It is false if e only repeats o.
func (e *Endpoint) NeedsReplication(o *Endpoint, knownFor time.Duration) bool {
	if !e.supersedes(o) {
		return false
	}
	if e.Incarnation != o.Incarnation || e.State != o.State || e.Service != o.Service || e.Address != o.Address ||
		e.Domain != o.Domain || e.Slots != o.Slots {
		return true
	}
	left := max(o.Cold-knownFor, 0)
	return e.Cold > left+coldTolerance || left > e.Cold+coldTolerance
}

// coldTolerance is how far an announced remaining cold time may differ from the
// replicated one before it is replicated again. It is several times the delay of
// an announcement in transit.
const coldTolerance = 500 * time.Millisecond

// Node is an instance: an entry instance or a voter.
type Node struct {
	Name keel.InstanceName `cbor:"1,keyasint"`
	// Incarnation is the incarnation number of the instance. It increases with each
	// start.
	Incarnation uint64          `cbor:"2,keyasint"`
	Domain      keel.DomainName `cbor:"3,keyasint"`
	Region      keel.RegionName `cbor:"4,keyasint"`
	// Caller is the address to which callers connect.
	Caller netip.AddrPort `cbor:"5,keyasint"`
	// Up is whether look-ups may return the instance to callers.
	Up bool `cbor:"6,keyasint,omitempty"`
	// Voter is whether the instance keeps the replicated log. A voter takes no
	// requests of callers.
	Voter bool `cbor:"7,keyasint,omitempty"`
	// Isolated is whether the instance reaches no endpoint. It relays requests of callers to
	// other instances then.
	Isolated bool `cbor:"8,keyasint,omitempty"`
}

// Check reports a missing name or address.
func (n *Node) Check() keel.Faults {
	fs := keel.CheckName("name", n.Name)
	if !n.Caller.IsValid() && n.Up {
		fs.Add("caller", "must be an address")
	}
	return fs
}
