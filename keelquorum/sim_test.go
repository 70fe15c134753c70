package keelquorum_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelquorum"
	"github.com/greengagekeel/greengagekeel/keelstore"
)

const (
	simHeartbeat = 10 * time.Millisecond
	simElection  = 100 * time.Millisecond
	simTail      = 50 // entries
	// simPadding makes a snapshot large enough for several parts, in bytes.
	simPadding = 300 << 10
)

var simStart = time.Unix(1_000_000_000, 0)

// crashStep is a point in the execution of actions at which a voter can crash.
type crashStep int

const (
	crashNever crashStep = iota
	crashBeforeFirstSend
	crashBeforeStore
	crashDuringStore
	crashBeforeSecondSend
	crashBeforeApply
	crashStepCount
)

// simVoter is a voter with its disk, clock and state machine. offset and rate
// make its clock differ from the virtual one.
type simVoter struct {
	name    keel.InstanceName
	core    *keelquorum.Core // nil if it is down
	disk    *keelstore.Memory
	offset  time.Duration
	rate    float64
	crashAt crashStep
	// stateHash is the hash of all applied commands, index the last applied
	// entry.
	stateHash, index     uint64
	entriesSinceSnapshot int
	ops                  map[uint64]*op // by index
	reads                []*op
}

// op is a proposal or a read of a client. Times are in virtual milliseconds.
type op struct {
	// value is the index of the entry, or the list length that a read returns.
	id, value  uint64
	term       uint64
	start, end int
	read, done bool
}

// sim runs voters on a virtual clock and checks their invariants at every
// millisecond.
type sim struct {
	t interface {
		Errorf(format string, args ...any)
	}
	rnd         *rand.Rand
	names       []keel.InstanceName
	voters      []*simVoter
	now         int                           // virtual milliseconds
	net         map[int][]*keelquorum.Message // by the millisecond of arrival
	partitioned map[[2]keel.InstanceName]bool
	delay       map[[2]keel.InstanceName]int // milliseconds
	drop, duplicate, delayed, corrupt,
	propose, read float64 // probabilities
	diskCount     uint64
	snapshotEvery int
	nextID        uint64
	ops           []*op
	commandIDs    map[uint64]uint64 // command ID by index
	stateHashes   map[uint64]uint64 // state hash by index
	terms         map[uint64]uint64 // by index
	lastApplied   uint64            // applied by any voter
	leaders       map[uint64]keel.InstanceName
	refused       int
	failed        bool
}

func newSim(t interface {
	Errorf(format string, args ...any)
}, seed uint64, voters int,
) *sim {
	s := &sim{
		t: t, rnd: rand.New(rand.NewPCG(seed, uint64(voters))), partitioned: map[[2]keel.InstanceName]bool{}, delay: map[[2]keel.InstanceName]int{},
		net: map[int][]*keelquorum.Message{}, propose: 0.2, read: 0.1, snapshotEvery: 1 << 30,
		commandIDs: map[uint64]uint64{}, stateHashes: map[uint64]uint64{}, terms: map[uint64]uint64{}, leaders: map[uint64]keel.InstanceName{},
	}
	for i := range voters {
		s.names = append(s.names, keel.InstanceName(fmt.Sprintf("v%d", i)))
	}
	for _, from := range s.names {
		for _, to := range s.names {
			s.delay[[2]keel.InstanceName{from, to}] = 1 + s.rnd.IntN(12)
		}
	}
	for _, name := range s.names {
		v := &simVoter{name: name, disk: keelstore.NewMemoryWithIncarnation(s.newIncarnation()), rate: 0.97 + 0.06*s.rnd.Float64()}
		v.offset = time.Duration(s.rnd.IntN(1000)) * time.Hour
		s.voters = append(s.voters, v)
		s.start(v)
	}
	return s
}

func (s *sim) newIncarnation() uint64 { s.diskCount++; return s.diskCount }

func (s *sim) fail(format string, args ...any) {
	s.failed = true
	s.t.Errorf("at %d ms: "+format, append([]any{s.now}, args...)...)
}

func (s *sim) clock(v *simVoter) time.Time {
	return simStart.Add(v.offset + time.Duration(float64(s.now)*v.rate*float64(time.Millisecond)))
}

func (s *sim) start(v *simVoter) {
	v.disk.Reopen()
	st, _ := v.disk.Load()
	v.stateHash, v.index, v.entriesSinceSnapshot, v.crashAt = 0, 0, 0, crashNever
	v.ops, v.reads = map[uint64]*op{}, nil
	s.restore(v, &st.Snapshot)
	v.core = keelquorum.NewCore(keelquorum.CoreConfig{
		Self: v.name, Stored: st, Bootstrap: s.names, Now: s.clock(v), Seed: s.rnd.Uint64(),
		Heartbeat: simHeartbeat, Election: simElection, TailEntries: simTail,
	})
}

func (s *sim) restore(v *simVoter, snap *keel.StoredSnapshot) {
	if snap.Index == 0 {
		return
	}
	v.index, v.stateHash = snap.Index, binary.LittleEndian.Uint64(snap.Data)
	if s.stateHashes[v.index] != v.stateHash {
		s.fail("%s restored a different state at entry %d", v.name, v.index)
	}
}

func (s *sim) crash(v *simVoter) { v.core = nil }

// loseDisk crashes a voter and replaces its disk by an empty one.
func (s *sim) loseDisk(v *simVoter) {
	s.crash(v)
	v.disk.LoseDisk(s.newIncarnation())
}

// leader returns the voter that holds the lease, or nil.
func (s *sim) leader() *simVoter {
	for _, v := range s.voters {
		if v.core != nil && v.core.Status(s.clock(v)).LeaseValid {
			return v
		}
	}
	return nil
}

// allVoting reports whether all instances are voters with the incarnations of
// their current disks and no change is in progress. It adds missing instances.
func (s *sim) allVoting() bool {
	l := s.leader()
	if l == nil {
		return false
	}
	for _, v := range s.voters {
		st, _ := v.disk.Load()
		m, ok := l.core.CommittedVoter(v.name)
		if !ok {
			_ = l.core.AddVoter(s.clock(l), v.name)
		}
		inForce := slices.Contains(l.core.Status(s.clock(l)).Voters, m) // no change is in progress
		if !ok || !inForce || m.Learner || m.Incarnation != st.Vote.Incarnation {
			return false
		}
	}
	return true
}

// run runs the voters for some virtual milliseconds.
func (s *sim) run(ms int) {
	for end := s.now + ms; s.now < end && !s.failed; s.now++ {
		s.deliver()
		for _, v := range s.voters {
			if v.core == nil {
				continue
			}
			if s.now%5 == 0 {
				v.core.Tick(s.clock(v))
			}
			s.client(v)
			s.flush(v)
		}
		s.checkLeaders()
	}
}

// runUntil runs the voters until cond holds, a check fails or the limit of
// milliseconds is reached. It returns false if the limit was reached.
func (s *sim) runUntil(limit int, cond func() bool) bool {
	for range limit {
		if cond() || s.failed {
			return true
		}
		s.run(1)
	}
	return cond()
}

func (s *sim) deliver() {
	for _, m := range s.net[s.now] {
		v := s.voters[slices.Index(s.names, m.To)]
		if v.core != nil && !s.partitioned[[2]keel.InstanceName{m.From, m.To}] {
			v.core.Step(s.clock(v), *m)
		}
	}
	delete(s.net, s.now)
}

func (s *sim) send(ms []keelquorum.Message) {
	for i := range ms {
		m := &ms[i]
		if m.ChunkSize > 0 {
			m.Chunk = make([]byte, m.ChunkSize)
			if err := s.voters[slices.Index(s.names, m.From)].disk.ReadSnapshot(m.Index, m.Offset, m.Chunk); err != nil {
				s.fail("%s: %v", m.From, err)
			}
			if s.corrupt > 0 && s.rnd.Float64() < s.corrupt {
				m.Chunk[0]++
			}
		}
		if fs := m.Check(); len(fs) > 0 {
			s.fail("%s sent an invalid message: %v", m.From, fs)
		}
		copies := 1
		if s.rnd.Float64() < s.duplicate {
			copies = 2
		}
		for range copies {
			delay := s.delay[[2]keel.InstanceName{m.From, m.To}] + s.rnd.IntN(2)
			if s.rnd.Float64() < s.delayed {
				delay = s.rnd.IntN(300)
			}
			if s.rnd.Float64() >= s.drop {
				s.net[s.now+delay] = append(s.net[s.now+delay], m)
			}
		}
	}
}

// flush executes the actions of v, which may crash on the way.
func (s *sim) flush(v *simVoter) {
	for {
		a := v.core.Take()
		if a.Empty() {
			return
		}
		for i, work := range []func() bool{
			func() bool { s.send(a.SendBeforeStore); return true },
			func() bool { return s.store(v, &a) },
			func() bool { s.send(a.SendAfterStore); return true },
			func() bool { s.apply(v, &a); return true },
		} {
			at := [...]crashStep{crashBeforeFirstSend, crashBeforeStore, crashBeforeSecondSend, crashBeforeApply}[i]
			if v.crashAt == at && s.reachesCrash(&a, at) || !work() {
				s.crash(v)
				return
			}
		}
	}
}

// reachesCrash reports whether the actions involve the step at which the voter is
// to crash.
func (s *sim) reachesCrash(a *keelquorum.Actions, at crashStep) bool {
	return at != crashBeforeApply && len(a.Append) > 0 || at == crashBeforeApply && len(a.Apply) > 0
}

func (s *sim) store(v *simVoter, a *keelquorum.Actions) bool {
	s.checkSets(v, a)
	if a.Vote != nil && v.disk.SaveVote(*a.Vote) != nil {
		return false
	}
	if a.Snapshot != nil && v.disk.SaveSnapshot(*a.Snapshot) != nil {
		return false
	}
	if v.crashAt == crashDuringStore && len(a.Append) > 0 {
		v.disk.FailSync(1, s.rnd.IntN(len(a.Append)+1))
	}
	if len(a.Append) > 0 && v.disk.Append(a.Append) != nil {
		return false
	}
	v.core.Stored(s.clock(v))
	return true
}

func (s *sim) apply(v *simVoter, a *keelquorum.Actions) {
	if a.Restore {
		s.restore(v, a.Snapshot)
		v.ops = map[uint64]*op{}
	}
	for i := range a.Apply {
		s.applyEntry(v, &a.Apply[i])
	}
	v.reads = slices.DeleteFunc(v.reads, func(o *op) bool {
		if o.value > v.index {
			return false
		}
		o.value, o.end, o.done = v.index, s.now, true
		return true
	})
	if v.entriesSinceSnapshot >= s.snapshotEvery {
		v.entriesSinceSnapshot = 0
		data := make([]byte, simPadding)
		binary.LittleEndian.PutUint64(data, v.stateHash)
		v.core.Compact(v.index, data)
	}
}

func (s *sim) applyEntry(v *simVoter, e *keel.LogEntry) {
	if e.Index != v.index+1 {
		s.fail("%s applied entry %d after %d", v.name, e.Index, v.index)
	}
	var id uint64
	if e.Type == keel.EntryCommand {
		id = binary.LittleEndian.Uint64(e.Data)
	}
	v.index, v.stateHash = e.Index, v.stateHash*31+id+e.Index
	v.entriesSinceSnapshot++
	if known, ok := s.stateHashes[e.Index]; ok && known != v.stateHash {
		s.fail("%s applied command %d at entry %d, another voter %d", v.name, id, e.Index, s.commandIDs[e.Index])
	}
	s.stateHashes[e.Index], s.commandIDs[e.Index], s.terms[e.Index] = v.stateHash, id, e.Term
	s.lastApplied = max(s.lastApplied, e.Index)
	if o := v.ops[e.Index]; o != nil && o.term == e.Term {
		o.value, o.end, o.done = e.Index, s.now, true
	}
}

// client sends random proposals and reads to v.
func (s *sim) client(v *simVoter) {
	// Instances that are not the leader receive few requests.
	if v.core.Status(s.clock(v)).Role != string(keelquorum.RoleLeader) && s.rnd.Float64() < 0.95 {
		return
	}
	if s.rnd.Float64() < s.propose {
		s.nextID++
		o := &op{id: s.nextID, start: s.now}
		index, term, err := v.core.Propose(s.clock(v), binary.LittleEndian.AppendUint64(nil, o.id))
		if err != nil {
			s.refused++
			return
		}
		o.term = term
		v.ops[index] = o
		s.ops = append(s.ops, o)
	}
	if s.rnd.Float64() < s.read {
		if index, err := v.core.ReadIndex(s.clock(v)); err == nil {
			o := &op{read: true, start: s.now, value: index}
			v.reads = append(v.reads, o)
			s.ops = append(s.ops, o)
		}
	}
}
