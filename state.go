package keel

import "io"

// StateMachine is the replicated state that the agreed log builds. Two state
// machines that applied the same entries are equal.
type StateMachine interface {
	// Apply applies the committed entry at index. Indexes rise by one.
	Apply(index uint64, entry []byte)
	// Snapshot writes the whole state as of the last applied entry.
	Snapshot(w io.Writer) error
	// Restore replaces the state by one that Snapshot wrote; index is the last
	// entry that it holds.
	Restore(index uint64, r io.Reader) error
}

// Storage keeps a voter's log, vote and snapshot. Every method that writes
// returns only after the data is synced. After an error the storage is not used
// again until the process restarts.
type Storage interface {
	// Load returns what was stored, with all entries after the snapshot.
	Load() (StoredState, error)
	// SaveVote stores the term and the vote.
	SaveVote(v StoredVote) error
	// Append stores entries after the entry before the first of them, and
	// drops stored entries from there on.
	Append(entries []LogEntry) error
	// SaveSnapshot stores a snapshot by atomic replace and drops the entries
	// that it holds.
	SaveSnapshot(s StoredSnapshot) error
	// Close releases the files.
	Close() error
}

// StoredState is everything that a voter finds after a restart.
type StoredState struct {
	Vote     StoredVote
	Snapshot StoredSnapshot
	Entries  []LogEntry
}

// StoredVote is the part of a voter's state that elections need.
type StoredVote struct {
	Term uint64       `cbor:"1,keyasint"`
	For  InstanceName `cbor:"2,keyasint"`
	// Incarnation identifies the disk. It is drawn when the data folder is
	// made, so that a voter which lost its disk has another one.
	Incarnation uint64 `cbor:"3,keyasint"`
}

// StoredSnapshot is the state as of one entry. Index 0 means none.
type StoredSnapshot struct {
	Index  uint64  `cbor:"1,keyasint"`
	Term   uint64  `cbor:"2,keyasint"`
	Voters []Voter `cbor:"3,keyasint"`
	Data   []byte  `cbor:"4,keyasint"`
}

// Voter is a member of the group that agrees on the log.
type Voter struct {
	Name        InstanceName `json:"name" cbor:"1,keyasint"`
	Incarnation uint64       `json:"incarnation" cbor:"2,keyasint"`
	// Learner gets the log but does not count for majorities.
	Learner bool `json:"learner,omitempty" cbor:"3,keyasint,omitempty"`
}

// EntryType says what a log entry holds.
type EntryType uint8

// Types of log entries.
const (
	// EntryNoop is what a new leader commits first.
	EntryNoop EntryType = iota
	// EntryCommand holds data for the state machine.
	EntryCommand
	// EntryVoters holds a new set of voters.
	EntryVoters
)

// LogEntry is one entry of the agreed log.
type LogEntry struct {
	Index  uint64    `cbor:"1,keyasint"`
	Term   uint64    `cbor:"2,keyasint"`
	Type   EntryType `cbor:"3,keyasint"`
	Data   []byte    `cbor:"4,keyasint,omitempty"`
	Voters []Voter   `cbor:"5,keyasint,omitempty"`
}
