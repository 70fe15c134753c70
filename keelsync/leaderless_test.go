package keelsync_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// While no leader exists, no order can be accepted, and a view that held every order before still
// does. An instance that can't tell this from being cut off would spare endpoints without need.
func TestOrderAge(t *testing.T) {
	is := is.New(t)
	w, voters := startSixVoters(t)
	w.submit(voters[names[0]], patch(item("a", 1)))
	const reaches, cutOff, late = "10.0.1.1", "10.0.1.2", "10.0.1.3"
	f := w.follower(reaches, nil)
	lost := w.follower(cutOff, nil)
	// missing is an age at which a view may lack orders, present one at which it lacks none.
	const missing, present = 4 * time.Second, time.Second
	w.waitFor("both views are confirmed", func() bool {
		now := time.Now()
		return f.Age(now) < present && lost.Age(now) < present && f.OrderAge(now) <= f.Age(now)
	})

	// The halves of the voters can't reach each other. One instance reaches all voters, the
	// other one reaches too few to know that the rest have no leader.
	for i, a := range names {
		for _, b := range names[:i] {
			if i >= 3 && slices.Contains(names[:3], b) {
				w.hub.Cut(addrOf(a), addrOf(b))
			}
		}
		if i >= 3 {
			w.hub.Cut(addrOf(a), addrOf(cutOff))
		}
	}
	w.waitFor("the view that reaches all voters lacks no order", func() bool {
		now := time.Now()
		return f.Age(now) > missing && f.OrderAge(now) < present
	})
	w.waitFor("the view that reaches half of them may", func() bool { return lost.OrderAge(time.Now()) > missing })

	// An instance that starts now has only what the voters have stored.
	fresh := w.follower(late, nil)
	w.waitFor("the new instance has a view", func() bool { return fresh.View().Index > 0 })
	is.True(fresh.OrderAge(time.Now()) > missing)
}
