package keeldeclare

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
)

// MachineConfig is the configuration of a [Machine].
type MachineConfig struct {
	// OnCommit is called with every new state, in the order of versions and
	// from the goroutine that applies the entry. It may be nil.
	OnCommit func(*Snapshot)
	// MaxOutcomes limits the number of retained outcomes; 0 means 10,000.
	MaxOutcomes int
	// MaxLogBytes limits the size of the retained changes in bytes; 0 means 2
	// MiB.
	MaxLogBytes int
	// MaxLogRecords limits the number of retained changes; 0 means 10,000.
	MaxLogRecords int
}

// Machine is the replicated state machine of the declarations. Its log entries
// are [keel.Change] values encoded as CBOR. It is deterministic: machines with
// the same configuration that applied the same entries have equal states. It is
// safe for concurrent use, except that only one goroutine may call Apply and
// Restore.
type Machine struct {
	cfg     MachineConfig
	current atomic.Pointer[Snapshot]

	mu       sync.RWMutex
	outcomes outcomeTable
	log      changeLog
	applied  uint64 // index of the last applied entry
	ignored  uint64 // number of entries that could not be decoded as a change
}

var _ keel.StateMachine = (*Machine)(nil)

// NewMachine returns a machine in the state before the first change.
func NewMachine(cfg MachineConfig) *Machine {
	m := &Machine{
		cfg:      cfg,
		outcomes: newOutcomeTable(cfg.MaxOutcomes),
		log:      newChangeLog(cfg.MaxLogBytes, cfg.MaxLogRecords),
	}
	m.current.Store(emptySnapshot())
	return m
}

// Current returns the committed state.
func (m *Machine) Current() *Snapshot { return m.current.Load() }

// state returns the committed state and the retained changes.
func (m *Machine) state() (*Snapshot, []record) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.current.Load(), m.log.records[:len(m.log.records):len(m.log.records)]
}

// Outcome returns the outcome of a change. It reports false if the change is
// unknown or its outcome is no longer retained.
func (m *Machine) Outcome(id keel.ChangeID) (keel.Outcome, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	o, ok := m.outcomes.byID[id]
	return o, ok
}

// Delta returns the operations that lead from a version to the current one. It
// reports false if from is not below the current version, or if the changes
// after it are no longer retained.
func (m *Machine) Delta(from keel.Version) (Delta, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.log.delta(from, 0)
}

// HistoryRecord is an accepted change.
type HistoryRecord struct {
	Version keel.Version  `json:"version"`
	ID      keel.ChangeID `json:"id"`
	Author  string        `json:"author"`
	// Time is when the change was made, as given by its author.
	Time time.Time `json:"time"`
	Ops  []keel.Op `json:"ops"`
}

// History returns up to limit of the retained accepted changes, newest first.
func (m *Machine) History(limit int) []HistoryRecord {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var out []HistoryRecord
	for i := len(m.log.records) - 1; i >= 0 && len(out) < limit; i-- {
		r := &m.log.records[i]
		ops, err := r.ops()
		if err != nil {
			break // can't happen: records are encoded here or checked when restored
		}
		out = append(out, HistoryRecord{Version: r.To, ID: r.ID, Author: r.Author, Time: r.Time, Ops: ops})
	}
	return out
}

// Apply implements [keel.StateMachine]. An entry that can't be decoded as a
// change is counted and otherwise ignored.
func (m *Machine) Apply(index uint64, entry []byte) {
	var c keel.Change
	err := keel.DecodeCBOR(entry, &c)
	var faults keel.Faults
	if err != nil && (!errors.As(err, &faults) || len(keel.CheckName("id", c.ID)) > 0) {
		m.ignore(index)
		return
	}
	if s := m.apply(index, &c, faults); s != nil && m.cfg.OnCommit != nil {
		m.cfg.OnCommit(s)
	}
}

func (m *Machine) ignore(index uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applied = index
	m.ignored++
}

// apply decides the outcome of a change and returns the new state if it was
// accepted.
func (m *Machine) apply(index uint64, c *keel.Change, faults keel.Faults) *Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applied = index
	if _, ok := m.outcomes.byID[c.ID]; ok {
		return nil
	}
	cur := m.current.Load()
	out := keel.Outcome{ID: c.ID, Version: cur.Version}
	if len(faults) > 0 {
		out.Status, out.Faults = keel.OutcomeInvalid, faults
		m.outcomes.add(out)
		return nil
	}
	if c.Base != cur.Version {
		out.Status, out.Winner = keel.OutcomeConflict, m.winner(c.Base)
		m.outcomes.add(out)
		return nil
	}
	next, faults := m.accept(cur, c)
	if len(faults) > 0 {
		out.Status, out.Faults = keel.OutcomeInvalid, faults
		m.outcomes.add(out)
		return nil
	}
	out.Status, out.Version = keel.OutcomeAccepted, next.Version
	m.outcomes.add(out)
	m.current.Store(next)
	return next
}

// winner returns the ID of the change that was accepted on version base, or an
// empty one if that change is no longer retained.
func (m *Machine) winner(base keel.Version) keel.ChangeID {
	i, ok := m.log.findFrom(base)
	if !ok {
		return ""
	}
	return m.log.records[i].ID
}

// accept applies a change to cur and appends it to the log of changes.
func (m *Machine) accept(cur *Snapshot, c *keel.Change) (*Snapshot, keel.Faults) {
	next, faults := cur.apply(cur.Version+1, c.Ops)
	if len(faults) > 0 {
		return nil, faults
	}
	pieces, err := packOps(lastOpPerName(c.Ops))
	if err != nil {
		return nil, keel.Faults{{Field: "ops", Reason: err.Error()}}
	}
	m.log.add(record{
		From:     cur.Version,
		To:       next.Version,
		Checksum: next.Checksum,
		ID:       c.ID,
		Author:   c.Author,
		Time:     c.Time,
		Pieces:   pieces,
		BlockSum: next.blockSum,
	})
	return next, nil
}

// Snapshot implements [keel.StateMachine].
func (m *Machine) Snapshot(w io.Writer) error {
	m.mu.RLock()
	h := stateHeader{
		Applied:  m.applied,
		Outcomes: m.outcomes.list(),
		Records:  m.log.records[:len(m.log.records):len(m.log.records)],
		Ignored:  m.ignored,
	}
	s := m.current.Load()
	err := writeState(w, h, s)
	m.mu.RUnlock()
	return err
}

// Restore implements [keel.StateMachine].
func (m *Machine) Restore(index uint64, r io.Reader) error {
	h, s, err := readState(r)
	if err != nil {
		return errors.Wrapf(err, "restore declarations at entry %d", index)
	}
	if s.Partial {
		return errors.Errorf("snapshot of version %d is missing client blocks", s.Version)
	}
	if h.Applied > index {
		return errors.Errorf("snapshot includes entry %d, which is after entry %d", h.Applied, index)
	}
	m.mu.Lock()
	m.applied = index
	m.ignored = h.Ignored
	m.outcomes.reset(h.Outcomes)
	m.log.reset(h.Records)
	m.current.Store(s)
	m.mu.Unlock()
	if m.cfg.OnCommit != nil {
		m.cfg.OnCommit(s)
	}
	return nil
}

// MachineDump is the state of a [Machine] in the state dump.
type MachineDump struct {
	Version  keel.Version `json:"version"`
	Checksum uint64       `json:"checksum"`
	Applied  uint64       `json:"applied_index"`
	Ignored  uint64       `json:"ignored_entries"`
	Blocks   int          `json:"blocks"`
	Outcomes int          `json:"outcomes_kept"`
	Records  int          `json:"changes_kept"`
	LogBytes int          `json:"change_bytes_kept"`
}

// Dump returns the machine's part of the state dump.
func (m *Machine) Dump() MachineDump {
	m.mu.RLock()
	defer m.mu.RUnlock()
	s := m.current.Load()
	return MachineDump{
		Version: s.Version, Checksum: s.Checksum,
		Applied: m.applied, Ignored: m.ignored,
		Blocks: s.Blocks.Len(), Outcomes: len(m.outcomes.order),
		Records: len(m.log.records), LogBytes: m.log.bytes,
	}
}
