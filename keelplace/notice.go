package keelplace

import (
	"slices"
	"time"
)

// Notice is what an endpoint said in an answer about the requests that it wants.
type Notice struct {
	// Leaving is whether it wants no further requests.
	Leaving bool
	// RetryAfter is how long it wants none from this instance; 0 means that it did not
	// say so.
	RetryAfter time.Duration
	// Limited is whether it limits the rate of requests from all instances together, and
	// RateLimit the rate in requests per second; negative if that can't be read.
	Limited   bool
	RateLimit float64
}

// noticeRetention is how long a notice that an endpoint leaves is kept while the view
// lacks the endpoint. A view may show it as serving again, such as after a partition.
const noticeRetention = 10 * time.Minute

// Heed records the notice of the endpoint of a choice, and reports whether the endpoint
// gets other requests than it would have got before. A notice holds for the
// incarnation: it comes sooner than a view that shows the endpoint as leaving, and an
// instance without contact to the voters has no other one.
func (p *Pool) Heed(now time.Time, c *Choice, n Notice) (changed bool) {
	e := p.endpoints[c.Endpoint.ID]
	if e == nil || e.Incarnation != c.Endpoint.Incarnation {
		return false
	}
	if until := now.Add(n.RetryAfter); until.After(e.pausedUntil) {
		changed = n.RetryAfter > 0
		e.pausedUntil = until
	}
	if n.Leaving && e.leavingSince.IsZero() {
		changed = true
		e.leavingSince = now
		p.serving = slices.DeleteFunc(p.serving, func(o *endpoint) bool { return o == e })
		p.capacity = p.countCapacity()
	}
	return p.heedLimit(now, e, c, n) || changed
}

// leaving reports whether the endpoint said that it leaves.
func (e *endpoint) leaving() bool { return !e.leavingSince.IsZero() }

// noticed reports whether a notice of the endpoint is still to be kept.
func (e *endpoint) noticed(now time.Time) bool {
	return now.Before(e.pausedUntil) || e.leaving() && now.Sub(e.leavingSince) < noticeRetention
}

// blockedLeft returns the time until the first of the endpoints takes requests of this
// instance again, after a pause or within its limit; 0 if one of them takes them now.
func (p *Pool) blockedLeft(now time.Time, endpoints []*endpoint) time.Duration {
	var left time.Duration
	for _, e := range endpoints {
		d := max(e.pausedUntil.Sub(now), p.limitWait(now, e), p.unconfirmedWait(now, e))
		if d <= 0 {
			return 0
		}
		if left == 0 || d < left {
			left = d
		}
	}
	return left
}
