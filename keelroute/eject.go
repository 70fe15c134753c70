package keelroute

import (
	"slices"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// EjectorConfig configures an [Ejector]. Zero values mean the defaults.
type EjectorConfig struct {
	// Failures is how many requests in a row must fail. Default 5.
	Failures int
	// Base is how long the first ejection lasts; later ones last longer.
	// Default 10 s.
	Base time.Duration
	// MaxPart is the part of the endpoints that may be ejected at once.
	// Default 0.34.
	MaxPart float64
	// Slow is how many times the pool's mean latency an endpoint's may be.
	// Default 5.
	Slow float64
}

// Ejector keeps new work away from endpoints that fail or are slow beside
// their pool, but never from more than a bounded part of them.
type Ejector struct {
	cfg  EjectorConfig
	pool []*ejection
}

type ejection struct {
	id       keel.EndpointID
	failures int
	times    int
	until    time.Time
	latency  float64
	answers  int
}

const (
	latencyWeight = 0.1
	// fewestAnswers is how many answers make an endpoint's latency count.
	fewestAnswers = 20
	// maxEjectFactor bounds how much longer repeated ejections last.
	maxEjectFactor = 6
)

// NewEjector returns an ejector that has seen nothing.
func NewEjector(cfg EjectorConfig) *Ejector {
	if cfg.Failures <= 0 {
		cfg.Failures = 5
	}
	if cfg.Base <= 0 {
		cfg.Base = 10 * time.Second
	}
	if cfg.MaxPart <= 0 {
		cfg.MaxPart = 0.34
	}
	if cfg.Slow <= 1 {
		cfg.Slow = 5
	}
	return &Ejector{cfg: cfg}
}

// Add makes the endpoint part of the pool.
func (e *Ejector) Add(id keel.EndpointID) {
	if e.find(id) == nil {
		e.pool = append(e.pool, &ejection{id: id})
	}
}

func (e *Ejector) find(id keel.EndpointID) *ejection {
	for _, s := range e.pool {
		if s.id == id {
			return s
		}
	}
	return nil
}

// Remove forgets an endpoint that has left.
func (e *Ejector) Remove(id keel.EndpointID) {
	e.pool = slices.DeleteFunc(e.pool, func(s *ejection) bool { return s.id == id })
}

// Observe records the end of a request at an endpoint of the pool.
func (e *Ejector) Observe(now time.Time, id keel.EndpointID, ok bool, latency time.Duration) {
	s := e.find(id)
	if s == nil {
		return
	}
	if !ok {
		s.failures++
		if s.failures >= e.cfg.Failures {
			e.eject(now, s)
		}
		return
	}
	s.failures = 0
	s.observe(latency.Seconds())
	if s.answers >= fewestAnswers && s.latency > e.cfg.Slow*e.meanOfOthers(s) {
		e.eject(now, s)
	}
}

func (s *ejection) observe(latency float64) {
	if s.answers == 0 {
		s.latency = latency
	}
	s.answers++
	s.latency += latencyWeight * (latency - s.latency)
}

func (e *Ejector) meanOfOthers(but *ejection) float64 {
	sum, n := 0.0, 0
	for _, s := range e.pool {
		if s != but && s.answers >= fewestAnswers {
			sum += s.latency
			n++
		}
	}
	if n == 0 {
		return but.latency
	}
	return sum / float64(n)
}

func (e *Ejector) eject(now time.Time, s *ejection) {
	if now.Before(s.until) || e.ejected(now)+1 > int(e.cfg.MaxPart*float64(len(e.pool))) {
		return
	}
	s.times = min(s.times+1, maxEjectFactor)
	s.until = now.Add(time.Duration(s.times) * e.cfg.Base)
	s.failures = 0
	s.answers = 0
}

func (e *Ejector) ejected(now time.Time) int {
	n := 0
	for _, s := range e.pool {
		if now.Before(s.until) {
			n++
		}
	}
	return n
}

// Ejected reports whether the endpoint should get no new work now.
func (e *Ejector) Ejected(now time.Time, id keel.EndpointID) bool {
	s := e.find(id)
	return s != nil && now.Before(s.until)
}

// Until returns when the endpoint's ejection ends; the zero time means that it
// was never ejected.
func (e *Ejector) Until(id keel.EndpointID) time.Time {
	if s := e.find(id); s != nil {
		return s.until
	}
	return time.Time{}
}
