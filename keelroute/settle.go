package keelroute

import (
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// SettlingConfig configures [Settling]. Zero values mean the defaults.
type SettlingConfig struct {
	// Ratio is the ratio of recent to baseline latency above which a domain
	// counts as unsettled. Default 1.5.
	Ratio float64
	// MaxDuration is how long after its share last grew a domain can count as
	// unsettled. Default 30 s.
	MaxDuration time.Duration
}

// Settling detects failure domains whose latency is still raised after their
// share of the traffic grew, as with cold caches. Use one Settling per service.
type Settling struct {
	cfg     SettlingConfig
	domains map[keel.DomainName]*settlingDomain
}

type settlingDomain struct {
	baseline, recent Average
	shareGrewAt      time.Time
}

// Time constants of the two averages.
const (
	baselineTau = time.Minute
	recentTau   = 2 * time.Second
)

// NewSettling returns a Settling without observations.
func NewSettling(cfg SettlingConfig) *Settling {
	if cfg.Ratio <= 1 {
		cfg.Ratio = 1.5
	}
	if cfg.MaxDuration <= 0 {
		cfg.MaxDuration = 30 * time.Second
	}
	return &Settling{cfg: cfg, domains: map[keel.DomainName]*settlingDomain{}}
}

func (s *Settling) domain(name keel.DomainName) *settlingDomain {
	d, ok := s.domains[name]
	if !ok {
		d = &settlingDomain{baseline: NewAverage(baselineTau), recent: NewAverage(recentTau)}
		s.domains[name] = d
	}
	return d
}

// Observe records the latency of a request that ran in a domain. The baseline is
// not updated while the domain is unsettled.
func (s *Settling) Observe(now time.Time, name keel.DomainName, latency time.Duration) {
	d := s.domain(name)
	d.recent.Observe(now, latency.Seconds())
	if !s.Unsettled(now, name) {
		d.baseline.Observe(now, latency.Seconds())
	}
}

// RecordGrowth records that the share of a domain grew at now.
func (s *Settling) RecordGrowth(now time.Time, name keel.DomainName) {
	s.domain(name).shareGrewAt = now
}

// Unsettled reports whether the domain's latency is still raised since its
// share last grew. While it is, the share should not grow further.
func (s *Settling) Unsettled(now time.Time, name keel.DomainName) bool {
	d := s.domain(name)
	if d.shareGrewAt.IsZero() || now.Sub(d.shareGrewAt) > s.cfg.MaxDuration {
		return false
	}
	return d.baseline.Value() > 0 && d.recent.Value() > s.cfg.Ratio*d.baseline.Value()
}
