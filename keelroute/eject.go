package keelroute

import (
	"slices"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// EjectorConfig configures an [Ejector]. Zero values mean the defaults.
type EjectorConfig struct {
	// ConsecutiveFailures is how many requests in a row must fail before the
	// endpoint is ejected. Default 5.
	ConsecutiveFailures int
	// BaseDuration is how long the first ejection lasts. The nth ejection lasts
	// n times as long, up to maxEjectionFactor times. Default 10 s.
	BaseDuration time.Duration
	// MaxFraction is the largest fraction of the endpoints that may be ejected
	// at once, except for failures while there is an alternative to the pool; see
	// [Ejector.SetAlternative]. Default 0.34.
	MaxFraction float64
	// SlowFactor ejects an endpoint whose mean latency exceeds that of the other
	// endpoints by more than this factor. Default 5.
	SlowFactor float64
}

// Ejector implements outlier ejection for the endpoints of one pool: endpoints
// that fail repeatedly, or are much slower than the others, get no new work for
// a while. The fraction of endpoints that are ejected at once is bounded, unless
// another pool can serve the requests.
type Ejector struct {
	cfg       EjectorConfig
	endpoints []*endpointHealth
	// alternative is whether another pool can serve the requests of this one.
	alternative bool
}

type endpointHealth struct {
	id                  keel.EndpointID
	consecutiveFailures int
	// shedLast is whether it turned its last request away.
	shedLast     bool
	ejections    int
	ejectedUntil time.Time
	// excess is whether the ejection exceeds MaxFraction. It ends when there is no
	// alternative to the pool.
	excess         bool
	meanLatency    float64
	latencySamples int
}

const (
	// latencyWeight is the weight of one response in the mean latency.
	latencyWeight = 0.1
	// minLatencySamples is how many responses an endpoint's mean latency needs
	// before it is compared.
	minLatencySamples = 20
	// maxEjectionFactor is the largest multiple of EjectorConfig.BaseDuration
	// that an ejection lasts.
	maxEjectionFactor = 6
	// excessFactor is the multiple of EjectorConfig.ConsecutiveFailures after which an
	// endpoint is ejected beyond MaxFraction. An endpoint that fails only some of
	// its requests rarely reaches it: it serves more callers than a cap on shift may
	// let another pool serve.
	excessFactor = 2
)

// NewEjector returns an ejector for an empty pool.
func NewEjector(cfg EjectorConfig) *Ejector {
	if cfg.ConsecutiveFailures <= 0 {
		cfg.ConsecutiveFailures = 5
	}
	if cfg.BaseDuration <= 0 {
		cfg.BaseDuration = 10 * time.Second
	}
	if cfg.MaxFraction <= 0 {
		cfg.MaxFraction = 0.34
	}
	if cfg.SlowFactor <= 1 {
		cfg.SlowFactor = 5
	}
	return &Ejector{cfg: cfg}
}

// Add adds the endpoint to the pool, unless it is there already.
func (e *Ejector) Add(id keel.EndpointID) {
	if e.find(id) == nil {
		e.endpoints = append(e.endpoints, &endpointHealth{id: id})
	}
}

func (e *Ejector) find(id keel.EndpointID) *endpointHealth {
	for _, s := range e.endpoints {
		if s.id == id {
			return s
		}
	}
	return nil
}

// Remove removes an endpoint and its statistics from the pool.
func (e *Ejector) Remove(id keel.EndpointID) {
	e.endpoints = slices.DeleteFunc(e.endpoints, func(s *endpointHealth) bool { return s.id == id })
}

// ObserveShed records that an endpoint turned a request away. Without an alternative that is
// no evidence, since the endpoint may be full. With one, an endpoint that turns away every
// request is ejected like one that fails: its answers are complete, so that nothing else
// would move its callers to the endpoints that have room.
func (e *Ejector) ObserveShed(now time.Time, id keel.EndpointID) {
	if e.alternative || e.anotherWorks(now, id) {
		e.Observe(now, id, false, 0)
	}
	if s := e.find(id); s != nil {
		s.shedLast = true
	}
}

// anotherWorks reports whether an endpoint other than the given one takes requests and
// served the last one that it got.
func (e *Ejector) anotherWorks(now time.Time, but keel.EndpointID) bool {
	return slices.ContainsFunc(e.endpoints, func(s *endpointHealth) bool {
		return s.id != but && !s.shedLast && s.consecutiveFailures == 0 && s.latencySamples > 0 && !now.Before(s.ejectedUntil)
	})
}

// Observe records the result of a request at an endpoint, and ejects the
// endpoint if it has become an outlier. Endpoints outside the pool are ignored.
func (e *Ejector) Observe(now time.Time, id keel.EndpointID, ok bool, latency time.Duration) {
	s := e.find(id)
	if s == nil {
		return
	}
	if !ok {
		s.consecutiveFailures++
		if s.consecutiveFailures >= e.cfg.ConsecutiveFailures {
			e.eject(now, s, e.alternative && s.consecutiveFailures >= excessFactor*e.cfg.ConsecutiveFailures)
		}
		return
	}
	s.consecutiveFailures, s.shedLast = 0, false
	s.observe(latency.Seconds())
	if s.latencySamples >= minLatencySamples && s.meanLatency > e.cfg.SlowFactor*e.meanLatencyOfOthers(s) {
		e.eject(now, s, false)
	}
}

func (s *endpointHealth) observe(latency float64) {
	if s.latencySamples == 0 {
		s.meanLatency = latency
	}
	s.latencySamples++
	s.meanLatency += latencyWeight * (latency - s.meanLatency)
}

func (e *Ejector) meanLatencyOfOthers(but *endpointHealth) float64 {
	sum, n := 0.0, 0
	for _, s := range e.endpoints {
		if s != but && s.latencySamples >= minLatencySamples {
			sum += s.meanLatency
			n++
		}
	}
	if n == 0 {
		return but.meanLatency
	}
	return sum / float64(n)
}

// SetAlternative sets whether another pool can serve the requests of this one. While
// it can, every endpoint that fails all its requests is ejected, also the last one:
// they are better refused, and sent to the other pool, than failed.
func (e *Ejector) SetAlternative(now time.Time, ok bool) {
	e.alternative = ok
	if ok {
		return
	}
	for _, s := range e.endpoints {
		if s.excess && now.Before(s.ejectedUntil) {
			s.ejectedUntil = now
		}
	}
}

// eject ejects an endpoint, within MaxFraction unless excess is allowed.
func (e *Ejector) eject(now time.Time, s *endpointHealth, excessAllowed bool) {
	if now.Before(s.ejectedUntil) {
		return
	}
	s.excess = e.countEjected(now)+1 > int(e.cfg.MaxFraction*float64(len(e.endpoints)))
	if s.excess && !excessAllowed {
		return
	}
	s.ejections = min(s.ejections+1, maxEjectionFactor)
	s.ejectedUntil = now.Add(time.Duration(s.ejections) * e.cfg.BaseDuration)
	s.consecutiveFailures = 0
	s.latencySamples = 0
}

func (e *Ejector) countEjected(now time.Time) int {
	n := 0
	for _, s := range e.endpoints {
		if now.Before(s.ejectedUntil) {
			n++
		}
	}
	return n
}

// Ejected reports whether the endpoint is ejected at now.
func (e *Ejector) Ejected(now time.Time, id keel.EndpointID) bool {
	s := e.find(id)
	return s != nil && now.Before(s.ejectedUntil)
}

// Until returns when the endpoint's latest ejection ends or ended. It is the
// zero time if the endpoint was never ejected or isn't in the pool.
func (e *Ejector) Until(id keel.EndpointID) time.Time {
	if s := e.find(id); s != nil {
		return s.ejectedUntil
	}
	return time.Time{}
}
