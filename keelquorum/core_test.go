package keelquorum_test

import (
	"testing"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelquorum"

	"github.com/matryer/is"
)

// boundSet names the voters a, b and c with the disks 1, 2 and 3.
var boundSet = []keel.Voter{{Name: "a", Incarnation: 1}, {Name: "b", Incarnation: 2}, {Name: "c", Incarnation: 3}}

// bench drives one core, that of a.
type bench struct {
	*keelquorum.Core
	now time.Time
}

// newBench returns a follower of term 1 whose log has the set and n commands.
func newBench(voters []keel.Voter, n uint64) *bench {
	st := keel.StoredState{Vote: keel.StoredVote{Term: 1, Incarnation: 1}}
	for i := range n + 1 {
		st.Entries = append(st.Entries, keel.LogEntry{Index: i + 1, Term: 1, Type: keel.EntryCommand})
	}
	st.Entries[0].Type, st.Entries[0].Voters = keel.EntryVoters, voters
	b := &bench{now: simStart}
	b.Core = keelquorum.NewCore(keelquorum.CoreConfig{Self: "a", Stored: st, Now: b.now, Heartbeat: simHeartbeat, Election: simElection})
	return b
}

// wait lets time pass in small steps and drops what is sent.
func (b *bench) wait(d time.Duration) {
	b.serve(int(d/simHeartbeat), func(keelquorum.Message) {})
}

// flush takes all actions as carried out and returns what was sent.
func (b *bench) flush() (sent []keelquorum.Message) {
	for {
		a := b.Take()
		if a.Empty() {
			return sent
		}
		b.Stored(b.now)
		sent = append(append(sent, a.Early...), a.Late...)
	}
}

// step gives the core a message of b and returns the first answer.
func (b *bench) step(m keelquorum.Message) keelquorum.Message {
	if m.From == "" {
		m.From, m.Incarnation = "b", 2
	}
	b.Step(b.now, m)
	sent := b.flush()
	if len(sent) == 0 {
		return keelquorum.Message{}
	}
	return sent[0]
}

// serve lets heartbeats pass and gives answer each message that is sent.
func (b *bench) serve(heartbeats int, answer func(m keelquorum.Message)) {
	for range heartbeats {
		b.now = b.now.Add(simHeartbeat)
		b.Tick(b.now)
		for _, m := range b.flush() {
			answer(m)
		}
	}
}

// elect makes the core the leader with a lease.
func (b *bench) elect() { b.serve(40, b.answer) }

// answer answers a message as b would.
func (b *bench) answer(m keelquorum.Message) {
	if m.To != "b" {
		return
	}
	answer := keelquorum.Message{From: "b", Incarnation: 2, Type: m.Type + 1, Term: m.Term, Round: m.Round, Index: m.Index + uint64(len(m.Entries))}
	b.Step(b.now, answer)
}

func vote(term uint64) keelquorum.Message {
	return keelquorum.Message{Type: keelquorum.MessageVote, Term: term, Index: 100, LogTerm: term - 1}
}

func heartbeat(term, index, logTerm uint64) keelquorum.Message {
	return keelquorum.Message{Type: keelquorum.MessageAppend, Term: term, Index: index, LogTerm: logTerm}
}

func TestVoteRules(t *testing.T) {
	handOver := vote(5)
	handOver.HandOver = true
	short := vote(5)
	short.Index, short.LogTerm = 1, 1
	lost := []keel.Voter{{Name: "a", Incarnation: 9}, boundSet[1], boundSet[2]}
	tests := []struct {
		name    string
		voters  []keel.Voter
		before  func(b *bench)
		m       keelquorum.Message
		granted bool
	}{
		{"after the timeout", boundSet, func(b *bench) { b.wait(simElection) }, vote(5), true},
		{"right after the start", boundSet, func(*bench) {}, vote(5), false},
		{"leader heard", boundSet, func(b *bench) { b.wait(simElection); b.step(heartbeat(4, 0, 0)) }, vote(5), false},
		{"leader heard, it hands over", boundSet, func(b *bench) { b.wait(simElection); b.step(heartbeat(4, 0, 0)) }, handOver, true},
		{"leader heard, then the clock jumped", boundSet, func(b *bench) { b.step(heartbeat(4, 0, 0)); b.now = b.now.Add(time.Hour); b.Tick(b.now) }, vote(5), false},
		{"voted for another one", boundSet, func(b *bench) {
			b.wait(simElection)
			m := vote(5)
			m.From, m.Incarnation = "c", 3
			b.step(m)
		}, vote(5), false},
		{"voted for the same one", boundSet, func(b *bench) { b.wait(simElection); b.step(vote(5)) }, vote(5), true},
		{"log holds less", boundSet, func(b *bench) { b.wait(simElection) }, short, false},
		{"own disk was replaced", lost, func(b *bench) { b.wait(simElection) }, vote(5), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(tt.voters, 4)
			tt.before(b)
			b.flush()
			got := b.step(tt.m)
			is.New(t).Equal(got.Type == keelquorum.MessageVoteAnswer && !got.Reject, tt.granted)
		})
	}
}

// A vote is on the disk before its answer leaves, also in a term that is known.
func TestVoteIsStored(t *testing.T) {
	is := is.New(t)
	b := newBench(boundSet, 4)
	b.wait(2 * simElection)
	short := vote(7)
	short.Index, short.LogTerm = 1, 1
	b.step(short)
	m := vote(7)
	m.From, m.Incarnation = "c", 3
	b.Step(b.now, m)
	a := b.Take()
	is.Equal(len(a.Early), 0)
	is.Equal(*a.Vote, keel.StoredVote{Term: 7, For: "c", Incarnation: 1})
}

func TestLeaseRules(t *testing.T) {
	tests := []struct {
		name  string
		after func(b *bench)
		valid bool
	}{
		{"held", func(*bench) {}, true},
		{"clock went back", func(b *bench) { b.now = b.now.Add(-time.Second); b.Tick(b.now) }, false},
		{"clock went back, old answer arrives", func(b *bench) {
			b.now = b.now.Add(simHeartbeat)
			b.Tick(b.now)
			sent := b.flush()
			b.now = b.now.Add(-simHeartbeat / 2)
			b.Tick(b.now)
			for _, m := range sent {
				b.answer(m)
			}
		}, false},
		{"process was stopped", func(b *bench) { b.now = b.now.Add(simElection) }, false},
		{"handing over", func(b *bench) { b.HandOver(b.now) }, false},
		{"handing over, still answered", func(b *bench) { b.HandOver(b.now); b.Tick(b.now.Add(simHeartbeat)); b.flush() }, false},
		{"answers of another disk", func(b *bench) {
			b.serve(8, func(m keelquorum.Message) {
				b.Step(b.now, keelquorum.Message{From: "b", Incarnation: 8, Type: keelquorum.MessageAppendAnswer, Term: m.Term, Round: m.Round, Index: m.Index})
			})
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(boundSet, 4)
			b.elect()
			is.True(b.Status(b.now).LeaseValid) // elected
			tt.after(b)
			is.Equal(b.Status(b.now).LeaseValid, tt.valid)
			_, _, err := b.Propose(b.now, nil)
			is.Equal(err == nil, tt.valid) // a leader without a lease accepts nothing
		})
	}
}

// A follower confirms no entry that the leader did not send or name.
func TestFollowerConfirms(t *testing.T) {
	tests := []struct {
		name   string
		m      keelquorum.Message
		reject bool
		index  uint64
	}{
		{"heartbeat inside the log", heartbeat(2, 3, 1), false, 3},
		{"heartbeat at the end", heartbeat(2, 5, 1), false, 5},
		{"entry before is missing", heartbeat(2, 6, 1), true, 6},
		{"entry before differs", heartbeat(3, 4, 2), true, 4},
		{"term is over", heartbeat(0, 3, 1), true, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(boundSet, 4)
			got := b.step(tt.m)
			is.Equal(got.Reject, tt.reject)
			is.Equal(got.Index, tt.index)
		})
	}
}

// An entry of an earlier term is committed only with one of the leader's term,
// even if a majority holds it.
func TestEarlierTermIsNotCounted(t *testing.T) {
	is := is.New(t)
	b := newBench(boundSet, 4)
	for b.Status(b.now).Role != string(keelquorum.RoleLeader) {
		b.serve(1, b.answer)
	}
	term := b.Status(b.now).Term
	confirm := keelquorum.Message{From: "b", Incarnation: 2, Type: keelquorum.MessageAppendAnswer, Term: term, Index: 5}
	b.step(confirm)
	is.Equal(b.Status(b.now).Commit, uint64(0))
	confirm.Index = 6
	b.step(confirm)
	is.Equal(b.Status(b.now).Commit, uint64(6))
}

// Votes count only from the disks that the voter set names.
func TestVotesOfOtherDisks(t *testing.T) {
	for _, tt := range []struct {
		disk uint64
		role string
	}{{2, "leader"}, {8, "pre_candidate"}} {
		b := newBench(boundSet, 4)
		b.serve(40, func(m keelquorum.Message) {
			b.Step(b.now, keelquorum.Message{From: m.To, Incarnation: tt.disk, Type: m.Type + 1, Term: m.Term})
		})
		is.New(t).Equal(b.Status(b.now).Role, tt.role)
	}
}

// A leader does not count an entry that is not on its own disk.
func TestLeaderStoresFirst(t *testing.T) {
	is := is.New(t)
	b := newBench(boundSet, 4)
	b.elect()
	before := b.Status(b.now).Commit
	index, term, err := b.Propose(b.now, nil)
	is.NoErr(err)
	is.True(len(b.Take().Early) > 0)
	b.Step(b.now, keelquorum.Message{From: "b", Incarnation: 2, Type: keelquorum.MessageAppendAnswer, Term: term, Index: index})
	is.Equal(b.Status(b.now).Commit, before)
	b.Stored(b.now)
	is.Equal(b.Status(b.now).Commit, index)
}

// A leader whose storage failed names a successor and has no lease any more.
func TestAbdicate(t *testing.T) {
	is := is.New(t)
	b := newBench(boundSet, 4)
	b.elect()
	m, ok := b.Abdicate(b.now)
	is.True(ok)
	is.Equal(m.Type, keelquorum.MessageCampaign)
	is.Equal(m.To, keel.InstanceName("b"))
	is.True(!b.Status(b.now).LeaseValid)
}

// A voter set is out of force when its entry is dropped from the log.
func TestDroppedVoterSet(t *testing.T) {
	is := is.New(t)
	b := newBench(boundSet, 4)
	m := heartbeat(2, 5, 1)
	m.Entries = []keel.LogEntry{{Index: 6, Term: 2, Type: keel.EntryVoters, Voters: boundSet[:2]}}
	b.step(m)
	is.Equal(len(b.Status(b.now).Voters), 2)
	m = heartbeat(3, 5, 1)
	m.Entries = []keel.LogEntry{{Index: 6, Term: 3}}
	b.step(m)
	is.Equal(b.Status(b.now).Voters, boundSet)
}

// A single voter applies nothing that is not on its disk.
func TestSingleVoterStoresFirst(t *testing.T) {
	is := is.New(t)
	b := newBench(boundSet[:1], 0)
	b.wait(simHeartbeat)
	index, _, err := b.Propose(b.now, nil)
	is.NoErr(err)
	a := b.Take()
	is.Equal(a.Append[0].Index, index)
	is.Equal(len(a.Apply), 0)
	b.Stored(b.now)
	a = b.Take()
	is.Equal(a.Apply[0].Index, index)
}

// As long as not every voter of the first start was heard, none leads.
func TestFirstStartNeedsAll(t *testing.T) {
	s := newSim(t, 1, 3)
	s.crash(s.voters[2])
	s.run(1000)
	is.New(t).Equal(s.leader(), nil)
	s.finish()
}
