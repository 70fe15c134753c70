package keelconfig

import (
	"net/netip"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// Settings is what one instance needs to know before it meets any other.
type Settings struct {
	// Instance is the name of the instance, as in its certificate.
	Instance keel.InstanceName `json:"instance"`
	// Domain is the failure domain that the instance stands in.
	Domain keel.DomainName `json:"domain"`
	// Region is the region of the failure domain.
	Region keel.RegionName `json:"region"`
	// Listen holds the addresses of the instance's own ports.
	Listen Listen `json:"listen"`
	// Advertise holds the addresses under which others reach the instance,
	// where they differ from those in listen.
	Advertise Advertise `json:"advertise,omitzero"`
	// Join lists peer addresses of instances to meet first. It may name the
	// instance itself.
	Join []netip.AddrPort `json:"join,omitempty"`
	// Keys is the folder of keys. A relative path starts at the folder of the
	// settings file.
	Keys string `json:"keys"`
	// DataDir is the folder for state that outlives the process. Voters need
	// one. A relative path starts at the folder of the settings file.
	DataDir string `json:"data_dir,omitempty"`
	// Voter says that the instance keeps the replicated declarations.
	Voter bool `json:"voter,omitempty"`
	// Voters names the first set of voters. All voters start with the same.
	Voters []keel.InstanceName `json:"voters,omitempty"`
	Log    Log                 `json:"log,omitzero"`
	Limits Limits              `json:"limits,omitzero"`
	Timing Timing              `json:"timing,omitzero"`
	Memory Memory              `json:"memory,omitzero"`
	// FaultInjection lets operators cut the instance off from others for
	// tests. It must be off in production.
	FaultInjection bool `json:"fault_injection,omitempty"`
}

// Listen holds the addresses that an instance listens on. Port 0 takes a free
// port.
type Listen struct {
	// Caller serves look-ups and requests.
	Caller netip.AddrPort `json:"caller"`
	// Endpoint serves announcements of endpoints.
	Endpoint netip.AddrPort `json:"endpoint"`
	// Operator serves declarations, the state dump, metrics and health.
	Operator netip.AddrPort `json:"operator"`
	// Peer serves other instances, over UDP.
	Peer netip.AddrPort `json:"peer"`
}

// Advertise holds addresses that replace those of Listen for others.
type Advertise struct {
	Caller netip.AddrPort `json:"caller,omitzero"`
	Peer   netip.AddrPort `json:"peer,omitzero"`
}

// Log says what is logged and where.
type Log struct {
	// Level is the lowest level that is logged: debug, info, warning or error.
	Level string `json:"level,omitempty"`
	// File gets the log; empty means standard error.
	File string `json:"file,omitempty"`
}

// Limits bounds what callers may ask of an instance.
type Limits struct {
	// MaxHeaderBytes bounds the header of a request.
	MaxHeaderBytes int `json:"max_header_bytes,omitempty"`
	// MaxKeyedBodyBytes bounds the body of a request that must not run twice.
	MaxKeyedBodyBytes int64 `json:"max_keyed_body_bytes,omitempty"`
	// MaxInFlight bounds the requests that the instance handles at once.
	MaxInFlight int `json:"max_in_flight,omitempty"`
	// MaxConnections bounds the connections of callers.
	MaxConnections int `json:"max_connections,omitempty"`
}

// Timing holds the intervals that an instance works by.
type Timing struct {
	// Heartbeat is the time between signs of life inside a failure domain.
	Heartbeat keel.Duration `json:"heartbeat,omitempty"`
	// LookupTTL is how long callers may use the answer to a look-up.
	LookupTTL keel.Duration `json:"lookup_ttl,omitempty"`
	// StopGrace bounds a planned stop. What is in flight then is cut.
	StopGrace keel.Duration `json:"stop_grace,omitempty"`
	// BodyIdle is how long a caller may send nothing of a request that it has
	// begun, while the instance waits for it.
	BodyIdle keel.Duration `json:"body_idle,omitempty"`
}

// Memory says how much memory the process should stay in.
type Memory struct {
	// SoftLimitBytes is what the program's own memory is kept below, without
	// the pages of its file, while its live heap leaves room; 0 means no limit.
	SoftLimitBytes int64 `json:"soft_limit_bytes"`
}

// Default returns the settings that hold where a file says nothing.
func Default() Settings {
	return Settings{
		Log: Log{Level: "info"},
		Limits: Limits{
			MaxHeaderBytes:    16 << 10,
			MaxKeyedBodyBytes: 1 << 20,
			MaxInFlight:       4096,
			MaxConnections:    16_384,
		},
		Timing: Timing{
			Heartbeat: keel.Duration(time.Second),
			LookupTTL: keel.Duration(5 * time.Second),
			StopGrace: keel.Duration(10 * time.Minute),
			BodyIdle:  keel.Duration(30 * time.Second),
		},
		Memory: Memory{SoftLimitBytes: 40 << 20},
	}
}

// AdvertisedCaller returns the address under which callers reach an instance
// that listens on bound.
func (s *Settings) AdvertisedCaller(bound netip.AddrPort) netip.AddrPort {
	return advertised(s.Advertise.Caller, bound)
}

// AdvertisedPeer returns the address under which other instances reach an
// instance that listens on bound.
func (s *Settings) AdvertisedPeer(bound netip.AddrPort) netip.AddrPort {
	return advertised(s.Advertise.Peer, bound)
}

func advertised(own, bound netip.AddrPort) netip.AddrPort {
	if own.IsValid() {
		return own
	}
	return bound
}
