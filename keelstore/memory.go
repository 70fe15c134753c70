package keelstore

import (
	"slices"
	"sync"

	keel "github.com/greengagekeel/greengagekeel"

	"github.com/go-faster/errors"
)

// ErrInjected is the cause of a failure that [Memory.FailSync] asked for.
var ErrInjected = errors.New("injected sync failure")

// Memory is a [keel.Storage] for tests. It outlives the node that uses it, as a
// disk does, and fails on request.
type Memory struct {
	mu     sync.Mutex
	state  keel.StoredState
	failed error
	// failIn counts the writes until one fails; 0 means that none does.
	failIn int
	kept   int
}

var (
	_ keel.Storage        = (*Memory)(nil)
	_ keel.SnapshotReader = (*Memory)(nil)
)

// NewMemory returns an empty storage with a new incarnation.
func NewMemory() *Memory { return NewMemoryWith(drawIncarnation()) }

// NewMemoryWith returns an empty storage with the given incarnation, which must
// not be 0.
func NewMemoryWith(incarnation uint64) *Memory {
	m := &Memory{}
	m.LoseDisk(incarnation)
	return m
}

// FailSync makes the nth write from now on fail for good, as a crash between
// write and sync does. If it is an Append, its first kept entries are stored.
func (m *Memory) FailSync(n, kept int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failIn, m.kept = n, kept
}

// Reopen makes a failed storage usable again, as a restart does.
func (m *Memory) Reopen() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failed, m.failIn = nil, 0
}

// LoseDisk forgets everything and takes a new incarnation.
func (m *Memory) LoseDisk(incarnation uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = keel.StoredState{Vote: keel.StoredVote{Incarnation: incarnation}}
	m.failed, m.failIn = nil, 0
}

// Load returns what is stored.
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
	if err := m.write("the vote"); err != nil {
		return err
	}
	v.Incarnation = m.state.Vote.Incarnation
	m.state.Vote = v
	return nil
}

// Append stores entries in place of those from the first one's index on.
func (m *Memory) Append(entries []keel.LogEntry) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failed == nil && m.failIn == 1 {
		if err := m.append(entries[:min(m.kept, len(entries))]); err != nil {
			return err
		}
	}
	if err := m.write("entries"); err != nil {
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
		return errors.Errorf("append entry %d to a log of entries %d to %d", first, base+1, base+n)
	}
	if first <= base+n {
		m.state.Entries = slices.Clone(m.state.Entries[:first-base-1])
	}
	m.state.Entries = append(m.state.Entries, entries...)
	return nil
}

// SaveSnapshot stores a snapshot and drops the entries that it holds, or all
// entries if they do not go on from it.
func (m *Memory) SaveSnapshot(snap keel.StoredSnapshot) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if snap.Index <= m.state.Snapshot.Index {
		return errors.Errorf("snapshot of entry %d is older than the one of entry %d", snap.Index, m.state.Snapshot.Index)
	}
	if err := m.write("the snapshot"); err != nil {
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
		return errors.Errorf("read %d bytes at offset %d of the snapshot of entry %d, the stored one is of entry %d with %d bytes", len(p), offset, index, s.Index, size)
	}
	copy(p, s.Data[offset:])
	return nil
}

// Close does nothing; the content stays.
func (m *Memory) Close() error { return nil }

func (m *Memory) write(op string) error {
	if m.failed != nil {
		return m.failed
	}
	if m.failIn == 0 {
		return nil
	}
	m.failIn--
	if m.failIn == 0 {
		m.failed = &FailedError{Op: op, Err: ErrInjected}
	}
	return m.failed
}
