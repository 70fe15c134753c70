package keelsteer

import (
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelproxy"
)

// noticeRetention is how long a notice that an endpoint leaves is kept. An announcement
// that is on its way between instances may show it as serving for longer than its TTL.
const noticeRetention = 10 * time.Minute

// endpointNotice is what an owned endpoint said in its answers.
type endpointNotice struct {
	incarnation uint64
	// leavingSince is zero if the endpoint did not say that it leaves.
	leavingSince time.Time
	// pausedUntil is until when it wants no requests from this instance.
	pausedUntil time.Time
	// limitedAt is when the endpoint last limited the rate of requests to perSecond; zero
	// if it does not.
	limitedAt time.Time
	perSecond float64
}

func (n *endpointNotice) expired(now time.Time) bool {
	return !now.Before(n.pausedUntil) && now.Sub(n.leavingSince) > noticeRetention && now.Sub(n.limitedAt) > noticeRetention
}

// heed limits or stops new work to an endpoint as its answer to a request demands that was
// sent at sentAt. Announcements say so too if it leaves, but later.
func (p *pool) heed(now, sentAt time.Time, t keelproxy.Target, n keelproxy.Notice) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.targets[t.ID].Incarnation != t.Incarnation {
		return false
	}
	if n == (keelproxy.Notice{}) && p.notices[t.ID] == nil {
		return false
	}
	known := p.noticeOf(t.ID, t.Incarnation)
	changed = p.heedLimit(now, sentAt, t.ID, known, n)
	if n.Leaving && known.leavingSince.IsZero() {
		known.leavingSince, changed = now, true
		p.queue.Drain(t.ID)
	}
	if until := now.Add(n.RetryAfter); n.RetryAfter > 0 && until.After(known.pausedUntil) {
		known.pausedUntil, changed = until, true
		p.queue.Eject(t.ID, p.blockedUntil(t.ID))
	}
	return changed
}

// noticeOf returns the notice of a start of an endpoint, which it adds if there is none. The
// caller holds mu.
func (p *pool) noticeOf(id keel.EndpointID, incarnation uint64) *endpointNotice {
	known := p.notices[id]
	if known == nil || known.incarnation != incarnation {
		known = &endpointNotice{incarnation: incarnation}
		p.notices[id] = known
	}
	return known
}

// heedLimit follows the limit in an answer. An answer without one lifts it only if the request
// was sent after the endpoint had named it: others may be older. The caller holds mu.
func (p *pool) heedLimit(now, sentAt time.Time, id keel.EndpointID, known *endpointNotice, n keelproxy.Notice) (changed bool) {
	limited := !known.limitedAt.IsZero()
	switch {
	case n.Limited && n.RateLimit >= 0:
		changed = !limited || known.perSecond != n.RateLimit
		known.limitedAt, known.perSecond = now, n.RateLimit
	case !n.Limited && limited && sentAt.After(known.limitedAt):
		changed = true
		known.limitedAt = time.Time{}
	}
	if changed {
		p.applyLimit(now, id)
	}
	return changed
}

// applyLimit makes the queue keep to the limit of an endpoint. The caller holds mu.
func (p *pool) applyLimit(now time.Time, id keel.EndpointID) {
	n := p.notices[id]
	if n == nil || n.incarnation != p.targets[id].Incarnation || n.limitedAt.IsZero() {
		p.queue.Unlimit(id)
		return
	}
	p.queue.Limit(now, id, n.perSecond)
}

// limitOf returns the limit of an endpoint that this instance hands over.
func (p *pool) limitOf(id keel.EndpointID) handOverLimit {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.notices[id]
	if n == nil || n.limitedAt.IsZero() {
		return handOverLimit{}
	}
	return handOverLimit{Limited: true, Incarnation: n.incarnation, PerSecond: n.perSecond}
}

// acceptLimit follows the limit of an endpoint that its previous owner has handed over, unless
// the endpoint itself has answered this instance already.
func (p *pool) acceptLimit(now time.Time, id keel.EndpointID, l handOverLimit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.notices[id]; !l.Limited || known != nil && known.incarnation == l.Incarnation {
		return
	}
	n := p.noticeOf(id, l.Incarnation)
	n.limitedAt, n.perSecond = now, l.PerSecond
	p.applyLimit(now, id)
}

// blockedUntil returns the time before which an endpoint gets no new work: the end of its
// ejection or of its pause. The caller holds mu.
func (p *pool) blockedUntil(id keel.EndpointID) time.Time {
	until := p.ejector.Until(id)
	if n := p.notices[id]; n != nil && n.incarnation == p.targets[id].Incarnation && n.pausedUntil.After(until) {
		return n.pausedUntil
	}
	return until
}

// isLeaving reports whether an endpoint said in an answer that it leaves. The caller holds
// mu.
func (p *pool) isLeaving(id keel.EndpointID) bool {
	n := p.notices[id]
	return n != nil && n.incarnation == p.targets[id].Incarnation && !n.leavingSince.IsZero()
}

// expireNotices drops notices that no longer matter. The caller holds mu.
func (p *pool) expireNotices(now time.Time) {
	for id, n := range p.notices {
		if n.expired(now) {
			delete(p.notices, id)
		}
	}
}
