package keel

import "io"

// StateMachine is the state that is built from the replicated log. Two state
// machines that applied the same entries are equal. A voter does not call its
// methods concurrently.
type StateMachine interface {
	// Apply applies the committed command in the entry at index. Indexes
	// increase, but not always by one, since only entries of type
	// [EntryCommand] are applied.
	Apply(index uint64, entry []byte)
	// Snapshot writes the complete state as of the last applied entry.
	Snapshot(w io.Writer) error
	// Restore replaces the state with one written by Snapshot; index is that of
	// the last entry it includes.
	Restore(index uint64, r io.Reader) error
}

// Storage persists the log, the vote and the snapshot of a voter. Every method
// that writes returns only after the data is synced to disk. After an error the
// storage is not used again until the process restarts.
type Storage interface {
	// Load returns the stored state, with all entries after the snapshot.
	Load() (StoredState, error)
	// SaveVote stores the term and the vote.
	SaveVote(v StoredVote) error
	// Append stores entries. It first deletes the stored entries from the index
	// of the first one on.
	Append(entries []LogEntry) error
	// SaveSnapshot atomically replaces the stored snapshot and deletes the
	// entries that the new one includes.
	SaveSnapshot(s StoredSnapshot) error
	// Reopen makes the storage usable again after a failed write, and fails while
	// that is not possible. [Storage.Load] then returns the stored state, which may or
	// may not include the data of the failed write.
	Reopen() error
	// Close releases the files.
	Close() error
}

// StoredState is the persistent state of a voter.
type StoredState struct {
	Vote     StoredVote
	Snapshot StoredSnapshot
	Entries  []LogEntry
}

// StoredVote is the part of a voter's persistent state that elections depend on.
type StoredVote struct {
	Term uint64       `cbor:"1,keyasint"`
	For  InstanceName `cbor:"2,keyasint"`
	// Incarnation identifies the data folder. It is chosen at random when the
	// folder is created, so that a voter that lost its disk gets a new one.
	Incarnation uint64 `cbor:"3,keyasint"`
}

// StoredSnapshot is the state as of one log entry. Index 0 means that there is no
// snapshot.
type StoredSnapshot struct {
	Index  uint64  `cbor:"1,keyasint"`
	Term   uint64  `cbor:"2,keyasint"`
	Voters []Voter `cbor:"3,keyasint"`
	Data   []byte  `cbor:"4,keyasint"`
}

// Voter is a member of the group that replicates the log.
type Voter struct {
	Name        InstanceName `json:"name" cbor:"1,keyasint"`
	Incarnation uint64       `json:"incarnation" cbor:"2,keyasint"`
	// Learner is whether the member receives the log without being counted in
	// majorities.
	Learner bool `json:"learner,omitempty" cbor:"3,keyasint,omitempty"`
}

// EntryType is the type of the content of a log entry.
type EntryType uint8

// Types of log entries.
const (
	// EntryNoop is the empty entry that a new leader commits first.
	EntryNoop EntryType = iota
	// EntryCommand holds a command for the state machine.
	EntryCommand
	// EntryVoters holds a new voter set.
	EntryVoters
)

// LogEntry is one entry of the replicated log.
type LogEntry struct {
	Index  uint64    `cbor:"1,keyasint"`
	Term   uint64    `cbor:"2,keyasint"`
	Type   EntryType `cbor:"3,keyasint"`
	Data   []byte    `cbor:"4,keyasint,omitempty"`
	Voters []Voter   `cbor:"5,keyasint,omitempty"`
}
