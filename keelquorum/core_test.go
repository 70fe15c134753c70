package keelquorum_test

import (
	"testing"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelquorum"

	"github.com/matryer/is"
)

// knownVoters is a voter set of a, b and c with the incarnations 1, 2 and 3.
var knownVoters = []keel.Voter{{Name: "a", Incarnation: 1}, {Name: "b", Incarnation: 2}, {Name: "c", Incarnation: 3}}

// coreHarness drives the core of voter a. The tests send the messages of the
// other voters.
type coreHarness struct {
	*keelquorum.Core
	now time.Time
}

// newCoreHarness returns a follower in term 1 whose log holds the voter set and n
// commands.
func newCoreHarness(voters []keel.Voter, n uint64) *coreHarness {
	st := keel.StoredState{Vote: keel.StoredVote{Term: 1, Incarnation: 1}}
	for i := range n + 1 {
		st.Entries = append(st.Entries, keel.LogEntry{Index: i + 1, Term: 1, Type: keel.EntryCommand})
	}
	st.Entries[0].Type, st.Entries[0].Voters = keel.EntryVoters, voters
	b := &coreHarness{now: simStart}
	b.Core = keelquorum.NewCore(keelquorum.CoreConfig{Self: "a", Stored: st, Now: b.now, Heartbeat: simHeartbeat, Election: simElection})
	return b
}

// elapse advances the time in steps of a heartbeat and discards the messages
// sent.
func (b *coreHarness) elapse(d time.Duration) {
	b.runHeartbeats(int(d/simHeartbeat), func(keelquorum.Message) {})
}

// flush marks all actions as executed and returns the messages sent.
func (b *coreHarness) flush() (sent []keelquorum.Message) {
	for {
		a := b.Take()
		if a.Empty() {
			return sent
		}
		b.Stored(b.now)
		sent = append(append(sent, a.SendBeforeStore...), a.SendAfterStore...)
	}
}

// step passes a message to the core, by default from voter b, and returns the
// first message sent.
func (b *coreHarness) step(m keelquorum.Message) keelquorum.Message {
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

// runHeartbeats advances the time by some heartbeats and calls answer with each
// message sent.
func (b *coreHarness) runHeartbeats(heartbeats int, answer func(m keelquorum.Message)) {
	for range heartbeats {
		b.now = b.now.Add(simHeartbeat)
		b.Tick(b.now)
		for _, m := range b.flush() {
			answer(m)
		}
	}
}

// elect makes the core the leader with a valid lease.
func (b *coreHarness) elect() { b.runHeartbeats(40, b.answerAsB) }

// answerAsB passes the core an approving answer of voter b to a message for it.
func (b *coreHarness) answerAsB(m keelquorum.Message) {
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

// A vote is granted only without an active leader, once per term, to an
// up-to-date candidate, and only by a disk in the voter set.
func TestVoteRules(t *testing.T) {
	handOver := vote(5)
	handOver.HandOver = true
	shortLog := vote(5)
	shortLog.Index, shortLog.LogTerm = 1, 1
	replaced := []keel.Voter{{Name: "a", Incarnation: 9}, knownVoters[1], knownVoters[2]}
	tests := []struct {
		name    string
		voters  []keel.Voter
		before  func(b *coreHarness)
		m       keelquorum.Message
		granted bool
	}{
		{"after the timeout", knownVoters, func(b *coreHarness) { b.elapse(simElection) }, vote(5), true},
		{"right after the start", knownVoters, func(*coreHarness) {}, vote(5), false},
		{"leader active", knownVoters, func(b *coreHarness) { b.elapse(simElection); b.step(heartbeat(4, 0, 0)) }, vote(5), false},
		{"leader active, it hands over", knownVoters, func(b *coreHarness) { b.elapse(simElection); b.step(heartbeat(4, 0, 0)) }, handOver, true},
		{"leader active, then the clock jumped", knownVoters, func(b *coreHarness) { b.step(heartbeat(4, 0, 0)); b.now = b.now.Add(time.Hour); b.Tick(b.now) }, vote(5), false},
		{"voted for another one", knownVoters, func(b *coreHarness) {
			b.elapse(simElection)
			m := vote(5)
			m.From, m.Incarnation = "c", 3
			b.step(m)
		}, vote(5), false},
		{"voted for the same one", knownVoters, func(b *coreHarness) { b.elapse(simElection); b.step(vote(5)) }, vote(5), true},
		{"log less up to date", knownVoters, func(b *coreHarness) { b.elapse(simElection) }, shortLog, false},
		{"own disk was replaced", replaced, func(b *coreHarness) { b.elapse(simElection) }, vote(5), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newCoreHarness(tt.voters, 4)
			tt.before(b)
			b.flush()
			got := b.step(tt.m)
			is.New(t).Equal(got.Type == keelquorum.MessageVoteAnswer && !got.Reject, tt.granted)
		})
	}
}

// A vote is stored before its answer is sent, even if the term was already known.
func TestVoteIsStored(t *testing.T) {
	is := is.New(t)
	b := newCoreHarness(knownVoters, 4)
	b.elapse(2 * simElection)
	shortLog := vote(7)
	shortLog.Index, shortLog.LogTerm = 1, 1
	b.step(shortLog)
	m := vote(7)
	m.From, m.Incarnation = "c", 3
	b.Step(b.now, m)
	a := b.Take()
	is.Equal(len(a.SendBeforeStore), 0)
	is.Equal(*a.Vote, keel.StoredVote{Term: 7, For: "c", Incarnation: 1})
}

// The lease ends when the clock goes back, the process is suspended, the leader
// hands over or a quorum stops answering.
func TestLeaseRules(t *testing.T) {
	tests := []struct {
		name  string
		after func(b *coreHarness)
		valid bool
	}{
		{"held", func(*coreHarness) {}, true},
		{"clock went back", func(b *coreHarness) { b.now = b.now.Add(-time.Second); b.Tick(b.now) }, false},
		{"clock went back, old answer arrives", func(b *coreHarness) {
			b.now = b.now.Add(simHeartbeat)
			b.Tick(b.now)
			sent := b.flush()
			b.now = b.now.Add(-simHeartbeat / 2)
			b.Tick(b.now)
			for _, m := range sent {
				b.answerAsB(m)
			}
		}, false},
		{"process was suspended", func(b *coreHarness) { b.now = b.now.Add(simElection) }, false},
		{"handing over", func(b *coreHarness) { b.HandOver(b.now) }, false},
		{"handing over, heartbeats answered", func(b *coreHarness) { b.HandOver(b.now); b.Tick(b.now.Add(simHeartbeat)); b.flush() }, false},
		{"answers of another disk", func(b *coreHarness) {
			b.runHeartbeats(8, func(m keelquorum.Message) {
				b.Step(b.now, keelquorum.Message{From: "b", Incarnation: 8, Type: keelquorum.MessageAppendAnswer, Term: m.Term, Round: m.Round, Index: m.Index})
			})
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := newCoreHarness(knownVoters, 4)
			b.elect()
			is.True(b.Status(b.now).LeaseValid) // elected
			tt.after(b)
			is.Equal(b.Status(b.now).LeaseValid, tt.valid)
			_, _, err := b.Propose(b.now, nil)
			is.Equal(err == nil, tt.valid) // a leader without a lease accepts nothing
		})
	}
}

// A follower confirms its log only up to the last entry that the leader sent or
// referred to.
func TestFollowerAnswer(t *testing.T) {
	tests := []struct {
		name   string
		m      keelquorum.Message
		reject bool
		index  uint64
	}{
		{"heartbeat inside the log", heartbeat(2, 3, 1), false, 3},
		{"heartbeat at the end", heartbeat(2, 5, 1), false, 5},
		{"previous entry missing", heartbeat(2, 6, 1), true, 6},
		{"previous entry differs", heartbeat(3, 4, 2), true, 4},
		{"term is over", heartbeat(0, 3, 1), true, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := newCoreHarness(knownVoters, 4)
			got := b.step(tt.m)
			is.Equal(got.Reject, tt.reject)
			is.Equal(got.Index, tt.index)
		})
	}
}

// An entry of an earlier term that a majority holds is committed only together
// with an entry of the leader's term.
func TestEarlierTermNotCommittedAlone(t *testing.T) {
	is := is.New(t)
	b := newCoreHarness(knownVoters, 4)
	for b.Status(b.now).Role != string(keelquorum.RoleLeader) {
		b.runHeartbeats(1, b.answerAsB)
	}
	term := b.Status(b.now).Term
	confirm := keelquorum.Message{From: "b", Incarnation: 2, Type: keelquorum.MessageAppendAnswer, Term: term, Index: 5}
	b.step(confirm)
	is.Equal(b.Status(b.now).Commit, uint64(0))
	confirm.Index = 6
	b.step(confirm)
	is.Equal(b.Status(b.now).Commit, uint64(6))
}

// Votes count only from the incarnations in the voter set.
func TestVotesFromUnknownIncarnation(t *testing.T) {
	for _, tt := range []struct {
		disk uint64
		role string
	}{{2, "leader"}, {8, "pre_candidate"}} {
		b := newCoreHarness(knownVoters, 4)
		b.runHeartbeats(40, func(m keelquorum.Message) {
			b.Step(b.now, keelquorum.Message{From: m.To, Incarnation: tt.disk, Type: m.Type + 1, Term: m.Term})
		})
		is.New(t).Equal(b.Status(b.now).Role, tt.role)
	}
}

// A leader counts itself for an entry only once the entry is on its own disk.
func TestLeaderStoresFirst(t *testing.T) {
	is := is.New(t)
	b := newCoreHarness(knownVoters, 4)
	b.elect()
	before := b.Status(b.now).Commit
	index, term, err := b.Propose(b.now, nil)
	is.NoErr(err)
	is.True(len(b.Take().SendBeforeStore) > 0)
	b.Step(b.now, keelquorum.Message{From: "b", Incarnation: 2, Type: keelquorum.MessageAppendAnswer, Term: term, Index: index})
	is.Equal(b.Status(b.now).Commit, before)
	b.Stored(b.now)
	is.Equal(b.Status(b.now).Commit, index)
}

// A leader that resigns after a storage failure asks a successor to start an
// election and loses its lease.
func TestResign(t *testing.T) {
	is := is.New(t)
	b := newCoreHarness(knownVoters, 4)
	b.elect()
	m, ok := b.Resign(b.now)
	is.True(ok)
	is.Equal(m.Type, keelquorum.MessageCampaign)
	is.Equal(m.To, keel.InstanceName("b"))
	is.True(!b.Status(b.now).LeaseValid)
}

// When the entry of a voter set is dropped from the log, the previous set is in
// force again.
func TestDroppedVoterSet(t *testing.T) {
	is := is.New(t)
	b := newCoreHarness(knownVoters, 4)
	m := heartbeat(2, 5, 1)
	m.Entries = []keel.LogEntry{{Index: 6, Term: 2, Type: keel.EntryVoters, Voters: knownVoters[:2]}}
	b.step(m)
	is.Equal(len(b.Status(b.now).Voters), 2)
	m = heartbeat(3, 5, 1)
	m.Entries = []keel.LogEntry{{Index: 6, Term: 3}}
	b.step(m)
	is.Equal(b.Status(b.now).Voters, knownVoters)
}

// A single voter applies an entry only once the entry is on its disk.
func TestSingleVoterStoresFirst(t *testing.T) {
	is := is.New(t)
	b := newCoreHarness(knownVoters[:1], 0)
	b.elapse(simHeartbeat)
	index, _, err := b.Propose(b.now, nil)
	is.NoErr(err)
	a := b.Take()
	is.Equal(a.Append[0].Index, index)
	is.Equal(len(a.Apply), 0)
	b.Stored(b.now)
	a = b.Take()
	is.Equal(a.Apply[0].Index, index)
}

// At the first start no leader is elected until every bootstrap voter is up.
func TestBootstrapNeedsAllVoters(t *testing.T) {
	s := newSim(t, 1, 3)
	s.crash(s.voters[2])
	s.run(1000)
	is.New(t).Equal(s.leader(), nil)
	s.recoverAndCheck()
}
