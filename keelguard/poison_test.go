package keelguard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelguard"
)

var guardStart = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

const guardRetention = 10 * time.Minute

func newDetector(self keel.InstanceName) *keelguard.PoisonDetector {
	return keelguard.NewPoisonDetector(keelguard.PoisonConfig{
		Self: self, Started: guardStart.Add(-time.Hour), MaxEntries: 100, Retention: guardRetention, PermitTime: time.Minute,
	})
}

func endpoint(n int) keel.EndpointID {
	return keel.EndpointID{Service: "scores", Name: keel.EndpointName(fmt.Sprintf("s%d", n))}
}

// step is one call on a detector. r runs request fp at endpoint e until it is
// answered, c crashes endpoint e with request fp in flight, b breaks the
// connection of an endpoint that works. s dispatches request fp to endpoint e,
// e answers it, a abandons it and d breaks its connection. k confirms the crash
// of endpoint e, l lifts request fp, w waits for fp minutes.
type step struct {
	do string
	fp keelguard.ID
	e  int
}

func apply(p *keelguard.PoisonDetector, now time.Time, steps []step) time.Time {
	for _, s := range steps {
		at := endpoint(s.e)
		switch s.do {
		case "s":
			p.Dispatched(now, s.fp, at)
		case "a":
			p.Abandoned(now, s.fp, at)
		case "r":
			p.Dispatched(now, s.fp, at)
			p.Answered(s.fp, at)
		case "c", "b":
			p.Dispatched(now, s.fp, at)
			p.ConnectionBroke(now, s.fp, at)
			p.Probed(now, at, s.do == "b")
		case "e":
			p.Answered(s.fp, at)
		case "d":
			p.ConnectionBroke(now, s.fp, at)
		case "k":
			p.Probed(now, at, false)
		case "l":
			p.ClearBefore(now, s.fp)
		case "w":
			now = now.Add(time.Duration(s.fp) * time.Minute)
			p.Expire(now)
		}
	}
	return now
}

func TestPoison(t *testing.T) {
	const free, suspect, refused = "free", "suspect", "refused"
	tests := []struct {
		name  string
		steps []step
		want  string
		avoid int
	}{
		{"no evidence", nil, free, 0},
		{"answered", []step{{"r", 1, 1}}, free, 0},
		{"one crash", []step{{"c", 1, 1}}, suspect, 1},
		{"two crashes", []step{{"c", 1, 1}, {"c", 1, 2}}, refused, 0},
		{"connection broke, endpoint works", []step{{"b", 1, 1}, {"b", 1, 2}}, free, 0},
		{"one crash, then answered", []step{{"c", 1, 1}, {"r", 1, 2}}, free, 0},
		{"one crash, answered, another crash", []step{{"c", 1, 1}, {"r", 1, 2}, {"c", 1, 3}}, suspect, 1},
		{"one crash, abandoned elsewhere", []step{{"c", 1, 1}, {"s", 1, 2}, {"a", 1, 2}}, suspect, 1},
		{"refused, then a copy elsewhere answered", []step{{"s", 1, 3}, {"c", 1, 1}, {"c", 1, 2}, {"e", 1, 3}}, free, 0},
		{"refused, then a copy elsewhere abandoned", []step{{"s", 1, 3}, {"c", 1, 1}, {"c", 1, 2}, {"a", 1, 3}}, refused, 0},
		{"refused, then a copy elsewhere crashes", []step{{"s", 1, 3}, {"c", 1, 1}, {"c", 1, 2}, {"d", 1, 3}, {"k", 0, 3}}, refused, 0},
		{"refused, then another request answered", []step{{"s", 2, 3}, {"c", 1, 1}, {"c", 1, 2}, {"e", 2, 3}}, refused, 0},
		{"copy answered, two crash again", []step{{"s", 1, 3}, {"c", 1, 1}, {"c", 1, 2}, {"e", 1, 3}, {"c", 1, 1}, {"c", 1, 2}}, refused, 0},
		{"two crashes, one expired", []step{{"c", 1, 1}, {"w", 11, 0}, {"c", 1, 2}}, suspect, 1},
		{"refused, expired", []step{{"c", 1, 1}, {"c", 1, 2}, {"w", 11, 0}}, free, 0},
		{"refused, lifted", []step{{"c", 1, 1}, {"c", 1, 2}, {"l", 1, 0}}, free, 0},
		{"lifted, crashes again", []step{{"c", 1, 1}, {"c", 1, 2}, {"l", 1, 0}, {"w", 1, 0}, {"c", 1, 1}}, suspect, 1},
		{"two copies in one crash", []step{{"s", 1, 1}, {"s", 1, 1}, {"d", 1, 1}, {"d", 1, 1}, {"k", 0, 1}}, suspect, 1},
		{"another suspect runs elsewhere", []step{{"c", 1, 1}, {"c", 2, 2}, {"s", 2, 3}}, suspect, 2},
		{"in flight with another that crashed two", []step{
			{"s", 1, 1}, {"s", 2, 1}, {"d", 1, 1}, {"d", 2, 1}, {"k", 0, 1}, {"c", 2, 2},
		}, suspect, 1},
		{"in flight with another, crashed one more", []step{
			{"s", 1, 1}, {"s", 2, 1}, {"d", 1, 1}, {"d", 2, 1}, {"k", 0, 1}, {"c", 1, 3}, {"c", 2, 2},
		}, refused, 0},
		{"same two crashes as another", []step{
			{"s", 1, 1},
			{"s", 2, 1},
			{"d", 1, 1},
			{"d", 2, 1},
			{"k", 0, 1},
			{"s", 1, 2},
			{"s", 2, 2},
			{"d", 1, 2},
			{"d", 2, 2},
			{"k", 0, 2},
		}, refused, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := newDetector("k1")
			now := apply(p, guardStart, tt.steps)
			other := newDetector("k2")
			other.Merge(now, p.Evidence(now))
			d := p.Check(now, 1)
			got := free
			switch {
			case d.AskHome:
				got = suspect
			case !d.Allow:
				got = refused
			}
			is.Equal(got, tt.want)
			is.Equal(len(d.AvoidEndpoints), tt.avoid)
			shared := other.Check(now, 1)
			is.Equal(shared.Allow, d.Allow) // another instance decides alike
			is.Equal(shared.AskHome, d.AskHome)
			if got == refused {
				is.Equal(d.Refuse.Verdict, keel.NotRun)
				is.Equal(d.Refuse.Reason, keel.ReasonPoison)
			}
		})
	}
}

func TestPermit(t *testing.T) {
	is := is.New(t)
	p := newDetector("k1")
	is.True(p.Permit(guardStart, 1))
	is.True(!p.Permit(guardStart, 1)) // one at a time
	p.ReturnPermit(1)
	is.True(p.Permit(guardStart, 1))
	apply(p, guardStart, []step{{"c", 1, 1}, {"c", 1, 2}})
	is.True(!p.Permit(guardStart, 1)) // refused by now

	young := keelguard.NewPoisonDetector(keelguard.PoisonConfig{
		Started: guardStart, MaxEntries: 10, Retention: guardRetention, PermitTime: time.Minute,
	})
	is.True(!young.Permit(guardStart, 1)) // a permit from before its start may be in use
	is.True(young.Permit(guardStart.Add(time.Minute), 1))
}

func TestPoisonBounds(t *testing.T) {
	is := is.New(t)
	p := newDetector("k1")
	for i := range 1000 {
		apply(p, guardStart, []step{{"c", keelguard.ID(i), i}})
	}
	is.Equal(len(p.Evidence(guardStart)), 100)
}

// TestMergeOrder merges evidence in different orders, some of it repeatedly.
// All instances must decide alike.
func TestMergeOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source := newDetector("k1")
		var all []keelguard.Evidence
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			s := step{
				do: rapid.SampledFrom([]string{"c", "b", "r"}).Draw(t, "do"),
				fp: keelguard.ID(rapid.IntRange(1, 4).Draw(t, "fp")),
				e:  rapid.IntRange(1, 4).Draw(t, "endpoint"),
			}
			apply(source, guardStart, []step{s})
			all = append(all, source.Evidence(guardStart)...)
		}
		a, b := newDetector("k2"), newDetector("k3")
		a.Merge(guardStart, all)
		b.Merge(guardStart, rapid.Permutation(all).Draw(t, "order"))
		b.Merge(guardStart, a.Evidence(guardStart))
		a.Merge(guardStart, b.Evidence(guardStart))
		for fp := range keelguard.ID(5) {
			if x, y := a.Check(guardStart, fp), b.Check(guardStart, fp); x.Allow != y.Allow || x.AskHome != y.AskHome {
				t.Fatalf("request %s: one instance decides %+v, another %+v", fp, x, y)
			}
		}
	})
}
