package keelquorum

import (
	"math/rand/v2"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelchart"
)

// Core decides for one voter. It is not safe for use by several goroutines.
//
// Every method that takes the time or a message may produce actions. The caller
// takes them with [Core.Take], carries them out in the order of the fields of
// [Actions] and reports with [Core.Stored] that they are on the disk.
type Core struct {
	cfg  CoreConfig
	rand *rand.Rand
	role keelchart.Machine
	// incarnation identifies this instance's disk.
	incarnation uint64

	term   uint64
	vote   keel.InstanceName
	leader keel.InstanceName
	log    memoryLog
	// sets are the voter sets that the log holds, the last one in force.
	sets     []voterSet
	snapshot snapshotMeta
	commit   uint64
	// handed is the last entry that was handed out to be applied.
	handed uint64
	// stored is the last entry that is on this instance's disk.
	stored uint64

	clock clock
	// heard is when a leader was heard last, timer when the wait for the next
	// election began, both by the patient clock.
	heard   time.Duration
	timer   time.Duration
	timeout time.Duration
	votes   map[keel.InstanceName]uint64
	seen    map[keel.InstanceName]*sighting

	lead     leadership
	incoming incomingSnapshot
	out      output
}

// CoreConfig says what a core starts from.
type CoreConfig struct {
	Self keel.InstanceName
	// Stored is what the storage loaded.
	Stored keel.StoredState
	// Bootstrap names the voters of the first start.
	Bootstrap []keel.InstanceName
	// Now is the present time.
	Now time.Time
	// Seed seeds the election timeouts together with Self.
	Seed uint64
	// Heartbeat is the time between two heartbeats of the leader.
	Heartbeat time.Duration
	// Election is the shortest time without a leader before an election.
	Election time.Duration
	// Tail is the number of entries that stay in memory behind a snapshot for
	// voters that lag, as long as they have no more than 2 MiB.
	Tail uint64
}

// Actions are what a core wants done, in the order of the fields.
type Actions struct {
	// Early are messages that may leave before anything is stored.
	Early []Message
	// Vote is to be stored if it is not nil.
	Vote *keel.StoredVote
	// Snapshot is to be stored if it is not nil. If Restore is true the state
	// machine restores it too.
	Snapshot *keel.StoredSnapshot
	Restore  bool
	// Append are entries to be stored.
	Append []keel.LogEntry
	// Late are messages that may leave only when all that is stored. Those
	// with a ChunkSize get their Chunk from the stored snapshot.
	Late []Message
	// Apply are committed entries for the state machine.
	Apply []keel.LogEntry
}

// Empty says that there is nothing to do.
func (a *Actions) Empty() bool {
	return len(a.Early) == 0 && a.Vote == nil && a.Snapshot == nil && len(a.Append) == 0 && len(a.Late) == 0 && len(a.Apply) == 0
}

// output collects actions until they are taken.
type output struct {
	early, late []Message
	vote        bool
	snapshot    *keel.StoredSnapshot
	restore     bool
	// replicate says that the members are to get new entries.
	replicate bool
	// unstored is the first entry that was not handed out to be stored.
	unstored uint64
}

// NewCore returns a follower that starts from what its disk holds.
func NewCore(cfg CoreConfig) *Core {
	st := cfg.Stored
	c := &Core{
		cfg:         cfg,
		rand:        rand.New(rand.NewPCG(cfg.Seed, nameSeed(cfg.Self))),
		role:        keelchart.NewMachine(roleChart),
		incarnation: st.Vote.Incarnation,
		term:        st.Vote.Term,
		vote:        st.Vote.For,
		snapshot:    metaOf(&st.Snapshot),
		commit:      st.Snapshot.Index,
		handed:      st.Snapshot.Index,
		clock:       clock{now: cfg.Now, maxStep: 2 * cfg.Heartbeat},
		seen:        map[keel.InstanceName]*sighting{},
	}
	c.cfg.Stored = keel.StoredState{}
	c.log.reset(position{st.Snapshot.Index, st.Snapshot.Term})
	c.sets = []voterSet{bootstrapSet(cfg.Bootstrap)}
	if st.Snapshot.Index > 0 {
		c.sets = []voterSet{{st.Snapshot.Index, st.Snapshot.Voters}}
	}
	c.appendToLog(st.Entries)
	c.stored = c.log.last().index
	c.out.unstored = c.stored + 1
	c.resetTimer()
	if !c.set().bound() {
		// A disk that knows no voters can't have supported a lease.
		c.heard = -cfg.Election
	}
	return c
}

func nameSeed(name keel.InstanceName) uint64 {
	const prime, offset = 1099511628211, 14695981039346656037
	h := uint64(offset)
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * prime
	}
	return h
}

// set returns the voter set in force.
func (c *Core) set() *voterSet { return &c.sets[len(c.sets)-1] }

// appendToLog appends entries and takes the voter sets among them into force.
func (c *Core) appendToLog(entries []keel.LogEntry) {
	c.log.append(entries...)
	for i := range entries {
		if entries[i].Type == keel.EntryVoters {
			c.sets = append(c.sets, voterSet{entries[i].Index, entries[i].Voters})
		}
	}
}

// truncateLog drops entries that no quorum held, with their voter sets.
func (c *Core) truncateLog(index uint64) {
	c.log.truncate(index)
	for len(c.sets) > 1 && c.set().index >= index {
		c.sets = c.sets[:len(c.sets)-1]
	}
	c.stored = min(c.stored, index-1)
	c.out.unstored = min(c.out.unstored, index)
}

// Take returns what is to be done and forgets it.
func (c *Core) Take() Actions {
	if c.out.replicate && c.isLeader() {
		c.replicate()
	}
	last := c.log.last().index
	a := Actions{
		Early: c.out.early, Late: c.out.late,
		Snapshot: c.out.snapshot, Restore: c.out.restore,
		Append: c.log.slice(c.out.unstored, last),
		Apply:  c.log.slice(c.handed+1, c.commit),
	}
	if c.out.vote {
		a.Vote = &keel.StoredVote{Term: c.term, For: c.vote, Incarnation: c.incarnation}
		// A leader's messages carry a term that must be stored first.
		a.Early, a.Late = nil, append(a.Early, a.Late...)
	}
	c.handed = max(c.handed, c.commit)
	c.out = output{unstored: last + 1}
	return a
}

// Stored reports that everything that was taken is on the disk.
func (c *Core) Stored(now time.Time) {
	c.advance(now)
	c.stored = c.out.unstored - 1
	if c.isLeader() {
		c.advanceCommit()
	}
}

// Tick takes the present time. It is called every half heartbeat or more often.
func (c *Core) Tick(now time.Time) {
	c.advance(now)
	if c.isLeader() {
		c.tickLeader()
		return
	}
	if c.clock.patient-c.timer >= c.timeout && c.mayStand() {
		c.preCampaign()
	}
}

// Step takes a message from another instance.
func (c *Core) Step(now time.Time, m Message) {
	c.advance(now)
	if m.From == c.cfg.Self {
		return
	}
	c.sight(m.From, m.Incarnation)
	switch m.Type {
	case MessagePreVote:
		c.takePreVote(&m)
	case MessageVote:
		c.takeVote(&m)
	case MessagePreVoteAnswer, MessageVoteAnswer:
		c.takeVoteAnswer(&m)
	case MessageAppend:
		c.takeAppend(&m)
	case MessageSnapshot:
		c.takeSnapshot(&m)
	case MessageAppendAnswer, MessageSnapshotAnswer:
		c.takeAnswer(&m)
	case MessageCampaign:
		c.takeCampaign(&m)
	}
}

func (c *Core) advance(now time.Time) {
	if !c.clock.advance(now) {
		// The clock went back: the age of earlier answers is unknown.
		c.lead.rounds.forget()
		for _, p := range c.lead.progress {
			p.acked = time.Time{}
		}
		c.lead.since = now
	}
}

func (c *Core) isLeader() bool { return c.role.State() == RoleLeader }

// fire moves the role along its chart. The callers know the present role, so an
// invalid event is a fault of this package.
func (c *Core) fire(e keelchart.Event) {
	if _, err := c.role.Fire(e); err != nil {
		panic(err)
	}
}

// send queues a message that must wait for the disk.
func (c *Core) send(to keel.InstanceName, m Message) {
	c.out.late = append(c.out.late, c.seal(to, m))
}

// sendEarly queues a message that need not wait for the disk.
func (c *Core) sendEarly(to keel.InstanceName, m Message) {
	c.out.early = append(c.out.early, c.seal(to, m))
}

func (c *Core) seal(to keel.InstanceName, m Message) Message {
	m.From, m.To, m.Incarnation = c.cfg.Self, to, c.incarnation
	if m.Term == 0 {
		m.Term = c.term
	}
	return m
}

func (c *Core) resetTimer() {
	c.timer = c.clock.patient
	c.timeout = c.cfg.Election + c.electionDelay()
	if s := c.set(); s.size() == 1 && s.counts(c.cfg.Self, c.incarnation) {
		c.timeout = 0
	}
}

// electionDelay returns how long this voter waits beyond the election timeout,
// which is less than another one. Each voter has a slot of its own, in the order
// of names, and stands at a random time in its first quarter: where the votes of
// all that are left are needed, two that stand at once both lose.
func (c *Core) electionDelay() time.Duration {
	place, voters := 0, 0
	for _, v := range c.set().voters {
		if v.Learner {
			continue
		}
		voters++
		if v.Name < c.cfg.Self {
			place++
		}
	}
	slot := c.cfg.Election / time.Duration(max(voters, 1))
	return time.Duration(place)*slot + time.Duration(c.rand.Int64N(max(int64(slot/4), 1)))
}

// silent returns how long ago a leader heard each other member.
func (c *Core) silent() map[keel.InstanceName]time.Duration {
	if !c.isLeader() {
		return nil
	}
	ages := make(map[keel.InstanceName]time.Duration, len(c.set().voters))
	for _, v := range c.set().voters {
		if s := c.seen[v.Name]; s != nil {
			ages[v.Name] = c.clock.patient - s.at
		}
	}
	return ages
}

// Status returns the state as of now. Applied is left to the caller.
func (c *Core) Status(now time.Time) Status {
	return Status{
		Silent: c.silent(),
		Self:   c.cfg.Self, Incarnation: c.incarnation,
		Role: string(c.role.State()), Term: c.term, Leader: c.leader,
		Commit: c.commit, Last: c.log.last().index, Snapshot: c.snapshot.at.index,
		Voters:      c.set().voters,
		LeaseValid:  c.isLeader() && now.Before(c.leaseUntil()),
		HandingOver: c.lead.handOver.target != "",
		leaseUntil:  c.leaseUntil(),
	}
}
