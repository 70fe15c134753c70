package keelworld

import (
	"net/netip"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// EndpointState is where an endpoint stands.
type EndpointState uint8

// States of an endpoint.
const (
	// EndpointServing takes new work.
	EndpointServing EndpointState = 1
	// EndpointDraining takes no new work.
	EndpointDraining EndpointState = 2
	// EndpointLeft has said that it leaves. Nothing that it said before counts.
	EndpointLeft EndpointState = 3
	// EndpointSilent has announced nothing for long. It comes back with its next
	// announcement.
	EndpointSilent EndpointState = 4
)

// Endpoint is what is known of one endpoint.
type Endpoint struct {
	// ID identifies the endpoint among all endpoints.
	ID string `cbor:"1,keyasint"`
	// Born is when the incarnation started, by the endpoint's clock, in
	// milliseconds since 1970; 0 means the present incarnation, when it leaves.
	Born int64 `cbor:"2,keyasint,omitempty"`
	// Sequence counts the announcements of the incarnation.
	Sequence int64            `cbor:"3,keyasint,omitempty"`
	State    EndpointState    `cbor:"4,keyasint"`
	Service  keel.ServiceName `cbor:"5,keyasint,omitempty"`
	Address  netip.AddrPort   `cbor:"6,keyasint,omitempty"`
	Domain   keel.DomainName  `cbor:"7,keyasint,omitempty"`
	Slots    int              `cbor:"8,keyasint,omitempty"`
	// Cold is how long the endpoint stays cold, as of its announcement.
	Cold time.Duration `cbor:"9,keyasint,omitempty"`
}

// maxEndpointID is the length limit of an endpoint's id, in bytes.
const maxEndpointID = 128

// maxSlots bounds the slots that an endpoint may announce.
const maxSlots = 10_000

// Check reports every fault of an endpoint that announces itself.
func (e *Endpoint) Check() keel.Faults {
	var fs keel.Faults
	if e.ID == "" || len(e.ID) > maxEndpointID {
		fs.Add("id", "has %d bytes, must have 1 to %d", len(e.ID), maxEndpointID)
	}
	if e.State < EndpointServing || e.State > EndpointSilent {
		fs.Add("state", "is %d, known are %d to %d", e.State, EndpointServing, EndpointSilent)
	}
	if e.Sequence < 0 || e.Cold < 0 || e.Born < 0 {
		fs.Add("sequence", "sequence, cold time and start must not be negative")
	}
	if e.State == EndpointLeft || e.State == EndpointSilent {
		return fs
	}
	if e.Service == "" || e.Domain == "" {
		fs.Add("service", "service and failure domain must not be empty")
	}
	if !e.Address.IsValid() || e.Address.Port() == 0 || e.Address.Addr().IsUnspecified() {
		fs.Add("address", "must be an IP address and a port other than 0")
	}
	if e.Slots < 1 || e.Slots > maxSlots {
		fs.Add("slots", "is %d, must lie between 1 and %d", e.Slots, maxSlots)
	}
	return fs
}

// supersedes reports whether e says something newer than o about the same
// endpoint. An incarnation that has left stays so.
func (e *Endpoint) supersedes(o *Endpoint) bool {
	if e.Born != o.Born {
		return e.Born > o.Born
	}
	if e.State == EndpointLeft {
		return o.State != EndpointLeft
	}
	return o.State != EndpointLeft && e.Sequence > o.Sequence
}

// Changes reports whether an announcement e has to be made known to others,
// who know o as of the time known ago.
func (e *Endpoint) Changes(o *Endpoint, known time.Duration) bool {
	if !e.supersedes(o) {
		return false
	}
	if e.Born != o.Born || e.State != o.State || e.Service != o.Service || e.Address != o.Address ||
		e.Domain != o.Domain || e.Slots != o.Slots {
		return true
	}
	left := max(o.Cold-known, 0)
	return e.Cold > left+coldTolerance || left > e.Cold+coldTolerance
}

// coldTolerance is how far the cold time that is left may differ from what was
// expected before it is made known again. It is several times the delay of an
// announcement on its way.
const coldTolerance = 500 * time.Millisecond

// Node is an instance.
type Node struct {
	Name keel.InstanceName `cbor:"1,keyasint"`
	// Started tells incarnations of the instance apart; a later one is higher.
	Started uint64          `cbor:"2,keyasint"`
	Domain  keel.DomainName `cbor:"3,keyasint"`
	Region  keel.RegionName `cbor:"4,keyasint"`
	// Caller is where callers connect.
	Caller netip.AddrPort `cbor:"5,keyasint"`
	// Up says that callers may be sent here.
	Up bool `cbor:"6,keyasint,omitempty"`
	// Voter says that the instance keeps the agreed log. It takes no callers.
	Voter bool `cbor:"7,keyasint,omitempty"`
}

// Check reports a missing name or address.
func (n *Node) Check() keel.Faults {
	fs := keel.CheckName("name", n.Name)
	if !n.Caller.IsValid() && n.Up {
		fs.Add("caller", "must be an address")
	}
	return fs
}
