package keelplace

import "time"

const (
	// An endpoint that sheds a request with free slots is set aside for minSetAside at first,
	// and for twice as long each time that it does so again before it answers, up to
	// maxSetAside.
	minSetAside  = 2 * time.Second
	maxSetAside  = 8 * time.Second
	maxSetShifts = 2
	// commonShedRate is the fraction of requests that endpoints with free slots shed from
	// which that is no sign against one endpoint. Where all of them do so, avoiding one
	// gains nothing and leaves cached objects unused.
	commonShedRate = 0.25
	// shedRateWeight is the weight of a request in the rate of shed ones: about the last
	// twenty count.
	shedRateWeight = 0.05
)

// recordShed records that an endpoint shed a request. It answers the load of an endpoint that
// turns requests away although it has room: each instance sees few of them, so that the first
// one counts, and all instances move the objects to the same next endpoint. A full endpoint
// is left to its reported load.
func (p *Pool) recordShed(now time.Time, e *endpoint, full bool) {
	if full {
		return
	}
	p.shedRate += (1 - p.shedRate) * shedRateWeight
	if p.shedsCommonly() {
		return
	}
	e.setAsideUntil = now.Add(min(minSetAside<<min(e.sheds, maxSetShifts), maxSetAside))
	e.sheds++
}

// recordTaken records that an endpoint answered a request that it ran.
func (p *Pool) recordTaken(e *endpoint) {
	p.shedRate -= p.shedRate * shedRateWeight
	e.sheds, e.setAsideUntil = 0, time.Time{}
}

// shedsCommonly reports whether so many requests are shed by endpoints with free slots that it
// is no sign against one of them.
func (p *Pool) shedsCommonly() bool { return p.shedRate >= commonShedRate }
