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
	simTail      = 50
	// simPadding makes a snapshot of several parts.
	simPadding = 300 << 10
)

var simStart = time.Unix(1_000_000_000, 0)

// step is a place in the work on actions where a voter can die.
type step int

const (
	stepNone step = iota
	stepBeforeEarly
	stepBeforeStore
	stepInStore
	stepBeforeLate
	stepBeforeApply
	stepCount
)

// simVoter is a voter with its disk, clock and state machine.
type simVoter struct {
	name   keel.InstanceName
	core   *keelquorum.Core // nil if it is down
	disk   *keelstore.Memory
	offset time.Duration
	rate   float64
	die    step
	// chain is the hash of all applied commands, index the last applied entry.
	chain, index uint64
	sinceSnap    int
	ops          map[uint64]*op // by index
	reads        []*op
}

// op is a proposal or a read of a client. Times are in virtual milliseconds.
type op struct {
	id, value  uint64
	term       uint64
	start, end int
	read, done bool
}

// sim runs voters on a virtual clock and checks them at every millisecond.
type sim struct {
	t interface {
		Errorf(format string, args ...any)
	}
	rnd    *rand.Rand
	names  []keel.InstanceName
	voters []*simVoter
	now    int                           // virtual milliseconds
	net    map[int][]*keelquorum.Message // by the millisecond of arrival
	cut    map[[2]keel.InstanceName]bool
	delay  map[[2]keel.InstanceName]int // milliseconds
	drop, double, slow, rot,
	propose, read float64 // probabilities
	disks     uint64
	snapEvery int
	nextID    uint64
	ops       []*op
	entries   map[uint64]uint64 // command id by index
	chains    map[uint64]uint64 // chain by index
	terms     map[uint64]uint64 // by index
	last      uint64            // applied by any voter
	leaders   map[uint64]keel.InstanceName
	refused   int
	failed    bool
}

func newSim(t interface {
	Errorf(format string, args ...any)
}, seed uint64, voters int,
) *sim {
	s := &sim{
		t: t, rnd: rand.New(rand.NewPCG(seed, uint64(voters))), cut: map[[2]keel.InstanceName]bool{}, delay: map[[2]keel.InstanceName]int{},
		net: map[int][]*keelquorum.Message{}, propose: 0.2, read: 0.1, snapEvery: 1 << 30,
		entries: map[uint64]uint64{}, chains: map[uint64]uint64{}, terms: map[uint64]uint64{}, leaders: map[uint64]keel.InstanceName{},
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
		v := &simVoter{name: name, disk: keelstore.NewMemoryWith(s.newDisk()), rate: 0.97 + 0.06*s.rnd.Float64()}
		v.offset = time.Duration(s.rnd.IntN(1000)) * time.Hour
		s.voters = append(s.voters, v)
		s.start(v)
	}
	return s
}

func (s *sim) newDisk() uint64 { s.disks++; return s.disks }

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
	v.chain, v.index, v.sinceSnap, v.die = 0, 0, 0, stepNone
	v.ops, v.reads = map[uint64]*op{}, nil
	s.restore(v, &st.Snapshot)
	v.core = keelquorum.NewCore(keelquorum.CoreConfig{
		Self: v.name, Stored: st, Bootstrap: s.names, Now: s.clock(v), Seed: s.rnd.Uint64(),
		Heartbeat: simHeartbeat, Election: simElection, Tail: simTail,
	})
}

func (s *sim) restore(v *simVoter, snap *keel.StoredSnapshot) {
	if snap.Index == 0 {
		return
	}
	v.index, v.chain = snap.Index, binary.LittleEndian.Uint64(snap.Data)
	if s.chains[v.index] != v.chain {
		s.fail("%s restored another state at entry %d", v.name, v.index)
	}
}

func (s *sim) crash(v *simVoter) { v.core = nil }

// lose kills a voter and gives it an empty disk.
func (s *sim) lose(v *simVoter) {
	s.crash(v)
	v.disk.LoseDisk(s.newDisk())
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

// repaired says whether the set in force names every present disk as a voter.
func (s *sim) repaired() bool {
	l := s.leader()
	if l == nil {
		return false
	}
	for _, v := range s.voters {
		st, _ := v.disk.Load()
		m, ok := l.core.Voter(v.name)
		if !ok {
			_ = l.core.AddVoter(s.clock(l), v.name)
		}
		inForce := slices.Contains(l.core.Status(s.clock(l)).Voters, m) // no change of it is under way
		if !ok || !inForce || m.Learner || m.Incarnation != st.Vote.Incarnation {
			return false
		}
	}
	return true
}

// run lets the voters run for some milliseconds.
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
		s.check()
	}
}

func (s *sim) until(limit int, cond func() bool) bool {
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
		if v.core != nil && !s.cut[[2]keel.InstanceName{m.From, m.To}] {
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
			if s.rot > 0 && s.rnd.Float64() < s.rot {
				m.Chunk[0]++
			}
		}
		if fs := m.Check(); len(fs) > 0 {
			s.fail("%s sent a message with faults: %v", m.From, fs)
		}
		copies := 1
		if s.rnd.Float64() < s.double {
			copies = 2
		}
		for range copies {
			delay := s.delay[[2]keel.InstanceName{m.From, m.To}] + s.rnd.IntN(2)
			if s.rnd.Float64() < s.slow {
				delay = s.rnd.IntN(300)
			}
			if s.rnd.Float64() >= s.drop {
				s.net[s.now+delay] = append(s.net[s.now+delay], m)
			}
		}
	}
}

// flush carries out the actions of v, which may die on the way.
func (s *sim) flush(v *simVoter) {
	for {
		a := v.core.Take()
		if a.Empty() {
			return
		}
		for i, work := range []func() bool{
			func() bool { s.send(a.Early); return true },
			func() bool { return s.store(v, &a) },
			func() bool { s.send(a.Late); return true },
			func() bool { s.apply(v, &a); return true },
		} {
			at := [...]step{stepBeforeEarly, stepBeforeStore, stepBeforeLate, stepBeforeApply}[i]
			if v.die == at && s.dieNow(&a, at) || !work() {
				s.crash(v)
				return
			}
		}
	}
}

// dieNow says whether the actions reach the step at which a voter is to die.
func (s *sim) dieNow(a *keelquorum.Actions, at step) bool {
	return at != stepBeforeApply && len(a.Append) > 0 || at == stepBeforeApply && len(a.Apply) > 0
}

func (s *sim) store(v *simVoter, a *keelquorum.Actions) bool {
	s.checkSets(v, a)
	if a.Vote != nil && v.disk.SaveVote(*a.Vote) != nil {
		return false
	}
	if a.Snapshot != nil && v.disk.SaveSnapshot(*a.Snapshot) != nil {
		return false
	}
	if v.die == stepInStore && len(a.Append) > 0 {
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
	if v.sinceSnap >= s.snapEvery {
		v.sinceSnap = 0
		data := make([]byte, simPadding)
		binary.LittleEndian.PutUint64(data, v.chain)
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
	v.index, v.chain = e.Index, v.chain*31+id+e.Index
	v.sinceSnap++
	if known, ok := s.chains[e.Index]; ok && known != v.chain {
		s.fail("%s applied command %d at entry %d, another voter %d", v.name, id, e.Index, s.entries[e.Index])
	}
	s.chains[e.Index], s.entries[e.Index], s.terms[e.Index] = v.chain, id, e.Term
	s.last = max(s.last, e.Index)
	if o := v.ops[e.Index]; o != nil && o.term == e.Term {
		o.value, o.end, o.done = e.Index, s.now, true
	}
}

// client proposes to v and reads from it.
func (s *sim) client(v *simVoter) {
	// Instances that don't lead are asked now and then too.
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
