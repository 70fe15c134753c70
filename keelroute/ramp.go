package keelroute

import (
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// RampConfig configures a [Ramp]. Zero values mean the defaults.
type RampConfig struct {
	// Period is how long a started endpoint takes to reach all its slots.
	// Default 20 s.
	Period time.Duration
	// First is the part of its slots that it takes at once. Default 0.2.
	First float64
}

// Ramp gives an endpoint that has just started its slots bit by bit.
type Ramp struct {
	cfg     RampConfig
	started map[keel.EndpointID]time.Time
}

// NewRamp returns a ramp that knows no endpoint.
func NewRamp(cfg RampConfig) *Ramp {
	if cfg.Period <= 0 {
		cfg.Period = 20 * time.Second
	}
	if cfg.First <= 0 || cfg.First > 1 {
		cfg.First = 0.2
	}
	return &Ramp{cfg: cfg, started: map[keel.EndpointID]time.Time{}}
}

// Started says that the endpoint started, or came back, at now.
func (r *Ramp) Started(now time.Time, id keel.EndpointID) { r.started[id] = now }

// Remove forgets an endpoint.
func (r *Ramp) Remove(id keel.EndpointID) { delete(r.started, id) }

// Part returns the part of its slots that the endpoint takes now, from 0 to 1.
// An endpoint that is not known takes all.
func (r *Ramp) Part(now time.Time, id keel.EndpointID) float64 {
	at, ok := r.started[id]
	if !ok {
		return 1
	}
	age := now.Sub(at)
	if age >= r.cfg.Period {
		return 1
	}
	return r.cfg.First + (1-r.cfg.First)*max(0, age.Seconds()/r.cfg.Period.Seconds())
}
