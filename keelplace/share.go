package keelplace

import (
	"time"
)

const (
	// aimedUse is the part of its own endpoints' slots that a region fills
	// before it sends requests elsewhere. More leaves no room for bursts.
	aimedUse = 0.6
	// fullUse is the part of the slots in use from which other regions count as
	// full.
	fullUse = 0.75
	// shiftPart is the part of the bound on shifts that is used up, so that
	// requests which leave their endpoint for other reasons fit beside it.
	shiftPart = 0.5
	// shiftWindow is the window of the bound.
	shiftWindow = 2 * time.Second
	// rateTime is the time over which the rate of requests is averaged.
	rateTime = 4 * time.Second
)

// local is the part of its region's requests that an instance sends to
// endpoints of the region.
type local struct {
	share float64
	at    time.Time
	// need is the slots that this instance's requests need, of all routes.
	need   float64
	needAt time.Time
}

// localShare returns the part of the objects that stays in the region.
func (p *Pool) localShare(now time.Time) float64 {
	own, all, regions := p.room.own, p.room.all, p.room.regions
	if own == 0 || all == own {
		return float64(min(own, 1)) // nothing here, or nothing elsewhere
	}
	if p.local.at.IsZero() {
		// Nothing is known of the demand yet: as if all regions had the same.
		p.local.share = min(float64(own)*float64(regions)/float64(all), 1)
		p.local.at = now
		return p.local.share
	}
	want := 1.0
	if need := p.need(now) * float64(p.room.near); need > 0 {
		want = min(aimedUse*float64(own)/need, 1)
	}
	if even := min(float64(own)*float64(regions)/float64(all), 1); want < even {
		// When all are full, leaving helps nobody.
		if use, known := p.useElsewhere(now); known && use > fullUse {
			want = even
		}
	}
	step := shiftPart * p.cfg.MaxShift * float64(now.Sub(p.local.at)) / float64(shiftWindow)
	p.local.share += min(max(want-p.local.share, -step), step)
	p.local.at = now
	return p.local.share
}

// useElsewhere returns which part of the slots in other regions is in use, as far
// as answers told of it lately.
func (p *Pool) useElsewhere(now time.Time) (use float64, known bool) {
	var load, slots float64
	for _, e := range p.order {
		if e.region != p.cfg.Place.Region && now.Sub(e.othersAt) < usualLife {
			load += e.load(now)
			slots += float64(e.Slots)
		}
	}
	return load / max(slots, 1), slots > 0
}

// need returns the slots that this instance's requests need, as of now.
func (p *Pool) need(now time.Time) float64 {
	return p.local.need * max(0, 1-float64(now.Sub(p.local.needAt))/float64(2*rateTime))
}

// want notes a request that will hold a slot for some time.
func (p *Pool) want(now time.Time, work time.Duration) {
	age := min(float64(now.Sub(p.local.needAt))/float64(rateTime), 1)
	if p.local.needAt.IsZero() {
		age = 0
	}
	p.local.need = p.local.need*(1-age) + work.Seconds()/rateTime.Seconds()
	p.local.needAt = now
}
