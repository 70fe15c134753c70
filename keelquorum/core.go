package keelquorum

import (
	"math/rand/v2"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelchart"
)

// Core is the consensus state of one voter. It is not safe for concurrent use.
//
// Every method that receives the time or a message may produce actions. The
// caller takes them with [Core.Take], executes them in the order of the fields of
// [Actions] and reports with [Core.Stored] that they are on the disk.
type Core struct {
	cfg  CoreConfig
	rand *rand.Rand
	role keelchart.Machine
	// incarnation identifies the disk of this instance.
	incarnation uint64

	term uint64
	// vote is the candidate that received this disk's vote in term, or empty.
	vote   keel.InstanceName
	leader keel.InstanceName
	log    memoryLog
	// voterSets are the voter sets in the log; the last one is in force.
	voterSets []voterSet
	snapshot  snapshotMeta
	// commit is the index of the last entry known to be committed.
	commit uint64
	// applying is the last entry that was returned in Actions.Apply.
	applying uint64
	// storedIndex is the last entry on the disk of this instance.
	storedIndex uint64

	clock clock
	// leaderSeen is when the last message of a leader arrived, timerStart when
	// the election timer was last reset. Both are readings of clock.elapsed.
	leaderSeen      time.Duration
	timerStart      time.Duration
	electionTimeout time.Duration
	// votes are the incarnations of the instances that granted a vote or
	// pre-vote.
	votes map[keel.InstanceName]uint64
	// preCampaigns counts the times that this instance requested pre-votes.
	preCampaigns uint64
	// contacts are the last contacts with other instances, by name.
	contacts map[keel.InstanceName]*contact

	lead     leaderState
	incoming incomingSnapshot
	out      output
}

// CoreConfig configures a [Core].
type CoreConfig struct {
	Self keel.InstanceName
	// Stored is the state loaded from the storage.
	Stored keel.StoredState
	// Bootstrap names the voters of the first start.
	Bootstrap []keel.InstanceName
	// Now is the current time.
	Now time.Time
	// Seed seeds the election timeouts together with Self.
	Seed uint64
	// Heartbeat is the time between two heartbeats of the leader.
	Heartbeat time.Duration
	// Election is the minimum time without a leader before an election.
	Election time.Duration
	// TailEntries is the number of entries kept in memory behind a snapshot for
	// lagging voters, up to a total of 2 MiB.
	TailEntries uint64
}

// Actions are to be executed by the caller of [Core.Take], in the order of the
// fields.
type Actions struct {
	// SendBeforeStore are messages that may be sent before anything is stored.
	SendBeforeStore []Message
	// Vote is to be stored if it is not nil.
	Vote *keel.StoredVote
	// Snapshot is to be stored if it is not nil. If Restore is true, the state
	// machine is also to be restored from it.
	Snapshot *keel.StoredSnapshot
	Restore  bool
	// Append are entries to be stored.
	Append []keel.LogEntry
	// SendAfterStore are messages that may be sent only once all of the above is
	// stored. Those with a ChunkSize get their Chunk from the stored snapshot.
	SendAfterStore []Message
	// Apply are committed entries for the state machine.
	Apply []keel.LogEntry
}

// Empty reports whether there are no actions.
func (a *Actions) Empty() bool {
	return len(a.SendBeforeStore) == 0 && a.Vote == nil && a.Snapshot == nil && len(a.Append) == 0 && len(a.SendAfterStore) == 0 && len(a.Apply) == 0
}

// output collects actions until they are taken.
type output struct {
	beforeStore, afterStore []Message
	vote                    bool
	snapshot                *keel.StoredSnapshot
	restore                 bool
	// replicate means that Take is to send new entries to the members.
	replicate bool
	// firstUnstored is the first entry not yet returned in Actions.Append.
	firstUnstored uint64
}

// NewCore returns a follower with the state loaded from its disk.
func NewCore(cfg CoreConfig) *Core {
	st := cfg.Stored
	c := &Core{
		cfg:         cfg,
		rand:        rand.New(rand.NewPCG(cfg.Seed, nameSeed(cfg.Self))),
		role:        keelchart.NewMachine(roleChart),
		incarnation: st.Vote.Incarnation,
		term:        st.Vote.Term,
		vote:        st.Vote.For,
		snapshot:    newSnapshotMeta(&st.Snapshot),
		commit:      st.Snapshot.Index,
		applying:    st.Snapshot.Index,
		clock:       clock{now: cfg.Now, maxStep: 2 * cfg.Heartbeat},
		contacts:    map[keel.InstanceName]*contact{},
	}
	c.cfg.Stored = keel.StoredState{}
	c.log.reset(position{st.Snapshot.Index, st.Snapshot.Term})
	c.voterSets = []voterSet{bootstrapSet(cfg.Bootstrap)}
	if st.Snapshot.Index > 0 {
		c.voterSets = []voterSet{{st.Snapshot.Index, st.Snapshot.Voters}}
	}
	c.appendToLog(st.Entries)
	c.storedIndex = c.log.last().index
	c.out.firstUnstored = c.storedIndex + 1
	c.resetTimer()
	if !c.activeSet().incarnationsKnown() {
		// Without known voters, this disk can't have acknowledged a leader's lease.
		c.leaderSeen = -cfg.Election
	}
	return c
}

// nameSeed returns the FNV-1a hash of a name.
func nameSeed(name keel.InstanceName) uint64 {
	const prime, offset = 1099511628211, 14695981039346656037
	h := uint64(offset)
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * prime
	}
	return h
}

// activeSet returns the voter set in force.
func (c *Core) activeSet() *voterSet { return &c.voterSets[len(c.voterSets)-1] }

// appendToLog appends entries. Voter sets among them come into force at once.
func (c *Core) appendToLog(entries []keel.LogEntry) {
	c.log.append(entries...)
	for i := range entries {
		if entries[i].Type == keel.EntryVoters {
			c.voterSets = append(c.voterSets, voterSet{entries[i].Index, entries[i].Voters})
		}
	}
}

// truncateLog drops the entries from index on, which are not committed, and their
// voter sets.
func (c *Core) truncateLog(index uint64) {
	c.log.truncate(index)
	for len(c.voterSets) > 1 && c.activeSet().index >= index {
		c.voterSets = c.voterSets[:len(c.voterSets)-1]
	}
	c.storedIndex = min(c.storedIndex, index-1)
	c.out.firstUnstored = min(c.out.firstUnstored, index)
}

// Take returns the pending actions and clears them.
func (c *Core) Take() Actions {
	if c.out.replicate && c.isLeader() {
		c.replicate()
	}
	last := c.log.last().index
	a := Actions{
		SendBeforeStore: c.out.beforeStore, SendAfterStore: c.out.afterStore,
		Snapshot: c.out.snapshot, Restore: c.out.restore,
		Append: c.log.slice(c.out.firstUnstored, last),
		Apply:  c.log.slice(c.applying+1, c.commit),
	}
	if c.out.vote {
		a.Vote = &keel.StoredVote{Term: c.term, For: c.vote, Incarnation: c.incarnation}
		// The messages carry a term that must be stored first.
		a.SendBeforeStore, a.SendAfterStore = nil, append(a.SendBeforeStore, a.SendAfterStore...)
	}
	c.applying = max(c.applying, c.commit)
	c.out = output{firstUnstored: last + 1}
	return a
}

// Stored reports that all actions taken so far are on the disk.
func (c *Core) Stored(now time.Time) {
	c.advance(now)
	c.storedIndex = c.out.firstUnstored - 1
	if c.isLeader() {
		c.advanceCommit()
	}
}

// Tick advances the time and must be called at least every half heartbeat.
func (c *Core) Tick(now time.Time) {
	c.advance(now)
	if c.isLeader() {
		c.tickLeader()
		return
	}
	if c.clock.elapsed-c.timerStart >= c.electionTimeout && c.canCampaign() {
		c.preCampaign()
	}
}

// Step handles a message from another instance.
func (c *Core) Step(now time.Time, m Message) {
	c.advance(now)
	if m.From == c.cfg.Self {
		return
	}
	c.recordContact(m.From, m.Incarnation)
	switch m.Type {
	case MessagePreVote:
		c.handlePreVote(&m)
	case MessageVote:
		c.handleVote(&m)
	case MessagePreVoteAnswer, MessageVoteAnswer:
		c.handleVoteAnswer(&m)
	case MessageAppend:
		c.handleAppend(&m)
	case MessageSnapshot:
		c.handleSnapshotPart(&m)
	case MessageAppendAnswer, MessageSnapshotAnswer:
		c.handleAnswer(&m)
	case MessageCampaign:
		c.handleCampaign(&m)
	}
}

// advance sets the current time. If it went back, the lease is void.
func (c *Core) advance(now time.Time) {
	if !c.clock.advance(now) {
		// The clock went back, so the age of earlier answers is unknown.
		c.lead.rounds.invalidate()
		for _, p := range c.lead.progress {
			p.acked = time.Time{}
		}
		c.lead.since = now
	}
}

func (c *Core) isLeader() bool { return c.role.State() == RoleLeader }

// fire applies an event to the role. The callers check the current role, so an
// invalid event is a programming error.
func (c *Core) fire(e keelchart.Event) {
	if _, err := c.role.Fire(e); err != nil {
		panic(err)
	}
}

// sendAfterStore queues a message that must not be sent before the pending writes
// are on the disk.
func (c *Core) sendAfterStore(to keel.InstanceName, m Message) {
	c.out.afterStore = append(c.out.afterStore, c.fillHeader(to, m))
}

// sendBeforeStore queues a message that does not depend on pending writes.
func (c *Core) sendBeforeStore(to keel.InstanceName, m Message) {
	c.out.beforeStore = append(c.out.beforeStore, c.fillHeader(to, m))
}

// fillHeader sets the sender and receiver of a message, and the current term
// unless the message has one.
func (c *Core) fillHeader(to keel.InstanceName, m Message) Message {
	m.From, m.To, m.Incarnation = c.cfg.Self, to, c.incarnation
	if m.Term == 0 {
		m.Term = c.term
	}
	return m
}

// resetTimer restarts the election timer with a new timeout. The timeout of a
// single voter is 0, because it needs no votes of others.
func (c *Core) resetTimer() {
	c.timerStart = c.clock.elapsed
	c.electionTimeout = c.cfg.Election + c.electionDelay()
	if s := c.activeSet(); s.votingCount() == 1 && s.isVoter(c.cfg.Self, c.incarnation) {
		c.electionTimeout = 0
	}
}

// electionDelay returns the delay of this voter beyond the election timeout. The
// delay is shorter than one election timeout. Each voter has a slot of its own,
// in the order of names, and becomes a candidate at a random time in the first
// quarter of it: if the votes of all remaining voters are needed, two concurrent
// candidates would both lose.
func (c *Core) electionDelay() time.Duration {
	rank, voters := 0, 0
	for _, v := range c.activeSet().voters {
		if v.Learner {
			continue
		}
		voters++
		if v.Name < c.cfg.Self {
			rank++
		}
	}
	slot := c.cfg.Election / time.Duration(max(voters, 1))
	return time.Duration(rank)*slot + time.Duration(c.rand.Int64N(max(int64(slot/4), 1)))
}

// silenceByMember returns the time since the leader last received a message from
// each other member.
func (c *Core) silenceByMember() map[keel.InstanceName]time.Duration {
	if !c.isLeader() {
		return nil
	}
	silence := make(map[keel.InstanceName]time.Duration, len(c.activeSet().voters))
	for _, v := range c.activeSet().voters {
		if s := c.contacts[v.Name]; s != nil {
			silence[v.Name] = c.clock.elapsed - s.lastSeen
		}
	}
	return silence
}

// Status returns the state at a time. The caller sets Applied.
func (c *Core) Status(now time.Time) Status {
	return Status{
		SilentFor: c.silenceByMember(),
		Self:      c.cfg.Self, Incarnation: c.incarnation,
		Role: string(c.role.State()), Term: c.term, Leader: c.leader,
		Commit: c.commit, Last: c.log.last().index, Snapshot: c.snapshot.at.index,
		Voters:      c.activeSet().voters,
		LeaseValid:  c.isLeader() && now.Before(c.leaseUntil()),
		HandingOver: c.lead.handOver.target != "",
		Elections:   c.preCampaigns, Votes: len(c.votes),
		leaseUntil: c.leaseUntil(),
	}
}
