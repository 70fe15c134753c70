package keelquorum

import (
	"bytes"
	"context"
	"sync"
	"sync/atomic"
	"time"

	keel "github.com/greengagekeel/greengagekeel"

	"github.com/go-faster/errors"
)

// applier passes committed entries to the state machine in a goroutine of its
// own, so that a slow state machine delays no heartbeat.
type applier struct {
	node    *Node
	applied atomic.Uint64
	// entriesSinceSnapshot and bytesSinceSnapshot count the entries applied since
	// the last snapshot and the bytes of their data.
	entriesSinceSnapshot int
	bytesSinceSnapshot   int
	// lastSnapshotSize is the length of the last snapshot, in bytes.
	lastSnapshotSize int
	failed           chan error

	mu    sync.Mutex
	queue []applyStep
	wake  chan struct{}
}

// applyStep is either a snapshot to restore or entries to apply.
type applyStep struct {
	restore *keel.StoredSnapshot
	entries []keel.LogEntry
}

func newApplier(n *Node) *applier {
	return &applier{node: n, failed: make(chan error, 1), wake: make(chan struct{}, 1)}
}

// add queues the restore and the entries of actions without waiting.
func (a *applier) add(acts *Actions) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if acts.Restore {
		a.queue = append(a.queue, applyStep{restore: acts.Snapshot})
	}
	if len(acts.Apply) > 0 {
		a.queue = append(a.queue, applyStep{entries: acts.Apply})
	}
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *applier) take() []applyStep {
	a.mu.Lock()
	defer a.mu.Unlock()
	steps := a.queue
	a.queue = nil
	return steps
}

func (a *applier) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.wake:
		}
		for _, s := range a.take() {
			if err := a.execute(ctx, s); err != nil {
				a.failed <- err
				return
			}
		}
	}
}

func (a *applier) execute(ctx context.Context, s applyStep) error {
	// A core that was created after a failed write returns entries again.
	applied := a.applied.Load()
	if s.restore != nil && s.restore.Index > applied {
		if err := a.restore(*s.restore); err != nil {
			return err
		}
		a.node.snapshotRestored(s.restore.Index)
	}
	for i := range s.entries {
		e := &s.entries[i]
		if e.Index <= applied {
			continue
		}
		if e.Type == keel.EntryCommand {
			a.node.cfg.Machine.Apply(e.Index, e.Data)
		}
		a.node.entryApplied(e.Index, e.Term)
		a.entriesSinceSnapshot++
		a.bytesSinceSnapshot += len(e.Data)
		if a.snapshotDue() {
			if err := a.snapshot(ctx); err != nil {
				return err
			}
		}
	}
	return nil
}

// maxLogBytes is the size of the applied entries after which a snapshot is made
// regardless of their number. It limits the log in memory and on disk.
const maxLogBytes = 4 << 20

func (a *applier) snapshotDue() bool {
	return a.entriesSinceSnapshot >= a.node.cfg.SnapshotEvery || a.bytesSinceSnapshot >= maxLogBytes
}

func (a *applier) restore(s keel.StoredSnapshot) error {
	if s.Index == 0 {
		return nil
	}
	if err := a.node.cfg.Machine.Restore(s.Index, bytes.NewReader(s.Data)); err != nil {
		return errors.Wrapf(err, "restore the snapshot at entry %d", s.Index)
	}
	a.applied.Store(s.Index)
	a.entriesSinceSnapshot, a.bytesSinceSnapshot = 0, 0
	return nil
}

// snapshot encodes the state machine and passes the snapshot to the core.
func (a *applier) snapshot(ctx context.Context) error {
	index := a.applied.Load()
	var b bytes.Buffer
	b.Grow(a.lastSnapshotSize)
	if err := a.node.cfg.Machine.Snapshot(&b); err != nil {
		return errors.Wrapf(err, "make a snapshot at entry %d", index)
	}
	a.entriesSinceSnapshot, a.bytesSinceSnapshot, a.lastSnapshotSize = 0, 0, b.Len()
	select {
	case a.node.calls <- func(now time.Time) {
		if !now.IsZero() {
			a.node.core.Compact(index, b.Bytes())
		}
	}:
	case <-ctx.Done():
	}
	return nil
}
