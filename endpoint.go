package keel

import (
	"net/netip"
	"slices"
	"time"
)

// EndpointState is the state that an endpoint announces.
type EndpointState string

// States of an endpoint.
const (
	// EndpointServing means that the endpoint accepts new requests.
	EndpointServing EndpointState = "serving"
	// EndpointLeaving means that the endpoint accepts no new requests and
	// completes the running ones.
	EndpointLeaving EndpointState = "leaving"
)

// EndpointID identifies an endpoint among all endpoints.
type EndpointID struct {
	Service ServiceName  `json:"service" cbor:"1,keyasint"`
	Name    EndpointName `json:"name" cbor:"2,keyasint"`
}

// String returns the service and the name, such as "gallery/g1".
func (id EndpointID) String() string { return string(id.Service) + "/" + string(id.Name) }

// Announcement registers an endpoint or renews its registration. An endpoint that
// does not renew within TTL is considered gone.
type Announcement struct {
	Service ServiceName    `json:"service" cbor:"1,keyasint"`
	Name    EndpointName   `json:"name" cbor:"2,keyasint"`
	Address netip.AddrPort `json:"address" cbor:"3,keyasint"`
	Site    SiteName       `json:"site,omitempty" cbor:"4,keyasint,omitempty"`
	// Slots is the number of requests that the endpoint can run concurrently.
	Slots int `json:"slots" cbor:"5,keyasint"`
	// Incarnation increases with each start of the endpoint. An announcement
	// with a lower one than the last is refused.
	Incarnation uint64        `json:"incarnation" cbor:"6,keyasint"`
	State       EndpointState `json:"state" cbor:"7,keyasint"`
	Labels      Labels        `json:"labels,omitempty" cbor:"8,keyasint,omitempty"`
	TTL         Duration      `json:"ttl" cbor:"9,keyasint"`
	Report      LoadReport    `json:"report,omitzero" cbor:"10,keyasint"`
}

// LoadReport is the load that an endpoint reports. It may be outdated or wrong.
type LoadReport struct {
	// InFlight is the number of requests that the endpoint is running.
	InFlight int `json:"in_flight" cbor:"1,keyasint"`
	// Utilisation is the fraction of the endpoint's capacity in use, from 0 to
	// 1.
	Utilisation float64 `json:"utilisation" cbor:"2,keyasint"`
}

// Limits on announced values.
const (
	MinAnnounceTTL = Duration(time.Second)
	MaxAnnounceTTL = Duration(time.Minute)
	maxSlots       = 10_000
)

// ID returns the identity of the endpoint.
func (a *Announcement) ID() EndpointID { return EndpointID{Service: a.Service, Name: a.Name} }

// Check reports every fault of the announcement.
func (a *Announcement) Check() Faults {
	fs := CheckName("service", a.Service)
	fs = append(fs, CheckName("name", a.Name)...)
	if a.Site != "" {
		fs = append(fs, CheckName("site", a.Site)...)
	}
	if !a.Address.IsValid() || a.Address.Port() == 0 || a.Address.Addr().IsUnspecified() {
		fs.Add("address", "must be an IP address and a port other than 0")
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		fs.Add("slots", "is %d, must lie between 1 and %d", a.Slots, maxSlots)
	}
	if !slices.Contains([]EndpointState{EndpointServing, EndpointLeaving}, a.State) {
		fs.Add("state", "is %q, must be %q or %q", a.State, EndpointServing, EndpointLeaving)
	}
	if a.TTL < MinAnnounceTTL || a.TTL > MaxAnnounceTTL {
		fs.Add("ttl", "is %s, must lie between %s and %s", a.TTL, MinAnnounceTTL, MaxAnnounceTTL)
	}
	fs.Under("labels", a.Labels.Check())
	fs.Under("report", a.Report.Check())
	return fs
}

// Check reports every fault of the report.
func (r LoadReport) Check() Faults {
	var fs Faults
	if r.InFlight < 0 {
		fs.Add("in_flight", "is %d, must not be negative", r.InFlight)
	}
	return append(fs, checkRange("utilisation", r.Utilisation, 1)...)
}
