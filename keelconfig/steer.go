package keelconfig

import (
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
)

// Role says which requests an instance serves.
type Role string

// Roles of an instance that discovers the others through seeds.
const (
	// RoleEntry serves callers' requests. It stores nothing on disk.
	RoleEntry Role = "entry"
	// RoleControl is a voter. It serves announcements and declarations.
	RoleControl Role = "control"
)

// PeerTrust says how instances authenticate each other.
type PeerTrust string

// TrustUnverified accepts every process that reaches the peer port as the
// instance that it claims to be. See docs/operate/seeds.md for the risk.
const TrustUnverified PeerTrust = "unverified"

// SteerSettings holds the settings of an instance that discovers the others through
// seeds.
type SteerSettings struct {
	Name   keel.InstanceName `json:"name"`
	Role   Role              `json:"role"`
	Domain keel.DomainName   `json:"domain"`
	Region keel.RegionName   `json:"region"`
	// Address is the IP address of the instance, by which other instances also
	// identify it.
	Address netip.Addr `json:"address"`
	// Regions maps each failure domain to its region.
	Regions map[keel.DomainName]keel.RegionName `json:"regions"`
	Listen  SteerListen                         `json:"listen"`
	// PeerPort is the UDP port for other control instances, and the TCP port for entry
	// instances. It must be the same at all of them.
	PeerPort uint16 `json:"peer_port"`
	// OperatorPort serves metrics and the state dump; 0 means that neither is
	// served.
	OperatorPort uint16 `json:"operator_port,omitempty"`
	// Seeds are the control addresses of some control instances, which are
	// contacted first.
	Seeds []netip.AddrPort `json:"seeds"`
	// Bootstrap says that the system as a whole starts for the first time, so
	// that there is no state to join.
	Bootstrap bool `json:"bootstrap,omitempty"`
	// DataDir is the folder for the state of a control instance.
	DataDir   string    `json:"data_dir,omitempty"`
	PeerTrust PeerTrust `json:"peer_trust"`
	// MemoryMB is the memory that the process may use, in megabytes.
	MemoryMB int `json:"memory_mb,omitempty"`
	// LinkMbps is the rate of the instance's network link in each direction, in
	// megabits per second; 0 means that it is not known.
	LinkMbps float64     `json:"link_mbps,omitempty"`
	Timing   SteerTiming `json:"timing"`
	Bounds   SteerBounds `json:"bounds"`
	LogLevel string      `json:"log_level,omitempty"`
}

// SteerListen holds the addresses that an instance listens on. Addresses that
// its role does not serve are left out.
type SteerListen struct {
	Caller  netip.AddrPort `json:"caller,omitzero"`
	Ready   netip.AddrPort `json:"ready,omitzero"`
	Lookup  netip.AddrPort `json:"lookup,omitzero"`
	Control netip.AddrPort `json:"control,omitzero"`
}

// SteerTiming holds the intervals and timeouts of an instance.
type SteerTiming struct {
	// HeartbeatMS is the interval at which an endpoint announces itself, in
	// milliseconds.
	HeartbeatMS int `json:"heartbeat_ms"`
	// GraceS is the time from a signal to stop until the process is killed, in
	// seconds.
	GraceS float64 `json:"grace_s"`
	// LookupTTLS is the longest time that callers may use the answer to a
	// look-up, in seconds.
	LookupTTLS float64 `json:"lookup_ttl_s"`
}

// SteerBounds holds limits that apply to the system as a whole.
type SteerBounds struct {
	// RetryRatio is the fraction of a service's requests that may be sent to a
	// second endpoint. RetrySlack is how many retries are allowed in each
	// window beyond that.
	RetryRatio float64 `json:"retry_ratio"`
	RetrySlack float64 `json:"retry_slack"`
	// RetryWindowS is the length of that window, in seconds.
	RetryWindowS float64 `json:"retry_window_s"`
	// MaxShift is the cap on shift: the fraction of a region's requests that
	// may be moved to another region within a window of 2 s.
	MaxShift float64 `json:"max_shift"`
}

// Grace returns the time from a signal to stop until the process is killed.
func (t *SteerTiming) Grace() time.Duration { return seconds(t.GraceS) }

// LookupTTL returns the longest time that callers may use the answer to a
// look-up.
func (t *SteerTiming) LookupTTL() time.Duration { return seconds(t.LookupTTLS) }

// RetryWindow returns the window over which retries are limited.
func (b *SteerBounds) RetryWindow() time.Duration { return seconds(b.RetryWindowS) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// LoadSteer reads and checks the settings of an instance that discovers the
// others through seeds. The error for invalid settings is [keel.Faults], which
// name the file and the field.
func LoadSteer(file string) (*SteerSettings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	s := &SteerSettings{}
	err = keel.DecodeJSON(data, s)
	var faults keel.Faults
	if errors.As(err, &faults) {
		return nil, faults.InFile(file)
	}
	if err != nil {
		return nil, errors.Wrapf(err, "read settings from %s", file)
	}
	return s, nil
}

// Check returns every fault of the settings.
func (s *SteerSettings) Check() keel.Faults {
	fs := keel.CheckName("name", s.Name)
	if s.LogLevel != "" && !slices.Contains(logLevels, s.LogLevel) {
		fs.Add("log_level", "is %q, must be one of %q", s.LogLevel, logLevels)
	}
	if s.Domain == "" || s.Region == "" {
		fs.Add("domain", "failure domain and region must not be empty")
	}
	if !s.Address.IsValid() {
		fs.Add("address", "must be an IP address")
	}
	if s.PeerPort == 0 {
		fs.Add("peer_port", "must not be 0")
	}
	if len(s.Seeds) == 0 {
		fs.Add("seeds", "must name at least one instance")
	}
	if s.PeerTrust != TrustUnverified {
		fs.Add("peer_trust", "is %q, must be %q; an instance with keys uses other settings", s.PeerTrust, TrustUnverified)
	}
	switch s.Role {
	case RoleEntry:
		if !s.Listen.Caller.IsValid() || !s.Listen.Ready.IsValid() {
			fs.Add("listen", "an entry instance needs caller and ready")
		}
	case RoleControl:
		if !s.Listen.Control.IsValid() {
			fs.Add("listen.control", "must be given")
		}
		if s.DataDir == "" {
			fs.Add("data_dir", "must be given")
		}
	default:
		fs.Add("role", "is %q, must be %q or %q", s.Role, RoleEntry, RoleControl)
	}
	if s.Timing.HeartbeatMS <= 0 || s.Timing.GraceS <= 0 || s.Timing.LookupTTLS <= 0 {
		fs.Add("timing", "heartbeat_ms, grace_s and lookup_ttl_s must be more than 0")
	}
	if s.MemoryMB < 0 {
		fs.Add("memory_mb", "is %d, must not be negative", s.MemoryMB)
	}
	if s.LinkMbps < 0 {
		fs.Add("link_mbps", "is %v, must not be negative", s.LinkMbps)
	}
	if s.Bounds.RetryRatio < 0 || s.Bounds.RetrySlack < 0 || s.Bounds.MaxShift < 0 {
		fs.Add("bounds", "must not be negative")
	}
	return fs
}

// RegionOf returns the region of a failure domain, or the empty name if the
// settings do not list the domain.
func (s *SteerSettings) RegionOf(d keel.DomainName) keel.RegionName { return s.Regions[d] }

// MemoryBytes returns the memory that the process may use, in bytes, or 0 if it is not known.
func (s *SteerSettings) MemoryBytes() int64 { return int64(s.MemoryMB) << 20 }

// LinkBytesPerSecond returns the rate of the instance's network link in each
// direction, or 0 if it is not known.
func (s *SteerSettings) LinkBytesPerSecond() float64 { return s.LinkMbps * 1e6 / 8 }

// SeedAddrs returns the IP addresses of the seeds.
func (s *SteerSettings) SeedAddrs() []netip.Addr {
	addrs := make([]netip.Addr, len(s.Seeds))
	for i, a := range s.Seeds {
		addrs[i] = a.Addr()
	}
	return addrs
}
