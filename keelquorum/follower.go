package keelquorum

import (
	keel "github.com/greengagekeel/greengagekeel"

	"github.com/zeebo/xxh3"
)

// hearLeader takes a message of a leader of a term. It returns false if the
// term is over.
func (c *Core) hearLeader(m *Message) bool {
	if m.Term < c.term {
		c.send(m.From, Message{Type: MessageAppendAnswer, Index: m.Index, Round: m.Round, Reject: true})
		return false
	}
	if m.Term > c.term || c.role.State() != RoleFollower || c.leader != m.From {
		if c.isLeader() && m.Term == c.term {
			return false
		}
		c.follow(m.Term, m.From)
	}
	c.heard = c.clock.patient
	c.resetTimer()
	return true
}

func (c *Core) takeAppend(m *Message) {
	if !c.hearLeader(m) {
		return
	}
	if m.Index < c.commit {
		c.confirm(m, c.commit)
		return
	}
	if !c.log.matches(position{m.Index, m.LogTerm}) {
		c.send(m.From, Message{Type: MessageAppendAnswer, Index: m.Index, Hint: c.matchHint(m.Index), Round: m.Round, Reject: true})
		return
	}
	c.store(m.Entries)
	last := m.Index + uint64(len(m.Entries))
	c.commit = max(c.commit, min(m.Commit, last))
	c.confirm(m, last)
}

// confirm says that this disk holds the leader's log up to an index.
func (c *Core) confirm(m *Message, index uint64) {
	c.send(m.From, Message{Type: MessageAppendAnswer, Index: index, Round: m.Round})
}

// store appends the entries that the log lacks. Entries that differ go first.
func (c *Core) store(entries []keel.LogEntry) {
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

// matchHint returns the last index before prev that may match the leader's log:
// all entries of a term that differs are skipped at once.
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

// snapshotMeta describes the stored snapshot, whose data stays on the disk.
type snapshotMeta struct {
	at     position
	voters []keel.Voter
	size   uint64 // bytes
	sum    uint64
}

func metaOf(s *keel.StoredSnapshot) snapshotMeta {
	return snapshotMeta{position{s.Index, s.Term}, s.Voters, uint64(len(s.Data)), xxh3.Hash(s.Data)}
}

// incomingSnapshot is a snapshot that arrives in parts.
type incomingSnapshot struct {
	at   position
	sum  uint64
	from keel.InstanceName
	data []byte
}

func (c *Core) takeSnapshot(m *Message) {
	if !c.hearLeader(m) {
		return
	}
	if m.Index <= c.commit {
		c.confirm(m, c.commit)
		return
	}
	at := position{m.Index, m.LogTerm}
	if c.incoming.at != at || c.incoming.from != m.From || c.incoming.sum != m.Sum {
		c.incoming = incomingSnapshot{at: at, from: m.From, sum: m.Sum}
	}
	if m.Offset == uint64(len(c.incoming.data)) {
		c.incoming.data = append(c.incoming.data, m.Chunk...)
	}
	got := uint64(len(c.incoming.data))
	if got < m.Total {
		c.send(m.From, Message{Type: MessageSnapshotAnswer, Index: m.Index, Offset: got, Round: m.Round})
		return
	}
	data := c.incoming.data
	c.incoming = incomingSnapshot{}
	if xxh3.Hash(data) != m.Sum {
		// It was damaged on the leader's disk or on its way.
		c.send(m.From, Message{Type: MessageSnapshotAnswer, Index: m.Index, Round: m.Round})
		return
	}
	c.install(keel.StoredSnapshot{Index: m.Index, Term: m.LogTerm, Voters: m.Voters, Data: data})
	c.confirm(m, m.Index)
}

// install replaces the log by a snapshot, unless the log holds what is in it.
func (c *Core) install(s keel.StoredSnapshot) {
	if c.log.matches(position{s.Index, s.Term}) {
		c.commit = s.Index
		return
	}
	c.log.reset(position{s.Index, s.Term})
	c.sets = []voterSet{{s.Index, s.Voters}}
	c.snapshot = metaOf(&s)
	c.commit, c.handed, c.stored = s.Index, s.Index, s.Index
	c.out.snapshot, c.out.restore, c.out.unstored = &s, true, s.Index+1
}

// Compact takes a snapshot that the state machine made after applying the entry
// at index, and drops the entries before it but for a tail.
func (c *Core) Compact(index uint64, data []byte) {
	term, ok := c.log.term(index)
	if !ok || index <= c.snapshot.at.index || index > c.handed || c.out.restore {
		return
	}
	set := c.setAt(index)
	s := keel.StoredSnapshot{Index: index, Term: term, Voters: c.sets[set].voters, Data: data}
	c.snapshot = metaOf(&s)
	c.out.snapshot = &s
	c.log.compact(c.log.tail(index, c.cfg.Tail))
	c.sets = c.sets[set:]
}

// setAt returns the place in sets of the one in force at index.
func (c *Core) setAt(index uint64) int {
	at := 0
	for i := range c.sets {
		if c.sets[i].index <= index {
			at = i
		}
	}
	return at
}
