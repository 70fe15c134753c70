package keelquorum_test

import (
	"flag"
	"testing"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelquorum"

	"pgregory.net/rapid"
)

// The schedules of the property test are the same in each run unless the command
// line sets another seed.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// Under any schedule of faults the history is linearizable and the voters
// converge.
func TestAnySchedule(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim(rt, rapid.Uint64().Draw(rt, "seed"), rapid.SampledFrom([]int{1, 3, 5}).Draw(rt, "voters"))
		s.snapshotEvery = rapid.IntRange(20, 200).Draw(rt, "snapshot every")
		s.runUntil(3000, s.allVoting)
		randomVoter := func(rt *rapid.T) *simVoter { return rapid.SampledFrom(s.voters).Draw(rt, "voter") }
		rt.Repeat(map[string]func(*rapid.T){
			"": func(rt *rapid.T) { s.run(rapid.IntRange(1, 80).Draw(rt, "ms")) },
			"cut": func(rt *rapid.T) {
				s.partitioned[[2]keel.InstanceName{randomVoter(rt).name, randomVoter(rt).name}] = true
			},
			"heal": func(*rapid.T) {
				clear(s.partitioned)
				s.drop, s.duplicate, s.delayed = 0, 0, 0
			},
			"disturb": func(rt *rapid.T) {
				s.drop = rapid.Float64Range(0, 0.2).Draw(rt, "drop")
				s.duplicate = rapid.Float64Range(0, 0.2).Draw(rt, "double")
				s.delayed = rapid.Float64Range(0, 0.2).Draw(rt, "slow")
			},
			"crash": func(rt *rapid.T) {
				randomVoter(rt).crashAt = crashStep(rapid.IntRange(1, int(crashStepCount)-1).Draw(rt, "step"))
			},
			"start": func(rt *rapid.T) {
				if v := randomVoter(rt); v.core == nil {
					s.start(v)
				}
			},
			"lose": func(rt *rapid.T) {
				if s.allVoting() && len(s.voters) > 1 {
					s.loseDisk(randomVoter(rt))
				}
			},
			"jump": func(rt *rapid.T) {
				randomVoter(rt).offset += time.Duration(rapid.IntRange(-3000, 3000).Draw(rt, "ms")) * time.Millisecond
			},
			"hand over": func(*rapid.T) {
				if l := s.leader(); l != nil {
					l.core.HandOver(s.clock(l))
				}
			},
			"change": func(rt *rapid.T) {
				if l := s.leader(); l != nil && s.allVoting() {
					_ = l.core.RemoveVoter(s.clock(l), randomVoter(rt).name)
				}
			},
		})
		s.recoverAndCheck()
		if s.failed {
			rt.Fatal("the schedule violates an invariant, see the errors above")
		}
	})
}

// An arbitrary message never decreases the term or the commit index, and never
// advances the commit index beyond the log.
func FuzzMessage(f *testing.F) {
	for _, m := range []keelquorum.Message{
		vote(5), heartbeat(3, 2, 1),
		{Type: keelquorum.MessageSnapshot, Term: 2, Index: 9, LogTerm: 2, Voters: knownVoters, Total: 1, Chunk: []byte{1}},
		{Type: keelquorum.MessageAppend, Term: 2, Index: 5, LogTerm: 1, Commit: 6, Entries: []keel.LogEntry{{Index: 6, Term: 2, Data: []byte{1}}}},
	} {
		m.Incarnation = 2
		b, err := keel.EncodeCBOR(&m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b, false)
		f.Add(b, true)
	}
	f.Fuzz(func(t *testing.T, body []byte, leads bool) {
		var m keelquorum.Message
		if keel.DecodeCBOR(body, &m) != nil {
			return
		}
		b := newCoreHarness(knownVoters, 4)
		if leads {
			b.elect()
		}
		before := b.Status(b.now)
		m.From = "b"
		b.Step(b.now, m)
		b.flush()
		b.elapse(simHeartbeat)
		if after := b.Status(b.now); after.Term < before.Term || after.Commit < before.Commit || after.Commit > after.Last {
			t.Fatalf("%+v led from %+v to %+v", m, before, after)
		}
	})
}
