package keelclaim_test

import (
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelclaim"
)

// isolatedService returns a service that can't reach any other instance.
func isolatedService() *keelclaim.Service {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return keelclaim.New(keelclaim.Config{
		Self:    keel.Instance{Name: "k1", Domain: "dakar-a", Incarnation: 1},
		Holders: func(keel.DomainName) []keelclaim.Set { return []keelclaim.Set{holderSet} },
		Domains: func() []keel.DomainName { return []keel.DomainName{"dakar-a"} },
		Clock:   clockwork.NewFakeClockAt(holderStart), Log: logrus.NewEntry(log), Secret: testSecret,
		Retention: time.Hour, MaxAnswerBytes: 1000, MaxTotalBytes: 10_000,
	})
}

func FuzzHandleMessage(f *testing.F) {
	refill := keelclaim.Message{Refill: &keelclaim.Refill{Incarnation: 2}}
	push := keelclaim.Message{Push: &keelclaim.Push{Records: []keelclaim.PageRecord{{
		Key: testKey, Attempts: []keelclaim.Attempt{attemptOf(1)}, State: keelclaim.StateVoted,
	}}}}
	settle := keelclaim.Message{Settle: &keelclaim.Settle{
		Key: testKey, Attempt: attemptOf(1), Outcome: keelclaim.OutcomeRan, Answer: &testAnswer,
	}}
	for _, m := range []keelclaim.Message{askOf(1), refill, push, settle} {
		b, err := keel.EncodeCBOR(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		s := isolatedService()
		for range 2 {
			e, err := s.HandleMessage(t.Context(), keel.Envelope{Kind: keel.KindClaim, From: "k9", Body: b})
			if err != nil {
				return
			}
			var r keelclaim.Reply
			if err := keel.DecodeCBOR(e.Body, &r); err != nil {
				t.Fatalf("message % x is answered by a malformed reply: %v", b, err)
			}
		}
		// The records of a pushed page, 512 of 320 bytes, are merged even beyond the
		// limit.
		if s.Dump().(keelclaim.Dump).Bytes > 10_000+512*320 {
			t.Fatalf("message % x made the holder grow beyond its limit", b)
		}
	})
}

func FuzzKey(f *testing.F) {
	f.Add("key", "ana")
	f.Add(testTicket().Sign(testSecret), "")
	f.Add("kt1.", "a\x00b")
	f.Fuzz(func(t *testing.T, key, caller string) {
		s := isolatedService()
		r := keelclaim.Request{Service: "fees", Caller: caller, Key: key, Deadline: holderStart}
		_, err := s.Claim(t.Context(), r)
		if v := keel.VerdictOf(err); v != keel.NotRun {
			t.Fatalf("key %q is refused as %v by a service that reaches no other instance: %v", key, v, err)
		}
		shifted := keelclaim.Request{Service: "fees", Caller: caller + key, Key: "", Deadline: holderStart}
		if key != "" && keelclaim.KeyIDOf(testSecret, r) == keelclaim.KeyIDOf(testSecret, shifted) {
			t.Fatalf("key %q of caller %q collides with another caller's key", key, caller)
		}
	})
}

// TestOneVotePerKey sends a holder messages in random order. At no time may
// more than one attempt have its vote without having been released.
func TestOneVotePerKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHolder("k1", 1, true)
		voted := map[uint64]bool{}
		released := map[uint64]bool{}
		for range rapid.IntRange(1, 40).Draw(t, "messages") {
			n := rapid.Uint64Range(1, 4).Draw(t, "attempt")
			switch rapid.IntRange(0, 4).Draw(t, "message") {
			case 0, 1:
				if h.Handle(holderStart, "k9", askOf(n)).Vote.Type == keelclaim.VoteGranted {
					voted[n] = true
				}
			case 2:
				h.Release(holderStart, keelclaim.Release{Key: testKey, Attempt: attemptOf(n)})
				delete(voted, n)
				released[n] = true
			case 3:
				state := rapid.SampledFrom([]keelclaim.State{keelclaim.StateVoted, keelclaim.StateHeard}).Draw(t, "state")
				h.Push(holderStart, keelclaim.Push{Records: []keelclaim.PageRecord{{
					Key: testKey, Attempts: []keelclaim.Attempt{attemptOf(n)}, BodyHash: n, State: state,
				}}})
			case 4:
				h.Refill(holderStart, "k2", keelclaim.Refill{Incarnation: n})
			}
			if len(voted) > 1 {
				t.Fatalf("the holder voted for the attempts %v at the same time", voted)
			}
			for n := range released {
				if h.Handle(holderStart, "k9", askOf(n)).Vote.Type == keelclaim.VoteGranted {
					t.Fatalf("the holder voted for attempt %d after its release", n)
				}
			}
		}
	})
}
