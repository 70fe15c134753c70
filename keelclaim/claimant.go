package keelclaim

import (
	_ "embed"
	"slices"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelchart"
)

// ClaimantConfig sets up a [Claimant].
type ClaimantConfig struct {
	Key      KeyID
	BodyHash uint64
	Ticket   *TicketFacts
	// Sets are the sets of holders in force. The claim needs a majority in
	// each of them.
	Sets []Set
	// HomeLost reports whether no majority of some set is known to be live. Then
	// the claim is refused after one round. It may be nil.
	HomeLost func(sets []Set) bool
	// Memory is how long a former set counts.
	Memory   time.Duration
	Deadline time.Time
	// NextAttempt returns an identity that no attempt had before.
	NextAttempt func() Attempt
	// Random returns numbers that are uniform over uint64.
	Random func() uint64
}

// Claimant claims one key. It is not safe for use by several goroutines.
type Claimant struct {
	cfg     ClaimantConfig
	machine keelchart.Machine
	started time.Time
	round   int
	ballot  ballot
	// timer is when Tick has something to do.
	timer   time.Time
	attempt Attempt
	sources []keel.InstanceName
	// ranAt is when a holder first told that the request ran, without having
	// its answer.
	ranAt time.Time
}

// ClaimActionType says what a [Claimant] wants done.
type ClaimActionType uint8

// Types of actions.
const (
	// ClaimSend sends Message to each holder of To and hands every reply to
	// [Claimant.Replied], every failure to [Claimant.Failed].
	ClaimSend ClaimActionType = iota + 1
	// ClaimRelease sends Message to each holder of To until it arrives.
	ClaimRelease
	// ClaimDispatch gives the right to dispatch for Attempt.
	ClaimDispatch
	// ClaimAnswer gives the recorded Answer.
	ClaimAnswer
	// ClaimRefuse gives the Refusal.
	ClaimRefuse
)

// ClaimAction is one thing that a [Claimant] wants done.
type ClaimAction struct {
	Type    ClaimActionType
	To      []keel.InstanceName
	Message Message
	Attempt Attempt
	Answer  *Answer
	Refusal *keel.Refusal
}

// Time limits of a claim.
const (
	// firstRound is how long the first round waits for silent holders. Each
	// further round waits twice as long, up to lastRound.
	firstRound = 250 * time.Millisecond
	lastRound  = 2 * time.Second
	// firstWait is the longest pause after the first round. Each further pause
	// may be twice as long, up to lastWait.
	firstWait = 20 * time.Millisecond
	lastWait  = 500 * time.Millisecond
	// homeWait is how long a claim tries to reach a majority of a home of
	// which nobody knows another attempt.
	homeWait = 2 * time.Second
	// lateWait is how long a claim waits for the outcome of an attempt that is
	// past its deadline.
	lateWait = 500 * time.Millisecond
	// answerWait is how long a claim looks for the answer of a request that ran.
	answerWait = 2 * time.Second
	// maxDoublings bounds the growth of rounds and pauses.
	maxDoublings = 6
)

//go:embed attempt.json
var attemptChartJSON []byte

var attemptChart = keelchart.MustParse(attemptChartJSON)

// States and events of the chart in attempt.json that the code names.
const (
	stateAsking   keelchart.State = "asking"
	stateWaiting  keelchart.State = "waiting"
	stateFetching keelchart.State = "fetching"

	eventAsk      keelchart.Event = "ask"
	eventGranted  keelchart.Event = "granted"
	eventLost     keelchart.Event = "lost"
	eventRecorded keelchart.Event = "recorded"
	eventFetched  keelchart.Event = "fetched"
	eventRefused  keelchart.Event = "refused"
)

// NewClaimant returns a claimant that has asked nobody yet.
func NewClaimant(cfg ClaimantConfig) *Claimant {
	return &Claimant{cfg: cfg, machine: keelchart.NewMachine(attemptChart)}
}

// Timer returns when [Claimant.Tick] is to be called next.
func (c *Claimant) Timer() time.Time { return c.timer }

// Start begins the first round.
func (c *Claimant) Start(now time.Time) []ClaimAction {
	c.started = now
	return c.ask(now)
}

func (c *Claimant) fire(e keelchart.Event) bool {
	_, err := c.machine.Fire(e)
	return err == nil
}

func (c *Claimant) ask(now time.Time) []ClaimAction {
	if !c.fire(eventAsk) {
		return nil
	}
	c.attempt = c.cfg.NextAttempt()
	c.ballot = newBallot(c.cfg.Sets, c.cfg.BodyHash)
	c.timer = earlier(now.Add(doubled(firstRound, lastRound, c.round)), c.cfg.Deadline)
	c.round++
	ask := &Ask{
		Key:       c.cfg.Key,
		Attempt:   c.attempt,
		BodyHash:  c.cfg.BodyHash,
		Remaining: keel.Duration(max(0, c.cfg.Deadline.Sub(now))),
		Ticket:    c.cfg.Ticket,
	}
	return []ClaimAction{{Type: ClaimSend, To: members(c.cfg.Sets), Message: Message{Ask: ask}, Attempt: c.attempt}}
}

// Replied takes a holder's reply to a message of the attempt.
func (c *Claimant) Replied(now time.Time, attempt Attempt, from keel.InstanceName, r Reply) []ClaimAction {
	switch {
	case attempt != c.attempt:
		return nil
	case c.machine.State() == stateFetching:
		if from != c.sources[0] || r.Vote != nil {
			return nil
		}
		return c.fetched(now, r)
	case c.machine.State() != stateAsking || r.Vote == nil:
		return nil
	}
	var news bool
	if c.cfg.Sets, news = addFormer(now, c.cfg.Sets, r.Vote.Former, c.cfg.Memory); news {
		return c.askAgain(now)
	}
	c.ballot.count(from, r.Incarnation, *r.Vote)
	return c.judge(now)
}

// askAgain ends a round that did not ask all holders.
func (c *Claimant) askAgain(now time.Time) []ClaimAction {
	actions := c.release()
	c.fire(eventLost)
	c.timer = now
	return actions
}

// Sets returns the sets of holders that the claim counts, with those that the
// claimant learnt of.
func (c *Claimant) Sets() []Set { return c.cfg.Sets }

// Failed notes that a holder could not be reached.
func (c *Claimant) Failed(now time.Time, attempt Attempt, from keel.InstanceName) []ClaimAction {
	switch {
	case attempt != c.attempt:
		return nil
	case c.machine.State() == stateFetching:
		if from != c.sources[0] {
			return nil
		}
		return c.fetched(now, Reply{})
	case c.machine.State() != stateAsking:
		return nil
	}
	c.ballot.miss(from)
	return c.judge(now)
}

// Tick ends a round or a pause whose time has passed.
func (c *Claimant) Tick(now time.Time) []ClaimAction {
	if now.Before(c.timer) {
		return nil
	}
	switch c.machine.State() {
	case stateAsking:
		c.ballot.missRest()
		return c.judge(now)
	case stateWaiting:
		return c.ask(now)
	case stateFetching:
		return c.fetched(now, Reply{})
	default:
		return nil
	}
}

// Cancel gives up for a reason that lies outside the claim. It does nothing
// once the claim was decided.
func (c *Claimant) Cancel(reason keel.Reason) []ClaimAction {
	verdict := keel.NotRun
	if c.ballot.otherMayRun() {
		verdict = keel.MayHaveRun
	}
	refusal := keel.Refuse(verdict, reason, 0, "the claim of the key was given up; this request was not dispatched")
	asking := c.machine.State() == stateAsking
	if !c.fire(eventRefused) {
		return nil
	}
	actions := []ClaimAction{{Type: ClaimRefuse, Refusal: refusal}}
	if asking {
		actions = append(c.release(), actions...)
	}
	return actions
}

// release takes back the votes of the round, also from holders that have not
// replied.
func (c *Claimant) release() []ClaimAction {
	m := Message{Release: &Release{Key: c.cfg.Key, Attempt: c.attempt}}
	return []ClaimAction{{Type: ClaimRelease, To: members(c.cfg.Sets), Message: m, Attempt: c.attempt}}
}

// judge ends the round if its result is known.
func (c *Claimant) judge(now time.Time) []ClaimAction {
	b := &c.ballot
	switch {
	case b.conflict:
		return c.refuse(conflictRefusal())
	case len(b.answeredBy) > 0:
		return c.recorded(now)
	case b.ran || b.unknown:
		if b.open() {
			return nil
		}
		if pause := c.pause(); c.answerOnItsWay(now, pause) {
			c.fire(eventLost)
			c.timer = now.Add(pause)
			return c.release()
		}
		return c.refuse(outcomeRefusal(b.ran))
	case b.won():
		c.fire(eventGranted)
		return []ClaimAction{{Type: ClaimDispatch, Attempt: c.attempt}}
	case b.canWin() || b.mayTell():
		return nil
	}
	return c.lost(now)
}

// answerOnItsWay reports whether holders that have not heard of the outcome yet,
// or did not reply in time, may have the recorded answer, which is kept by some
// of the holders only.
func (c *Claimant) answerOnItsWay(now time.Time, pause time.Duration) bool {
	if !c.ballot.ran || !c.ballot.held && !c.ballot.missed() {
		return false
	}
	if c.ranAt.IsZero() {
		c.ranAt = now
	}
	return now.Add(pause).Before(earlier(c.cfg.Deadline, c.ranAt.Add(answerWait)))
}

func outcomeRefusal(ran bool) *keel.Refusal {
	if ran {
		return keel.Refuse(keel.Ran, keel.ReasonDuplicate, 0, "a request with this key ran already; its answer is not kept")
	}
	return keel.Refuse(keel.MayHaveRun, keel.ReasonDuplicate, 0,
		"a request with this key reached an endpoint that gave no whole answer; its outcome is not known")
}

func (c *Claimant) refuse(r *keel.Refusal) []ClaimAction {
	actions := c.release()
	c.fire(eventRefused)
	return append(actions, ClaimAction{Type: ClaimRefuse, Refusal: r})
}

// recorded asks a holder for the answer that it keeps.
func (c *Claimant) recorded(now time.Time) []ClaimAction {
	actions := c.release()
	c.fire(eventRecorded)
	c.sources = slices.Clone(c.ballot.answeredBy)
	return append(actions, c.fetch(now))
}

func (c *Claimant) fetch(now time.Time) ClaimAction {
	c.timer = now.Add(lastRound)
	m := Message{Fetch: &Fetch{Key: c.cfg.Key, BodyHash: c.cfg.BodyHash}}
	return ClaimAction{Type: ClaimSend, To: c.sources[:1], Message: m, Attempt: c.attempt}
}

// fetched takes the answer, or tries the next holder that keeps it.
func (c *Claimant) fetched(now time.Time, r Reply) []ClaimAction {
	if r.Answer != nil {
		c.fire(eventFetched)
		return []ClaimAction{{Type: ClaimAnswer, Answer: r.Answer}}
	}
	c.sources = c.sources[1:]
	if len(c.sources) == 0 {
		c.fire(eventRefused)
		return []ClaimAction{{Type: ClaimRefuse, Refusal: outcomeRefusal(true)}}
	}
	return []ClaimAction{c.fetch(now)}
}

// lost ends a round without a majority.
func (c *Claimant) lost(now time.Time) []ClaimAction {
	if r := c.ballot.barred(); r != nil {
		return c.refuse(r)
	}
	pause := c.pause()
	if limit := c.limit(); !now.Add(pause).Before(limit) {
		return c.refuse(c.ballot.refusal(pause))
	}
	c.fire(eventLost)
	c.timer = now.Add(pause)
	return c.release()
}

// limit returns when the claimant gives up: at the deadline if another attempt
// is under way whose outcome can be waited for. An attempt that is past its own
// deadline has most likely been lost together with its instance.
func (c *Claimant) limit() time.Time {
	switch {
	case c.ballot.held && c.ballot.heldWait > 0:
		return c.cfg.Deadline
	case c.ballot.held:
		return earlier(c.cfg.Deadline, c.started.Add(lateWait))
	case c.cfg.HomeLost != nil && c.cfg.HomeLost(c.cfg.Sets):
		return c.started
	default:
		return earlier(c.cfg.Deadline, c.started.Add(homeWait))
	}
}

// pause returns a random time, so that claimants which took each other's votes
// don't meet again.
func (c *Claimant) pause() time.Duration {
	longest := doubled(firstWait, lastWait, c.round-1)
	return longest/4 + time.Duration(c.cfg.Random()%uint64(longest*3/4))
}

func doubled(first, last time.Duration, times int) time.Duration {
	return min(last, first<<min(times, maxDoublings))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
