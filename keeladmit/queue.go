// Package keeladmit implements admission control: it decides which requests
// start, wait or are refused.
//
// [Queue] admits requests to the endpoints that one instance owns. [Grantor]
// and [Wallet] limit, by credits, the requests that failure domains send each
// other. [LinkBudget] limits the bytes sent between regions, [RetryBudget]
// limits retries, and [Owners] determines which instance owns an endpoint. The
// package doesn't choose failure domains and sends no requests; see package
// keelroute for the choice.
//
// Everything here is deterministic: the package reads no clock, draws no random
// numbers and does no I/O; callers pass these in. Nothing in it is safe for
// concurrent use; callers lock.
package keeladmit

import (
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// QueueConfig configures a [Queue]. Zero values mean the defaults.
type QueueConfig struct {
	Service keel.ServiceName
	// Picker chooses among the endpoints with a free slot. It is required.
	Picker keel.Picker
	// Random returns random numbers, uniform over uint64. It is required.
	Random func() uint64
	// ServiceTime is the initial value of the mean service time. Default 50 ms.
	ServiceTime time.Duration
	// ShedTarget is the longest wait of live and bulk requests while their class
	// has had a standing queue for longer than ShedInterval. Default 250 ms.
	ShedTarget time.Duration
	// ShedInterval is how long the queue of a class may be non-empty without
	// interruption before waits are limited to ShedTarget. Default 1 s.
	ShedInterval time.Duration
	// LowPriorityEvery reserves every nth start for the least urgent class that
	// waits, which would starve otherwise. Default 8.
	LowPriorityEvery int
	// MaxWaiting is the largest number of waiting requests. Default 10 000.
	MaxWaiting int
}

// Item is a request that is offered to a [Queue].
type Item struct {
	// ID identifies the request within the queue.
	ID       uint64
	Class    keel.Class
	Deadline time.Time
	// Labels are the labels of the request's selector, which an endpoint must
	// match.
	Labels keel.Labels
	// Selector is the selector's name. Matching endpoints are cached by it.
	Selector keel.SelectorName
	// Avoid names an endpoint that must not get the request, for example after a
	// failed attempt there. It may be empty.
	Avoid keel.EndpointName
}

// Action is what the caller must do with an offered request.
type Action uint8

// Actions on an offered request.
const (
	// ActionWait means that the request waits until [Queue.StartNext] or
	// [Queue.Expire] returns it, or [Queue.Cancel] removes it.
	ActionWait Action = iota
	// ActionStart means that the request holds a slot of Endpoint until
	// [Queue.Done].
	ActionStart
	// ActionRefuse means that the request must be answered with Refusal.
	ActionRefuse
)

// Decision is the result of [Queue.Offer].
type Decision struct {
	Action   Action
	Endpoint keel.EndpointID
	Refusal  *keel.Refusal
}

// Start is a waiting request that has been started: it holds a slot of Endpoint
// until [Queue.Done].
type Start struct {
	ID       uint64
	Endpoint keel.EndpointID
}

// Refused is an expired request, which must be answered with Refusal.
type Refused struct {
	ID      uint64
	Refusal *keel.Refusal
}

// Queue admits requests to the endpoints of one service that an instance owns.
// After every call that may free a slot or add an endpoint, call
// [Queue.StartNext] until it returns false.
type Queue struct {
	cfg       QueueConfig
	endpoints []*endpoint
	byID      map[keel.EndpointID]*endpoint
	groups    map[keel.SelectorName]*group
	// order holds the groups in the order of their creation, so that iterating
	// over them is deterministic.
	order       []*group
	waiting     int
	classes     []classState
	serviceTime float64
	starts      int
}

// classState counts the waiting requests of one class.
type classState struct {
	waiting int
	// emptyAt is when the class last had no waiting request.
	emptyAt time.Time
}

// NewQueue returns a queue without endpoints and requests.
func NewQueue(cfg QueueConfig) *Queue {
	setDefault(&cfg.ServiceTime, 50*time.Millisecond)
	setDefault(&cfg.ShedTarget, 250*time.Millisecond)
	setDefault(&cfg.ShedInterval, time.Second)
	setDefault(&cfg.LowPriorityEvery, 8)
	setDefault(&cfg.MaxWaiting, 10_000)
	return &Queue{
		cfg:         cfg,
		byID:        map[keel.EndpointID]*endpoint{},
		groups:      map[keel.SelectorName]*group{},
		classes:     make([]classState, len(keel.Classes())),
		serviceTime: cfg.ServiceTime.Seconds(),
	}
}

func setDefault[T ~int | ~int64](v *T, def T) {
	if *v <= 0 {
		*v = def
	}
}

// Offer decides whether a request starts, waits or is refused. A refused
// request has not run.
func (q *Queue) Offer(now time.Time, it Item) Decision {
	if !it.Deadline.After(now) {
		return Decision{Action: ActionRefuse, Refusal: keel.Refuse(keel.NotRun,
			keel.ReasonDeadline, 0, "deadline passed before the request could start")}
	}
	g := q.group(it)
	if g.slots(now) == 0 {
		return Decision{Action: ActionRefuse, Refusal: keel.Refuse(keel.NotRun,
			keel.ReasonNoEndpoint, time.Second, "no endpoint of service %q that matches selector %q takes new requests", q.cfg.Service, it.Selector)}
	}
	if e := g.pick(now, it.Avoid, q.cfg); e != nil {
		q.starts++
		e.start(now)
		return Decision{Action: ActionStart, Endpoint: e.view.ID}
	}
	return q.enqueue(now, g, it)
}

func (q *Queue) enqueue(now time.Time, g *group, it Item) Decision {
	rank := it.Class.Rank()
	expected := q.expectedWait(now, g, rank)
	limit := q.maxWait(now, rank, it.Deadline.Sub(now))
	if expected > limit || q.waiting >= q.cfg.MaxWaiting {
		return Decision{Action: ActionRefuse, Refusal: q.refusal(it.Class, expected, limit)}
	}
	g.fifo[rank].push(entry{item: it, arrived: now})
	q.addWaiting(now, rank, 1)
	return Decision{Action: ActionWait}
}

// expectedWait estimates how long a new request of the rank would wait.
func (q *Queue) expectedWait(now time.Time, g *group, rank int) time.Duration {
	ahead := 0
	for r := 0; r <= rank; r++ {
		ahead += q.classes[r].waiting
	}
	s := q.serviceTime * float64(ahead+1) / float64(g.slots(now))
	if rate := g.limitedRate(now); rate > 0 {
		s = max(s, float64(ahead+1)/rate)
	}
	return time.Duration(s * float64(time.Second))
}

// maxWait returns how long a request may wait: for timeLeft, the time until its
// deadline, but at most ShedTarget if its class is shed by delay and has a
// standing queue.
func (q *Queue) maxWait(now time.Time, rank int, timeLeft time.Duration) time.Duration {
	if !q.shedsByDelay(rank) {
		return timeLeft
	}
	if q.hasStandingQueue(now, rank) {
		return min(timeLeft, q.cfg.ShedTarget)
	}
	return timeLeft
}

// shedsByDelay reports whether requests of the class are refused when their
// class has a standing queue. At-most-once and patient requests wait until their
// deadline.
func (q *Queue) shedsByDelay(rank int) bool {
	return rank == keel.ClassLive.Rank() || rank == keel.ClassBulk.Rank()
}

// hasStandingQueue reports whether requests of the class have been waiting
// without interruption for longer than ShedInterval.
func (q *Queue) hasStandingQueue(now time.Time, rank int) bool {
	c := &q.classes[rank]
	return c.waiting > 0 && now.Sub(c.emptyAt) > q.cfg.ShedInterval
}

func (q *Queue) refusal(c keel.Class, expected, limit time.Duration) *keel.Refusal {
	const shortestRetry = 100 * time.Millisecond
	retryAfter := max(expected-limit, shortestRetry)
	return keel.Refuse(keel.NotRun, keel.ReasonOverload, retryAfter,
		"a %s request would wait %s for service %q, the limit is %s", c, expected, q.cfg.Service, limit)
}

func (q *Queue) addWaiting(now time.Time, rank, n int) {
	c := &q.classes[rank]
	if c.waiting == 0 {
		c.emptyAt = now
	}
	c.waiting += n
	q.waiting += n
	if c.waiting == 0 {
		c.emptyAt = now
	}
}

// Waiting returns the number of waiting requests of a class.
func (q *Queue) Waiting(c keel.Class) int { return q.classes[c.Rank()].waiting }

// Delay estimates how long a new request of the class would wait for a slot if
// it matched every endpoint. It returns 0 if no endpoint accepts work.
func (q *Queue) Delay(now time.Time, c keel.Class) time.Duration {
	slots, free := q.Slots(now)
	if free > 0 || slots == 0 {
		return 0
	}
	ahead := 0
	for r := 0; r <= c.Rank(); r++ {
		ahead += q.classes[r].waiting
	}
	return time.Duration(q.serviceTime * float64(ahead+1) / float64(slots) * float64(time.Second))
}

// ServiceTime returns the moving average of the time that a request holds a
// slot.
func (q *Queue) ServiceTime() time.Duration {
	return time.Duration(q.serviceTime * float64(time.Second))
}
