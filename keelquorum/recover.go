package keelquorum

import (
	"context"
	"time"

	keel "github.com/greengagekeel/greengagekeel"

	"github.com/go-faster/errors"
)

// machineError is a failure of the state machine, which may have applied an entry in
// part.
type machineError struct{ err error }

// Error implements error.
func (e *machineError) Error() string { return "state machine: " + e.err.Error() }

// Unwrap returns the failure.
func (e *machineError) Unwrap() error { return e.err }

// runFailed runs a node whose storage or state machine has failed with err. It
// discards messages and rejects calls until the storage works again or ctx ends, and
// reports whether it works.
func (n *Node) runFailed(ctx context.Context, err error) bool {
	n.cfg.Log.WithError(err).Error("storage or state machine failed, voter does not participate in the quorum")
	if m, ok := n.core.Resign(time.Now()); ok {
		n.sender.send([]Message{m})
	}
	n.publishStatus(time.Now(), err)
	n.failWaiters()
	n.reopenError, n.reopenLoggedAt = err.Error(), time.Now()
	var retry <-chan time.Time
	if failure := (*machineError)(nil); !errors.As(err, &failure) {
		ticker := time.NewTicker(reopenInterval)
		defer ticker.Stop()
		retry = ticker.C
	}
	for {
		select {
		case <-ctx.Done():
			return false
		case <-n.inbox:
		case f := <-n.calls:
			f(time.Time{})
		case <-retry:
			if n.reopenStorage() {
				return true
			}
		}
	}
}

// reopenStorage makes the storage usable and replaces the core by one with the
// stored state, as a restart of the process does. It reports whether that succeeded.
func (n *Node) reopenStorage() bool {
	st, err := n.reload()
	now := time.Now()
	if err != nil {
		if text := err.Error(); text != n.reopenError || now.Sub(n.reopenLoggedAt) >= reopenLogInterval {
			n.reopenError, n.reopenLoggedAt = text, now
			n.cfg.Log.WithError(err).Warn("storage can't be used again yet")
		}
		return false
	}
	if st.Snapshot.Index > 0 {
		n.applier.add(&Actions{Restore: true, Snapshot: &st.Snapshot})
	}
	n.core = n.newCore(now, st)
	n.publishStatus(now, nil)
	n.cfg.Log.WithField("last", n.core.log.last().index).Info("storage works again, voter participates in the quorum")
	return true
}

func (n *Node) reload() (keel.StoredState, error) {
	if err := n.cfg.Storage.Reopen(); err != nil {
		return keel.StoredState{}, errors.Wrap(err, "reopen storage")
	}
	st, err := n.cfg.Storage.Load()
	if err != nil {
		return keel.StoredState{}, errors.Wrap(err, "load storage")
	}
	return st, nil
}
