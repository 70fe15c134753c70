package keelplace_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelplace"
	"github.com/greengagekeel/greengagekeel/keelworld"
	"github.com/matryer/is"
)

// If the first requests of a route are answered sooner than their estimated wait,
// the measured processing time must not become negative. The estimates of later
// requests must stay valid durations.
func TestAnsweredSoonerThanExpected(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := keelworld.NewState()
	s.Apply(1, &keelworld.Command{Endpoints: []keelworld.Endpoint{{
		ID: "e", Incarnation: 1, Sequence: 1, State: keelworld.EndpointServing, Service: "s", Domain: "d",
		Address: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 2,
	}}})
	p := keelplace.NewPool(keelplace.Config{Location: keelplace.Location{Domain: "d", Region: "r"}, Region: regionR}, "s")
	p.Update(now, s.View(), nil)
	r := &keelplace.Request{Route: "x", Spec: &keelworld.Route{Affinity: true}, Affinity: "1", TimeLeft: time.Second, TargetLeft: time.Second}
	choose := func() *keelplace.Choice {
		c, refused := p.Choose(now, r)
		if refused != nil {
			t.Fatalf("refused: %s", refused.Detail)
		}
		is.True(c.Wait >= 0)
		is.True(c.Expected > 0)
		return c
	}
	for range 3 {
		var all []*keelplace.Choice
		started := now
		for range 4 { // two of them are estimated to wait
			c := choose()
			p.Started(now, c)
			all = append(all, c)
		}
		for _, c := range slices.Backward(all) {
			now = now.Add(time.Millisecond)
			p.Ended(now, started, "x", c, keelplace.Outcome{Kind: keelplace.Answered, Took: now.Sub(started)})
		}
	}
}

func regionR(keel.DomainName) keel.RegionName { return "r" }
