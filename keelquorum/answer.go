package keelquorum

import keel "github.com/greengagekeel/greengagekeel"

// handleAnswer handles a member's answer to an append or to a snapshot part.
func (c *Core) handleAnswer(m *Message) {
	if m.Term > c.term {
		if _, ok := c.activeSet().member(m.From, m.Incarnation); ok {
			c.becomeFollower(m.Term, "")
		}
		return
	}
	if !c.isLeader() || m.Term < c.term {
		return
	}
	p := c.lead.progress[m.From]
	if p == nil || p.incarnation != m.Incarnation {
		return
	}
	if sent, ok := c.lead.rounds.find(m.Round); ok && sent.After(p.acked) {
		p.acked = sent
	}
	switch {
	case m.Type == MessageSnapshotAnswer:
		c.handleSnapshotAnswer(m, p)
	case m.Reject:
		c.handleRejection(m, p)
	default:
		c.handleConfirmation(m, p)
	}
}

// handleConfirmation advances the progress of a member whose log matches up to
// m.Index, and the commit index.
func (c *Core) handleConfirmation(m *Message, p *progress) {
	if m.Index > c.log.last().index {
		return
	}
	if m.Index > p.match || m.Index+1 == p.next {
		p.probing = false
	}
	p.match = max(p.match, m.Index)
	p.next = max(p.next, p.match+1)
	for len(p.inflight) > 0 && p.inflight[0] <= p.match {
		p.inflight = p.inflight[1:]
	}
	if p.match >= p.transfer.index {
		p.transfer = transfer{}
	}
	if !p.probing && p.transfer.index == 0 {
		p.awaitingAnswer = false
	}
	c.advanceCommit()
	if c.isLeader() {
		c.sendEntries(m.From, p)
		c.tryHandOver()
	}
}

// handleRejection moves next back to where the member's log may match. Outdated
// answers are ignored.
func (c *Core) handleRejection(m *Message, p *progress) {
	if m.Index <= p.match || m.Index >= p.next {
		return
	}
	p.next = max(p.match+1, min(m.Index, m.Hint+1))
	p.probing, p.awaitingAnswer, p.inflight = true, false, nil
	c.sendEntries(m.From, p)
}

// startTransfer starts to send the snapshot to a member that lacks entries which
// the log no longer holds.
func (c *Core) startTransfer(name keel.InstanceName, p *progress) {
	p.probing, p.inflight = true, nil
	p.transfer = transfer{index: c.snapshot.at.index}
	c.sendSnapshotPart(name, p)
}

// resumeTransfer sends the last part again if the transfer has not advanced since
// the last heartbeat, or starts over if there is a newer snapshot.
func (c *Core) resumeTransfer(name keel.InstanceName, p *progress) {
	if p.transfer.index != c.snapshot.at.index {
		c.startTransfer(name, p)
		return
	}
	if !p.transfer.advanced {
		c.sendSnapshotPart(name, p)
	}
	p.transfer.advanced = false
}

// sendSnapshotPart sends the next part. Its data is read from the storage later,
// see [Message.ChunkSize].
func (c *Core) sendSnapshotPart(name keel.InstanceName, p *progress) {
	s := &c.snapshot
	from := min(p.transfer.offset, s.size)
	to := min(from+maxBatchBytes, s.size)
	c.sendAfterStore(name, Message{
		Type: MessageSnapshot, Index: s.at.index, LogTerm: s.at.term, Voters: s.voters,
		Offset: from, Total: s.size, Sum: s.sum, ChunkSize: int(to - from),
		Round: c.lead.rounds.last,
	})
}

// handleSnapshotAnswer sends the part that follows what the member has received.
func (c *Core) handleSnapshotAnswer(m *Message, p *progress) {
	if m.Index != p.transfer.index || m.Index != c.snapshot.at.index || m.Offset == p.transfer.offset {
		return
	}
	p.transfer.offset, p.transfer.advanced = m.Offset, true
	c.sendSnapshotPart(m.From, p)
}
