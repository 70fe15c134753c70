package keelquorum

import (
	keel "github.com/greengagekeel/greengagekeel"

	"github.com/zeebo/xxh3"
)

// acceptLeader handles the sender of an append or a snapshot as the leader of its
// term and resets the election timer. It returns false if the message must be
// ignored: its term is over, which is answered with a rejection, or this instance
// leads in the same term.
func (c *Core) acceptLeader(m *Message) bool {
	if m.Term < c.term {
		c.sendAfterStore(m.From, Message{Type: MessageAppendAnswer, Index: m.Index, Round: m.Round, Reject: true})
		return false
	}
	if m.Term > c.term || c.role.State() != RoleFollower || c.leader != m.From {
		if c.isLeader() && m.Term == c.term {
			return false
		}
		c.becomeFollower(m.Term, m.From)
	}
	c.leaderSeen = c.clock.elapsed
	c.resetTimer()
	return true
}

func (c *Core) handleAppend(m *Message) {
	if !c.acceptLeader(m) {
		return
	}
	if m.Index < c.commit {
		c.sendConfirmation(m, c.commit)
		return
	}
	if !c.log.matches(position{m.Index, m.LogTerm}) {
		c.sendAfterStore(m.From, Message{Type: MessageAppendAnswer, Index: m.Index, Hint: c.matchHint(m.Index), Round: m.Round, Reject: true})
		return
	}
	c.mergeEntries(m.Entries)
	last := m.Index + uint64(len(m.Entries))
	c.commit = max(c.commit, min(m.Commit, last))
	c.sendConfirmation(m, last)
}

// sendConfirmation reports to the leader that this disk holds the leader's log up to
// index.
func (c *Core) sendConfirmation(m *Message, index uint64) {
	c.sendAfterStore(m.From, Message{Type: MessageAppendAnswer, Index: index, Round: m.Round})
}

// mergeEntries appends the entries that the log lacks. Conflicting entries are
// dropped first.
func (c *Core) mergeEntries(entries []keel.LogEntry) {
	for i := range entries {
		e := &entries[i]
		if c.log.matches(position{e.Index, e.Term}) {
			continue
		}
		if e.Index <= c.log.last().index {
			c.truncateLog(e.Index)
		}
		c.appendToLog(entries[i:])
		return
	}
}

// matchHint returns the last index before prev at which the leader's log may
// match. It skips all entries of the mismatching term at once.
func (c *Core) matchHint(prev uint64) uint64 {
	last := c.log.last().index
	if prev > last {
		return last
	}
	term, ok := c.log.term(prev)
	hint := prev
	for ok && hint > c.commit {
		hint--
		t, held := c.log.term(hint)
		if !held || t != term {
			break
		}
	}
	return hint
}

// snapshotMeta describes the stored snapshot, whose data is only on the disk.
type snapshotMeta struct {
	at     position
	voters []keel.Voter
	size   uint64 // bytes
	sum    uint64
}

func newSnapshotMeta(s *keel.StoredSnapshot) snapshotMeta {
	return snapshotMeta{position{s.Index, s.Term}, s.Voters, uint64(len(s.Data)), xxh3.Hash(s.Data)}
}

// incomingSnapshot is a snapshot that is being received in parts.
type incomingSnapshot struct {
	at   position
	sum  uint64
	from keel.InstanceName
	data []byte
}

func (c *Core) handleSnapshotPart(m *Message) {
	if !c.acceptLeader(m) {
		return
	}
	if m.Index <= c.commit {
		c.sendConfirmation(m, c.commit)
		return
	}
	at := position{m.Index, m.LogTerm}
	if c.incoming.at != at || c.incoming.from != m.From || c.incoming.sum != m.Sum {
		c.incoming = incomingSnapshot{at: at, from: m.From, sum: m.Sum}
	}
	if m.Offset == uint64(len(c.incoming.data)) {
		c.incoming.data = append(c.incoming.data, m.Chunk...)
	}
	received := uint64(len(c.incoming.data))
	if received < m.Total {
		c.sendAfterStore(m.From, Message{Type: MessageSnapshotAnswer, Index: m.Index, Offset: received, Round: m.Round})
		return
	}
	data := c.incoming.data
	c.incoming = incomingSnapshot{}
	if xxh3.Hash(data) != m.Sum {
		// It was corrupted on the leader's disk or in transit: start over.
		c.sendAfterStore(m.From, Message{Type: MessageSnapshotAnswer, Index: m.Index, Round: m.Round})
		return
	}
	c.installSnapshot(keel.StoredSnapshot{Index: m.Index, Term: m.LogTerm, Voters: m.Voters, Data: data})
	c.sendConfirmation(m, m.Index)
}

// installSnapshot replaces the log by a snapshot. If the log already holds the
// last entry of the snapshot, only the commit index advances.
func (c *Core) installSnapshot(s keel.StoredSnapshot) {
	if c.log.matches(position{s.Index, s.Term}) {
		c.commit = s.Index
		return
	}
	c.log.reset(position{s.Index, s.Term})
	c.voterSets = []voterSet{{s.Index, s.Voters}}
	c.snapshot = newSnapshotMeta(&s)
	c.commit, c.applying, c.storedIndex = s.Index, s.Index, s.Index
	c.out.snapshot, c.out.restore, c.out.firstUnstored = &s, true, s.Index+1
}

// Compact replaces the stored snapshot by one that the state machine made after
// it applied the entry at index, and drops earlier entries from memory except for
// the most recent ones.
func (c *Core) Compact(index uint64, data []byte) {
	term, ok := c.log.term(index)
	if !ok || index <= c.snapshot.at.index || index > c.applying || c.out.restore {
		return
	}
	set := c.voterSetAt(index)
	s := keel.StoredSnapshot{Index: index, Term: term, Voters: c.voterSets[set].voters, Data: data}
	c.snapshot = newSnapshotMeta(&s)
	c.out.snapshot = &s
	c.log.compact(c.log.compactionIndex(index, c.cfg.TailEntries))
	c.voterSets = c.voterSets[set:]
}

// voterSetAt returns the position in voterSets of the set in force at index.
func (c *Core) voterSetAt(index uint64) int {
	at := 0
	for i := range c.voterSets {
		if c.voterSets[i].index <= index {
			at = i
		}
	}
	return at
}
