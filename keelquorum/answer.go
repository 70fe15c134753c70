package keelquorum

import keel "github.com/greengagekeel/greengagekeel"

// takeAnswer takes a member's answer to an append or a snapshot part.
func (c *Core) takeAnswer(m *Message) {
	if m.Term > c.term {
		if _, ok := c.set().member(m.From, m.Incarnation); ok {
			c.follow(m.Term, "")
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
		c.takeTransferAnswer(m, p)
	case m.Reject:
		c.takeRejection(m, p)
	default:
		c.takeConfirmation(m, p)
	}
}

func (c *Core) takeConfirmation(m *Message, p *progress) {
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
		p.waiting = false
	}
	c.advanceCommit()
	if c.isLeader() {
		c.fill(m.From, p)
		c.tryHandOver()
	}
}

// takeRejection goes back to where the member's log may match. An answer that
// was overtaken by later ones is ignored.
func (c *Core) takeRejection(m *Message, p *progress) {
	if m.Index <= p.match || m.Index >= p.next {
		return
	}
	p.next = max(p.match+1, min(m.Index, m.Hint+1))
	p.probing, p.waiting, p.inflight = true, false, nil
	c.fill(m.From, p)
}

// startTransfer starts to send the snapshot to a member that lacks entries
// which the log no longer holds.
func (c *Core) startTransfer(name keel.InstanceName, p *progress) {
	p.probing, p.inflight = true, nil
	p.transfer = transfer{index: c.snapshot.at.index}
	c.sendPart(name, p)
}

// resumeTransfer sends the last part again if it made no way since the last
// heartbeat.
func (c *Core) resumeTransfer(name keel.InstanceName, p *progress) {
	if p.transfer.index != c.snapshot.at.index {
		c.startTransfer(name, p)
		return
	}
	if !p.transfer.moved {
		c.sendPart(name, p)
	}
	p.transfer.moved = false
}

func (c *Core) sendPart(name keel.InstanceName, p *progress) {
	s := &c.snapshot
	from := min(p.transfer.offset, s.size)
	to := min(from+maxBatchBytes, s.size)
	c.send(name, Message{
		Type: MessageSnapshot, Index: s.at.index, LogTerm: s.at.term, Voters: s.voters,
		Offset: from, Total: s.size, Sum: s.sum, ChunkSize: int(to - from),
		Round: c.lead.rounds.last,
	})
}

func (c *Core) takeTransferAnswer(m *Message, p *progress) {
	if m.Index != p.transfer.index || m.Index != c.snapshot.at.index || m.Offset == p.transfer.offset {
		return
	}
	p.transfer.offset, p.transfer.moved = m.Offset, true
	c.sendPart(m.From, p)
}
