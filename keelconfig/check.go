package keelconfig

import (
	"net/netip"
	"slices"
	"strconv"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelbudget"
)

// Ranges of the values that settings may have.
const (
	minHeaderBytes    = 1 << 10
	maxHeaderBytes    = 1 << 20
	maxKeyedBodyBytes = 64 << 20
	maxInFlight       = 1 << 20
	maxVoters         = 7
	minSoftLimitBytes = 16 << 20
	maxSoftLimitBytes = 1 << 40
	minLimitBytes     = 64 << 20
	maxLimitBytes     = 1 << 40

	// What a request holds for each byte of its header, if its fields are short, and of a body
	// that is buffered, while the buffer grows.
	heldPerHeaderByte = 128
	heldPerKeyedByte  = 2

	minHeartbeat = keel.Duration(50 * time.Millisecond)
	maxHeartbeat = keel.Duration(time.Minute)
	minLookupTTL = keel.Duration(100 * time.Millisecond)
	maxLookupTTL = keel.Duration(time.Hour)
	minStopGrace = keel.Duration(time.Second)
	maxStopGrace = keel.Duration(24 * time.Hour)
	minBodyIdle  = keel.Duration(time.Second)
	maxBodyIdle  = keel.Duration(time.Hour)
)

var logLevels = []string{"debug", "info", "warning", "error"}

// Check returns every fault of the settings.
func (s *Settings) Check() keel.Faults {
	fs := keel.CheckName("instance", s.Instance)
	fs = append(fs, keel.CheckName("domain", s.Domain)...)
	fs = append(fs, keel.CheckName("region", s.Region)...)
	fs.Under("listen", s.Listen.check())
	fs.Under("advertise", s.Advertise.check(s.Listen))
	for i, addr := range s.Join {
		checkReachable(&fs, "join["+strconv.Itoa(i)+"]", addr)
	}
	if s.Keys == "" {
		fs.Add("keys", "must name a folder; \"greengagekeel keys\" creates one")
	}
	fs = append(fs, s.checkVoters()...)
	if !slices.Contains(logLevels, s.Log.Level) {
		fs.Add("log.level", "is %q, must be one of %q", s.Log.Level, logLevels)
	}
	fs.Under("limits", s.Limits.check())
	fs.Under("timing", s.Timing.check())
	fs.Under("memory", s.Memory.check())
	share := keelbudget.ShareOf(s.Memory.LimitBytes, 0)
	if held := max(heldPerHeaderByte*int64(s.Limits.MaxHeaderBytes), heldPerKeyedByte*s.Limits.MaxKeyedBodyBytes); !share.Fits(held) {
		fs.Add("memory.limit_bytes", "is %d, too little for a request of the size that limits allows, which may hold %d bytes", s.Memory.LimitBytes, held)
	}
	return fs
}

func (s *Settings) checkVoters() keel.Faults {
	var fs keel.Faults
	if len(s.Voters) > maxVoters || len(s.Voters) > 0 && len(s.Voters)%2 == 0 {
		fs.Add("voters", "has %d names, must have an odd number up to %d", len(s.Voters), maxVoters)
	}
	for i, name := range s.Voters {
		at := "voters[" + strconv.Itoa(i) + "]"
		fs = append(fs, keel.CheckName(at, name)...)
		if slices.Contains(s.Voters[:i], name) {
			fs.Add(at, "%q is named twice", name)
		}
	}
	if s.Voter && s.DataDir == "" {
		fs.Add("data_dir", "must name a folder, since the instance is a voter")
	}
	if !s.Voter && slices.Contains(s.Voters, s.Instance) {
		fs.Add("voter", "must be true, since voters names the instance")
	}
	return fs
}

func (l Listen) check() keel.Faults {
	var fs keel.Faults
	checkAddress(&fs, "caller", l.Caller)
	checkAddress(&fs, "endpoint", l.Endpoint)
	checkAddress(&fs, "operator", l.Operator)
	checkAddress(&fs, "peer", l.Peer)
	tcpPorts := []struct {
		field string
		addr  netip.AddrPort
	}{{"caller", l.Caller}, {"endpoint", l.Endpoint}, {"operator", l.Operator}}
	for i, a := range tcpPorts {
		for _, b := range tcpPorts[:i] {
			if a.addr == b.addr && a.addr.Port() != 0 {
				fs.Add(a.field, "is %s, the same as %s, must be a different address", a.addr, b.field)
			}
		}
	}
	return fs
}

func (a Advertise) check(l Listen) keel.Faults {
	var fs keel.Faults
	checkAdvertised(&fs, "caller", a.Caller, l.Caller)
	checkAdvertised(&fs, "peer", a.Peer, l.Peer)
	return fs
}

func checkAddress(fs *keel.Faults, field string, addr netip.AddrPort) {
	if !addr.IsValid() {
		fs.Add(field, "must be an IP address and a port, such as \"127.0.0.1:7401\"")
	}
}

func checkReachable(fs *keel.Faults, field string, addr netip.AddrPort) {
	if !addr.IsValid() || addr.Port() == 0 || addr.Addr().IsUnspecified() {
		fs.Add(field, "must be an IP address and a port other than 0")
	}
}

func checkAdvertised(fs *keel.Faults, field string, addr, listen netip.AddrPort) {
	if addr.IsValid() {
		checkReachable(fs, field, addr)
		return
	}
	if listen.IsValid() && listen.Addr().IsUnspecified() {
		fs.Add(field, "must be given, since the instance listens on every address")
	}
}

func (l Limits) check() keel.Faults {
	var fs keel.Faults
	checkRange(&fs, "max_header_bytes", l.MaxHeaderBytes, minHeaderBytes, maxHeaderBytes)
	checkRange(&fs, "max_keyed_body_bytes", l.MaxKeyedBodyBytes, 1, maxKeyedBodyBytes)
	checkRange(&fs, "max_in_flight", l.MaxInFlight, 1, maxInFlight)
	checkRange(&fs, "max_connections", l.MaxConnections, 1, maxInFlight)
	return fs
}

func (t Timing) check() keel.Faults {
	var fs keel.Faults
	checkRange(&fs, "heartbeat", t.Heartbeat, minHeartbeat, maxHeartbeat)
	checkRange(&fs, "lookup_ttl", t.LookupTTL, minLookupTTL, maxLookupTTL)
	checkRange(&fs, "stop_grace", t.StopGrace, minStopGrace, maxStopGrace)
	checkRange(&fs, "body_idle", t.BodyIdle, minBodyIdle, maxBodyIdle)
	if t.StopGrace < t.LookupTTL {
		fs.Add("stop_grace", "is %s, must be at least lookup_ttl, which is %s", t.StopGrace, t.LookupTTL)
	}
	return fs
}

func (m Memory) check() keel.Faults {
	var fs keel.Faults
	if m.SoftLimitBytes != 0 {
		checkRange(&fs, "soft_limit_bytes", m.SoftLimitBytes, minSoftLimitBytes, maxSoftLimitBytes)
	}
	checkRange(&fs, "limit_bytes", m.LimitBytes, minLimitBytes, maxLimitBytes)
	return fs
}

func checkRange[T int | int64 | keel.Duration](fs *keel.Faults, field string, v, low, high T) {
	if v < low || v > high {
		fs.Add(field, "is %v, must lie between %v and %v", v, low, high)
	}
}
