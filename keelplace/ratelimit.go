package keelplace

import (
	"time"

	"github.com/greengagekeel/greengagekeel/keeladmit"
	"github.com/greengagekeel/greengagekeel/keelworld"
	"github.com/zeebo/xxh3"
)

// rateLimit is what this instance knows of the rate that an endpoint accepts from all instances
// together, and its own part of it.
//
// A few instances near the endpoint send to it, and each keeps to an equal part of the rate, so
// that none has to ask another one. The others send nothing: with hundreds of instances the parts
// would be so small that the first request of each exceeded the limit.
type rateLimit struct {
	named     bool
	perSecond float64
	// namedAt is when this instance last got to know that the endpoint names a limit.
	namedAt time.Time
	// index is the log index of the limit in the view that was followed last; 0 if the view had
	// none.
	index uint64

	// limiter keeps to this instance's part. sends is whether it has one, as of the set of
	// instances with number nodes.
	limiter keeladmit.RateLimiter
	sends   bool
	nodes   int
}

// heedLimit follows the limit in an answer, and reports whether that changed.
func (p *Pool) heedLimit(now time.Time, e *endpoint, c *Choice, n Notice) (changed bool) {
	l := &e.rateLimit
	switch {
	case n.Limited && n.RateLimit >= 0:
		l.namedAt = now
		return p.setLimit(now, e, n.RateLimit)
	case !n.Limited && l.named && c.chosenAt.After(l.namedAt):
		// The request was sent after the endpoint had named the limit, so that the answer
		// is newer. The view still has the limit.
		*l = rateLimit{index: l.index}
		return true
	}
	return false
}

// Limit returns the rate in requests per second that the endpoint of a choice accepts from all
// instances, as far as this one knows, or that it names no limit.
func (p *Pool) Limit(c *Choice) (perSecond float64, unlimited bool) {
	e := p.endpoints[c.Endpoint.ID]
	if e == nil || e.Incarnation != c.Endpoint.Incarnation {
		return 0, true
	}
	return e.rateLimit.perSecond, !e.rateLimit.named
}

// followLimit follows the limit in a view if another instance has reported a change since.
func (p *Pool) followLimit(now time.Time, e *endpoint, v *keelworld.View) {
	known, ok := v.RateLimits[e.ID]
	l := &e.rateLimit
	switch {
	case ok && known.Incarnation == e.Incarnation && known.Index != l.index:
		l.index, l.namedAt = known.Index, now
		p.setLimit(now, e, known.PerSecond)
	case !ok && l.index != 0:
		*l = rateLimit{}
	}
}

// setLimit sets the rate that the endpoint accepts, and reports whether that is new.
func (p *Pool) setLimit(now time.Time, e *endpoint, perSecond float64) (changed bool) {
	l := &e.rateLimit
	if l.named && l.perSecond == perSecond {
		return false
	}
	l.named, l.perSecond = true, perSecond
	p.setLimitPart(now, e)
	return true
}

// setLimitPart sets this instance's part of the limit of an endpoint.
func (p *Pool) setLimitPart(now time.Time, e *endpoint) {
	l := &e.rateLimit
	l.nodes = p.nodesVersion
	burst := keeladmit.LimitBurst(l.perSecond)
	senders := int(min(burst, float64(p.instancesNear(e))))
	l.sends = p.isSender(e, senders)
	if !l.sends {
		l.limiter.Lift() // becomes a sender again without a burst
		return
	}
	phase := float64(xxh3.HashString(string(p.cfg.Self)+"\x00"+e.ID)>>11) / (1 << 53)
	rate := max(l.perSecond, keeladmit.MinRate)
	l.limiter.Limit(now, rate/float64(senders), burst/float64(senders), phase)
}

// instancesNear returns the number of entry instances in the region of an endpoint, or of all
// if there is none.
func (p *Pool) instancesNear(e *endpoint) int {
	n := 0
	for i := range p.nodes {
		if p.nodes[i].Region == e.region {
			n++
		}
	}
	if n == 0 {
		return len(p.nodes)
	}
	return n
}

// limitWait returns the time until this instance may send a request to an endpoint within its
// limit. An instance that is no sender has to wait until the limit or the senders change.
func (p *Pool) limitWait(now time.Time, e *endpoint) time.Duration {
	l := &e.rateLimit
	if !l.named {
		return 0
	}
	if l.nodes != p.nodesVersion {
		p.setLimitPart(now, e)
	}
	if !l.sends {
		return maxRetryAfter
	}
	return l.limiter.Wait(now)
}
