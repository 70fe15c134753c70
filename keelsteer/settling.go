package keelsteer

import (
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelroute"
)

// settlingFor returns the latency state of a service, creating it if needed.
// The caller holds mu.
func (e *Engine) settlingFor(service keel.ServiceName) *keelroute.Settling {
	s := e.settling[service]
	if s == nil {
		s = keelroute.NewSettling(keelroute.SettlingConfig{})
		e.settling[service] = s
	}
	return s
}

// observeLatency records the time that a failure domain took to begin its
// answer.
func (e *Engine) observeLatency(now time.Time, service keel.ServiceName, domain keel.DomainName, start time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settlingFor(service).Observe(now, domain, now.Sub(start))
}

// recordWeightGrowth records the domains whose weight grew between two vectors
// of a source, since a cold cache there may raise latency for a while. The
// caller holds mu.
func (e *Engine) recordWeightGrowth(now time.Time, service keel.ServiceName, before, after []keel.DomainWeight) {
	had := make(map[keel.DomainName]float64, len(before))
	for _, w := range before {
		had[w.Domain] = w.Weight
	}
	for _, w := range after {
		if w.Weight > had[w.Domain] {
			e.settlingFor(service).RecordGrowth(now, w.Domain)
		}
	}
}
