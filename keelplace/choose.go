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

// Request is what a choice depends on.
type Request struct {
	// Route is the name of the route.
	Route string
	Spec  *keelworld.Route
	// Affinity names the object that the request is about; empty means none.
	Affinity string
	// Left is the time until the request must be answered.
	Left time.Duration
	// AimLeft is the time until which an answer is worth most; less than 0 if
	// that has passed.
	AimLeft time.Duration
	// Tried are the endpoints that it was sent to.
	Tried []string
}

// Choice is an endpoint for a request.
type Choice struct {
	Endpoint keelworld.Endpoint
	// Expected is how long the answer is expected to take, Wait the part of it
	// that the request waits for a slot.
	Expected, Wait time.Duration
	// Load is the load that was expected there, in requests.
	Load float64
	// Warm says that the endpoint is taken to know the object.
	Warm bool
	// Rank is the place of the endpoint among those for the object.
	Rank int
	key  uint64
}

// Refused says why no endpoint was chosen.
type Refused struct {
	Reason keel.Reason
	// RetryAfter is when room is expected.
	RetryAfter time.Duration
	// Detail says what was lacking.
	Detail string
}

const (
	// unknownWork is the expected time of a request before any has been seen.
	unknownWork = 300 * time.Millisecond
	// coldFactor is how much longer a request takes at an endpoint that does not
	// know its object, until that was measured.
	coldFactor = 3.0
	// domainCost and regionCost are what it costs to leave the failure domain
	// or the region: the way there and back, and the bytes on links that can't
	// grow.
	domainCost = 15 * time.Millisecond
	regionCost = 40 * time.Millisecond
	// nearRanks is how many endpoints may take the requests for one object. More
	// would each have to learn the object, and forget others.
	nearRanks = 2
	// maxRank is how far down the order an object's requests go as long as one
	// of those endpoints may get a request, though it be in trouble.
	maxRank = 4
	// stuckAfter is after how many times the time of a request that meets a cold
	// endpoint an unanswered one casts doubt on its endpoint: work is spread by
	// some tenths. stuckMin is the least such time, stuckUnknown that before the
	// work of a route is known.
	stuckAfter   = 2
	stuckMin     = 400 * time.Millisecond
	stuckUnknown = 1500 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the advised wait.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// ranked is an endpoint with its rank for an object.
type ranked struct {
	e     *endpoint
	score float64
}

// Choose returns the endpoint for a request, or refuses one that no endpoint can
// serve in time.
//
// Requests for one object go to one endpoint, found by rendezvous hashing, where
// they are fast. Only if that one is in trouble or has no room do they go to the
// next one, and to no third while these two work: an endpoint that gets too many
// objects forgets them all, and then all requests are slow. A request waits only
// as long as it can still be answered within its aim; one that can't takes a
// free slot or waits for one run. This answers the load of a cold start and of
// bursts: work that waits too long ends unfinished and teaches no endpoint its
// object.
func (p *Pool) Choose(now time.Time, r *Request) (*Choice, *Refused) {
	order := p.rank(now, r)
	if len(order) == 0 {
		return nil, &Refused{Reason: keel.ReasonNoEndpoint, RetryAfter: p.retryAfter(time.Second), Detail: "no endpoint is known that takes work"}
	}
	if !p.mayTake() {
		return nil, &Refused{Reason: keel.ReasonOverload, RetryAfter: p.Wait(r.Route), Detail: "the limit of this instance is used up"}
	}
	means := p.means(now)
	few := order[:min(len(order), maxRank)]
	usable := p.near(now, r, few, means, func(e *endpoint) bool { return e.sound(now, means) })
	if len(usable) == 0 {
		usable = p.near(now, r, few, means, anyEndpoint)
	}
	if len(usable) == 0 {
		usable = p.near(now, r, order, means, anyEndpoint)
	}
	wait := maxRetryAfter
	var best *Choice
	for i := range usable {
		c := &usable[i]
		wait = min(wait, c.Wait+c.Expected/2)
		if c.Expected <= r.AimLeft && (i == 0 || c.Wait == 0) && (best == nil || c.Expected < best.Expected) {
			best = c
		}
	}
	if best != nil {
		return best, nil
	}
	for i := range usable {
		if c := &usable[i]; c.Wait <= c.Expected/2 && c.Expected <= r.Left {
			return c, nil
		}
	}
	detail := "it would wait too long at its endpoints"
	if len(usable) == 0 {
		detail = "no endpoint may get a request now"
	}
	return nil, &Refused{Reason: keel.ReasonOverload, RetryAfter: p.retryAfter(wait), Detail: detail}
}

func anyEndpoint(*endpoint) bool { return true }

// near returns the first endpoints in the order for an object that may get a
// request now, of those that fit.
func (p *Pool) near(now time.Time, r *Request, order []ranked, means means, fits func(*endpoint) bool) []Choice {
	var near []Choice
	for rank, o := range order {
		if !fits(o.e) || !p.usable(now, r, o.e) {
			continue
		}
		near = append(near, p.estimate(now, r, o.e, rank, means.slow))
		if len(near) == nearRanks {
			break
		}
	}
	return near
}

// Wait returns when a request of a route that found no room may come back: some
// runs later.
func (p *Pool) Wait(route string) time.Duration {
	warm, _, _ := p.workOf(route).times()
	return p.retryAfter(2 * warm)
}

// retryAfter spreads the return of refused callers over the time in which room
// is expected.
func (p *Pool) retryAfter(d time.Duration) time.Duration {
	p.refusals++
	const steps = 8
	part := float64(p.refusals%steps) / steps
	return min(max(time.Duration(float64(d)*(0.5+part)), minRetryAfter), maxRetryAfter)
}

// estimate returns what a request is expected to meet at an endpoint.
func (p *Pool) estimate(now time.Time, r *Request, e *endpoint, rank int, meanSlow float64) Choice {
	warm, cold, mean := p.workOf(r.Route).times()
	key := objectKey(r)
	c := Choice{Endpoint: e.Endpoint, Load: e.load(now), Rank: rank, key: key}
	c.Warm = r.Affinity != "" && e.warm.has(now, key, warmFor)
	missed := e.missed.has(now, key, missedFor)
	run := cold
	if !missed && (c.Warm || r.Affinity != "" && rank == 0) {
		run = warm
	}
	slow := e.slowness(now, meanSlow)
	ahead := max(c.Load+1-float64(e.Slots), 0)
	c.Wait = time.Duration(ahead / float64(e.Slots) * float64(mean) * slow)
	c.Expected = c.Wait + time.Duration(float64(run)*slow) + p.distance(e)
	return c
}

// times returns how long requests of a route take at endpoints that know the
// object, at others, and on the whole.
func (w *workTime) times() (warm, cold, mean time.Duration) {
	cold = time.Duration(w.cold.or(float64(unknownWork)))
	warm = min(time.Duration(w.warm.or(float64(cold)/coldFactor)), cold)
	return warm, cold, time.Duration(w.all.or(float64(warm+cold) / 2))
}

// stuck returns after which time an unanswered request casts doubt on its
// endpoint.
func (w *workTime) stuck() time.Duration {
	if w.cold.n == 0 {
		return stuckUnknown
	}
	return max(time.Duration(stuckAfter*w.cold.value), stuckMin)
}

func (p *Pool) workOf(route string) *workTime {
	w := p.work[route]
	if w == nil {
		w = &workTime{}
		p.work[route] = w
	}
	return w
}

// objectKey identifies the object of a request.
func objectKey(r *Request) uint64 {
	return xxh3.HashString(r.Spec.Prefix + "\x00" + r.Affinity)
}

// rank returns the endpoints that a request may be sent to, the best for its
// object first. The objects of a region are divided between its own endpoints
// and others by [Pool.localShare], so that a region which lacks endpoints sends
// always the same part elsewhere.
func (p *Pool) rank(now time.Time, r *Request) []ranked {
	share := p.localShare(now)
	local := true
	if r.Affinity != "" {
		local = float64(objectKey(r)>>11)/(1<<53) < share
	}
	var order, rest []ranked
	for _, e := range p.order {
		if slices.Contains(r.Tried, e.ID) || len(r.Spec.Homes) > 0 && !slices.Contains(r.Spec.Homes, e.region) {
			continue
		}
		o := ranked{e, weighted(r, e)}
		if (e.region == p.cfg.Place.Region) == local {
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

// weighted is the score of an endpoint for an object by weighted rendezvous
// hashing: an endpoint is first for a part of the objects as large as its part
// of the slots.
func weighted(r *Request, e *endpoint) float64 {
	var h uint64
	if r.Affinity == "" {
		h = xxh3.HashString(e.ID)
	} else {
		h = xxh3.HashString(r.Spec.Prefix + "\x00" + r.Affinity + "\x00" + e.ID)
	}
	u := (float64(h>>11) + 0.5) / (1 << 53)
	return -float64(e.Slots) / math.Log(u)
}

func (p *Pool) distance(e *endpoint) time.Duration {
	switch {
	case e.Domain == p.cfg.Place.Domain:
		return 0
	case e.region == p.cfg.Place.Region:
		return domainCost
	default:
		return regionCost
	}
}

// usable reports whether an endpoint may get a request now.
func (p *Pool) usable(now time.Time, r *Request, e *endpoint) bool {
	if now.Before(e.ejectedUntil) || e.doubted && e.inFlight > 0 {
		return false
	}
	if now.Before(e.coldUntil) && !(e.pace.allow(now) && p.sendsCold(e)) {
		return false
	}
	if len(e.started) > 0 && e.answeredAt.Before(e.started[0]) {
		return now.Sub(e.started[0]) < p.workOf(r.Route).stuck()
	}
	return true
}
