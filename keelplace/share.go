package keelplace

import (
	"time"
)

const (
	// targetUtilisation is the fraction of its own endpoints' slots that a region
	// uses before it sends requests to other regions. More leaves no capacity for
	// bursts.
	targetUtilisation = 0.6
	// fullUtilisation is the fraction of slots in use above which the other regions
	// count as full.
	fullUtilisation = 0.75
	// shiftFraction is the fraction of the cap on shift that is used here. The rest
	// is left for requests that change region for other reasons.
	shiftFraction = 0.5
	// shiftWindow is the window of the cap on shift.
	shiftWindow = 2 * time.Second
	// demandWindow is the time over which the demand is averaged.
	demandWindow = 4 * time.Second
)

// regionShare tracks the fraction of requests that an instance sends to endpoints
// of its own region.
type regionShare struct {
	share     float64
	updatedAt time.Time
	// demand is the number of slots that this instance's requests of all routes
	// occupy, as of demandAt.
	demand   float64
	demandAt time.Time
}

// localShare returns the fraction of the objects whose requests stay in the region.
// It changes by at most a part of the cap on shift.
func (p *Pool) localShare(now time.Time) float64 {
	local, total, regions := p.capacity.localSlots, p.capacity.totalSlots, p.capacity.regions
	if local == 0 || total == local {
		return float64(min(local, 1)) // no endpoints in this region, or none in others
	}
	if p.regionShare.updatedAt.IsZero() {
		// The demand is not known yet. Assume the same in all regions.
		p.regionShare.share = min(float64(local)*float64(regions)/float64(total), 1)
		p.regionShare.updatedAt = now
		return p.regionShare.share
	}
	target := 1.0
	if demand := p.currentDemand(now) * float64(p.capacity.regionInstances); demand > 0 {
		target = min(targetUtilisation*float64(local)/demand, 1)
	}
	if evenShare := min(float64(local)*float64(regions)/float64(total), 1); target < evenShare {
		// If the other regions are full too, sending them more gains nothing.
		if use, known := p.remoteUtilisation(now); known && use > fullUtilisation {
			target = evenShare
		}
	}
	step := shiftFraction * p.cfg.MaxShift * float64(now.Sub(p.regionShare.updatedAt)) / float64(shiftWindow)
	p.regionShare.share += min(max(target-p.regionShare.share, -step), step)
	p.regionShare.updatedAt = now
	return p.regionShare.share
}

// remoteUtilisation returns the fraction of slots in use in other regions, over the
// endpoints that have reported their load recently.
func (p *Pool) remoteUtilisation(now time.Time) (use float64, known bool) {
	var load, slots float64
	for _, e := range p.serving {
		if e.region != p.cfg.Location.Region && now.Sub(e.reportedAt) < meanLoadDecay {
			load += e.load(now)
			slots += float64(e.Slots)
		}
	}
	return load / max(slots, 1), slots > 0
}

// currentDemand returns the demand, reduced for the time without new requests.
func (p *Pool) currentDemand(now time.Time) float64 {
	return p.regionShare.demand * max(0, 1-float64(now.Sub(p.regionShare.demandAt))/float64(2*demandWindow))
}

// recordDemand adds a request to the demand that will occupy a slot for some time.
func (p *Pool) recordDemand(now time.Time, processing time.Duration) {
	age := min(float64(now.Sub(p.regionShare.demandAt))/float64(demandWindow), 1)
	if p.regionShare.demandAt.IsZero() {
		age = 0
	}
	p.regionShare.demand = p.regionShare.demand*(1-age) + processing.Seconds()/demandWindow.Seconds()
	p.regionShare.demandAt = now
}
