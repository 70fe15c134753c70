package keelclaim_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelclaim"
)

func request(key string, within time.Duration) keelclaim.Request {
	return keelclaim.Request{
		Service: "fees", Caller: "ana", Key: key, BodyHash: 7, Deadline: time.Now().Add(within),
	}
}

var testAnswer = keelclaim.Answer{
	Status: 201,
	Header: []keelclaim.HeaderField{{Name: "Content-Type", Value: "text/plain"}},
	Body:   []byte("paid"),
}

// refusalOf returns the refusal in err.
func refusalOf(t testing.TB, err error) *keel.Refusal {
	t.Helper()
	var r *keel.Refusal
	if !errors.As(err, &r) {
		t.Fatalf("error is %v, want a refusal", err)
	}
	return r
}

func TestResend(t *testing.T) {
	big := testAnswer
	big.Body = make([]byte, 100<<10)
	tests := []struct {
		name    string
		finish  func(ctx context.Context, g *keelclaim.Grant)
		change  func(r *keelclaim.Request)
		verdict keel.Verdict
		reason  keel.Reason
		answer  bool
		grant   bool
	}{
		{"answered", func(ctx context.Context, g *keelclaim.Grant) { g.Settle(ctx, testAnswer) }, nil, 0, "", true, false},
		{"answer too large", func(ctx context.Context, g *keelclaim.Grant) { g.Settle(ctx, big) }, nil, keel.Ran, keel.ReasonDuplicate, false, false},
		{"ran", func(ctx context.Context, g *keelclaim.Grant) { g.SettleRan(ctx) }, nil, keel.Ran, keel.ReasonDuplicate, false, false},
		{"unknown", func(ctx context.Context, g *keelclaim.Grant) { g.SettleUnknown(ctx) }, nil, keel.MayHaveRun, keel.ReasonDuplicate, false, false},
		{"late answer", func(ctx context.Context, g *keelclaim.Grant) { g.SettleUnknown(ctx); g.Settle(ctx, testAnswer) }, nil, 0, "", true, false},
		{"running", func(context.Context, *keelclaim.Grant) {}, nil, keel.MayHaveRun, keel.ReasonDuplicate, false, false},
		{"released", func(ctx context.Context, g *keelclaim.Grant) { g.Release(ctx) }, nil, 0, "", false, true},
		{"released after settled", func(ctx context.Context, g *keelclaim.Grant) { g.SettleRan(ctx); g.Release(ctx) }, nil, keel.Ran, keel.ReasonDuplicate, false, false},
		{"settled after released", func(ctx context.Context, g *keelclaim.Grant) { g.Release(ctx); g.SettleRan(ctx) }, nil, 0, "", false, true},
		{"other body", func(ctx context.Context, g *keelclaim.Grant) { g.Settle(ctx, testAnswer) }, func(r *keelclaim.Request) { r.BodyHash++ }, keel.NotRun, keel.ReasonKeyConflict, false, false},
		{"other caller", func(ctx context.Context, g *keelclaim.Grant) { g.Settle(ctx, testAnswer) }, func(r *keelclaim.Request) { r.Caller = "awa" }, 0, "", false, true},
		{"other service", func(ctx context.Context, g *keelclaim.Grant) { g.Settle(ctx, testAnswer) }, func(r *keelclaim.Request) { r.Service = "scores" }, 0, "", false, true},
	}
	_, all := startHome(t)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			key := strings.ReplaceAll(tt.name, " ", "-")
			first, err := all[0].Claim(t.Context(), request(key, time.Minute))
			is.NoErr(err)
			is.True(first.Usable())
			tt.finish(t.Context(), first)
			again := request(key, 300*time.Millisecond)
			if tt.grant {
				again.Deadline = time.Now().Add(time.Minute)
			}
			if tt.change != nil {
				tt.change(&again)
			}
			second, err := all[1].Claim(t.Context(), again)
			if tt.verdict != 0 || tt.reason != "" {
				r := refusalOf(t, err)
				is.Equal(r.Verdict, tt.verdict)
				is.Equal(r.Reason, tt.reason)
				return
			}
			is.NoErr(err)
			got, ok := second.Answer()
			is.Equal(ok, tt.answer)
			is.Equal(second.Usable(), tt.grant)
			if ok {
				is.Equal(cmp.Diff(*got, testAnswer), "")
			}
		})
	}
}

func TestClaimRefused(t *testing.T) {
	forged := testTicket().Sign([]byte("forged"))
	tests := []struct {
		name    string
		down    []keel.InstanceName
		request keelclaim.Request
		verdict keel.Verdict
		reason  keel.Reason
	}{
		{"no key", nil, request("", time.Second), keel.NotRun, keel.ReasonBadRequest},
		{"control character", nil, request("a\nb", time.Second), keel.NotRun, keel.ReasonBadRequest},
		{"forged ticket", nil, request(forged, time.Second), keel.NotRun, keel.ReasonBadRequest},
		{"deadline beyond the retention", nil, request("a", time.Hour), keel.NotRun, keel.ReasonBadRequest},
		{"majority cut off", []keel.InstanceName{"k2", "k3"}, request("a", 100*time.Millisecond), keel.NotRun, keel.ReasonClaimHome},
		{"old ticket", nil, request(testTicket().Sign(testSecret), time.Second), keel.MayHaveRun, keel.ReasonClaimBarrier},
	}
	n, all := startHome(t)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			n.setDown(true, tt.down...)
			defer n.setDown(false, tt.down...)
			_, err := all[0].Claim(t.Context(), tt.request)
			r := refusalOf(t, err)
			is.Equal(r.Verdict, tt.verdict)
			is.Equal(r.Reason, tt.reason)
		})
	}
}

func TestCancelledClaimIsReleased(t *testing.T) {
	is := is.New(t)
	n, all := startHome(t)
	n.setDown(true, "k2", "k3")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := all[0].Claim(ctx, request("key", time.Minute))
	is.Equal(refusalOf(t, err).Verdict, keel.NotRun)
	n.setDown(false, "k2", "k3")
	_, err = all[1].Claim(t.Context(), request("key", time.Minute))
	is.NoErr(err) // the cancelled claim holds no votes
}

// TestHolderRestart restarts holders of a home and claims a key that was
// claimed before.
func TestHolderRestart(t *testing.T) {
	tests := []struct {
		name    string
		restart []keel.InstanceName
		phase   keelclaim.Phase
		verdict keel.Verdict
		reason  keel.Reason
	}{
		{"one of three reads the claims", []keel.InstanceName{"k2"}, keelclaim.PhaseWhole, keel.Ran, keel.ReasonDuplicate},
		{"two of three refuse old keys", []keel.InstanceName{"k2", "k3"}, keelclaim.PhaseBarrier, keel.Ran, keel.ReasonDuplicate},
		{"all refuse old keys", []keel.InstanceName{"k1", "k2", "k3"}, keelclaim.PhaseBarrier, keel.MayHaveRun, keel.ReasonClaimBarrier},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			n, all := startHome(t)
			g, err := all[0].Claim(t.Context(), request("key", time.Minute))
			is.NoErr(err)
			g.SettleRan(t.Context())
			n.mu.Lock()
			n.sets["dakar-a"] = []keelclaim.Set{{Holders: n.sets["dakar-a"][0].Holders}}
			n.mu.Unlock()
			var last *keelclaim.Service
			var restarted []*keelclaim.Service
			for _, name := range tt.restart {
				n.kill(name)
			}
			for _, name := range tt.restart {
				last = n.start(t, name, "dakar-a", 2)
				restarted = append(restarted, last)
			}
			n.setDown(false, tt.restart...)
			for _, s := range restarted {
				waitPhase(t, s, tt.phase)
			}
			_, err = last.Claim(t.Context(), request("key", 2*time.Second))
			r := refusalOf(t, err)
			is.Equal(r.Verdict, tt.verdict)
			is.Equal(r.Reason, tt.reason)
			key := last.NewTicket(time.Now())
			_, err = last.Claim(t.Context(), request(key, time.Minute))
			is.NoErr(err) // a ticket that was issued after the loss can be claimed
		})
	}
}

// TestTicketHome checks that an instance whose failure domain lacks a majority
// of live holders issues tickets of another domain, and that these can be
// claimed.
func TestTicketHome(t *testing.T) {
	is := is.New(t)
	n, _ := startHome(t)
	n.mu.Lock()
	n.domains = []keel.DomainName{"dakar-a", "thies-a"}
	n.sets["thies-a"] = []keelclaim.Set{{Holders: []keel.InstanceName{"k4", "k5", "k6"}, ObservedFromStart: true}}
	n.mu.Unlock()
	live := map[keel.InstanceName]bool{"k1": true, "k2": true, "k3": true, "k4": true}
	s := n.start(t, "k4", "thies-a", 1, func(cfg *keelclaim.Config) {
		cfg.Live = func() map[keel.InstanceName]bool { return live }
	})
	ticket, err := keelclaim.ParseTicket(testSecret, s.NewTicket(time.Now()))
	is.NoErr(err)
	is.Equal(ticket.Home, keel.DomainName("dakar-a"))
	_, err = s.Claim(t.Context(), request(s.NewTicket(time.Now()), time.Minute))
	is.NoErr(err)
	live = map[keel.InstanceName]bool{"k4": true, "k5": true}
	ticket, err = keelclaim.ParseTicket(testSecret, s.NewTicket(time.Now()))
	is.NoErr(err)
	is.Equal(ticket.Home, keel.DomainName("thies-a"))
}

// TestHomes declares a failure domain without registered instances, which can't
// be a home, and registers instances there later. Keys that were claimed before
// must still be found.
func TestHomes(t *testing.T) {
	is := is.New(t)
	n, all := startHome(t)
	n.mu.Lock()
	n.domains = []keel.DomainName{"dakar-a", "thies-a"}
	n.mu.Unlock()
	const keys = 30
	for i := range keys {
		g, err := all[0].Claim(t.Context(), request(fmt.Sprintf("key-%d", i), time.Minute))
		is.NoErr(err)
		g.SettleRan(t.Context())
	}
	other := n.start(t, "k4", "thies-a", 1)
	n.mu.Lock()
	n.sets["thies-a"] = []keelclaim.Set{{Holders: []keel.InstanceName{"k4"}, ObservedFromStart: true}}
	n.mu.Unlock()
	waitPhase(t, other, keelclaim.PhaseWhole)
	for home := keel.DomainName(""); home != "thies-a"; {
		key := fmt.Sprintf("new-%d", time.Now().UnixNano())
		home, _ = all[0].HomeOf(request(key, time.Minute))
	}
	for i := range keys {
		_, err := all[0].Claim(t.Context(), request(fmt.Sprintf("key-%d", i), time.Minute))
		is.Equal(refusalOf(t, err).Verdict, keel.Ran)
	}
}

// TestFormerHomesAfterRestart resends keys to an instance that restarted after
// their home changed. It has no record of the former home itself.
func TestFormerHomesAfterRestart(t *testing.T) {
	is := is.New(t)
	n, all := startHome(t)
	const keys = 30
	for i := range keys {
		g, err := all[0].Claim(t.Context(), request(fmt.Sprintf("key-%d", i), time.Minute))
		is.NoErr(err)
		g.SettleRan(t.Context())
	}
	other := n.start(t, "k4", "thies-a", 1)
	claimAtHome(t, other, "dakar-a") // k4 has recorded dakar-a as the only possible home
	n.mu.Lock()
	n.domains = []keel.DomainName{"dakar-a", "thies-a"}
	n.sets["thies-a"] = []keelclaim.Set{{Holders: []keel.InstanceName{"k4"}, ObservedFromStart: true}}
	n.mu.Unlock()
	waitPhase(t, other, keelclaim.PhaseWhole)
	n.kill("k3")
	n.setDown(false, "k3")
	restarted := n.start(t, "k3", "dakar-a", 2)
	waitPhase(t, restarted, keelclaim.PhaseWhole)
	for i := range keys {
		_, err := restarted.Claim(t.Context(), request(fmt.Sprintf("key-%d", i), time.Minute))
		is.Equal(refusalOf(t, err).Verdict, keel.Ran)
	}
}

// A holder that votes right after the failure domains changed, before its next
// tick, reports the former home of the key: its claims may be there.
func TestVoteReportsFormerHomeAtOnce(t *testing.T) {
	is := is.New(t)
	n, _ := startHome(t)
	n.mu.Lock()
	n.sets["thies-a"] = []keelclaim.Set{{Holders: []keel.InstanceName{"k4"}, ObservedFromStart: true}}
	n.mu.Unlock()
	stopped := func(cfg *keelclaim.Config) { cfg.Clock = clockwork.NewFakeClockAt(time.Now()) }
	holder := n.start(t, "k4", "thies-a", 1, stopped)
	waitPhase(t, holder, keelclaim.PhaseWhole)
	n.mu.Lock()
	n.domains = []keel.DomainName{"dakar-a", "thies-a"}
	n.mu.Unlock()
	moved := 0
	for i := range 30 {
		r := request(fmt.Sprintf("key-%d", i), time.Minute)
		if home, ok := holder.HomeOf(r); !ok || home != "thies-a" {
			continue
		}
		moved++
		body, err := keel.EncodeCBOR(keelclaim.Message{VoteRequest: &keelclaim.VoteRequest{
			Key: keelclaim.KeyIDOf(testSecret, r), Attempt: keelclaim.Attempt{Instance: "k1", Incarnation: 1, Counter: uint64(i + 1)},
			BodyHash: r.BodyHash, Remaining: keel.Duration(time.Minute),
		}})
		is.NoErr(err)
		e, err := holder.HandleMessage(t.Context(), keel.Envelope{Kind: keel.KindClaim, From: "k1", Body: body})
		is.NoErr(err)
		var reply keelclaim.Reply
		is.NoErr(keel.DecodeCBOR(e.Body, &reply))
		is.Equal(len(reply.Vote.Former), 1)
	}
	is.True(moved > 0)
}

// claimAtHome checks that home is the home of a key at the service, and claims a
// key there, so that the service records its possible homes.
func claimAtHome(t testing.TB, s *keelclaim.Service, home keel.DomainName) {
	t.Helper()
	if got, ok := s.HomeOf(request("any", time.Minute)); !ok || got != home {
		t.Fatalf("home is %q, want %q", got, home)
	}
	_, err := s.Claim(t.Context(), request("first", time.Minute))
	if err != nil {
		t.Fatal(err)
	}
}

func TestLeaveHandsOver(t *testing.T) {
	is := is.New(t)
	n, all := startHome(t)
	n.setDown(true, "k3")
	g, err := all[0].Claim(t.Context(), request("key", time.Minute))
	is.NoErr(err)
	n.setDown(false, "k3")
	is.NoErr(all[0].Leave(t.Context()))
	is.NoErr(all[1].Leave(t.Context()))
	waitPhase(t, all[0], keelclaim.PhaseLeaving)
	_, err = all[2].Claim(t.Context(), request("key", 100*time.Millisecond))
	is.Equal(refusalOf(t, err).Verdict, keel.MayHaveRun) // the third holder received the claim
	g.Settle(t.Context(), testAnswer)
	again, err := all[2].Claim(t.Context(), request("key", time.Minute))
	is.NoErr(err)
	_, ok := again.Answer()
	is.True(ok)
}
