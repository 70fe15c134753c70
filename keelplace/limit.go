package keelplace

import (
	"time"
)

const (
	// limitBackoff is the factor by which a request that timed out reduces the
	// limit. The limit is reduced at most once per limitBackoffInterval, which is
	// about how long requests that were sent before the reduction take to end.
	limitBackoff         = 0.5
	limitBackoffInterval = 500 * time.Millisecond
	// initialLimitFactor and maxLimitFactor are the initial and the highest limit,
	// as multiples of the instance's fair share of the slots.
	initialLimitFactor = 2.0
	maxLimitFactor     = 4.0
)

// concurrencyLimit limits the requests that an instance has in flight at the
// endpoints of a service, by additive increase and multiplicative decrease. The
// load from other instances is reported too late to rely on, so an instance raises
// its limit with each answer and reduces it when requests time out. Without the
// limit, a cold start would overload the endpoints: all instances would use the
// same slots, which each of them assumes to be free.
type concurrencyLimit struct {
	value     float64
	reducedAt time.Time
}

// fairShare returns this instance's share of all slots. Each failure domain with
// entry instances has an even share, which is divided evenly among its instances,
// since callers spread their requests evenly over the instances of their domain.
func (p *Pool) fairShare() float64 {
	return float64(p.capacity.totalSlots) / float64(p.capacity.domains*p.capacity.domainInstances)
}

// underLimit reports whether one more request may be in flight. The first call
// sets the initial limit.
func (p *Pool) underLimit() bool {
	if p.limit.value == 0 {
		p.limit.value = max(initialLimitFactor*p.fairShare(), 1)
	}
	return float64(p.inFlight) < p.limit.value
}

// raiseLimit raises the limit after a request was answered, by about one for as
// many answers as the limit allows requests.
func (p *Pool) raiseLimit() {
	p.limit.value = min(p.limit.value+1/max(p.limit.value, 1), max(maxLimitFactor*p.fairShare(), 2))
}

// reduceLimit reduces the limit after a request timed out at an endpoint that is
// alive.
func (p *Pool) reduceLimit(now time.Time) {
	if now.Sub(p.limit.reducedAt) < limitBackoffInterval {
		return
	}
	p.limit.reducedAt = now
	p.limit.value = max(p.limit.value*limitBackoff, 1)
}
