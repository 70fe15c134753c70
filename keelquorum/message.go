package keelquorum

import (
	keel "github.com/greengagekeel/greengagekeel"
)

// MessageType is the type of a message between voters.
type MessageType uint8

// Types of messages. Numbers are part of the peer protocol.
const (
	// MessagePreVote asks whether a vote would be granted. The receiver stores
	// nothing.
	MessagePreVote MessageType = 1
	// MessagePreVoteAnswer answers MessagePreVote.
	MessagePreVoteAnswer MessageType = 2
	// MessageVote requests a vote.
	MessageVote MessageType = 3
	// MessageVoteAnswer answers MessageVote.
	MessageVoteAnswer MessageType = 4
	// MessageAppend carries entries, or none as a heartbeat.
	MessageAppend MessageType = 5
	// MessageAppendAnswer answers MessageAppend.
	MessageAppendAnswer MessageType = 6
	// MessageSnapshot carries a part of a snapshot.
	MessageSnapshot MessageType = 7
	// MessageSnapshotAnswer reports how much of a snapshot the sender has
	// received.
	MessageSnapshotAnswer MessageType = 8
	// MessageCampaign asks the receiver to start an election immediately, because
	// the leader hands over the leadership.
	MessageCampaign MessageType = 9
)

// Message is a message between voters.
type Message struct {
	Type MessageType `cbor:"1,keyasint"`
	// From is set by the receiver from the envelope.
	From keel.InstanceName `cbor:"-"`
	To   keel.InstanceName `cbor:"-"`
	// Incarnation identifies the sender's disk.
	Incarnation uint64 `cbor:"2,keyasint"`
	// Term is the sender's term; in a pre-vote it is the term of the election
	// that would follow.
	Term uint64 `cbor:"3,keyasint"`
	// Index and LogTerm identify an entry: the sender's last one in votes, the
	// one before Entries in an append, the last one covered in a snapshot, the
	// last matching one in an answer, the mismatching one in a rejection.
	Index   uint64 `cbor:"4,keyasint,omitempty"`
	LogTerm uint64 `cbor:"5,keyasint,omitempty"`
	// Commit is the leader's commit index.
	Commit  uint64          `cbor:"6,keyasint,omitempty"`
	Entries []keel.LogEntry `cbor:"7,keyasint,omitempty"`
	// Round numbers the leader's heartbeats; answers repeat the number.
	Round  uint64 `cbor:"8,keyasint,omitempty"`
	Reject bool   `cbor:"9,keyasint,omitempty"`
	// Hint is the last index that may match, in a rejection.
	Hint uint64 `cbor:"10,keyasint,omitempty"`
	// HandOver means that the leader requested this election.
	HandOver bool `cbor:"11,keyasint,omitempty"`
	// Offset is the position of Chunk in the snapshot, in bytes; in an answer it
	// is the number of bytes received.
	Offset uint64 `cbor:"12,keyasint,omitempty"`
	// Total is the length of the snapshot, in bytes.
	Total  uint64       `cbor:"13,keyasint,omitempty"`
	Chunk  []byte       `cbor:"14,keyasint,omitempty"`
	Voters []keel.Voter `cbor:"15,keyasint,omitempty"`
	// Sum is the checksum of the whole snapshot.
	Sum uint64 `cbor:"16,keyasint,omitempty"`
	// ChunkSize is the length of Chunk, in bytes. The caller of [Core.Take] reads
	// the chunk from its storage before it sends the message.
	ChunkSize int `cbor:"-"`
}

// maxSnapshotSize is the size limit of a snapshot, in bytes.
const maxSnapshotSize = 1 << 30

// Check reports an unknown type, a missing incarnation or term, entries that are
// not consecutive and a chunk outside its snapshot.
func (m *Message) Check() keel.Faults {
	var fs keel.Faults
	if m.Type < MessagePreVote || m.Type > MessageCampaign {
		fs.Add("type", "is %d, known are %d to %d", m.Type, MessagePreVote, MessageCampaign)
	}
	if m.Incarnation == 0 {
		fs.Add("incarnation", "must not be 0")
	}
	if m.Term == 0 && m.Type != MessagePreVoteAnswer {
		fs.Add("term", "must not be 0")
	}
	m.checkEntries(&fs)
	if m.Total > maxSnapshotSize || m.Offset > m.Total && m.Type == MessageSnapshot || uint64(len(m.Chunk)) > m.Total-min(m.Offset, m.Total) {
		fs.Add("chunk", "has %d bytes at offset %d of %d, the limit is %d", len(m.Chunk), m.Offset, m.Total, maxSnapshotSize)
	}
	if m.Type == MessageSnapshot && (m.Index == 0 || len(m.Voters) == 0) {
		fs.Add("voters", "a snapshot must have an index and voters")
	}
	return fs
}

func (m *Message) checkEntries(fs *keel.Faults) {
	if len(m.Entries) > 0 && m.Type != MessageAppend {
		fs.Add("entries", "are only allowed in an append")
	}
	term := m.LogTerm
	for i := range m.Entries {
		e := &m.Entries[i]
		if e.Index != m.Index+uint64(i)+1 {
			fs.Add("entries", "has entry %d at place %d after entry %d", e.Index, i, m.Index)
			return
		}
		if e.Term < term || e.Term > m.Term || e.Type > keel.EntryVoters {
			fs.Add("entries", "has entry %d of term %d and type %d after term %d in term %d", e.Index, e.Term, e.Type, term, m.Term)
			return
		}
		term = e.Term
	}
}
