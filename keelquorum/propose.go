package keelquorum

import (
	"context"
	"time"

	keel "github.com/greengagekeel/greengagekeel"

	"github.com/go-faster/errors"
)

// Propose appends data to the log and returns its index once it is committed and
// applied on this instance. The entry is never committed if the error is
// [*NotLeaderError], [ErrStopped] or [ErrTooLarge] or wraps that of ctx. After
// [ErrUnknownOutcome], which is also returned if ctx ends once the entry is in
// the log, it may be committed, now or later.
func (n *Node) Propose(ctx context.Context, data []byte) (uint64, error) {
	if len(data) > MaxEntrySize {
		return 0, errors.Wrapf(ErrTooLarge, "entry has %d bytes, the limit is %d", len(data), MaxEntrySize)
	}
	var index uint64
	done := make(chan error, 1)
	err := n.runInLoop(ctx, func(now time.Time) error {
		i, term, err := n.core.Propose(now, data)
		if err != nil {
			return err
		}
		index = i
		n.addWaiter(i, waiter{term, done})
		return nil
	})
	if err != nil {
		return 0, err
	}
	return index, n.await(ctx, done, ErrUnknownOutcome)
}

// ReadIndex returns once this instance has confirmed by its lease that it is the
// leader, and has applied everything committed before the call.
func (n *Node) ReadIndex(ctx context.Context) error {
	var index uint64
	err := n.runInLoop(ctx, func(now time.Time) error {
		i, err := n.core.ReadIndex(now)
		index = i
		return err
	})
	if err != nil {
		return err
	}
	done := make(chan error, 1)
	n.addWaiter(index, waiter{0, done})
	return n.await(ctx, done, ErrStopped)
}

// AddVoter makes an instance a learner and, once it holds all committed entries,
// a voter. It returns when that is committed. It fails with [*NotLeaderError]
// without a valid lease, and with [ErrChangePending] while another instance is
// joining. After [ErrUnknownOutcome] it may still happen.
func (n *Node) AddVoter(ctx context.Context, name keel.InstanceName) error {
	return n.change(ctx, func(now time.Time) error { return n.core.AddVoter(now, name) }, func() bool {
		v, ok := n.core.CommittedVoter(name)
		return ok && !v.Learner
	})
}

// RemoveVoter removes an instance from the voter set and returns when that is
// committed. It fails with [*NotLeaderError] without a valid lease, with
// [ErrChangePending] during another change of the voter set or before the first
// commit of the leader's term, and with [ErrLeaderRemoval] if the instance is the
// leader itself. After [ErrUnknownOutcome] it may still happen.
func (n *Node) RemoveVoter(ctx context.Context, name keel.InstanceName) error {
	return n.change(ctx, func(now time.Time) error { return n.core.RemoveVoter(now, name) }, func() bool {
		_, ok := n.core.CommittedVoter(name)
		return !ok
	})
}

// change starts a change of the voter set and waits until it is committed or this
// instance is no longer the leader of the term.
func (n *Node) change(ctx context.Context, start func(time.Time) error, committed func() bool) error {
	done := make(chan error, 1)
	err := n.runInLoop(ctx, func(now time.Time) error {
		if err := start(now); err != nil {
			return err
		}
		term := n.core.term
		n.watchers = append(n.watchers, watcher{done, func(time.Time) (bool, error) {
			if committed() {
				return true, nil
			}
			if !n.core.isLeader() || n.core.term != term {
				return true, ErrUnknownOutcome
			}
			return false, nil
		}})
		return nil
	})
	if err != nil {
		return err
	}
	return n.await(ctx, done, ErrUnknownOutcome)
}

// HandOver transfers the leadership to the most up-to-date voter and returns when
// this instance is no longer the leader. It is meant for planned stops. It
// returns immediately if this instance is not the leader or no other voter can
// take over.
func (n *Node) HandOver(ctx context.Context) error {
	done := make(chan error, 1)
	err := n.runInLoop(ctx, func(now time.Time) error {
		if !n.core.HandOver(now) {
			done <- nil
			return nil
		}
		n.watchers = append(n.watchers, watcher{done, func(time.Time) (bool, error) {
			return !n.core.isLeader(), nil
		}})
		return nil
	})
	if err != nil {
		return err
	}
	return n.await(ctx, done, ErrStopped)
}

// AwaitLeader waits until a leader is known and returns its name. If this
// instance is the leader, it also waits for the lease and for a committed entry
// of the term.
func (n *Node) AwaitLeader(ctx context.Context) (keel.InstanceName, error) {
	done := make(chan error, 1)
	var leader keel.InstanceName
	err := n.runInLoop(ctx, func(time.Time) error {
		n.watchers = append(n.watchers, watcher{done, func(now time.Time) (bool, error) {
			leader = n.core.leader
			if leader == n.cfg.Self {
				return n.core.committedInTerm() && now.Before(n.core.leaseUntil()), nil
			}
			return leader != "", nil
		}})
		return nil
	})
	if err != nil {
		return "", err
	}
	if err := n.await(ctx, done, ErrStopped); err != nil {
		return "", err
	}
	return leader, nil
}

// runInLoop runs f in the loop that owns the core and returns the error of f.
func (n *Node) runInLoop(ctx context.Context, f func(now time.Time) error) error {
	done := make(chan error, 1)
	c := func(now time.Time) {
		if now.IsZero() {
			done <- &NotLeaderError{}
			return
		}
		done <- f(now)
	}
	select {
	case n.calls <- c:
		return <-done
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for the node")
	case <-n.stopped:
		return ErrStopped
	}
}

// await waits for the result of an operation. It returns unresolved if ctx or the
// node ends first.
func (n *Node) await(ctx context.Context, done <-chan error, unresolved error) error {
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return errors.Wrap(unresolved, ctx.Err().Error())
	case <-n.stopped:
	}
	select {
	case err := <-done:
		return err
	default:
		return unresolved
	}
}

// addWaiter registers w for the entry at index. A read whose entry is already
// applied is completed immediately.
func (n *Node) addWaiter(index uint64, w waiter) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if w.term == 0 && n.applier.applied.Load() >= index {
		w.done <- nil
		return
	}
	n.waiters[index] = append(n.waiters[index], w)
}

// entryApplied completes the waiters of an entry. A proposal whose index now
// holds an entry of another term is lost for good.
func (n *Node) entryApplied(index, term uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.applier.applied.Store(index)
	for _, w := range n.waiters[index] {
		if w.term != 0 && w.term != term {
			w.done <- &NotLeaderError{}
			continue
		}
		w.done <- nil
	}
	delete(n.waiters, index)
}

// snapshotRestored completes the waiters up to index. It is not known which
// proposals the snapshot contains.
func (n *Node) snapshotRestored(index uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.applier.applied.Store(index)
	for i, ws := range n.waiters {
		if i > index {
			continue
		}
		for _, w := range ws {
			if w.term == 0 {
				w.done <- nil
				continue
			}
			w.done <- ErrUnknownOutcome
		}
		delete(n.waiters, i)
	}
}

// failWaiters completes all waiters and watchers with [ErrUnknownOutcome].
func (n *Node) failWaiters() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i, ws := range n.waiters {
		for _, w := range ws {
			w.done <- ErrUnknownOutcome
		}
		delete(n.waiters, i)
	}
	for _, w := range n.watchers {
		w.done <- ErrUnknownOutcome
	}
	n.watchers = nil
}
