package keelquorum_test

import (
	"flag"
	"testing"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelquorum"

	"pgregory.net/rapid"
)

// The property test draws the same schedules in each run, unless the command
// line names another seed.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// Any schedule of faults leaves a history that is linearizable and voters that
// agree.
func TestAnySchedule(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim(rt, rapid.Uint64().Draw(rt, "seed"), rapid.SampledFrom([]int{1, 3, 5}).Draw(rt, "voters"))
		s.snapEvery = rapid.IntRange(20, 200).Draw(rt, "snapshot every")
		s.until(3000, s.repaired)
		pick := func(rt *rapid.T) *simVoter { return rapid.SampledFrom(s.voters).Draw(rt, "voter") }
		rt.Repeat(map[string]func(*rapid.T){
			"":    func(rt *rapid.T) { s.run(rapid.IntRange(1, 80).Draw(rt, "ms")) },
			"cut": func(rt *rapid.T) { s.cut[[2]keel.InstanceName{pick(rt).name, pick(rt).name}] = true },
			"heal": func(*rapid.T) {
				clear(s.cut)
				s.drop, s.double, s.slow = 0, 0, 0
			},
			"disturb": func(rt *rapid.T) {
				s.drop = rapid.Float64Range(0, 0.2).Draw(rt, "drop")
				s.double = rapid.Float64Range(0, 0.2).Draw(rt, "double")
				s.slow = rapid.Float64Range(0, 0.2).Draw(rt, "slow")
			},
			"crash": func(rt *rapid.T) { pick(rt).die = step(rapid.IntRange(1, int(stepCount)-1).Draw(rt, "step")) },
			"start": func(rt *rapid.T) {
				if v := pick(rt); v.core == nil {
					s.start(v)
				}
			},
			"lose": func(rt *rapid.T) {
				if s.repaired() && len(s.voters) > 1 {
					s.lose(pick(rt))
				}
			},
			"jump": func(rt *rapid.T) {
				pick(rt).offset += time.Duration(rapid.IntRange(-3000, 3000).Draw(rt, "ms")) * time.Millisecond
			},
			"hand over": func(*rapid.T) {
				if l := s.leader(); l != nil {
					l.core.HandOver(s.clock(l))
				}
			},
			"change": func(rt *rapid.T) {
				if l := s.leader(); l != nil && s.repaired() {
					_ = l.core.RemoveVoter(s.clock(l), pick(rt).name)
				}
			},
		})
		s.finish()
		if s.failed {
			rt.Fatal("see above")
		}
	})
}

// Messages from outside change no more than a well-formed voter may.
func FuzzMessage(f *testing.F) {
	for _, m := range []keelquorum.Message{
		vote(5), heartbeat(3, 2, 1),
		{Type: keelquorum.MessageSnapshot, Term: 2, Index: 9, LogTerm: 2, Voters: boundSet, Total: 1, Chunk: []byte{1}},
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
		b := newBench(boundSet, 4)
		if leads {
			b.elect()
		}
		before := b.Status(b.now)
		m.From = "b"
		b.Step(b.now, m)
		b.flush()
		b.wait(simHeartbeat)
		if after := b.Status(b.now); after.Term < before.Term || after.Commit < before.Commit || after.Commit > after.Last {
			t.Fatalf("%+v led from %+v to %+v", m, before, after)
		}
	})
}
