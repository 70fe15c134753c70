package keelroute

import (
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// SettlingConfig configures [Settling]. Zero values mean the defaults.
type SettlingConfig struct {
	// Ratio is how many times its usual latency a domain's present latency must
	// exceed to count as unsettled. Default 1.5.
	Ratio float64
	// Longest is for how long after the growth of its share a domain can count
	// as unsettled. Default 30 s.
	Longest time.Duration
}

// Settling tells which failure domains have not come to rest after their share
// grew: a cold cache shows as latency above the usual. It is kept per service.
type Settling struct {
	cfg     SettlingConfig
	domains map[keel.DomainName]*settlingDomain
}

type settlingDomain struct {
	usual, present Average
	grewAt         time.Time
}

const (
	usualOver   = time.Minute
	presentOver = 2 * time.Second
)

// NewSettling returns a Settling that has seen nothing.
func NewSettling(cfg SettlingConfig) *Settling {
	if cfg.Ratio <= 1 {
		cfg.Ratio = 1.5
	}
	if cfg.Longest <= 0 {
		cfg.Longest = 30 * time.Second
	}
	return &Settling{cfg: cfg, domains: map[keel.DomainName]*settlingDomain{}}
}

func (s *Settling) domain(name keel.DomainName) *settlingDomain {
	d, ok := s.domains[name]
	if !ok {
		d = &settlingDomain{usual: NewAverage(usualOver), present: NewAverage(presentOver)}
		s.domains[name] = d
	}
	return d
}

// Observe takes in how long a request held a slot in a domain.
func (s *Settling) Observe(now time.Time, name keel.DomainName, latency time.Duration) {
	d := s.domain(name)
	d.present.Observe(now, latency.Seconds())
	if !s.Unsettled(now, name) {
		d.usual.Observe(now, latency.Seconds())
	}
}

// Grew says that the share of a domain has grown.
func (s *Settling) Grew(now time.Time, name keel.DomainName) { s.domain(name).grewAt = now }

// Unsettled reports whether the domain's share should not grow further now.
func (s *Settling) Unsettled(now time.Time, name keel.DomainName) bool {
	d := s.domain(name)
	if d.grewAt.IsZero() || now.Sub(d.grewAt) > s.cfg.Longest {
		return false
	}
	return d.usual.Value() > 0 && d.present.Value() > s.cfg.Ratio*d.usual.Value()
}
