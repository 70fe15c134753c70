package keelsteer

import (
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelroute"
)

// settlingOf returns what is known of the latency of a service. The caller
// holds mu.
func (e *Engine) settlingOf(service keel.ServiceName) *keelroute.Settling {
	s := e.settling[service]
	if s == nil {
		s = keelroute.NewSettling(keelroute.SettlingConfig{})
		e.settling[service] = s
	}
	return s
}

// observe takes in how long a failure domain took to begin its answer.
func (e *Engine) observe(now time.Time, service keel.ServiceName, domain keel.DomainName, start time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settlingOf(service).Observe(now, domain, now.Sub(start))
}

// noteGrowth compares the vector of a source with the one before. The caller
// holds mu.
func (e *Engine) noteGrowth(now time.Time, service keel.ServiceName, before, after []keel.DomainWeight) {
	had := make(map[keel.DomainName]float64, len(before))
	for _, w := range before {
		had[w.Domain] = w.Weight
	}
	for _, w := range after {
		if w.Weight > had[w.Domain] {
			e.settlingOf(service).Grew(now, w.Domain)
		}
	}
}
