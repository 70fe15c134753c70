package keelstore

import (
	"slices"
	"sync"

	keel "github.com/greengagekeel/greengagekeel"

	"github.com/go-faster/errors"
)

// ErrInjected is the cause of a failure injected with [Memory.FailSync].
var ErrInjected = errors.New("injected sync failure")

// Memory is an in-memory [keel.Storage] for tests. Like a disk, it keeps its
// content when the node that uses it restarts, and it can be made to fail.
type Memory struct {
	mu     sync.Mutex
	state  keel.StoredState
	failed error
	// writesUntilFailure is the number of writes up to and including the one
	// that fails; 0 means that none fails.
	writesUntilFailure int
	// keptOnFailure is the number of entries that a failing Append stores.
	keptOnFailure int
	// reopenFailure is the error of Reopen, or nil if it works.
	reopenFailure error
}

var (
	_ keel.Storage        = (*Memory)(nil)
	_ keel.SnapshotReader = (*Memory)(nil)
)

// NewMemory returns an empty storage with a random incarnation number.
func NewMemory() *Memory { return NewMemoryWithIncarnation(newIncarnation()) }

// NewMemoryWithIncarnation returns an empty storage with the given incarnation
// number, which must not be 0.
func NewMemoryWithIncarnation(incarnation uint64) *Memory {
	m := &Memory{}
	m.LoseDisk(incarnation)
	return m
}

// FailSync makes the nth write from now fail, as a crash between write and sync
// does; later operations fail until [Memory.Reopen]. If the failing write is an
// Append, the first kept of its entries are stored.
func (m *Memory) FailSync(n, kept int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.writesUntilFailure, m.keptOnFailure = n, kept
}

// FailReopen makes [Memory.Reopen] fail with err, as a disk that is still full does;
// nil makes it work again.
func (m *Memory) FailReopen(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reopenFailure = err
}

// Reopen makes a failed storage usable again, as a restart does.
func (m *Memory) Reopen() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.reopenFailure != nil {
		return m.reopenFailure
	}
	m.failed, m.writesUntilFailure = nil, 0
	return nil
}

// LoseDisk discards all content and sets a new incarnation number, as the
// replacement of a disk does.
func (m *Memory) LoseDisk(incarnation uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = keel.StoredState{Vote: keel.StoredVote{Incarnation: incarnation}}
	m.failed, m.writesUntilFailure, m.reopenFailure = nil, 0, nil
}

// Load returns the stored state.
func (m *Memory) Load() (keel.StoredState, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	st := m.state
	st.Entries = slices.Clone(st.Entries)
	return st, m.failed
}

// SaveVote stores the term and the vote.
func (m *Memory) SaveVote(v keel.StoredVote) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.countWrite("the vote"); err != nil {
		return err
	}
	v.Incarnation = m.state.Vote.Incarnation
	m.state.Vote = v
	return nil
}

// Append stores entries. They replace all stored entries from the index of the
// first one on.
func (m *Memory) Append(entries []keel.LogEntry) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failed == nil && m.writesUntilFailure == 1 {
		if err := m.append(entries[:min(m.keptOnFailure, len(entries))]); err != nil {
			return err
		}
	}
	if err := m.countWrite("entries"); err != nil {
		return err
	}
	return m.append(entries)
}

func (m *Memory) append(entries []keel.LogEntry) error {
	if len(entries) == 0 {
		return nil
	}
	base, n := m.state.Snapshot.Index, uint64(len(m.state.Entries))
	first := entries[0].Index
	if first <= base || first > base+n+1 {
		return errors.Errorf("entry %d can't be appended to a log of entries %d to %d", first, base+1, base+n)
	}
	if first <= base+n {
		m.state.Entries = slices.Clone(m.state.Entries[:first-base-1])
	}
	m.state.Entries = append(m.state.Entries, entries...)
	return nil
}

// SaveSnapshot stores a snapshot and drops the entries that it covers, or all
// entries if the log does not contain the snapshot's last entry.
func (m *Memory) SaveSnapshot(snap keel.StoredSnapshot) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if snap.Index <= m.state.Snapshot.Index {
		return errors.Errorf("snapshot at entry %d is not newer than the stored one at entry %d", snap.Index, m.state.Snapshot.Index)
	}
	if err := m.countWrite("the snapshot"); err != nil {
		return err
	}
	drop := snap.Index - m.state.Snapshot.Index
	if drop > uint64(len(m.state.Entries)) || m.state.Entries[drop-1].Term != snap.Term {
		m.state.Entries = nil
	} else {
		m.state.Entries = slices.Clone(m.state.Entries[drop:])
	}
	m.state.Snapshot = snap
	return nil
}

// ReadSnapshot implements [keel.SnapshotReader].
func (m *Memory) ReadSnapshot(index, offset uint64, p []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &m.state.Snapshot
	if size := uint64(len(s.Data)); index != s.Index || offset > size || uint64(len(p)) > size-offset {
		return errors.Errorf("read %d bytes at offset %d of the snapshot at entry %d: the stored one is at entry %d and has %d bytes", len(p), offset, index, s.Index, size)
	}
	copy(p, s.Data[offset:])
	return nil
}

// Close does nothing; the content is kept.
func (m *Memory) Close() error { return nil }

// countWrite counts a write and returns an error if it is the one to fail, or if
// an earlier one failed.
func (m *Memory) countWrite(op string) error {
	if m.failed != nil {
		return m.failed
	}
	if m.writesUntilFailure == 0 {
		return nil
	}
	m.writesUntilFailure--
	if m.writesUntilFailure == 0 {
		m.failed = &FailedError{Op: op, Err: ErrInjected}
	}
	return m.failed
}
