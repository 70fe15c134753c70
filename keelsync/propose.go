package keelsync

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelquorum"
	"github.com/greengagekeel/greengagekeel/keelworld"
)

const (
	// leaderAnswerTimeout limits the time that the leader takes to commit a
	// command: several round trips between regions and disk syncs.
	leaderAnswerTimeout = 800 * time.Millisecond
	// submitRetryDelay is the delay between two attempts to reach a leader.
	submitRetryDelay = 40 * time.Millisecond
)

// ErrCallerLeft means that the caller of an order had closed its connection before a
// leader received the order. What was submitted before may still take effect.
var ErrCallerLeft = errors.New("the caller left before the order was submitted")

// ErrNoLeader means that no leader confirmed a command in time. The command may
// still take effect.
var ErrNoLeader = errors.New("no leader confirmed the command")

// Submit commits a command and returns its result. It retries until ctx ends and
// then returns [ErrNoLeader]. A command may be proposed more than once but takes
// effect only once. callerLeft reports whether the caller has closed its connection, in
// which case the command is not submitted any more and Submit returns [ErrCallerLeft]; nil
// means that there is no such caller.
//
// If the result is outdated, the command changed nothing. A caller that still waits may
// submit it with the index of the result as [keelworld.Command.AsOf]. Submit does not: a
// caller that has given up may leave its connection open, and this voter may have stood
// still or got the order late.
func (v *Voter) Submit(ctx context.Context, c *keelworld.Command, callerLeft func() bool) (keelworld.Result, error) {
	if index, ok := v.machine.outdates(c); ok {
		return keelworld.Result{Outdated: true, Index: index}, nil
	}
	for {
		if callerLeft != nil && callerLeft() {
			return keelworld.Result{}, ErrCallerLeft
		}
		// Each attempt has its own ID: the entry of an earlier attempt may have
		// been applied already.
		c.ID = v.newCommandID()
		r, err := v.submitOnce(ctx, c)
		if err == nil {
			return *r, nil
		}
		select {
		case <-ctx.Done():
			return keelworld.Result{}, errors.Join(ErrNoLeader, err)
		case <-time.After(submitRetryDelay):
		}
	}
}

// submitOnce proposes a command if this voter leads, and otherwise forwards it
// to the leader.
func (v *Voter) submitOnce(ctx context.Context, c *keelworld.Command) (*keelworld.Result, error) {
	st := v.node.Status()
	if st.StorageFailure != "" {
		return nil, errors.Errorf("storage failed: %s", st.StorageFailure)
	}
	if st.Role == string(keelquorum.RoleLeader) {
		return v.propose(ctx, c)
	}
	to, ok := PeerAddress(st.Leader, v.cfg.PeerPort)
	if !ok {
		return nil, errors.New("no leader is known")
	}
	body, err := keel.EncodeCBOR(c)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, leaderAnswerTimeout)
	defer cancel()
	e, err := v.cfg.Network.Call(ctx, to, keel.Envelope{Kind: keel.KindCommand, Body: body})
	if err != nil {
		return nil, errors.Wrapf(err, "forward command to leader %s", st.Leader)
	}
	var a commandAnswer
	if err := keel.DecodeCBOR(e.Body, &a); err != nil {
		return nil, err
	}
	if a.Result == nil {
		return nil, errors.Errorf("leader %s: %s", st.Leader, a.Error)
	}
	return a.Result, nil
}

// propose commits a command through this voter, which must lead.
func (v *Voter) propose(ctx context.Context, c *keelworld.Command) (*keelworld.Result, error) {
	data, err := keel.EncodeCBOR(c)
	if err != nil {
		return nil, err
	}
	v.machine.expectResult(c.ID)
	index, err := v.node.Propose(ctx, data)
	r := v.machine.takeResult(c.ID)
	if err != nil {
		return nil, errors.Wrap(err, "propose")
	}
	if r == nil {
		return nil, errors.Errorf("command %s was applied without a result", c.ID)
	}
	r.Index = index
	return r, nil
}

// handleCommand proposes a command that another voter forwarded.
func (v *Voter) handleCommand(ctx context.Context, e keel.Envelope) (keel.Envelope, error) {
	var c keelworld.Command
	if err := keel.DecodeCBOR(e.Body, &c); err != nil {
		return keel.Envelope{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, leaderAnswerTimeout)
	defer cancel()
	var a commandAnswer
	r, err := v.propose(ctx, &c)
	if err != nil {
		a.Error = err.Error()
	}
	a.Result = r
	body, err := keel.EncodeCBOR(&a)
	return keel.Envelope{Kind: keel.KindCommand, Body: body}, err
}

// Read returns the items in force at the time of the call or later. It commits
// an empty command through the leader, since the local state may lag.
func (v *Voter) Read(ctx context.Context) ([]keelworld.Item, error) {
	// The empty command is applied after every command acknowledged so far.
	r, err := v.Submit(ctx, &keelworld.Command{}, nil)
	if err != nil {
		return nil, err
	}
	if err := v.machine.awaitApplied(ctx, r.Index); err != nil {
		return nil, err
	}
	var items []keelworld.Item
	v.machine.withState(func(s *keelworld.State) { items = s.Items() })
	return items, nil
}
