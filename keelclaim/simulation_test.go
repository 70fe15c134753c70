package keelclaim_test

import (
	"bytes"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelclaim"
)

// Times of the simulation.
const (
	simRetention   = time.Minute
	simSlack       = time.Second
	simCallTimeout = 2 * time.Second
	simRetry       = 300 * time.Millisecond
)

// faults are the faults of one simulated run, as probabilities per message and
// mean intervals.
type faults struct {
	holders                  int
	drop, duplicate, delayed float64
	kill, pause, partition   time.Duration
	killAll                  []time.Duration
	changeHoldersAt          time.Duration
	clockJumps               bool
	smallLimit               bool
	tickets                  float64
	longestPause, outage     time.Duration
}

// simulation runs holders and claimants in one event loop.
type simulation struct {
	t     *testing.T
	f     faults
	rng   *rand.Rand
	now   time.Time
	queue eventQueue
	seq   int
	nodes []*node
	// partition is the part of the network that each instance is in.
	partition   map[keel.InstanceName]int
	runs        map[string]int
	bodies      map[string]uint64
	stats       map[string]int
	faultsEnded bool
	failure     string
	// lastRefusal is the text of the last refusal.
	lastRefusal string
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

// node is one instance.
type node struct {
	sim         *simulation
	name        keel.InstanceName
	incarnation uint64
	up          bool
	pausedUntil time.Time
	offset      time.Duration
	counter     uint64
	holder      *keelclaim.Holder
	sets        []keelclaim.Set
	// firstStart says that the instance starts for the first time.
	firstStart   bool
	incarnations map[keel.InstanceName]uint64
}

func (s *simulation) at(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{at: s.now.Add(d), seq: s.seq, do: do})
}

func (s *simulation) run(until time.Time) {
	for len(s.queue) > 0 && s.failure == "" && !s.queue[0].at.After(until) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	s.now = until
}

func (s *simulation) chance(p float64) bool { return s.rng.Float64() < p }

func (s *simulation) upTo(d time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(d) + 1))
}

// after runs do at the node unless the node stops before; a paused node runs it
// when it resumes.
func (n *node) after(d time.Duration, do func()) {
	incarnation := n.incarnation
	n.sim.at(d, func() {
		if !n.up || n.incarnation != incarnation {
			return
		}
		if n.sim.now.Before(n.pausedUntil) {
			n.after(n.pausedUntil.Sub(n.sim.now), do)
			return
		}
		do()
	})
}

func (n *node) clock() time.Time { return n.sim.now.Add(n.offset) }

func (n *node) inForce() []keelclaim.Set {
	return keelclaim.InForce(n.sets, n.clock(), simRetention+2*simSlack)
}

func (n *node) start() {
	n.incarnation++
	for i := range n.sets {
		n.sets[i].ObservedFromStart = n.sets[i].ObservedFromStart && n.firstStart
	}
	if !n.firstStart {
		// Only the current declarations are available after a restart.
		n.sets = n.sets[:1]
	}
	n.firstStart = false
	n.up, n.pausedUntil = true, time.Time{}
	n.incarnations = map[keel.InstanceName]uint64{n.name: n.incarnation}
	limit := 1 << 20
	if n.sim.f.smallLimit {
		limit = 8 << 10
	}
	n.holder = keelclaim.NewHolder(keelclaim.HolderConfig{
		Self: n.name, Incarnation: n.incarnation, Started: n.clock(),
		Retention: simRetention, ClockSlack: simSlack,
		MaxAnswerBytes: 1 << 10, MaxTotalBytes: limit,
	})
	n.holder.SetHolders(n.clock(), n.inForce())
	n.after(n.sim.upTo(simRetry), n.tick)
}

// tick refills the holder, and queries the incarnation numbers of the others.
func (n *node) tick() {
	n.holder.SetHolders(n.clock(), n.inForce())
	refills := n.holder.Refills(n.clock())
	for _, o := range n.sim.nodes {
		if m, ok := refills[o.name]; ok {
			n.send(o, keelclaim.Message{Refill: &m}, func(r keelclaim.Reply, ok bool) {
				if ok {
					n.holder.Refilled(n.clock(), o.name, m.After, r)
				}
			})
		} else if o != n && n.sim.chance(0.1) {
			n.send(o, keelclaim.Message{Hello: &keelclaim.Hello{}}, func(keelclaim.Reply, bool) {})
		}
	}
	n.after(simRetry, n.tick)
}

// send delivers a message and returns its reply to done, or calls done with
// false after the timeout.
func (n *node) send(to *node, m keelclaim.Message, done func(keelclaim.Reply, bool)) {
	over := false
	finish := func(r keelclaim.Reply, ok bool) {
		if !over {
			over = true
			if ok {
				n.incarnations[to.name] = max(n.incarnations[to.name], r.Incarnation)
			}
			done(r, ok)
		}
	}
	n.after(simCallTimeout, func() { finish(keelclaim.Reply{}, false) })
	n.sendOneWay(to, func() {
		r := to.holder.Handle(to.clock(), n.name, m)
		to.sendOneWay(n, func() { finish(r, true) })
	})
}

// sendOneWay runs do at the receiver after the delay of the network, unless the
// message is lost.
func (n *node) sendOneWay(to *node, do func()) {
	s := n.sim
	if n == to {
		n.after(0, do)
		return
	}
	copies := 1
	if s.chance(s.f.duplicate) {
		copies++
	}
	for range copies {
		delay := time.Millisecond + s.upTo(10*time.Millisecond)
		if s.chance(s.f.delayed) {
			delay = s.upTo(8 * time.Second)
		}
		if s.chance(s.f.drop) || s.partition[n.name] != s.partition[to.name] {
			continue
		}
		s.at(delay, func() {
			if to.up && s.partition[n.name] == s.partition[to.name] {
				to.after(0, do)
			}
		})
	}
}

// deliver resends a message until it is delivered.
func (n *node) deliver(to *node, m keelclaim.Message) {
	n.send(to, m, func(_ keelclaim.Reply, ok bool) {
		if !ok {
			n.after(simRetry, func() { n.deliver(to, m) })
		}
	})
}

func (s *simulation) node(name keel.InstanceName) *node {
	return s.nodes[slices.IndexFunc(s.nodes, func(n *node) bool { return n.name == name })]
}

// simRequest is one keyed request at one instance.
type simRequest struct {
	at       *node
	key      string
	body     uint64
	claimant *keelclaim.Claimant
	started  time.Time
}

func (n *node) request(key string, ticket *keelclaim.TicketFacts, body uint64) {
	r := &simRequest{at: n, key: key, body: body, started: n.clock()}
	limit := 10 * time.Second
	if !n.sim.faultsEnded {
		limit = n.sim.upTo(limit)
	}
	r.claimant = keelclaim.NewClaimant(keelclaim.ClaimantConfig{
		Key:          keelclaim.KeyIDOf(testSecret, keelclaim.Request{Key: key}),
		BodyHash:     body,
		Ticket:       ticket,
		Sets:         n.inForce(),
		SetRetention: simRetention + 2*simSlack,
		Deadline:     n.clock().Add(limit),
		NextAttempt: func() keelclaim.Attempt {
			n.counter++
			return keelclaim.Attempt{Instance: n.name, Incarnation: n.incarnation, Counter: n.counter}
		},
		Random: n.sim.rng.Uint64,
	})
	r.act(r.claimant.Start(n.clock()))
}

func (r *simRequest) act(actions []keelclaim.ClaimAction) {
	n := r.at
	for _, a := range actions {
		switch a.Type {
		case keelclaim.ClaimSend:
			for _, name := range a.To {
				n.send(n.sim.node(name), a.Message, func(reply keelclaim.Reply, ok bool) {
					if ok {
						r.act(r.claimant.Replied(n.clock(), a.Attempt, name, reply))
					} else {
						r.act(r.claimant.Failed(n.clock(), a.Attempt, name))
					}
				})
			}
		case keelclaim.ClaimRelease:
			for _, name := range a.To {
				n.deliver(n.sim.node(name), a.Message)
			}
		case keelclaim.ClaimDispatch:
			n.after(n.sim.upTo(50*time.Millisecond), func() { r.dispatch(a.Attempt) })
		default:
			r.finish(a)
			return
		}
	}
	if wait := r.claimant.Timer().Sub(n.clock()); wait > 0 {
		n.after(wait, func() { r.act(r.claimant.Tick(n.clock())) })
	}
}

func (s *simulation) fail(format string, args ...any) {
	if s.failure == "" {
		s.failure = fmt.Sprintf(format, args...)
	}
}

func (r *simRequest) dispatch(attempt keelclaim.Attempt) {
	s, n := r.at.sim, r.at
	id := keelclaim.KeyIDOf(testSecret, keelclaim.Request{Key: r.key})
	if s.chance(0.1) || n.clock().Sub(r.started) > simRetention/2 {
		s.stats["released"]++
		for _, o := range s.nodes {
			n.deliver(o, keelclaim.Message{Release: &keelclaim.Release{Key: id, Attempt: attempt}})
		}
		return
	}
	s.stats["dispatched"]++
	s.runs[r.key]++
	s.bodies[r.key] = r.body
	if s.runs[r.key] > 1 {
		s.fail("key %s ran twice, at last by %v", r.key, attempt)
	}
	settle := &keelclaim.Settle{Key: id, Attempt: attempt, BodyHash: r.body, Outcome: keelclaim.OutcomeRan}
	switch s.rng.IntN(10) {
	case 0:
		if !s.faultsEnded {
			n.kill(s.upTo(s.f.outage))
		}
		return
	case 1:
		settle.Outcome = keelclaim.OutcomeUnknown
	case 2:
	default:
		settle.Answer = &keelclaim.Answer{Status: 200, Body: fmt.Appendf(nil, "%s %d", r.key, r.body)}
	}
	n.after(s.upTo(2*time.Second), func() {
		for _, o := range s.nodes {
			n.deliver(o, keelclaim.Message{Settle: settle})
		}
	})
}

func (r *simRequest) finish(a keelclaim.ClaimAction) {
	s := r.at.sim
	if a.Type == keelclaim.ClaimAnswer {
		s.stats["answered"]++
		if want := fmt.Appendf(nil, "%s %d", r.key, r.body); !bytes.Equal(a.Answer.Body, want) {
			s.fail("key %s got the answer %q, want %q", r.key, a.Answer.Body, want)
		}
		return
	}
	s.lastRefusal = a.Refusal.Error()
	s.stats[a.Refusal.Verdict.String()+" "+string(a.Refusal.Reason)]++
	switch {
	case a.Refusal.Verdict == keel.Ran && s.runs[r.key] != 1:
		s.fail("key %s was refused as ran, but ran %d times", r.key, s.runs[r.key])
	case a.Refusal.Reason == keel.ReasonKeyConflict && s.runs[r.key] == 1 && s.bodies[r.key] == r.body:
		s.fail("key %s was refused as a conflict with its own body", r.key)
	}
}

// kill stops the node for the outage. All of its state is lost.
func (n *node) kill(outage time.Duration) {
	if !n.up {
		return
	}
	n.up = false
	n.sim.at(outage, func() {
		n.offset += n.sim.upTo(simSlack/4) - simSlack/8
		n.start()
	})
}

// every calls do at random times with the given mean interval, until the faults
// end.
func (s *simulation) every(mean time.Duration, until time.Time, do func()) {
	if mean == 0 {
		return
	}
	s.at(s.upTo(2*mean), func() {
		if s.now.Before(until) {
			do()
			s.every(mean, until, do)
		}
	})
}

func newSimulation(t *testing.T, seed uint64, f faults) *simulation {
	s := &simulation{
		t: t, f: f, rng: rand.New(rand.NewPCG(seed, 1)),
		now:       time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC),
		partition: map[keel.InstanceName]int{}, runs: map[string]int{}, bodies: map[string]uint64{},
		stats: map[string]int{},
	}
	var holders []keel.InstanceName
	for i := range f.holders + 2 {
		n := &node{sim: s, name: keel.InstanceName(fmt.Sprintf("k%d", i)), incarnation: uint64(i), firstStart: true}
		n.offset = s.upTo(simSlack/2) - simSlack/4
		if i < f.holders {
			holders = append(holders, n.name)
		}
		s.nodes = append(s.nodes, n)
	}
	for _, n := range s.nodes {
		n.sets = []keelclaim.Set{{Holders: holders, ObservedFromStart: true}}
		n.start()
	}
	return s
}

// schedule schedules the faults of the run.
func (s *simulation) schedule(until time.Time) {
	anyNode := func() *node { return s.nodes[s.rng.IntN(len(s.nodes))] }
	s.every(s.f.kill, until, func() { anyNode().kill(s.upTo(s.f.outage)) })
	s.every(s.f.pause, until, func() { anyNode().pausedUntil = s.now.Add(s.upTo(s.f.longestPause)) })
	s.every(s.f.partition, until, func() {
		for _, n := range s.nodes {
			s.partition[n.name] = s.rng.IntN(2)
		}
		s.at(s.upTo(5*time.Second), func() { clear(s.partition) })
	})
	for _, d := range s.f.killAll {
		s.at(d, func() {
			for _, n := range s.nodes {
				n.kill(s.upTo(s.f.outage))
			}
		})
	}
	if s.f.changeHoldersAt > 0 {
		s.at(s.f.changeHoldersAt, s.changeHolders)
	}
}

// changeHolders replaces the first two holders by the instances that were not
// holders. The instances receive the change at different times.
func (s *simulation) changeHolders() {
	names := s.nodes[0].sets[0].Holders
	next := slices.Clone(names[2:])
	for _, n := range s.nodes[len(names):] {
		next = append(next, n.name)
	}
	until := s.now
	for _, n := range s.nodes {
		s.at(s.upTo(3*time.Second), func() {
			old := n.sets[0]
			old.Until = until
			n.sets = []keelclaim.Set{{Holders: next, ObservedFromStart: n.up}, old}
		})
	}
}

// load sends keyed requests, most of them several times.
func (s *simulation) load(until time.Time) {
	count := 0
	s.every(500*time.Millisecond, until, func() {
		n := s.nodes[s.rng.IntN(len(s.nodes))]
		if !n.up {
			return
		}
		count++
		key, window := fmt.Sprintf("key-%d", count), simRetention/3
		var ticket *keelclaim.TicketFacts
		if s.chance(s.f.tickets) {
			ticket = n.ticket()
			window = 2 * simRetention
		}
		for range 1 + s.rng.IntN(5) {
			body := uint64(1)
			if s.chance(0.05) {
				body = 2
			}
			wait := s.upTo(window)
			if s.chance(0.5) {
				wait = s.upTo(100 * time.Millisecond)
			}
			at := s.nodes[s.rng.IntN(len(s.nodes))]
			s.at(wait, func() {
				if at.up && !s.now.Before(at.pausedUntil) {
					at.request(key, ticket, body)
				}
			})
		}
	})
}

// ticket issues a ticket. An instance whose clock was set may issue one with a
// wrong time.
func (n *node) ticket() *keelclaim.TicketFacts {
	facts := &keelclaim.TicketFacts{IssuedAt: n.clock()}
	if n.sim.f.clockJumps && n.sim.chance(0.3) {
		facts.IssuedAt = facts.IssuedAt.Add(n.sim.upTo(4*simRetention) - 2*simRetention)
	}
	for _, name := range n.sets[0].Holders {
		if incarnation, ok := n.incarnations[name]; ok {
			facts.Incarnations = append(facts.Incarnations, keelclaim.IncarnationTagOf(name, incarnation))
		}
	}
	return facts
}
