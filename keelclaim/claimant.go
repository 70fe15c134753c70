package keelclaim

import (
	_ "embed"
	"slices"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelchart"
)

// ClaimantConfig configures a [Claimant].
type ClaimantConfig struct {
	Key      KeyID
	BodyHash uint64
	Ticket   *TicketFacts
	// Sets are the sets of holders in force. The claim needs a majority in
	// each of them.
	Sets []Set
	// HomeLost reports whether some set lacks a majority of live holders. The
	// claim is then refused after one round. HomeLost may be nil.
	HomeLost func(sets []Set) bool
	// SetRetention is how long a former set still counts after it was replaced.
	SetRetention time.Duration
	Deadline     time.Time
	// NextAttempt returns an identity that no earlier attempt had.
	NextAttempt func() Attempt
	// Random returns numbers that are uniformly distributed over uint64.
	Random func() uint64
}

// Claimant claims one key. It is not safe for concurrent use.
type Claimant struct {
	cfg     ClaimantConfig
	machine keelchart.Machine
	started time.Time
	round   int
	ballot  ballot
	// timer is when Tick is due next.
	timer   time.Time
	attempt Attempt
	// sources lists the holders that may still return the recorded answer. The
	// first one has been asked for it.
	sources []keel.InstanceName
	// ranAt is when a holder first reported that the request ran but did not
	// keep its answer.
	ranAt time.Time
}

// ClaimActionType is the kind of a [ClaimAction].
type ClaimActionType uint8

// Types of actions.
const (
	// ClaimSend sends Message to each holder of To and passes every reply to
	// [Claimant.Replied] and every failure to [Claimant.Failed].
	ClaimSend ClaimActionType = iota + 1
	// ClaimRelease sends Message to each holder of To, repeatedly until it is
	// delivered.
	ClaimRelease
	// ClaimDispatch grants the right to dispatch for Attempt.
	ClaimDispatch
	// ClaimAnswer returns the recorded Answer.
	ClaimAnswer
	// ClaimRefuse returns the Refusal.
	ClaimRefuse
)

// ClaimAction is an action that the caller of a [Claimant] must carry out.
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
	// firstRoundTimeout is how long the first round waits for replies. The
	// timeout doubles with each further round, up to maxRoundTimeout.
	firstRoundTimeout = 250 * time.Millisecond
	maxRoundTimeout   = 2 * time.Second
	// firstPauseLimit is the longest pause after the first round. The limit
	// doubles with each further pause, up to maxPauseLimit.
	firstPauseLimit = 20 * time.Millisecond
	maxPauseLimit   = 500 * time.Millisecond
	// homeTimeout is how long a claim tries to reach a majority of its home
	// while no holder reports another attempt.
	homeTimeout = 2 * time.Second
	// overdueTimeout is how long a claim waits for the outcome of an attempt
	// that is past its deadline.
	overdueTimeout = 500 * time.Millisecond
	// answerTimeout is how long a claim looks for the answer of a request that
	// ran.
	answerTimeout = 2 * time.Second
	// maxDoublings prevents an overflow in backoff. Every timeout and pause
	// reaches its maximum within that many.
	maxDoublings = 6
)

//go:embed attempt.json
var attemptChartJSON []byte

var attemptChart = keelchart.MustParse(attemptChartJSON)

// States and events of the chart in attempt.json that the code refers to.
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

// NewClaimant returns a claimant. [Claimant.Start] begins the claim.
func NewClaimant(cfg ClaimantConfig) *Claimant {
	return &Claimant{cfg: cfg, machine: keelchart.NewMachine(attemptChart)}
}

// Timer returns when [Claimant.Tick] is to be called next.
func (c *Claimant) Timer() time.Time { return c.timer }

// Start begins the first round.
func (c *Claimant) Start(now time.Time) []ClaimAction {
	c.started = now
	return c.startRound(now)
}

func (c *Claimant) fire(e keelchart.Event) bool {
	_, err := c.machine.Fire(e)
	return err == nil
}

func (c *Claimant) startRound(now time.Time) []ClaimAction {
	if !c.fire(eventAsk) {
		return nil
	}
	c.attempt = c.cfg.NextAttempt()
	c.ballot = newBallot(c.cfg.Sets, c.cfg.BodyHash)
	c.timer = earlier(now.Add(backoff(firstRoundTimeout, maxRoundTimeout, c.round)), c.cfg.Deadline)
	c.round++
	request := &VoteRequest{
		Key:       c.cfg.Key,
		Attempt:   c.attempt,
		BodyHash:  c.cfg.BodyHash,
		Remaining: keel.Duration(max(0, c.cfg.Deadline.Sub(now))),
		Ticket:    c.cfg.Ticket,
	}
	return []ClaimAction{{Type: ClaimSend, To: allHolders(c.cfg.Sets), Message: Message{VoteRequest: request}, Attempt: c.attempt}}
}

// Replied handles a holder's reply to a message of the attempt.
func (c *Claimant) Replied(now time.Time, attempt Attempt, from keel.InstanceName, r Reply) []ClaimAction {
	switch {
	case attempt != c.attempt:
		return nil
	case c.machine.State() == stateFetching:
		if from != c.sources[0] || r.Vote != nil {
			return nil
		}
		return c.handleFetchReply(now, r)
	case c.machine.State() != stateAsking || r.Vote == nil:
		return nil
	}
	var added bool
	if c.cfg.Sets, added = addFormerSets(now, c.cfg.Sets, r.Vote.Former, c.cfg.SetRetention); added {
		return c.restartRound(now)
	}
	c.ballot.countVote(from, r.Incarnation, *r.Vote)
	return c.evaluate(now)
}

// restartRound abandons a round in which some holders were not asked, because a
// vote reported further sets. The next round begins at once.
func (c *Claimant) restartRound(now time.Time) []ClaimAction {
	actions := c.release()
	c.fire(eventLost)
	c.timer = now
	return actions
}

// Sets returns the sets of holders that the claim needs majorities of,
// including former sets that votes reported.
func (c *Claimant) Sets() []Set { return c.cfg.Sets }

// Failed handles a message of the attempt that got no reply from a holder.
func (c *Claimant) Failed(now time.Time, attempt Attempt, from keel.InstanceName) []ClaimAction {
	switch {
	case attempt != c.attempt:
		return nil
	case c.machine.State() == stateFetching:
		if from != c.sources[0] {
			return nil
		}
		return c.handleFetchReply(now, Reply{})
	case c.machine.State() != stateAsking:
		return nil
	}
	c.ballot.markUnreachable(from)
	return c.evaluate(now)
}

// Tick ends the round or pause that is due.
func (c *Claimant) Tick(now time.Time) []ClaimAction {
	if now.Before(c.timer) {
		return nil
	}
	switch c.machine.State() {
	case stateAsking:
		c.ballot.markRestUnreachable()
		return c.evaluate(now)
	case stateWaiting:
		return c.startRound(now)
	case stateFetching:
		return c.handleFetchReply(now, Reply{})
	default:
		return nil
	}
}

// Cancel gives up for a reason outside the claim. It does nothing once the
// claim is decided.
func (c *Claimant) Cancel(reason keel.Reason) []ClaimAction {
	verdict := keel.NotRun
	if c.ballot.otherMayHaveRun() {
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

// release withdraws the votes of the round, also those of holders that have not
// replied yet.
func (c *Claimant) release() []ClaimAction {
	m := Message{Release: &Release{Key: c.cfg.Key, Attempt: c.attempt}}
	return []ClaimAction{{Type: ClaimRelease, To: allHolders(c.cfg.Sets), Message: m, Attempt: c.attempt}}
}

// evaluate ends the round if its result is known.
func (c *Claimant) evaluate(now time.Time) []ClaimAction {
	b := &c.ballot
	switch {
	case b.conflict:
		return c.refuse(conflictRefusal())
	case len(b.answeredBy) > 0:
		return c.startFetch(now)
	case b.ran || b.unknown:
		if b.anyPending() {
			return nil
		}
		if pause := c.randomPause(); c.answerMayArrive(now, pause) {
			c.fire(eventLost)
			c.timer = now.Add(pause)
			return c.release()
		}
		return c.refuse(outcomeRefusal(b.ran))
	case b.won():
		c.fire(eventGranted)
		return []ClaimAction{{Type: ClaimDispatch, Attempt: c.attempt}}
	case b.canWin() || b.outcomeMayArrive():
		return nil
	}
	return c.endLostRound(now)
}

// answerMayArrive reports whether the recorded answer is worth waiting for. Only
// some holders keep it: one of them may not have received the outcome yet, or
// may not have replied in time.
func (c *Claimant) answerMayArrive(now time.Time, pause time.Duration) bool {
	if !c.ballot.ran || !c.ballot.heldByOther && !c.ballot.anyUnreachable() {
		return false
	}
	if c.ranAt.IsZero() {
		c.ranAt = now
	}
	return now.Add(pause).Before(earlier(c.cfg.Deadline, c.ranAt.Add(answerTimeout)))
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

// startFetch asks a holder for the answer that it keeps.
func (c *Claimant) startFetch(now time.Time) []ClaimAction {
	actions := c.release()
	c.fire(eventRecorded)
	c.sources = slices.Clone(c.ballot.answeredBy)
	return append(actions, c.fetchNext(now))
}

func (c *Claimant) fetchNext(now time.Time) ClaimAction {
	c.timer = now.Add(maxRoundTimeout)
	m := Message{Fetch: &Fetch{Key: c.cfg.Key, BodyHash: c.cfg.BodyHash}}
	return ClaimAction{Type: ClaimSend, To: c.sources[:1], Message: m, Attempt: c.attempt}
}

// handleFetchReply returns the answer, or asks the next holder that keeps it.
func (c *Claimant) handleFetchReply(now time.Time, r Reply) []ClaimAction {
	if r.Answer != nil {
		c.fire(eventFetched)
		return []ClaimAction{{Type: ClaimAnswer, Answer: r.Answer}}
	}
	c.sources = c.sources[1:]
	if len(c.sources) == 0 {
		c.fire(eventRefused)
		return []ClaimAction{{Type: ClaimRefuse, Refusal: outcomeRefusal(true)}}
	}
	return []ClaimAction{c.fetchNext(now)}
}

// endLostRound ends a round without a majority.
func (c *Claimant) endLostRound(now time.Time) []ClaimAction {
	if r := c.ballot.barrierRefusal(); r != nil {
		return c.refuse(r)
	}
	pause := c.randomPause()
	if limit := c.giveUpAt(); !now.Add(pause).Before(limit) {
		return c.refuse(c.ballot.refusal(pause))
	}
	c.fire(eventLost)
	c.timer = now.Add(pause)
	return c.release()
}

// giveUpAt returns when the claimant stops asking: at the deadline if another
// attempt is running, whose outcome is worth waiting for. An attempt that is
// past its own deadline was most likely lost together with its instance.
func (c *Claimant) giveUpAt() time.Time {
	switch {
	case c.ballot.heldByOther && c.ballot.heldWait > 0:
		return c.cfg.Deadline
	case c.ballot.heldByOther:
		return earlier(c.cfg.Deadline, c.started.Add(overdueTimeout))
	case c.cfg.HomeLost != nil && c.cfg.HomeLost(c.cfg.Sets):
		return c.started
	default:
		return earlier(c.cfg.Deadline, c.started.Add(homeTimeout))
	}
}

// randomPause returns a random duration, so that claimants which split the
// votes between them don't collide again.
func (c *Claimant) randomPause() time.Duration {
	longest := backoff(firstPauseLimit, maxPauseLimit, c.round-1)
	return longest/4 + time.Duration(c.cfg.Random()%uint64(longest*3/4))
}

func backoff(first, last time.Duration, times int) time.Duration {
	return min(last, first<<min(times, maxDoublings))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
