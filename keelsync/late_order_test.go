package keelsync_test

import (
	"net/netip"
	"testing"

	"github.com/greengagekeel/greengagekeel/keelsync"
	"github.com/greengagekeel/greengagekeel/keelworld"
	"github.com/matryer/is"
)

// depart submits a notice of leaving without an incarnation until it is not outdated.
func (w *cluster) depart(v *keelsync.Voter, id string) {
	w.t.Helper()
	for asOf := uint64(0); ; {
		r, err := v.Depart(w.ctx, id, asOf, nil)
		if err != nil {
			w.t.Fatal(err)
		}
		if !r.Outdated {
			return
		}
		asOf = r.Index
	}
}

// An order reaches a voter late, because the voter was cut off or stood still, or the order was
// held back on its way. Its caller has given it up, has left the connection open, and has sent it
// and others to another voter. The order must not take effect after the later ones.
func TestOrdersOfCallersWhoGaveUp(t *testing.T) {
	is := is.New(t)
	w, voters := startSixVoters(t)
	waits := func() bool { return false } // the connection is open
	drain := func(on bool) *keelworld.Command {
		return &keelworld.Command{Drain: &keelworld.Drain{Domain: "d1", On: on}}
	}
	sequence := int64(0)
	register := func(incarnation int64) {
		sequence++
		e := keelworld.Endpoint{
			ID: "e", Incarnation: incarnation, Sequence: sequence, State: keelworld.EndpointServing, Service: "a", Domain: "d0",
			Address: netip.MustParseAddrPort("10.0.2.1:80"), Slots: 2,
		}
		is.NoErr(voters[names[1]].Announce(w.ctx, &e))
	}
	f := w.follower("10.0.1.1", nil)
	listed := func(incarnation int64) func() bool {
		return func() bool {
			e, ok := f.View().Endpoint("a", "e")
			return ok && e.Incarnation == incarnation
		}
	}
	incarnation := int64(1)
	register(incarnation)
	w.submit(voters[names[0]], drain(true))
	w.waitFor("the endpoint is listed", listed(incarnation))
	late := names[4]
	for _, lags := range []bool{true, false} {
		if lags {
			for _, name := range names {
				if name != late {
					w.hub.Cut(addrOf(name), addrOf(late))
				}
			}
		}
		w.submit(voters[names[1]], drain(false))
		w.submit(voters[names[2]], drain(true))
		w.depart(voters[names[1]], "e")
		incarnation++
		register(incarnation)
		w.waitFor("the next incarnation is listed", listed(incarnation))
		for _, name := range names {
			if name != late {
				w.hub.Heal(addrOf(name), addrOf(late))
			}
		}
		r, err := voters[late].Submit(w.ctx, drain(false), waits)
		is.NoErr(err)
		is.True(r.Outdated)
		r, err = voters[late].Depart(w.ctx, "e", 0, waits)
		is.NoErr(err)
		is.True(r.Outdated)
		last := w.submit(voters[names[0]], &keelworld.Command{})
		w.waitFor("the follower has all entries", func() bool { return f.View().Index >= last.Index })
		is.True(f.View().Drained["d1"])
		register(incarnation)
		w.waitFor("the endpoint is listed, as it has not left", listed(incarnation))
	}
}
