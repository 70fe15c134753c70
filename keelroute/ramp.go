package keelroute

import (
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// RampConfig configures a [Ramp]. Zero values mean the defaults.
type RampConfig struct {
	// Period is the time after its start at which an endpoint may use all its
	// slots. Default 20 s.
	Period time.Duration
	// InitialFraction is the fraction of its slots that an endpoint may use
	// right after its start. Default 0.2.
	InitialFraction float64
}

// Ramp implements slow start: the fraction of its slots that a newly started
// endpoint may use grows linearly over a period.
type Ramp struct {
	cfg     RampConfig
	started map[keel.EndpointID]time.Time
}

// NewRamp returns a ramp without endpoints.
func NewRamp(cfg RampConfig) *Ramp {
	if cfg.Period <= 0 {
		cfg.Period = 20 * time.Second
	}
	if cfg.InitialFraction <= 0 || cfg.InitialFraction > 1 {
		cfg.InitialFraction = 0.2
	}
	return &Ramp{cfg: cfg, started: map[keel.EndpointID]time.Time{}}
}

// RecordStart records that the endpoint started, or became available again, at
// now.
func (r *Ramp) RecordStart(now time.Time, id keel.EndpointID) { r.started[id] = now }

// Remove discards the start time of an endpoint.
func (r *Ramp) Remove(id keel.EndpointID) { delete(r.started, id) }

// SlotFraction returns the fraction of its slots that the endpoint may use at
// now, from 0 to 1. It is 1 for an endpoint whose start wasn't recorded.
func (r *Ramp) SlotFraction(now time.Time, id keel.EndpointID) float64 {
	at, ok := r.started[id]
	if !ok {
		return 1
	}
	age := now.Sub(at)
	if age >= r.cfg.Period {
		return 1
	}
	return r.cfg.InitialFraction + (1-r.cfg.InitialFraction)*max(0, age.Seconds()/r.cfg.Period.Seconds())
}
