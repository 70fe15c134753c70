package keelclaim_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelclaim"
)

var (
	holderStart = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	holderSet   = keelclaim.Set{Holders: []keel.InstanceName{"k1", "k2", "k3"}}
	testKey     = keelclaim.KeyID{1}
)

// newHolder returns a holder of holderSet that is whole, or one that restarted.
func newHolder(name keel.InstanceName, incarnation uint64, whole bool) *keelclaim.Holder {
	h := keelclaim.NewHolder(keelclaim.HolderConfig{
		Self: name, Incarnation: incarnation, Started: holderStart,
		Retention: time.Minute, ClockSlack: time.Second, MaxAnswerBytes: 100, MaxTotalBytes: 2000,
	})
	set := holderSet
	set.ObservedFromStart = whole
	h.SetHolders(holderStart, []keelclaim.Set{set})
	return h
}

func attemptOf(n uint64) keelclaim.Attempt {
	return keelclaim.Attempt{Instance: "k9", Incarnation: 1, Counter: n}
}

func askOf(n uint64) keelclaim.Message {
	return keelclaim.Message{VoteRequest: &keelclaim.VoteRequest{Key: testKey, Attempt: attemptOf(n), BodyHash: n}}
}

// refill lets h read one page from each of the other holders.
func refill(h *keelclaim.Holder, self keel.InstanceName, others map[keel.InstanceName]*keelclaim.Holder) {
	for name, m := range h.Refills(holderStart) {
		h.Refilled(holderStart, name, m.After, others[name].Handle(holderStart, self, keelclaim.Message{Refill: &m}))
	}
}

// TestVoteBeforeRestart gives a claimant the vote of a holder that then
// restarts and refills, either before or after the claimant gets its second
// vote. In the latter order the first vote must be void, since the restarted
// holder votes again.
func TestVoteBeforeRestart(t *testing.T) {
	tests := []struct {
		name        string
		refillFirst bool
		dispatches  bool
		voteAfter   keelclaim.VoteType
	}{
		{"second vote before the refill", false, true, keelclaim.VoteHeld},
		{"second vote after the refill", true, false, keelclaim.VoteGranted},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			k1, k2, k3 := newHolder("k1", 1, true), newHolder("k2", 1, true), newHolder("k3", 1, true)
			counter := uint64(0)
			c := keelclaim.NewClaimant(keelclaim.ClaimantConfig{
				Key: testKey, BodyHash: 1, Sets: []keelclaim.Set{holderSet}, Deadline: holderStart.Add(time.Minute),
				NextAttempt: func() keelclaim.Attempt { counter++; return attemptOf(counter) },
				Random:      func() uint64 { return 0 },
			})
			ask := c.Start(holderStart)[0]
			first := k1.Handle(holderStart, "k9", ask.Message)
			is.Equal(first.Vote.Type, keelclaim.VoteGranted)
			is.Equal(len(c.Replied(holderStart, ask.Attempt, "k1", first)), 0)

			k1 = newHolder("k1", 2, false)
			others := map[keel.InstanceName]*keelclaim.Holder{"k2": k2, "k3": k3}
			var second keelclaim.Reply
			if !tt.refillFirst {
				second = k2.Handle(holderStart, "k9", ask.Message)
			}
			is.Equal(k1.Phase(holderStart), keelclaim.PhaseRecovering)
			refill(k1, "k1", others)
			is.Equal(k1.Phase(holderStart), keelclaim.PhaseWhole)
			if tt.refillFirst {
				second = k2.Handle(holderStart, "k9", ask.Message)
			}
			actions := c.Replied(holderStart, ask.Attempt, "k2", second)
			dispatches := len(actions) > 0 && actions[0].Type == keelclaim.ClaimDispatch
			is.Equal(dispatches, tt.dispatches)
			is.Equal(k1.Handle(holderStart, "k9", askOf(7)).Vote.Type, tt.voteAfter)
		})
	}
}

// TestHolderVotes asks a whole holder for a vote after the messages of each
// row.
func TestHolderVotes(t *testing.T) {
	settle := func(n uint64, o keelclaim.Outcome) keelclaim.Message {
		return keelclaim.Message{Settle: &keelclaim.Settle{Key: testKey, Attempt: attemptOf(n), BodyHash: n, Outcome: o}}
	}
	release := func(n uint64) keelclaim.Message {
		return keelclaim.Message{Release: &keelclaim.Release{Key: testKey, Attempt: attemptOf(n)}}
	}
	push := func(n uint64, s keelclaim.State) keelclaim.Message {
		return keelclaim.Message{Push: &keelclaim.Push{Records: []keelclaim.PageRecord{{
			Key: testKey, Attempts: []keelclaim.Attempt{attemptOf(n)}, BodyHash: n, State: s,
		}}}}
	}
	type messages []keelclaim.Message
	tests := []struct {
		name   string
		before messages
		after  time.Duration
		ask    uint64
		want   keelclaim.VoteType
		state  keelclaim.State
	}{
		{"free", nil, 0, 1, keelclaim.VoteGranted, ""},
		{"asked twice", messages{askOf(1)}, 0, 1, keelclaim.VoteGranted, ""},
		{"voted for another", messages{askOf(1)}, 0, 2, keelclaim.VoteHeld, keelclaim.StateVoted},
		{"released", messages{askOf(1), release(1)}, 0, 2, keelclaim.VoteGranted, ""},
		{"released by another", messages{askOf(1), release(3)}, 0, 2, keelclaim.VoteHeld, keelclaim.StateVoted},
		{"release overtook the ask", messages{release(1)}, 0, 1, keelclaim.VoteAbstain, ""},
		{"late ask of a released attempt", messages{release(1), askOf(1)}, 0, 2, keelclaim.VoteGranted, ""},
		{"ran", messages{askOf(1), settle(1, keelclaim.OutcomeRan)}, 0, 2, keelclaim.VoteHeld, keelclaim.StateRan},
		{"ran without a vote", messages{settle(1, keelclaim.OutcomeRan)}, 0, 2, keelclaim.VoteHeld, keelclaim.StateRan},
		{"ran against the vote", messages{askOf(2), settle(1, keelclaim.OutcomeRan)}, 0, 2, keelclaim.VoteHeld, keelclaim.StateRan},
		{"unknown", messages{askOf(1), settle(1, keelclaim.OutcomeUnknown)}, 0, 1, keelclaim.VoteHeld, keelclaim.StateUnknown},
		{"unknown, then ran", messages{settle(1, keelclaim.OutcomeUnknown), settle(1, keelclaim.OutcomeRan)}, 0, 2, keelclaim.VoteHeld, keelclaim.StateRan},
		{"ran, then unknown", messages{settle(1, keelclaim.OutcomeRan), settle(1, keelclaim.OutcomeUnknown)}, 0, 2, keelclaim.VoteHeld, keelclaim.StateRan},
		{"released after it ran", messages{settle(1, keelclaim.OutcomeRan), release(1)}, 0, 2, keelclaim.VoteHeld, keelclaim.StateRan},
		{"reported", messages{push(1, keelclaim.StateVoted)}, 0, 1, keelclaim.VoteHeld, keelclaim.StateHeard},
		{"reported and released", messages{push(1, keelclaim.StateVoted), release(1)}, 0, 2, keelclaim.VoteGranted, ""},
		{"two reported, one released", messages{push(1, keelclaim.StateVoted), push(2, keelclaim.StateVoted), release(1)}, 0, 2, keelclaim.VoteHeld, keelclaim.StateHeard},
		{"voted, another reported, released", messages{askOf(1), push(2, keelclaim.StateVoted), release(1)}, 0, 2, keelclaim.VoteHeld, keelclaim.StateHeard},
		{"reported as ran", messages{push(1, keelclaim.StateAnswered)}, 0, 2, keelclaim.VoteHeld, keelclaim.StateRan},
		{"released, then reported", messages{release(1), push(1, keelclaim.StateVoted)}, 0, 2, keelclaim.VoteGranted, ""},
		{"just before it expires", messages{askOf(1)}, time.Minute, 2, keelclaim.VoteHeld, keelclaim.StateVoted},
		{"expired", messages{askOf(1)}, 2 * time.Minute, 2, keelclaim.VoteGranted, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newHolder("k1", 1, true)
			for _, m := range tt.before {
				h.Handle(holderStart, "k9", m)
			}
			vote := h.Handle(holderStart.Add(tt.after), "k9", askOf(tt.ask)).Vote
			is.Equal(vote.Type, tt.want)
			is.Equal(vote.State, tt.state)
		})
	}
}

// TestTicketAge asks a holder to vote for tickets with different issue times.
func TestTicketAge(t *testing.T) {
	tests := []struct {
		name   string
		issued time.Duration
		named  bool
		whole  bool
		want   keelclaim.VoteType
	}{
		{"fresh", 0, false, true, keelclaim.VoteGranted},
		{"as old as the retention allows", -58 * time.Second, false, true, keelclaim.VoteGranted},
		{"too old", -59 * time.Second, false, true, keelclaim.VoteExpired},
		{"from the future", 3 * time.Second, false, true, keelclaim.VoteExpired},
		{"issuer's clock a little ahead", time.Second, false, true, keelclaim.VoteGranted},
		{"recovering, incarnation not named", 0, false, false, keelclaim.VoteAbstain},
		{"recovering, incarnation named", 0, true, false, keelclaim.VoteGranted},
		{"recovering, incarnation named, too old", -time.Hour, true, false, keelclaim.VoteExpired},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newHolder("k1", 1, tt.whole)
			m := askOf(1)
			m.VoteRequest.Ticket = &keelclaim.TicketFacts{IssuedAt: holderStart.Add(tt.issued)}
			if tt.named {
				m.VoteRequest.Ticket.Incarnations = []keelclaim.IncarnationTag{h.IncarnationTag()}
			}
			is.Equal(h.Handle(holderStart, "k9", m).Vote.Type, tt.want)
		})
	}
}

// TestHolderBounds fills a holder whose limit is six claims.
func TestHolderBounds(t *testing.T) {
	is := is.New(t)
	h := newHolder("k1", 1, true)
	key := func(i int) keelclaim.KeyID { return keelclaim.KeyID{byte(i), 1} }
	ask := func(i int) keelclaim.VoteType {
		m := askOf(uint64(i))
		m.VoteRequest.Key = key(i)
		return h.Handle(holderStart, "k9", m).Vote.Type
	}
	fetch := func(i int) bool {
		_, ok := h.Fetch(holderStart, keelclaim.Fetch{Key: key(i), BodyHash: uint64(i)})
		return ok
	}
	for i := range 2 {
		is.Equal(ask(i), keelclaim.VoteGranted)
		h.Settle(holderStart, keelclaim.Settle{
			Key: key(i), Attempt: attemptOf(uint64(i)), BodyHash: uint64(i), Outcome: keelclaim.OutcomeRan,
			Answer: &keelclaim.Answer{Status: 200, Body: make([]byte, 100)},
		})
		is.True(fetch(i))
	}
	for i := 2; i < 6; i++ {
		is.Equal(ask(i), keelclaim.VoteGranted)
	}
	h.Settle(holderStart, keelclaim.Settle{
		Key: key(2), Attempt: attemptOf(2), BodyHash: 2, Outcome: keelclaim.OutcomeRan,
		Answer: &keelclaim.Answer{Status: 200, Body: make([]byte, 80)},
	})
	is.True(!fetch(0)) // the oldest answer was dropped
	is.True(!fetch(1))
	is.True(fetch(2))
	is.Equal(ask(9), keelclaim.VoteFull)
	is.Equal(ask(1), keelclaim.VoteHeld) // no claim was dropped
}
