package keelroute_test

import (
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
	is.Equal(share(s, "b"), 0.02) // one step of ten
	for i := range 100 {
		s.Pick(epoch.Add(time.Duration(i)*100*time.Millisecond), gallery, 0)
	}
	is.Equal(share(s, "b"), 0.2)
}

func TestLossMovesTheCapAndRefusesTheRest(t *testing.T) {
	is := is.New(t)
	s := newShares(10, time.Minute)
	s.SetTarget(epoch, gallery, weights(keel.DomainWeight{Domain: "a", Weight: 1}, keel.DomainWeight{Domain: "b", Weight: 1}))
	s.Lost(epoch, "a")
	is.Equal(share(s, "a"), 0.4)
	refused := 0
	for i := range uint64(keelroute.Buckets) {
		if _, ok := s.Pick(epoch, gallery, i); !ok {
			refused++
		}
	}
	is.Equal(refused, 400)
	r := s.Refusal(epoch, gallery)
	is.Equal(r.Verdict, keel.NotRun)
	is.Equal(r.Reason, keel.ReasonShiftCap)
	is.Equal(r.RetryAfter.Std(), time.Minute+1)
}
