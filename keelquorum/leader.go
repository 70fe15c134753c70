package keelquorum

import (
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

const (
	// maxBatchBytes limits the entries of an append and the size of a snapshot
	// part, in bytes.
	maxBatchBytes = 256 << 10
	// maxInflight is the maximum number of unanswered appends to one member.
	maxInflight = 32
	// The lease lasts for leaseNum/leaseDen of the election timeout. The rest
	// allows for clocks that run at different speeds.
	leaseNum = 3
	leaseDen = 4
	// A heartbeat is due after heartbeatDueNum/heartbeatDueDen of its interval,
	// so that a tick which comes slightly early does not delay it to the next
	// tick.
	heartbeatDueNum = 9
	heartbeatDueDen = 10
)

// leaderState is the state that only a leader has.
type leaderState struct {
	progress map[keel.InstanceName]*progress
	rounds   rounds
	// since is when this instance became the leader, or when its clock last went
	// back; lastHeartbeat is when it last sent heartbeats.
	since         time.Time
	lastHeartbeat time.Time
	// firstIndex is the first entry of the leader's term.
	firstIndex uint64
	// joining is the instance to add to the voter set, or empty.
	joining  keel.InstanceName
	handOver handOver
}

// progress tracks the log of another member.
type progress struct {
	incarnation uint64
	// match is the last entry that the member is known to hold, next the first
	// one to send.
	match uint64
	next  uint64
	// probing means that next is an estimate: one append is sent at a time, and
	// awaitingAnswer is set until it is answered or the next heartbeat is due.
	probing        bool
	awaitingAnswer bool
	// inflight are the last indexes of the unanswered appends.
	inflight []uint64
	// acked is when the leader sent the latest heartbeat that the member has
	// answered.
	acked    time.Time
	transfer transfer
}

// transfer is the state of sending a snapshot to a member. An index of 0 means
// that there is none.
type transfer struct {
	index  uint64
	offset uint64
	// advanced means that the member has received a part since the last
	// heartbeat.
	advanced bool
}

// becomeLeader starts the term of this leader with an entry of its own: the voter
// set with its incarnations at the first start, and an empty entry otherwise.
func (c *Core) becomeLeader() {
	c.fire(eventVotesWon)
	c.leader = c.cfg.Self
	c.lead = leaderState{
		progress:   map[keel.InstanceName]*progress{},
		rounds:     rounds{last: c.lead.rounds.last},
		since:      c.clock.now,
		firstIndex: c.log.last().index + 1,
	}
	entry := keel.LogEntry{Type: keel.EntryNoop}
	if !c.activeSet().incarnationsKnown() {
		entry = keel.LogEntry{Type: keel.EntryVoters, Voters: c.bootstrapVoters()}
	}
	c.syncProgress(c.lead.firstIndex)
	c.appendEntry(entry)
	c.broadcastHeartbeat()
}

// bootstrapVoters returns the bootstrap set with the incarnations of the members,
// which are known from their votes, since a bootstrap election needs the votes of
// all.
func (c *Core) bootstrapVoters() []keel.Voter {
	voters := append([]keel.Voter(nil), c.activeSet().voters...)
	for i := range voters {
		voters[i].Incarnation = c.votes[voters[i].Name]
	}
	return voters
}

// appendEntry appends an entry of the current term. Take sends it together with
// other new entries.
func (c *Core) appendEntry(e keel.LogEntry) position {
	e.Index, e.Term = c.log.last().index+1, c.term
	c.appendToLog([]keel.LogEntry{e})
	if e.Type == keel.EntryVoters {
		c.syncProgress(e.Index)
	}
	c.out.replicate = true
	return position{e.Index, e.Term}
}

// syncProgress drops the progress of instances that left the voter set in force,
// and adds that of new members. Probing of these starts at next.
func (c *Core) syncProgress(next uint64) {
	for name, p := range c.lead.progress {
		if _, ok := c.activeSet().member(name, p.incarnation); !ok {
			delete(c.lead.progress, name)
		}
	}
	for _, v := range c.activeSet().voters {
		if v.Name != c.cfg.Self && c.lead.progress[v.Name] == nil {
			c.lead.progress[v.Name] = &progress{incarnation: v.Incarnation, next: next, probing: true}
		}
	}
}

// Propose appends a command to the log and returns its index and term, which
// identify it when it is applied. It fails with [*NotLeaderError] without a valid
// lease.
func (c *Core) Propose(now time.Time, data []byte) (index, term uint64, err error) {
	c.advance(now)
	if err := c.checkLease(); err != nil {
		return 0, 0, err
	}
	at := c.appendEntry(keel.LogEntry{Type: keel.EntryCommand, Data: data})
	return at.index, at.term, nil
}

// ReadIndex returns the index that a state machine must have applied to reflect
// everything committed before now. It fails with [*NotLeaderError] without a
// valid lease, or while no entry of the leader's term is committed.
func (c *Core) ReadIndex(now time.Time) (uint64, error) {
	c.advance(now)
	if err := c.checkLease(); err != nil {
		return 0, err
	}
	if !c.committedInTerm() {
		return 0, &NotLeaderError{}
	}
	return c.commit, nil
}

// checkLease returns [*NotLeaderError] unless this instance is the leader and
// holds the lease.
func (c *Core) checkLease() error {
	if !c.isLeader() {
		return &NotLeaderError{Leader: c.leader}
	}
	if !c.holdsLease() {
		return &NotLeaderError{}
	}
	return nil
}

// committedInTerm reports whether an entry of the leader's own term is committed.
// Before that, neither the commit index nor the committed voter set is certain to
// be current.
func (c *Core) committedInTerm() bool { return c.isLeader() && c.commit >= c.lead.firstIndex }

func (c *Core) holdsLease() bool { return c.clock.now.Before(c.leaseUntil()) }

// leaseUntil returns the time until which no other leader can be elected. A
// leader that has started to hand over has no lease for the rest of its term.
func (c *Core) leaseUntil() time.Time {
	if !c.isLeader() || c.lead.handOver.target != "" {
		return time.Time{}
	}
	since := c.quorumAckTime()
	if since.IsZero() {
		return time.Time{}
	}
	return since.Add(c.cfg.Election * leaseNum / leaseDen)
}

// quorumAckTime returns when the leader sent the latest heartbeat that a quorum
// has answered.
func (c *Core) quorumAckTime() time.Time {
	return c.activeSet().quorumTime(func(v keel.Voter) time.Time {
		if v.Name == c.cfg.Self {
			return c.clock.now
		}
		return c.lead.progress[v.Name].acked
	})
}

// tickLeader steps down if a quorum has not answered for an election timeout or a
// handover has expired. Otherwise it sends due heartbeats and makes due changes
// of the voter set.
func (c *Core) tickLeader() {
	acked := c.quorumAckTime()
	if acked.Before(c.lead.since) {
		acked = c.lead.since
	}
	if c.clock.now.Sub(acked) >= c.cfg.Election {
		c.becomeFollower(c.term, "")
		return
	}
	if c.handOverExpired() {
		c.becomeFollower(c.term, "")
		return
	}
	if c.clock.now.Sub(c.lead.lastHeartbeat) >= c.cfg.Heartbeat*heartbeatDueNum/heartbeatDueDen {
		c.broadcastHeartbeat()
	}
	c.changeVoters()
}

// broadcastHeartbeat starts a round and sends a heartbeat to every member. A
// joining instance also receives one, so that its answer reports its incarnation.
func (c *Core) broadcastHeartbeat() {
	c.lead.lastHeartbeat = c.clock.now
	c.lead.rounds.start(c.clock.now, c.cfg.Election)
	for _, v := range c.activeSet().voters {
		if p := c.lead.progress[v.Name]; p != nil {
			c.sendHeartbeat(v.Name, p)
		}
	}
	if c.lead.joining != "" && c.lead.progress[c.lead.joining] == nil {
		c.sendAppend(c.lead.joining, position{}, nil)
	}
}

// sendHeartbeat sends a heartbeat to a member and continues its snapshot
// transfer, if any. The heartbeat carries the position before next, so that the
// member rejects it if an append was lost.
func (c *Core) sendHeartbeat(name keel.InstanceName, p *progress) {
	p.awaitingAnswer = false
	if p.transfer.index != 0 {
		c.sendAppend(name, position{}, nil)
		c.resumeTransfer(name, p)
		return
	}
	prev := p.next - 1
	term, ok := c.log.term(prev)
	if !ok {
		c.sendAppend(name, position{}, nil)
		c.startTransfer(name, p)
		return
	}
	c.sendAppend(name, position{prev, term}, nil)
	c.sendEntries(name, p)
}

// replicate sends new entries to all members.
func (c *Core) replicate() {
	for _, v := range c.activeSet().voters {
		if p := c.lead.progress[v.Name]; p != nil {
			c.sendEntries(v.Name, p)
		}
	}
}

// sendEntries sends the entries that a member lacks, up to [maxInflight]
// unanswered appends, or starts a snapshot transfer if the log no longer holds
// them.
func (c *Core) sendEntries(name keel.InstanceName, p *progress) {
	for p.next <= c.log.last().index && len(p.inflight) < maxInflight && !p.awaitingAnswer && p.transfer.index == 0 {
		prev := p.next - 1
		term, ok := c.log.term(prev)
		if !ok {
			c.startTransfer(name, p)
			return
		}
		entries := c.log.batch(p.next, maxBatchBytes)
		c.sendAppend(name, position{prev, term}, entries)
		if p.probing {
			p.awaitingAnswer = true
			return
		}
		p.next = prev + uint64(len(entries)) + 1
		p.inflight = append(p.inflight, p.next-1)
	}
}

func (c *Core) sendAppend(name keel.InstanceName, prev position, entries []keel.LogEntry) {
	c.sendBeforeStore(name, Message{
		Type: MessageAppend, Index: prev.index, LogTerm: prev.term, Entries: entries,
		Commit: c.commit, Round: c.lead.rounds.last,
	})
}

// advanceCommit advances the commit index to the last entry that a quorum holds
// if that entry is of the current term. An entry of an earlier term is committed
// only together with a later one of the current term.
func (c *Core) advanceCommit() {
	index := c.activeSet().quorumIndex(func(v keel.Voter) uint64 {
		if v.Name == c.cfg.Self {
			return c.storedIndex
		}
		return c.lead.progress[v.Name].match
	})
	term, ok := c.log.term(index)
	if !ok || term != c.term || index <= c.commit {
		return
	}
	c.commit = index
	c.broadcastCommit()
	c.changeVoters()
}

// broadcastCommit sends the commit index to the members that have no entries to
// receive.
func (c *Core) broadcastCommit() {
	for _, v := range c.activeSet().voters {
		p := c.lead.progress[v.Name]
		if p == nil || p.probing || p.transfer.index != 0 || p.next <= c.log.last().index {
			continue
		}
		if term, ok := c.log.term(p.next - 1); ok {
			c.sendAppend(v.Name, position{p.next - 1, term}, nil)
		}
	}
}
