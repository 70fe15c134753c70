package keelroute_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelroute"
)

var (
	epoch   = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	gallery = keelroute.Source{Selector: "gallery", Region: "dakar"}
)

func weights(w ...keel.DomainWeight) []keel.DomainWeight { return w }

func only(d keel.DomainName) []keel.DomainWeight {
	return weights(keel.DomainWeight{Domain: d, Weight: 1})
}

func newShares(percent float64, window time.Duration) *keelroute.Shares {
	s := keelroute.NewShares(keelroute.SharesConfig{Self: "i1", FirstStart: true})
	s.SetCap(epoch, gallery.Selector, keel.ShiftCap{Percent: percent, Window: keel.Duration(window)})
	return s
}

func share(s *keelroute.Shares, d keel.DomainName) float64 {
	for _, w := range s.Vector(gallery) {
		if w.Domain == d {
			return w.Weight
		}
	}
	return 0
}

func TestSharesMoveWithinCap(t *testing.T) {
	is := is.New(t)
	s := newShares(20, 10*time.Second)
	s.SetTarget(epoch, gallery, only("a"))
	s.SetTarget(epoch, gallery, only("b"))
	is.Equal(share(s, "b"), 0.02) // the first of ten steps
	for i := range 100 {
		s.Pick(epoch.Add(time.Duration(i)*100*time.Millisecond), gallery, 0)
	}
	is.Equal(share(s, "b"), 0.2)
}

func TestLossMovesTheCapAndRefusesTheRest(t *testing.T) {
	is := is.New(t)
	s := newShares(10, time.Minute)
	s.SetTarget(epoch, gallery, weights(keel.DomainWeight{Domain: "a", Weight: 1}, keel.DomainWeight{Domain: "b", Weight: 1}))
	s.MarkLost(epoch, "a")
	is.Equal(share(s, "a"), 0.4)
	refused := 0
	for i := range uint64(keelroute.Buckets) {
		if _, ok := s.Peek(gallery, i); !ok {
			refused++
		}
	}
	is.Equal(refused, 400)
	refused = 0
	for range 10_000 { // one caller sends half of all requests
		if _, ok := s.Pick(epoch, gallery, 900); !ok {
			refused++
		}
		if _, ok := s.Pick(epoch, gallery, uint64(refused)); !ok {
			refused++
		}
	}
	is.True(refused > 7_000 && refused < 9_000) // about two fifths, as without the busy caller
	r := s.Refusal(epoch, gallery)
	is.Equal(r.Verdict, keel.NotRun)
	is.Equal(r.Reason, keel.ReasonShiftCap)
	is.Equal(r.RetryAfter.Std(), time.Minute+1)
}

func TestCapIsNotSpentTwice(t *testing.T) {
	const window = 10 * time.Second
	late := epoch.Add(time.Minute)
	// moved returns shares in which a tenth of the buckets moved from a to b at
	// epoch.
	moved := func() *keelroute.Shares {
		s := newShares(10, window)
		s.SetTarget(epoch, gallery, only("a"))
		s.SetTarget(epoch, gallery, only("b"))
		s.MarkLost(epoch, "a")
		s.MarkReturned(epoch, "a")
		return s
	}
	setCap := func(s *keelroute.Shares, at time.Time, percent float64, w time.Duration) {
		s.SetCap(at, gallery.Selector, keel.ShiftCap{Percent: percent, Window: keel.Duration(w)})
	}
	restarted := func(first bool, digests ...keelroute.Digest) *keelroute.Shares {
		s := keelroute.NewShares(keelroute.SharesConfig{Self: "i2", FirstStart: first})
		setCap(s, epoch, 10, window)
		for _, d := range digests {
			s.Merge(epoch, d)
		}
		s.SetTarget(epoch.Add(1), gallery, only("b"))
		return s
	}
	older := newShares(10, window)
	older.SetTarget(epoch.Add(-time.Hour), gallery, only("c"))
	tests := []struct {
		name   string
		shares func() *keelroute.Shares
		at     time.Time
		want   float64 // share of b at that time, after losing a
	}{
		{"same window", moved, epoch.Add(window), 0.1},
		{"next window", moved, epoch.Add(window + 1), 0.2},
		{"restart with digest", func() *keelroute.Shares { return restarted(false, moved().Digest()) }, epoch.Add(window), 0.1},
		{"restart, freshest digest wins", func() *keelroute.Shares {
			return restarted(false, older.Digest(), moved().Digest(), older.Digest())
		}, epoch.Add(window), 0.1},
		{"restart without digest", func() *keelroute.Shares {
			s := restarted(false)
			s.SetTarget(epoch.Add(2), gallery, only("a"))
			return s
		}, epoch.Add(window), 1},
		{"cap 0", func() *keelroute.Shares { s := moved(); setCap(s, epoch, 0, window); return s }, late, 0.1},
		{"cap lowered", func() *keelroute.Shares { s := moved(); setCap(s, epoch, 5, window); return s }, epoch.Add(window), 0.1},
		{"cap raised", func() *keelroute.Shares { s := moved(); setCap(s, epoch, 30, window); return s }, epoch.Add(window), 0.3},
		{"cap 0 and back", func() *keelroute.Shares {
			s := moved()
			setCap(s, epoch, 0, window)
			setCap(s, epoch.Add(1), 10, window)
			return s
		}, epoch.Add(window), 0.1},
		{"longer window waits until it is covered", func() *keelroute.Shares {
			s := moved()
			setCap(s, epoch.Add(window), 50, time.Hour)
			return s
		}, epoch.Add(window), 0.1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := tt.shares()
			s.MarkLost(tt.at, "a")
			is.New(t).Equal(share(s, "b"), tt.want)
		})
	}
}

func TestDivertKeepsWholeRequestsWithinCap(t *testing.T) {
	for _, tt := range []struct {
		percent          float64
		requests, divert int
	}{{10, 9, 0}, {10, 10, 1}, {10, 39, 3}, {0, 100, 0}, {100, 7, 7}, {1, 250, 2}} {
		s := newShares(tt.percent, time.Minute)
		s.SetTarget(epoch, gallery, only("a"))
		for i := range tt.requests {
			s.Pick(epoch, gallery, uint64(i))
		}
		n := 0
		for s.Divert(epoch, gallery) {
			n++
		}
		is.New(t).Equal(n, tt.divert)
	}
}

func TestTargets(t *testing.T) {
	near := func(name keel.DomainName) keelroute.DomainLoad {
		return keelroute.DomainLoad{Domain: name, Region: "dakar", Slots: 12}
	}
	far := func(name keel.DomainName) keelroute.DomainLoad {
		return keelroute.DomainLoad{Domain: name, Region: "thies", Slots: 12, RoundTrip: 12 * time.Millisecond}
	}
	with := func(d keelroute.DomainLoad, f func(*keelroute.DomainLoad)) keelroute.DomainLoad { f(&d); return d }
	in := func(demand float64, d ...keelroute.DomainLoad) keelroute.TargetInput {
		return keelroute.TargetInput{Region: "dakar", Domains: d, Demand: demand, ServiceTime: 40 * time.Millisecond}
	}
	held := in(14, near("a"), far("b"))
	held.Previous = only("a")
	stale := held
	stale.Stale = true
	lost := func(d *keelroute.DomainLoad) { d.Lost = true }
	alone := in(4, with(near("a"), lost), far("b"))
	alone.Previous, alone.Stale = only("a"), true
	declared := in(1, near("a"), with(far("b"), func(d *keelroute.DomainLoad) { d.Drain = true }), far("c"))
	declared.Weights = weights(keel.DomainWeight{Domain: "b", Weight: 5}, keel.DomainWeight{Domain: "c", Weight: 3})
	tests := []struct {
		name     string
		in       keelroute.TargetInput
		domain   keel.DomainName
		min, max float64
	}{
		{"low load stays in the region", in(4, near("a"), far("b")), "a", 1, 1},
		{"two domains of the region share", in(12, near("a"), near("b")), "a", 0.45, 0.55},
		{"full domain overflows", in(14, near("a"), far("b")), "b", 0.2, 0.5},
		{"full link is avoided", in(10, near("a"), with(far("b"), func(d *keelroute.DomainLoad) { d.LinkUse = 0.98 })), "a", 0.95, 1},
		{"drained takes nothing", in(4, with(near("a"), func(d *keelroute.DomainLoad) { d.Drain = true }), far("b")), "b", 1, 1},
		{"lost takes nothing, whatever it reported", in(4, with(near("a"), lost), far("b")), "b", 1, 1},
		{"stale grows remote if nothing else is left", alone, "b", 1, 1},
		{"stale does not grow remote", stale, "b", 0, 0},
		{"fresh grows remote", held, "b", 0.2, 0.5},
		{"unsettled does not grow", in(14, near("a"), with(far("b"), func(d *keelroute.DomainLoad) { d.Unsettled = true })), "b", 0.2, 0.5},
		{"declared weights without drained", declared, "c", 1, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := 0.0
			for _, w := range keelroute.Targets(tt.in) {
				if w.Domain == tt.domain {
					got = w.Weight
				}
			}
			if got < tt.min || got > tt.max {
				t.Errorf("share of %s is %.3f, want %.2f to %.2f", tt.domain, got, tt.min, tt.max)
			}
		})
	}
}

func endpointViews(n int) []keel.EndpointView {
	views := make([]keel.EndpointView, n)
	for i := range views {
		views[i] = keel.EndpointView{ID: keel.EndpointID{Service: "s", Name: keel.EndpointName(rune('a' + i))}, Slots: 4}
	}
	return views
}

func TestPickersKeepToSlots(t *testing.T) {
	for _, p := range []keel.Picker{keelroute.PowerOfTwo{}, keelroute.LeastReported{}, keelroute.StaticWeights{}, keelroute.FirstFree{}} {
		r := rand.New(rand.NewPCG(1, 1))
		views := endpointViews(5)
		views[1].Ramp, views[2].Slots = 0.3, 0 // two usable slots, and none
		for i := range views {
			views[i].Reported.InFlight = r.IntN(4)
		}
		for range 4 + 2 + 4 + 4 {
			views[p.Pick(views, r.Uint64)].InFlight++
		}
		is := is.New(t)
		is.Equal(p.Pick(views, r.Uint64), -1)
		is.Equal(p.Pick(nil, r.Uint64), -1)
		is.Equal([]int{views[1].InFlight, views[2].InFlight}, []int{2, 0})
	}
}

func TestEjectorIsBounded(t *testing.T) {
	is := is.New(t)
	e := keelroute.NewEjector(keelroute.EjectorConfig{})
	views := endpointViews(6)
	for i := range views {
		e.Add(views[i].ID)
	}
	for range 40 {
		for i := range views {
			e.Observe(epoch, views[i].ID, i > 3, time.Millisecond) // four of six fail
		}
	}
	out := 0
	for i := range views {
		if e.Ejected(epoch, views[i].ID) {
			out++
		}
	}
	is.Equal(out, 2) // at most a third
	is.Equal(e.Ejected(epoch.Add(time.Hour), views[0].ID), false)
	ramp := keelroute.NewRamp(keelroute.RampConfig{InitialFraction: 0.25})
	ramp.RecordStart(epoch, views[0].ID)
	is.Equal([]float64{ramp.SlotFraction(epoch, views[0].ID), ramp.SlotFraction(epoch.Add(10*time.Second), views[0].ID), ramp.SlotFraction(epoch, views[1].ID)}, []float64{0.25, 0.625, 1})
}

// Every endpoint of a pool fails. As long as another pool can serve the requests none
// of them is used, and after that most of them are again.
func TestEjectorWithAlternative(t *testing.T) {
	for _, n := range []int{1, 2, 6} {
		is := is.New(t)
		e := keelroute.NewEjector(keelroute.EjectorConfig{})
		views := endpointViews(n)
		for i := range views {
			e.Add(views[i].ID)
		}
		ejected := func() (out int) {
			for i := range views {
				if e.Ejected(epoch, views[i].ID) {
					out++
				}
			}
			return out
		}
		fail := func() {
			for range 10 {
				for i := range views {
					e.Observe(epoch, views[i].ID, false, time.Millisecond)
				}
			}
		}
		fail()
		is.Equal(ejected(), n/3)
		e.SetAlternative(epoch, true)
		fail()
		is.Equal(ejected(), n)
		e.SetAlternative(epoch, false)
		is.Equal(ejected(), n/3)
	}
}

func FuzzDigest(f *testing.F) {
	s := newShares(10, time.Minute)
	s.SetTarget(epoch, gallery, only("a"))
	b, _ := keel.EncodeCBOR(s.Digest())
	f.Add(b)
	f.Fuzz(func(t *testing.T, data []byte) {
		var d keelroute.Digest
		if keel.DecodeCBOR(data, &d) != nil {
			return
		}
		s := keelroute.NewShares(keelroute.SharesConfig{})
		s.SetCap(epoch, gallery.Selector, keel.ShiftCap{Percent: 50, Window: keel.Duration(time.Second)})
		s.Merge(epoch, d)
		s.SetTarget(epoch, gallery, only("b"))
		s.Pick(epoch.Add(time.Minute), gallery, 7)
	})
}

func BenchmarkSharesPick(b *testing.B) {
	s := newShares(10, time.Minute)
	s.SetTarget(epoch, gallery, only("a"))
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		s.Pick(epoch.Add(time.Duration(i)*time.Microsecond), gallery, uint64(i))
	}
}

func BenchmarkPowerOfTwo(b *testing.B) {
	views, r := endpointViews(14), rand.New(rand.NewPCG(1, 1))
	random := r.Uint64
	b.ReportAllocs()
	for b.Loop() {
		keelroute.PowerOfTwo{}.Pick(views, random)
	}
}

// A source has sent nothing in the window but a request that was diverted in it:
// its requests came just before. Nothing more may move until the window is over.
func TestDivertedRequestWithoutOthers(t *testing.T) {
	is := is.New(t)
	const window = 10 * time.Second
	s := newShares(100, window)
	s.SetTarget(epoch, gallery, only("a"))
	for range 10 {
		s.Pick(epoch, gallery, 0)
	}
	later := epoch.Add(window - window/10)
	is.True(s.Divert(later, gallery))
	quiet := later.Add(window / 2) // the requests have left the window, the diversion has not
	s.SetTarget(quiet, gallery, only("b"))
	is.Equal(share(s, "b"), 0.0)
	s.Pick(later.Add(2*window), gallery, 0)
	is.True(share(s, "b") > 0)
}

// Of three endpoints, one turns every request away while the others serve: it is ejected.
// While all of them turn requests away, they are full rather than faulty, and none is.
func TestEjectorCountsShedRequestsWithAlternative(t *testing.T) {
	for _, tt := range []struct {
		name            string
		othersServe, to bool
		ejected         int
	}{
		{"one sheds, others serve", true, false, 1},
		{"all shed", false, false, 0},
		{"all shed, another pool has room", false, true, 3},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := keelroute.NewEjector(keelroute.EjectorConfig{})
			views := endpointViews(3)
			for i := range views {
				e.Add(views[i].ID)
				e.Observe(epoch, views[i].ID, true, time.Millisecond)
			}
			e.SetAlternative(epoch, tt.to)
			for range 10 {
				for i := range views {
					if i > 0 && tt.othersServe {
						e.Observe(epoch, views[i].ID, true, time.Millisecond)
						continue
					}
					e.ObserveShed(epoch, views[i].ID)
				}
			}
			n := 0
			for i := range views {
				if e.Ejected(epoch, views[i].ID) {
					n++
				}
			}
			is.Equal(n, tt.ejected)
		})
	}
}
