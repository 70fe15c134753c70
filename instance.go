package keel

import "net/netip"

// Instance is the description that an instance publishes to callers and other
// instances.
type Instance struct {
	Name   InstanceName `json:"name" cbor:"1,keyasint"`
	Domain DomainName   `json:"domain" cbor:"2,keyasint"`
	Region RegionName   `json:"region" cbor:"3,keyasint"`
	// Caller is the address for look-ups and requests of callers.
	Caller netip.AddrPort `json:"caller" cbor:"4,keyasint"`
	// Peer is the address for messages of other instances.
	Peer netip.AddrPort `json:"peer" cbor:"5,keyasint"`
	// Incarnation increases with each start of the instance.
	Incarnation uint64 `json:"incarnation" cbor:"6,keyasint"`
	// Voter is whether the instance stores the replicated declarations on its
	// disk.
	Voter bool `json:"voter,omitempty" cbor:"7,keyasint,omitempty"`
}

// Check reports every fault of the instance.
func (in *Instance) Check() Faults {
	fs := CheckName("name", in.Name)
	fs = append(fs, CheckName("domain", in.Domain)...)
	fs = append(fs, CheckName("region", in.Region)...)
	if !in.Caller.IsValid() {
		fs.Add("caller", "must be an IP address and a port")
	}
	if !in.Peer.IsValid() {
		fs.Add("peer", "must be an IP address and a port")
	}
	return fs
}
