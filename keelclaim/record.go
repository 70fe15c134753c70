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
	// StateFree is a key without a claim.
	StateFree State = "free"
	// StateVoted is a claim that this holder voted for.
	StateVoted State = "voted"
	// StateHeard is a claim that this holder learnt of from another one, after
	// it may have lost its own vote. It is never granted again.
	StateHeard State = "heard"
	// StateUnknown is a claim whose request may have run.
	StateUnknown State = "unknown"
	// StateRan is a claim whose request ran.
	StateRan State = "ran"
	// StateAnswered is a claim whose answer is recorded.
	StateAnswered State = "answered"
)

// Events of the chart.
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

var heldStates = map[State]bool{
	StateVoted: true, StateHeard: true, StateUnknown: true, StateRan: true, StateAnswered: true,
}

// settled reports whether s is an outcome.
func settled(s State) bool {
	return s == StateUnknown || s == StateRan || s == StateAnswered
}

// record is what a holder knows about one key.
type record struct {
	attempt Attempt
	// also lists further attempts that were heard of. At most one of all may
	// dispatch, but it is not known which.
	also     []Attempt
	bodyHash uint64
	// mixed says that the attempts have different bodies.
	mixed  bool
	state  State
	answer *Answer
	// seq is the place of the record in the holder's list.
	seq      uint64
	touched  time.Time
	deadline time.Time
}

// recordBytes is what a claim without its answer is counted as, with its share
// of the map and of the list.
const recordBytes = 320

// fire moves the record along the chart. It reports whether the event is valid
// in the record's state.
func (r *record) fire(e keelchart.Event) bool {
	next, err := claimChart.Next(r.state, e)
	if err != nil {
		return false
	}
	r.state = next
	return true
}

// forget removes one attempt and reports whether none is left.
func (r *record) forget(a Attempt) bool {
	if i := slices.Index(r.also, a); i >= 0 {
		r.also = slices.Delete(r.also, i, i+1)
		return false
	}
	if r.attempt != a {
		return false
	}
	if len(r.also) == 0 {
		return true
	}
	r.attempt, r.also = r.also[0], r.also[1:]
	return false
}

// hear adds an attempt that another holder knows of. It reports whether the
// attempt is new.
func (r *record) hear(a Attempt) bool {
	if r.attempt == a || slices.Contains(r.also, a) {
		return false
	}
	r.also = append(r.also, a)
	return true
}

// settle notes that of all attempts this one dispatched.
func (r *record) settle(a Attempt, bodyHash uint64) {
	r.attempt, r.also = a, nil
	r.bodyHash, r.mixed = bodyHash, false
}

func (r *record) attempts() []Attempt {
	return append([]Attempt{r.attempt}, r.also...)
}
