package keelclaim

import (
	"context"
	"slices"
	"sync"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// Grant is the right to dispatch one request, or the recorded answer of an
// earlier one. In the first case the claim must be ended by [Grant.Settle],
// [Grant.SettleRan], [Grant.SettleUnknown] or [Grant.Release]; in the second
// case these do nothing. A Grant is safe for concurrent use.
type Grant struct {
	service *Service
	cfg     ClaimantConfig
	attempt Attempt
	started time.Time
	answer  *Answer

	mu sync.Mutex
	// ended says that the claim was settled or released.
	ended    bool
	released bool
}

// answerCopies is the number of holders that keep a recorded answer.
const answerCopies = 2

// Answer returns the recorded answer, if the request has already run. The
// caller must not modify it.
func (g *Grant) Answer() (*Answer, bool) { return g.answer, g.answer != nil }

// Usable reports whether the request may still be dispatched. It is to be
// called right before the first byte is sent to an endpoint: if the process was
// paused for long, the holders may have expired the claim. Both the monotonic
// clock, which may stand still during a pause, and the time of day are checked.
func (g *Grant) Usable() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.answer != nil || g.ended {
		return false
	}
	now, limit := g.service.cfg.Clock.Now(), g.service.cfg.Retention/2
	return now.Sub(g.started) <= limit && now.Round(0).Sub(g.started.Round(0)) <= limit
}

// Settle records that the request ran, with its whole answer. An answer larger
// than MaxAnswerBytes is not kept. Settle returns once a majority of the
// holders has received the outcome, or when ctx ends; delivery continues after
// that. It may follow [Grant.SettleUnknown] if the answer arrives late.
func (g *Grant) Settle(ctx context.Context, a Answer) {
	if a.size() > g.service.cfg.MaxAnswerBytes {
		g.settle(ctx, OutcomeRan, nil)
		return
	}
	g.settle(ctx, OutcomeRan, a.clone())
}

// SettleRan records that the request ran, without its answer.
func (g *Grant) SettleRan(ctx context.Context) { g.settle(ctx, OutcomeRan, nil) }

// SettleUnknown records that the request may have run: a byte of it reached an
// endpoint, and no whole answer came back.
func (g *Grant) SettleUnknown(ctx context.Context) { g.settle(ctx, OutcomeUnknown, nil) }

func (g *Grant) settle(ctx context.Context, o Outcome, a *Answer) {
	if !g.end(false) {
		return
	}
	holders := allHolders(g.cfg.Sets)
	keepers := g.answerHolders(holders)
	acks := make(chan keel.InstanceName, len(holders))
	for _, to := range holders {
		m := &Settle{Key: g.cfg.Key, Attempt: g.attempt, BodyHash: g.cfg.BodyHash, Outcome: o}
		if slices.Contains(keepers, to) {
			m.Answer = a
		}
		g.service.deliver([]keel.InstanceName{to}, Message{Settle: m}, acks)
	}
	g.awaitMajority(ctx, acks)
}

// answerHolders returns the holders that keep the answer: this instance, if it
// is a holder, and others that follow from the key.
func (g *Grant) answerHolders(holders []keel.InstanceName) []keel.InstanceName {
	n := len(holders)
	first := int(keyPosition(g.cfg.Key) % uint64(n))
	if i := slices.Index(holders, g.service.cfg.Self.Name); i >= 0 {
		first = i
	}
	var out []keel.InstanceName
	for i := range min(answerCopies, n) {
		out = append(out, holders[(first+i)%n])
	}
	return out
}

func (g *Grant) awaitMajority(ctx context.Context, acks <-chan keel.InstanceName) {
	var got []keel.InstanceName
	for !ackedByMajorities(g.cfg.Sets, got) {
		select {
		case name := <-acks:
			got = append(got, name)
		case <-ctx.Done():
			return
		case <-g.service.ctx.Done():
			return
		}
	}
}

func ackedByMajorities(sets []Set, got []keel.InstanceName) bool {
	return !slices.ContainsFunc(sets, func(s Set) bool {
		n := 0
		for _, name := range got {
			if s.contains(name) {
				n++
			}
		}
		return n < s.Majority()
	})
}

// Release gives up the claim. It is allowed only if no byte of the request was
// sent to an endpoint and none will be. It does not wait for the holders.
func (g *Grant) Release(_ context.Context) {
	if !g.end(true) {
		return
	}
	m := Message{Release: &Release{Key: g.cfg.Key, Attempt: g.attempt}}
	g.service.deliver(allHolders(g.cfg.Sets), m, nil)
}

// end marks the claim as ended. It reports whether that is allowed: a released
// claim can't be settled, and a settled one can't be released.
func (g *Grant) end(release bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.answer != nil || g.released || release && g.ended {
		return false
	}
	g.ended, g.released = true, release
	return true
}
