package keelclaim

import (
	_ "embed"
	"slices"
	"time"

	"github.com/greengagekeel/greengagekeel/keelchart"
)

// State is the state of a claim at one holder.
type State = keelchart.State

// States of a claim. They are the states of the chart in claim.json.
const (
	// StateFree is the state of a key without a claim.
	StateFree State = "free"
	// StateVoted is the state of a claim that this holder voted for.
	StateVoted State = "voted"
	// StateHeard is the state of a claim that another holder reported, after
	// this one may have lost its own vote. The holder never votes for it again.
	StateHeard State = "heard"
	// StateUnknown is the state of a claim whose request may have run.
	StateUnknown State = "unknown"
	// StateRan is the state of a claim whose request ran, without a recorded
	// answer.
	StateRan State = "ran"
	// StateAnswered is the state of a claim whose answer is recorded.
	StateAnswered State = "answered"
)

// Events of the chart in claim.json.
const (
	eventVote          keelchart.Event = "vote"
	eventHear          keelchart.Event = "hear"
	eventSettleUnknown keelchart.Event = "settle_unknown"
	eventSettleRan     keelchart.Event = "settle_ran"
	eventSettleAnswer  keelchart.Event = "settle_answer"
	eventDropAnswer    keelchart.Event = "drop_answer"
	eventRelease       keelchart.Event = "release"
	eventExpire        keelchart.Event = "expire"
)

//go:embed claim.json
var claimChartJSON []byte

var claimChart = keelchart.MustParse(claimChartJSON)

var claimStates = map[State]bool{
	StateVoted: true, StateHeard: true, StateUnknown: true, StateRan: true, StateAnswered: true,
}

// settled reports whether s is an outcome.
func settled(s State) bool {
	return s == StateUnknown || s == StateRan || s == StateAnswered
}

// record is a holder's state of one key.
type record struct {
	attempt Attempt
	// otherAttempts lists further attempts that other holders reported. At most
	// one of all attempts may dispatch, but it is not known which.
	otherAttempts []Attempt
	bodyHash      uint64
	// mixedBodies says that the attempts have different bodies.
	mixedBodies bool
	state       State
	answer      *Answer
	// seq is the sequence number of the record's entry in useOrder.
	seq      uint64
	touched  time.Time
	deadline time.Time
}

// recordBytes is the size that a claim without its answer is counted as,
// including its share of the map and of useOrder.
const recordBytes = 320

// fire applies an event of the chart. It reports whether the event is valid in
// the record's state.
func (r *record) fire(e keelchart.Event) bool {
	next, err := claimChart.Next(r.state, e)
	if err != nil {
		return false
	}
	r.state = next
	return true
}

// removeAttempt removes one attempt and reports whether none is left.
func (r *record) removeAttempt(a Attempt) bool {
	if i := slices.Index(r.otherAttempts, a); i >= 0 {
		r.otherAttempts = slices.Delete(r.otherAttempts, i, i+1)
		return false
	}
	if r.attempt != a {
		return false
	}
	if len(r.otherAttempts) == 0 {
		return true
	}
	r.attempt, r.otherAttempts = r.otherAttempts[0], r.otherAttempts[1:]
	return false
}

// addAttempt adds an attempt that another holder reported. It reports whether
// the attempt is new.
func (r *record) addAttempt(a Attempt) bool {
	if r.attempt == a || slices.Contains(r.otherAttempts, a) {
		return false
	}
	r.otherAttempts = append(r.otherAttempts, a)
	return true
}

// settle records that this attempt, and none of the others, dispatched the
// request.
func (r *record) settle(a Attempt, bodyHash uint64) {
	r.attempt, r.otherAttempts = a, nil
	r.bodyHash, r.mixedBodies = bodyHash, false
}

func (r *record) attempts() []Attempt {
	return append([]Attempt{r.attempt}, r.otherAttempts...)
}
