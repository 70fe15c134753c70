package keelquorum

import (
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

const (
	// maxBatchBytes is the size of an append or a snapshot part.
	maxBatchBytes = 256 << 10
	// maxInflight is the number of appends on their way to one voter.
	maxInflight = 32
	// The lease lasts for leaseNum/leaseDen of the election timeout. The rest
	// is left for clocks that run at different speeds.
	leaseNum = 3
	leaseDen = 4
	// A heartbeat is due after beatNum/beatDen of its time, so that a tick
	// which comes a little early does not put it off to the next one.
	beatNum = 9
	beatDen = 10
)

// leadership is what only a leader knows.
type leadership struct {
	progress map[keel.InstanceName]*progress
	rounds   rounds
	// since is when the instance became the leader, beat when it sent the last
	// heartbeat.
	since time.Time
	beat  time.Time
	// first is the first entry of the leader's term.
	first    uint64
	joining  keel.InstanceName
	handOver handOver
}

// progress is what the leader knows about another member of the set.
type progress struct {
	incarnation uint64
	// match is the last entry that the member is known to hold, next the one
	// to send next.
	match uint64
	next  uint64
	// probing means that next is a guess; one append at a time is sent.
	probing  bool
	waiting  bool
	inflight []uint64
	// acked is when the last heartbeat that the member answered was sent.
	acked    time.Time
	transfer transfer
}

// transfer is a snapshot on its way to a member. Index 0 means none.
type transfer struct {
	index  uint64
	offset uint64
	moved  bool
}

func (c *Core) becomeLeader() {
	c.fire(eventVotesWon)
	c.leader = c.cfg.Self
	c.lead = leadership{
		progress: map[keel.InstanceName]*progress{},
		rounds:   rounds{last: c.lead.rounds.last},
		since:    c.clock.now,
		first:    c.log.last().index + 1,
	}
	entry := keel.LogEntry{Type: keel.EntryNoop}
	if !c.set().bound() {
		entry = keel.LogEntry{Type: keel.EntryVoters, Voters: c.boundVoters()}
	}
	c.syncProgress(c.lead.first)
	c.propose(entry)
	c.heartbeat()
}

// boundVoters returns the bootstrap set with the disks that voted. The election
// needed the vote of each member.
func (c *Core) boundVoters() []keel.Voter {
	voters := append([]keel.Voter(nil), c.set().voters...)
	for i := range voters {
		voters[i].Incarnation = c.votes[voters[i].Name]
	}
	return voters
}

// propose appends an entry of this term. It is sent when the actions are taken,
// together with others that were proposed before.
func (c *Core) propose(e keel.LogEntry) position {
	e.Index, e.Term = c.log.last().index+1, c.term
	c.appendToLog([]keel.LogEntry{e})
	if e.Type == keel.EntryVoters {
		c.syncProgress(e.Index)
	}
	c.out.replicate = true
	return position{e.Index, e.Term}
}

// syncProgress makes the members of the set in force those with progress. New
// ones are first asked for the entry before next.
func (c *Core) syncProgress(next uint64) {
	for name, p := range c.lead.progress {
		if _, ok := c.set().member(name, p.incarnation); !ok {
			delete(c.lead.progress, name)
		}
	}
	for _, v := range c.set().voters {
		if v.Name != c.cfg.Self && c.lead.progress[v.Name] == nil {
			c.lead.progress[v.Name] = &progress{incarnation: v.Incarnation, next: next, probing: true}
		}
	}
}

// Propose appends a command to the log. It returns its index and term, by which
// the caller recognises it when it is applied. A leader that can't prove that
// it is one refuses.
func (c *Core) Propose(now time.Time, data []byte) (index, term uint64, err error) {
	c.advance(now)
	if err := c.checkLease(); err != nil {
		return 0, 0, err
	}
	at := c.propose(keel.LogEntry{Type: keel.EntryCommand, Data: data})
	return at.index, at.term, nil
}

// ReadIndex returns the index up to which a state machine must have applied to
// show everything that was committed before now.
func (c *Core) ReadIndex(now time.Time) (uint64, error) {
	c.advance(now)
	if err := c.checkLease(); err != nil {
		return 0, err
	}
	if !c.established() {
		return 0, &NotLeaderError{}
	}
	return c.commit, nil
}

func (c *Core) checkLease() error {
	if !c.isLeader() {
		return &NotLeaderError{Leader: c.leader}
	}
	if !c.holdsLease() {
		return &NotLeaderError{}
	}
	return nil
}

// established says whether an entry of the leader's own term is committed. Until
// then it knows neither what is committed nor which voter set is.
func (c *Core) established() bool { return c.isLeader() && c.commit >= c.lead.first }

func (c *Core) holdsLease() bool { return c.clock.now.Before(c.leaseUntil()) }

// leaseUntil returns the time until which no other leader can be elected. A
// leader that began to hand over has no lease for the rest of its term.
func (c *Core) leaseUntil() time.Time {
	if !c.isLeader() || c.lead.handOver.target != "" {
		return time.Time{}
	}
	since := c.quorumHeard()
	if since.IsZero() {
		return time.Time{}
	}
	return since.Add(c.cfg.Election * leaseNum / leaseDen)
}

// quorumHeard returns the time of the last heartbeat that a quorum answered.
func (c *Core) quorumHeard() time.Time {
	return c.set().heardSince(func(v keel.Voter) time.Time {
		if v.Name == c.cfg.Self {
			return c.clock.now
		}
		return c.lead.progress[v.Name].acked
	})
}

func (c *Core) tickLeader() {
	heard := c.quorumHeard()
	if heard.Before(c.lead.since) {
		heard = c.lead.since
	}
	if c.clock.now.Sub(heard) >= c.cfg.Election {
		c.follow(c.term, "")
		return
	}
	if c.handOverExpired() {
		c.follow(c.term, "")
		return
	}
	if c.clock.now.Sub(c.lead.beat) >= c.cfg.Heartbeat*beatNum/beatDen {
		c.heartbeat()
	}
	c.changeVoters()
}

func (c *Core) heartbeat() {
	c.lead.beat = c.clock.now
	c.lead.rounds.start(c.clock.now, c.cfg.Election)
	for _, v := range c.set().voters {
		if p := c.lead.progress[v.Name]; p != nil {
			c.beat(v.Name, p)
		}
	}
	if c.lead.joining != "" && c.lead.progress[c.lead.joining] == nil {
		c.sendAppend(c.lead.joining, position{}, nil)
	}
}

// beat sends a sign of life to a member. It also finds out whether an append
// was lost: then the member lacks the entry before next.
func (c *Core) beat(name keel.InstanceName, p *progress) {
	p.waiting = false
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
	c.fill(name, p)
}

// replicate sends entries to every member that has room for them.
func (c *Core) replicate() {
	for _, v := range c.set().voters {
		if p := c.lead.progress[v.Name]; p != nil {
			c.fill(v.Name, p)
		}
	}
}

// fill sends the entries that a member lacks, as many appends as may be on
// their way.
func (c *Core) fill(name keel.InstanceName, p *progress) {
	for p.next <= c.log.last().index && len(p.inflight) < maxInflight && !p.waiting && p.transfer.index == 0 {
		prev := p.next - 1
		term, ok := c.log.term(prev)
		if !ok {
			c.startTransfer(name, p)
			return
		}
		entries := c.log.batch(p.next, maxBatchBytes)
		c.sendAppend(name, position{prev, term}, entries)
		if p.probing {
			p.waiting = true
			return
		}
		p.next = prev + uint64(len(entries)) + 1
		p.inflight = append(p.inflight, p.next-1)
	}
}

func (c *Core) sendAppend(name keel.InstanceName, prev position, entries []keel.LogEntry) {
	c.sendEarly(name, Message{
		Type: MessageAppend, Index: prev.index, LogTerm: prev.term, Entries: entries,
		Commit: c.commit, Round: c.lead.rounds.last,
	})
}

// advanceCommit commits what a quorum holds, if it is of this term: an entry of
// an earlier term is committed only together with a later one of this term.
func (c *Core) advanceCommit() {
	index := c.set().reached(func(v keel.Voter) uint64 {
		if v.Name == c.cfg.Self {
			return c.stored
		}
		return c.lead.progress[v.Name].match
	})
	term, ok := c.log.term(index)
	if !ok || term != c.term || index <= c.commit {
		return
	}
	c.commit = index
	c.spreadCommit()
	c.changeVoters()
}

// spreadCommit tells members that wait for no entries what is committed.
func (c *Core) spreadCommit() {
	for _, v := range c.set().voters {
		p := c.lead.progress[v.Name]
		if p == nil || p.probing || p.transfer.index != 0 || p.next <= c.log.last().index {
			continue
		}
		if term, ok := c.log.term(p.next - 1); ok {
			c.sendAppend(v.Name, position{p.next - 1, term}, nil)
		}
	}
}
