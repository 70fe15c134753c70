package keelplace

import (
	"cmp"
	"math"
	"slices"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelworld"
	"github.com/zeebo/xxh3"
)

// Request describes the request that an endpoint is chosen for.
type Request struct {
	// Route is the name of the route.
	Route string
	// Spec is the declaration of the route.
	Spec *keelworld.Route
	// Affinity is the key of the object that the request concerns; empty means
	// none.
	Affinity string
	// TimeLeft is the time until the deadline of the request.
	TimeLeft time.Duration
	// TargetLeft is what is left of the route's target latency; negative if it
	// has passed.
	TargetLeft time.Duration
	// Excluded holds the ids of endpoints that must not be chosen.
	Excluded []string
}

// Choice is the endpoint chosen for a request, with the estimates it was chosen
// by.
type Choice struct {
	Endpoint keelworld.Endpoint
	// Expected is the expected time until the answer, Wait the part of it that
	// the request is expected to be queued at the endpoint.
	Expected, Wait time.Duration
	// Load is the estimated number of requests at the endpoint.
	Load float64
	// Cached is whether the endpoint is assumed to have the object cached.
	Cached bool
	// Rank is the position of the endpoint in the order for the object, from 0.
	Rank int
	// key is the hash of the object; see objectKey.
	key uint64
	// chosenAt is when the endpoint was chosen, before the request was sent.
	chosenAt time.Time
}

// Rejection reports why no endpoint was chosen.
type Rejection struct {
	Reason keel.Reason
	// RetryAfter is the time after which free capacity is expected.
	RetryAfter time.Duration
	// Detail is the cause as text.
	Detail string
}

const (
	// defaultProcessingTime is used for a route until a request was measured.
	defaultProcessingTime = 300 * time.Millisecond
	// uncachedFactor is how many times longer a request is assumed to take where
	// its object is not cached, until that was measured.
	uncachedFactor = 3.0
	// crossDomainCost and crossRegionCost are added to the expected time of a
	// request that leaves the failure domain or the region. They cover the round
	// trip and the use of links whose capacity is fixed.
	crossDomainCost = 15 * time.Millisecond
	crossRegionCost = 40 * time.Millisecond
	// maxCandidates is how many endpoints are considered for one object. With
	// more, each would have to cache the object and evict others for it.
	maxCandidates = 2
	// preferredRanks is how many endpoints of the order for an object are
	// considered before any other. Others are used only if none of these is
	// available, even if these are unhealthy.
	preferredRanks = 4
	// An endpoint gets no further requests if it has answered nothing since its
	// oldest request in flight was sent, and that was stallFactor times the usual
	// time of an uncached request ago, but at least minStallTimeout. The factor
	// leaves room for the spread of processing times, which is some tenths.
	// defaultStallTimeout applies until the route has been measured.
	stallFactor         = 2
	minStallTimeout     = 400 * time.Millisecond
	defaultStallTimeout = 1500 * time.Millisecond
	// minRetryAfter and maxRetryAfter limit the retry delay sent to callers.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// ranked is an endpoint with its score for an object.
type ranked struct {
	e     *endpoint
	score float64
}

// Choose returns the endpoint for a request, or rejects a request that no
// endpoint can serve in time.
//
// Requests for one object go to one endpoint, found by rendezvous hashing, which
// then has the object cached. If that endpoint is unhealthy or at capacity, they
// go to the next one, and to no third while these two are available: an endpoint
// that gets too many objects evicts them all, and then all requests are slow.
//
// A request may be queued at the first of the two as long as its answer can still
// meet the target latency. Otherwise it gets a free slot, is queued for at most
// half of its expected time, or is rejected. This protects against cold starts and
// bursts, where requests that are queued too long time out and leave no object
// cached.
func (p *Pool) Choose(now time.Time, r *Request) (*Choice, *Rejection) {
	order := p.rank(now, r)
	if len(order) == 0 {
		return nil, &Rejection{Reason: keel.ReasonNoEndpoint, RetryAfter: p.spreadRetry(time.Second), Detail: "no endpoint is serving"}
	}
	if !p.underLimit() {
		return nil, &Rejection{Reason: keel.ReasonOverload, RetryAfter: p.RetryAfter(now, r.Route), Detail: "the limit of this instance is used up"}
	}
	means := p.means(now)
	preferred := order[:min(len(order), preferredRanks)]
	choices := p.candidates(now, r, preferred, means, func(e *endpoint) bool { return e.healthy(now, means) })
	if len(choices) == 0 {
		choices = p.candidates(now, r, preferred, means, anyEndpoint)
	}
	if len(choices) == 0 {
		choices = p.candidates(now, r, order, means, anyEndpoint)
	}
	wait := maxRetryAfter
	var best *Choice
	for i := range choices {
		c := &choices[i]
		wait = min(wait, c.Wait+c.Expected/2)
		if c.Expected <= r.TargetLeft && (i == 0 || c.Wait == 0) && (best == nil || c.Expected < best.Expected) {
			best = c
		}
	}
	if best != nil {
		return best, nil
	}
	for i := range choices {
		if c := &choices[i]; c.Wait <= c.Expected/2 && c.Expected <= r.TimeLeft {
			return c, nil
		}
	}
	if len(choices) == 0 {
		return nil, p.rejectUnavailable(now, order)
	}
	const detail = "the expected wait at its endpoints is too long"
	return nil, &Rejection{Reason: keel.ReasonOverload, RetryAfter: p.spreadRetry(wait), Detail: detail}
}

// rejectUnavailable rejects a request while no endpoint is available. If all of them have
// paused or are at their limits, it may come again once the first takes requests.
func (p *Pool) rejectUnavailable(now time.Time, order []ranked) *Rejection {
	r := &Rejection{Reason: keel.ReasonOverload, RetryAfter: p.spreadRetry(maxRetryAfter), Detail: "no endpoint is available now"}
	endpoints := make([]*endpoint, len(order))
	for i, o := range order {
		endpoints[i] = o.e
	}
	if left := p.blockedLeft(now, endpoints); left > 0 {
		r.RetryAfter, r.Detail = left+p.spreadRetry(minRetryAfter), "its endpoints turn requests away for a time, limit their rate, or may be cold"
	}
	return r
}

func anyEndpoint(*endpoint) bool { return true }

// candidates returns estimates for the first endpoints of the order that are
// available and accepted by fits, at most [maxCandidates].
func (p *Pool) candidates(now time.Time, r *Request, order []ranked, means poolMeans, fits func(*endpoint) bool) []Choice {
	var choices []Choice
	for rank, o := range order {
		if !fits(o.e) || !p.available(now, r, o.e) {
			continue
		}
		choices = append(choices, p.estimate(now, r, o.e, rank, means.slowdown))
		if len(choices) == maxCandidates {
			break
		}
	}
	return choices
}

// RetryAfter returns the retry delay for a request of a route that found no free
// capacity: about twice the time of a cached request, or while all endpoints have paused or
// are at their limits, the time until one of them takes requests.
func (p *Pool) RetryAfter(now time.Time, route string) time.Duration {
	if left := p.blockedLeft(now, p.serving); left > 0 {
		return left + p.spreadRetry(minRetryAfter)
	}
	cached, _, _ := p.processingTimesOf(route).estimates()
	return p.spreadRetry(2 * cached)
}

// spreadRetry returns a retry delay of 0.5 to 1.5 times d, within the limits, so
// that rejected callers don't all return at once.
func (p *Pool) spreadRetry(d time.Duration) time.Duration {
	p.refusals++
	const steps = 8
	part := float64(p.refusals%steps) / steps
	return min(max(time.Duration(float64(d)*(0.5+part)), minRetryAfter), maxRetryAfter)
}

// estimate returns the expected load, wait and answer time of a request at an
// endpoint.
func (p *Pool) estimate(now time.Time, r *Request, e *endpoint, rank int, meanSlowdown float64) Choice {
	cached, uncached, mean := p.processingTimesOf(r.Route).estimates()
	key := objectKey(r)
	c := Choice{Endpoint: e.Endpoint, Load: e.load(now), Rank: rank, key: key, chosenAt: now}
	c.Cached = r.Affinity != "" && e.cached.has(now, key, cachedFor)
	timedOut := e.timedOut.has(now, key, timedOutFor)
	processing := uncached
	if !timedOut && (c.Cached || r.Affinity != "" && rank == 0) {
		processing = cached
	}
	slowdown := e.relativeSlowdown(now, meanSlowdown)
	ahead := max(c.Load+1-float64(e.Slots), 0)
	c.Wait = time.Duration(ahead / float64(e.Slots) * float64(mean) * slowdown)
	c.Expected = c.Wait + time.Duration(float64(processing)*slowdown) + p.distanceCost(e)
	return c
}

// estimates returns how long requests of a route take where the object is cached,
// where it is not, and on average.
func (t *processingTimes) estimates() (cached, uncached, mean time.Duration) {
	uncached = time.Duration(t.uncached.valueOr(float64(defaultProcessingTime)))
	cached = min(time.Duration(t.cached.valueOr(float64(uncached)/uncachedFactor)), uncached)
	return cached, uncached, time.Duration(t.overall.valueOr(float64(cached+uncached) / 2))
}

// stallTimeout returns the time after which an unanswered request makes its
// endpoint unavailable.
func (t *processingTimes) stallTimeout() time.Duration {
	if t.uncached.n == 0 {
		return defaultStallTimeout
	}
	return max(time.Duration(stallFactor*t.uncached.value), minStallTimeout)
}

func (p *Pool) processingTimesOf(route string) *processingTimes {
	times := p.processing[route]
	if times == nil {
		times = &processingTimes{}
		p.processing[route] = times
	}
	return times
}

// objectKey returns the hash that identifies the object of a request.
func objectKey(r *Request) uint64 {
	return xxh3.HashString(r.Spec.Prefix + "\x00" + r.Affinity)
}

// rank returns the endpoints that a request may be sent to, the best for its
// object first. [Pool.localShare] divides the objects of a region between its own
// endpoints and those of other regions, so that a region with too few endpoints
// always sends the same objects to other regions.
func (p *Pool) rank(now time.Time, r *Request) []ranked {
	share := p.localShare(now)
	local := true
	if r.Affinity != "" {
		local = float64(objectKey(r)>>11)/(1<<53) < share
	}
	var order, rest []ranked
	for _, e := range p.serving {
		if slices.Contains(r.Excluded, e.ID) || len(r.Spec.HomeRegions) > 0 && !slices.Contains(r.Spec.HomeRegions, e.region) {
			continue
		}
		o := ranked{e, rendezvousScore(r, e)}
		if (e.region == p.cfg.Location.Region) == local {
			order = append(order, o)
		} else {
			rest = append(rest, o)
		}
	}
	byScore := func(a, b ranked) int { return cmp.Compare(b.score, a.score) }
	slices.SortFunc(order, byScore)
	slices.SortFunc(rest, byScore)
	return append(order, rest...)
}

// rendezvousScore returns the score of an endpoint for an object by weighted
// rendezvous hashing: the fraction of objects for which an endpoint scores highest
// equals its fraction of the slots.
func rendezvousScore(r *Request, e *endpoint) float64 {
	var h uint64
	if r.Affinity == "" {
		h = xxh3.HashString(e.ID)
	} else {
		h = xxh3.HashString(r.Spec.Prefix + "\x00" + r.Affinity + "\x00" + e.ID)
	}
	u := (float64(h>>11) + 0.5) / (1 << 53)
	return -float64(e.Slots) / math.Log(u)
}

func (p *Pool) distanceCost(e *endpoint) time.Duration {
	switch {
	case e.Domain == p.cfg.Location.Domain:
		return 0
	case e.region == p.cfg.Location.Region:
		return crossDomainCost
	default:
		return crossRegionCost
	}
}

// available reports whether an endpoint may get a request now: it is not ejected and has
// not paused, a suspected one has no other request in flight, a cold one, one with a limit, and
// each one while the view is unconfirmed are within their rates, and it has not stalled.
func (p *Pool) available(now time.Time, r *Request, e *endpoint) bool {
	if now.Before(e.ejectedUntil) || now.Before(e.pausedUntil) || e.suspected && e.inFlight > 0 {
		return false
	}
	if p.limitWait(now, e) > 0 || p.unconfirmedWait(now, e) > 0 {
		return false
	}
	if e.isCold(now) && !(e.pace.allow(now) && p.isColdSender(e)) {
		return false
	}
	if len(e.started) > 0 && e.answeredAt.Before(e.started[0]) {
		return now.Sub(e.started[0]) < p.processingTimesOf(r.Route).stallTimeout()
	}
	return true
}
