package keelsync_test

import (
	"math"
	"net/netip"
	"testing"

	"github.com/greengagekeel/greengagekeel/keelsync"
	"github.com/greengagekeel/greengagekeel/keelworld"
	"github.com/matryer/is"
)

// A poll was held back, or its voter stood still, and is handled after its instance has left or
// started anew. Look-ups must not name the instance because of it. A poll of an instance that
// has applied its own record is not late.
func TestLatePoll(t *testing.T) {
	is := is.New(t)
	w, voters := startSixVoters(t)
	f := w.follower("10.0.1.1", nil)
	instance := keelworld.Node{
		Name: "10.0.1.9", Incarnation: 5, Domain: "d0", Region: "r", Caller: netip.MustParseAddrPort("10.0.1.9:80"), Up: true,
	}
	listed := func(want keelworld.Node) func() bool {
		return func() bool {
			for _, n := range f.View().Nodes {
				if n == want {
					return true
				}
			}
			return false
		}
	}
	poll := func(n keelworld.Node, after uint64) {
		t.Helper()
		is.NoErr(keelsync.HandlePoll(w.ctx, voters[names[3]], n, after))
	}
	// settle waits until what the polls have added is in the state: an instance that polls
	// after them is listed.
	marker := keelworld.Node{Name: "10.0.1.8", Incarnation: 1, Domain: "d0", Region: "r", Caller: netip.MustParseAddrPort("10.0.1.8:80"), Up: true}
	settle := func() uint64 {
		marker.Incarnation++
		poll(marker, math.MaxUint64)
		w.waitFor("the last poll is recorded", listed(marker))
		return f.View().Index
	}

	poll(instance, 0)
	w.waitFor("the instance is listed", listed(instance))
	before := settle()
	left := instance
	left.Up = false
	poll(left, before)
	w.waitFor("the instance has left", func() bool { return !listed(instance)() })
	after := settle()
	poll(instance, before)
	settle()
	is.True(!listed(instance)())

	// Time may have been set back before the next start.
	next := instance
	next.Incarnation = 3
	poll(next, after)
	w.waitFor("the next incarnation is listed", listed(next))
	poll(instance, before)
	settle()
	is.True(!listed(instance)())
}
