package keelconfig

import (
	"net/netip"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelbudget"
)

// Settings is the configuration that one instance needs before it has contact
// with any other.
type Settings struct {
	// Instance is the name of the instance, as in its certificate.
	Instance keel.InstanceName `json:"instance"`
	// Domain is the failure domain of the instance.
	Domain keel.DomainName `json:"domain"`
	// Region is the region of the failure domain.
	Region keel.RegionName `json:"region"`
	// Listen holds the addresses that the instance listens on.
	Listen Listen `json:"listen"`
	// Advertise holds the addresses that others use to reach the instance,
	// where they differ from those in listen.
	Advertise Advertise `json:"advertise,omitzero"`
	// Join lists the peer addresses of instances to contact first. It may
	// include the instance's own.
	Join []netip.AddrPort `json:"join,omitempty"`
	// Keys is the folder of keys. A relative path is resolved against the folder
	// of the settings file.
	Keys string `json:"keys"`
	// DataDir is the folder for state that outlives the process. Voters need
	// one. A relative path is resolved against the folder of the settings file.
	DataDir string `json:"data_dir,omitempty"`
	// Voter says that the instance is a voter, which stores the replicated
	// declarations.
	Voter bool `json:"voter,omitempty"`
	// Voters names the initial set of voters. It must be the same at all voters.
	Voters []keel.InstanceName `json:"voters,omitempty"`
	Log    Log                 `json:"log,omitzero"`
	Limits Limits              `json:"limits,omitzero"`
	Timing Timing              `json:"timing,omitzero"`
	Memory Memory              `json:"memory,omitzero"`
	// FaultInjection lets operators make the instance drop packets from and to
	// others, for tests. It must be off in production.
	FaultInjection bool `json:"fault_injection,omitempty"`
}

// Listen holds the addresses that an instance listens on. Port 0 lets the
// operating system choose a free port.
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

// Advertise holds the addresses that others use instead of those in [Listen]. An
// instance that listens on every address must give them.
type Advertise struct {
	Caller netip.AddrPort `json:"caller,omitzero"`
	Peer   netip.AddrPort `json:"peer,omitzero"`
}

// Log says what is logged and where.
type Log struct {
	// Level is the lowest level that is logged: debug, info, warning or error.
	Level string `json:"level,omitempty"`
	// File is the file that the log is appended to; empty means standard error.
	File string `json:"file,omitempty"`
}

// Limits holds the limits on the requests and connections of callers.
type Limits struct {
	// MaxHeaderBytes limits the header of a request.
	MaxHeaderBytes int `json:"max_header_bytes,omitempty"`
	// MaxKeyedBodyBytes limits the body of a request that must not run twice.
	MaxKeyedBodyBytes int64 `json:"max_keyed_body_bytes,omitempty"`
	// MaxInFlight limits the requests that the instance handles at once.
	MaxInFlight int `json:"max_in_flight,omitempty"`
	// MaxConnections limits the open connections of callers.
	MaxConnections int `json:"max_connections,omitempty"`
}

// Timing holds the intervals and timeouts of an instance.
type Timing struct {
	// Heartbeat is the interval of heartbeats inside a failure domain.
	Heartbeat keel.Duration `json:"heartbeat,omitempty"`
	// LookupTTL is how long callers may use the answer to a look-up.
	LookupTTL keel.Duration `json:"lookup_ttl,omitempty"`
	// StopGrace limits the duration of a planned stop. Requests that are still
	// in flight at its end are interrupted.
	StopGrace keel.Duration `json:"stop_grace,omitempty"`
	// BodyIdle is how long a caller may pause while it sends a request, before
	// the instance stops waiting for the rest.
	BodyIdle keel.Duration `json:"body_idle,omitempty"`
}

// Memory holds the memory target of the process.
type Memory struct {
	// SoftLimitBytes is the target for the memory that the Go runtime holds,
	// without the pages of the executable file. It is not applied while the
	// live heap is too large for it; 0 means no limit.
	SoftLimitBytes int64 `json:"soft_limit_bytes"`
	// LimitBytes is the memory that the process may use. A part of it limits what
	// callers hold.
	LimitBytes int64 `json:"limit_bytes,omitempty"`
}

// Default returns the values of fields that a settings file leaves out.
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
		Memory: Memory{SoftLimitBytes: 40 << 20, LimitBytes: keelbudget.DefaultMemory},
	}
}

// AdvertisedCaller returns the address that callers use to reach an instance
// that listens on bound.
func (s *Settings) AdvertisedCaller(bound netip.AddrPort) netip.AddrPort {
	return advertised(s.Advertise.Caller, bound)
}

// AdvertisedPeer returns the address that other instances use to reach an
// instance that listens on bound.
func (s *Settings) AdvertisedPeer(bound netip.AddrPort) netip.AddrPort {
	return advertised(s.Advertise.Peer, bound)
}

func advertised(override, bound netip.AddrPort) netip.AddrPort {
	if override.IsValid() {
		return override
	}
	return bound
}
