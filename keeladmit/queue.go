// Package keeladmit decides which requests may start, wait or must be refused.
//
// [Queue] admits requests to the endpoints that one instance owns. [Grantor]
// and [Wallet] bound what failure domains send each other. [LinkBudget] bounds
// bytes between regions, [RetryBudget] bounds retries, and [Owners] says which
// instance owns an endpoint. All of it is deterministic: the package reads no
// clock, draws no random number and does no input or output. Nothing in it is
// safe for use by several goroutines; callers lock.
package keeladmit

import (
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// QueueConfig configures a [Queue]. Zero values mean the defaults.
type QueueConfig struct {
	Service keel.ServiceName
	// Picker chooses among free endpoints. It must be given.
	Picker keel.Picker
	// Random supplies numbers that are uniform over uint64. It must be given.
	Random func() uint64
	// ServiceTime is the mean time of a request until some were seen.
	// Default 50 ms.
	ServiceTime time.Duration
	// ShedTarget is the waiting time, of live reads and bulk transfers, that
	// counts as too long once it lasts for ShedInterval. Default 250 ms.
	ShedTarget time.Duration
	// ShedInterval is how long the queue may stand before waits are cut to
	// ShedTarget. Default 1 s.
	ShedInterval time.Duration
	// AgedEvery means that while more urgent work waits, one of so many starts
	// goes to a less urgent class that waits as well. Default 8.
	AgedEvery int
	// MaxWaiting bounds the waiting requests. Default 10 000.
	MaxWaiting int
}

// Item is a request that asks to start.
type Item struct {
	// ID identifies the request at this instance.
	ID       uint64
	Class    keel.Class
	Deadline time.Time
	// Labels are those of the request's selector, which an endpoint must carry.
	Labels keel.Labels
	// Selector names the selector, so that its labels need matching only once.
	Selector keel.SelectorName
	// Avoid names an endpoint that must not get the request, as after a failed
	// try. It may be empty.
	Avoid keel.EndpointName
}

// Action says what becomes of an offered request.
type Action uint8

// Actions on an offered request.
const (
	// ActionWait means that the request waits until Next or Expire returns it.
	ActionWait Action = iota
	// ActionStart means that the request holds a slot of Endpoint until Done.
	ActionStart
	// ActionRefuse means that the request must be answered with Refusal.
	ActionRefuse
)

// Decision is the answer to an offered request.
type Decision struct {
	Action   Action
	Endpoint keel.EndpointID
	Refusal  *keel.Refusal
}

// Start says that a waiting request now holds a slot of Endpoint until Done.
type Start struct {
	ID       uint64
	Endpoint keel.EndpointID
}

// Refused is a waiting request that must be answered with a refusal.
type Refused struct {
	ID      uint64
	Refusal *keel.Refusal
}

// Queue admits requests to the endpoints of one service that an instance owns.
// After every call that may free a slot or add an endpoint, call Next until it
// returns false.
type Queue struct {
	cfg       QueueConfig
	endpoints []*endpoint
	byID      map[keel.EndpointID]*endpoint
	groups    map[keel.SelectorName]*group
	order     []*group
	waiting   int
	classes   []classState
	service   float64
	starts    int
}

// classState is what the queue knows of one class, by rank.
type classState struct {
	waiting int
	// emptyAt is when nothing of the class waited last.
	emptyAt time.Time
}

// NewQueue returns a queue without endpoints.
func NewQueue(cfg QueueConfig) *Queue {
	setDefault(&cfg.ServiceTime, 50*time.Millisecond)
	setDefault(&cfg.ShedTarget, 250*time.Millisecond)
	setDefault(&cfg.ShedInterval, time.Second)
	setDefault(&cfg.AgedEvery, 8)
	setDefault(&cfg.MaxWaiting, 10_000)
	return &Queue{
		cfg:     cfg,
		byID:    map[keel.EndpointID]*endpoint{},
		groups:  map[keel.SelectorName]*group{},
		classes: make([]classState, len(keel.Classes())),
		service: cfg.ServiceTime.Seconds(),
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
			keel.ReasonNoEndpoint, time.Second, "no endpoint of service %q matches selector %q", q.cfg.Service, it.Selector)}
	}
	if e := g.pick(now, it.Avoid, q.cfg); e != nil {
		q.starts++
		e.view.InFlight++
		return Decision{Action: ActionStart, Endpoint: e.view.ID}
	}
	return q.wait(now, g, it)
}

func (q *Queue) wait(now time.Time, g *group, it Item) Decision {
	rank := it.Class.Rank()
	need := q.estimate(now, g, rank)
	patience := q.patience(now, rank, it.Deadline.Sub(now))
	if need > patience || q.waiting >= q.cfg.MaxWaiting {
		return Decision{Action: ActionRefuse, Refusal: q.refusal(it.Class, need, patience)}
	}
	g.fifo[rank].push(entry{item: it, arrived: now})
	q.count(now, rank, 1)
	return Decision{Action: ActionWait}
}

// estimate returns how long a new request of that rank would wait.
func (q *Queue) estimate(now time.Time, g *group, rank int) time.Duration {
	ahead := 0
	for r := 0; r <= rank; r++ {
		ahead += q.classes[r].waiting
	}
	s := q.service * float64(ahead+1) / float64(g.slots(now))
	return time.Duration(s * float64(time.Second))
}

// patience returns how long a request may wait: until its deadline, but only
// ShedTarget while the queue of its class has been standing.
func (q *Queue) patience(now time.Time, rank int, left time.Duration) time.Duration {
	if !q.sheds(rank) {
		return left
	}
	if q.standing(now, rank) {
		return min(left, q.cfg.ShedTarget)
	}
	return left
}

// sheds reports whether the class is shed by waiting time. At-most-once and
// patient work waits until its deadline.
func (q *Queue) sheds(rank int) bool {
	return rank == keel.ClassLive.Rank() || rank == keel.ClassBulk.Rank()
}

func (q *Queue) standing(now time.Time, rank int) bool {
	c := &q.classes[rank]
	return c.waiting > 0 && now.Sub(c.emptyAt) > q.cfg.ShedInterval
}

func (q *Queue) refusal(c keel.Class, need, patience time.Duration) *keel.Refusal {
	const shortestRetry = 100 * time.Millisecond
	after := max(need-patience, shortestRetry)
	return keel.Refuse(keel.NotRun, keel.ReasonOverload, after,
		"a %s request would wait %s for service %q, the limit is %s", c, need, q.cfg.Service, patience)
}

func (q *Queue) count(now time.Time, rank, n int) {
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

// Waiting returns how many requests of a class wait.
func (q *Queue) Waiting(c keel.Class) int { return q.classes[c.Rank()].waiting }

// Delay returns how long a new request of the class would wait for a slot if
// it could use every endpoint.
func (q *Queue) Delay(now time.Time, c keel.Class) time.Duration {
	slots, free := q.Slots(now)
	if free > 0 || slots == 0 {
		return 0
	}
	ahead := 0
	for r := 0; r <= c.Rank(); r++ {
		ahead += q.classes[r].waiting
	}
	return time.Duration(q.service * float64(ahead+1) / float64(slots) * float64(time.Second))
}

// ServiceTime returns the smoothed time that a request holds a slot.
func (q *Queue) ServiceTime() time.Duration {
	return time.Duration(q.service * float64(time.Second))
}
