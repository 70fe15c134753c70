package keelsync

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelworld"
)

// handleFeed answers the poll of a follower. Without new entries it holds the
// request for up to feedRequest.Wait.
func (v *Voter) handleFeed(ctx context.Context, e keel.Envelope) (keel.Envelope, error) {
	var r feedRequest
	if err := keel.DecodeCBOR(e.Body, &r); err != nil {
		return keel.Envelope{}, err
	}
	r.PartBytes = min(r.PartBytes, maxPartBytes)
	v.recordNode(r.Node, r.After)
	v.recordCrashes(r.Answered, r.Crashes)
	v.recordRateLimits(r.RateLimits)
	a, err := v.feed(ctx, &r)
	if err != nil {
		return keel.Envelope{}, err
	}
	body, err := keel.EncodeCBOR(a)
	if a.Snapshot != nil || a.Part != nil {
		v.sent.add(len(body))
	}
	return keel.Envelope{Kind: keel.KindFeed, Body: body}, err
}

// feed waits until there is an answer to a follower, at most r.Wait.
func (v *Voter) feed(ctx context.Context, r *feedRequest) (*feedAnswer, error) {
	start := time.Now()
	timer := time.NewTimer(r.Wait)
	defer timer.Stop()
	for expired := false; ; {
		a, changed, ok, err := v.machine.answer(r)
		if err != nil {
			return nil, err
		}
		a.Held = time.Since(start)
		a.NoLeader = v.node.Status().Leader == ""
		a.Stale = !ok || a.NoLeader
		if expired || a.Stale || !a.empty() {
			a.Voters = v.voters()
			return &a, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			return nil, errors.Wrap(ctx.Err(), "hold the poll of a follower")
		}
	}
}

// voters returns the members of the voter set, with their failure domains if the
// state has them.
func (v *Voter) voters() []keelworld.Node {
	var all []keelworld.Node
	st := v.node.Status()
	v.machine.withState(func(s *keelworld.State) {
		for _, m := range st.Voters {
			n, ok := s.Node(m.Name)
			if !ok {
				n = keelworld.Node{Name: m.Name, Voter: true}
			}
			all = append(all, n)
		}
	})
	return all
}

// recordNode records contact with an instance that has applied the entries up to after. If the
// instance is new or has changed, it is added to the next batch.
//
// A poll may be late: this voter stood still, or the poll was held back. An instance that left or
// restarted meanwhile must not be listed again by it. Such a poll was sent before the instance
// could apply its newer record; one that is not late repeats its content with the next poll.
func (v *Voter) recordNode(n keelworld.Node, after uint64) {
	if n.Up {
		v.seen.addNode(n.Name)
	}
	current, index, ok := v.machine.node(n.Name)
	if n.Up && ok && current != n && after < index {
		return
	}
	if (n.Up || n.Voter) && (!ok || current != n) || !n.Up && ok && current.Up && current.Incarnation == n.Incarnation {
		v.batcher.addNode(n)
	}
}
