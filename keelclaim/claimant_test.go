package keelclaim_test

import (
	"fmt"
	"testing"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelclaim"
	"github.com/matryer/is"
)

// TestAnswerOnItsWay claims a key whose outcome has reached only a holder that
// does not keep the answer. The claimant must ask again until a holder that
// keeps the answer has it, and give up if none gets it.
func TestAnswerOnItsWay(t *testing.T) {
	held := keelclaim.Vote{Type: keelclaim.VoteHeld, State: keelclaim.StateVoted, Wait: keel.Duration(time.Second)}
	ran := keelclaim.Vote{Type: keelclaim.VoteHeld, State: keelclaim.StateRan}
	answered := keelclaim.Vote{Type: keelclaim.VoteHeld, State: keelclaim.StateAnswered}
	lost := keelclaim.Vote{} // marks a holder that can't be reached
	for _, tt := range []struct {
		name string
		// rounds holds the votes of each round; the last one is repeated.
		rounds [][]keelclaim.Vote
		want   keelclaim.ClaimActionType
	}{
		{"answer arrives at a holder that keeps it", [][]keelclaim.Vote{{held, held, ran}, {answered, held, ran}}, keelclaim.ClaimAnswer},
		{"answer arrives at no holder", [][]keelclaim.Vote{{held, held, ran}}, keelclaim.ClaimRefuse},
		{"holder with the answer replies late", [][]keelclaim.Vote{{lost, ran, ran}, {answered, held, ran}}, keelclaim.ClaimAnswer},
		{"holder with the answer is lost", [][]keelclaim.Vote{{lost, ran, ran}}, keelclaim.ClaimRefuse},
		{"answer not kept", [][]keelclaim.Vote{{ran, ran, ran}}, keelclaim.ClaimRefuse},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now, attempts := holderStart, uint64(0)
			c := keelclaim.NewClaimant(keelclaim.ClaimantConfig{
				Key: keyOf(1), Sets: []keelclaim.Set{holderSet}, SetRetention: time.Hour, Deadline: now.Add(time.Minute),
				NextAttempt: func() keelclaim.Attempt { attempts++; return attemptOf(attempts) },
				Random:      func() uint64 { return 0 },
			})
			answer := &keelclaim.Answer{Status: 200}
			queue := c.Start(now)
			for round := 0; ; {
				if len(queue) == 0 {
					now = c.Timer()
					queue = c.Tick(now)
					continue
				}
				a := queue[0]
				queue = queue[1:]
				switch {
				case a.Type == keelclaim.ClaimAnswer || a.Type == keelclaim.ClaimRefuse:
					is.Equal(a.Type, tt.want)
					if a.Refusal != nil {
						is.Equal(a.Refusal.Verdict, keel.Ran)
					}
					return
				case a.Message.VoteRequest != nil:
					votes := tt.rounds[min(round, len(tt.rounds)-1)]
					round++
					for i, name := range a.To {
						if votes[i].Type == lost.Type {
							queue = append(queue, c.Failed(now, a.Attempt, name)...)
							continue
						}
						queue = append(queue, c.Replied(now, a.Attempt, name, keelclaim.Reply{Incarnation: 1, Vote: &votes[i]})...)
					}
				case a.Message.Fetch != nil:
					queue = append(queue, c.Replied(now, a.Attempt, a.To[0], keelclaim.Reply{Incarnation: 1, Answer: answer})...)
				}
			}
		})
	}
}

// TestHomeLost checks that a claim is refused after the first round if its home
// lacks a majority of live holders, and that a further round follows if the
// home may still be reached.
func TestHomeLost(t *testing.T) {
	for _, lost := range []bool{true, false} {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			is := is.New(t)
			c := keelclaim.NewClaimant(keelclaim.ClaimantConfig{
				Key: keyOf(1), Sets: []keelclaim.Set{holderSet}, SetRetention: time.Hour, Deadline: holderStart.Add(time.Minute),
				NextAttempt: func() keelclaim.Attempt { return attemptOf(1) },
				Random:      func() uint64 { return 0 },
				HomeLost:    func([]keelclaim.Set) bool { return lost },
			})
			ask := c.Start(holderStart)[0]
			var refusal *keel.Refusal
			for _, name := range ask.To {
				for _, a := range c.Failed(holderStart, ask.Attempt, name) {
					if a.Type == keelclaim.ClaimRefuse {
						refusal = a.Refusal
					}
				}
			}
			is.Equal(refusal != nil, lost)
			if lost {
				is.Equal(refusal.Verdict, keel.NotRun)
				is.Equal(refusal.Reason, keel.ReasonClaimHome)
			}
		})
	}
}
