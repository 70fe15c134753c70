package keelguard_test

import (
	"context"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/greengagekeel/greengagekeel/keelguard"
)

// settled is the time after its start from which an instance may give
// permissions.
const settled = 5 * time.Second

// homedAt returns a fingerprint whose home is the first of the instances while
// all are live.
func homedAt(t *testing.T, g *guards, all []*keelguard.Service, home int) keelguard.ID {
	t.Helper()
	for fp := keelguard.ID(1); fp < 1000; fp++ {
		crash(all[0], fp, endpoint(1))
		all[0].Share(t.Context())
		alone := all[home].Admit(t.Context(), fp).Allow
		for i, name := range g.names {
			if i != home {
				g.down[addrOf(name)] = true
			}
		}
		all[home].NotStarted(fp)
		alone = alone && all[home].Admit(t.Context(), fp).Allow
		clear(g.down)
		all[home].NotStarted(fp)
		if alone {
			return fp
		}
	}
	t.Fatalf("no fingerprint has its home at instance %d", home)
	return 0
}

// TestRecall gives a suspect of one crash a second run although its home has
// started again or is lost, but not while another instance may run it.
func TestRecall(t *testing.T) {
	const home, asker, other = 0, 1, 2
	tests := []struct {
		name string
		// used says that an instance uses a permission which the home gave.
		used bool
		// lost says that the home does not come back.
		lost bool
		// silent says that the user of the permission can't be reached after.
		silent bool
		// gone says that the others know it to be lost.
		gone bool
		// recalled says that the instances ask for permissions in use.
		recalled bool
		// after is the time until then.
		after time.Duration
		want  bool
	}{
		{name: "home started again, nothing recalled", after: settled, want: false},
		{name: "home started again just now", recalled: true, want: false},
		{name: "home started again", recalled: true, after: settled, want: true},
		{name: "home started again, permission in use", used: true, recalled: true, after: settled, want: false},
		{name: "home started again, an instance is silent", silent: true, recalled: true, after: settled, want: false},
		{name: "home started again, a lost instance is silent", silent: true, gone: true, recalled: true, after: settled, want: true},
		{name: "home lost, nothing recalled", lost: true, want: false},
		{name: "home lost", lost: true, recalled: true, want: true},
		{name: "home lost, permission in use", lost: true, used: true, recalled: true, want: false},
		{name: "home lost, an instance is silent", lost: true, silent: true, recalled: true, want: false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			clock := clockwork.NewFakeClockAt(guardStart)
			g, all := newGuards(clock, nil)
			clock.Advance(guardRetention)
			fp := homedAt(t, g, all, home)
			if tt.used {
				is.True(all[other].Admit(t.Context(), fp).Allow)
			}
			g.lose(g.names[home])
			if !tt.lost {
				all[home] = g.start(g.names[home])
			}
			clock.Advance(tt.after)
			g.down[addrOf(g.names[other])] = tt.silent
			g.dead[g.names[other]] = tt.gone
			if tt.recalled {
				for _, s := range all {
					s.Recall(t.Context())
				}
			}
			is.Equal(all[asker].Admit(t.Context(), fp).Allow, tt.want)
		})
	}
}

// TestRecallOnce lets every instance ask, after the loss of a home, for
// permissions of as many suspects. No suspect gets two.
func TestRecallOnce(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClockAt(guardStart)
	g, all := newGuards(clock, nil)
	clock.Advance(guardRetention)
	const suspects = 100
	for fp := range keelguard.ID(suspects) {
		crash(all[0], fp, endpoint(1))
	}
	all[0].Share(t.Context())
	given := make([]int, suspects)
	admit := func(by ...int) {
		for fp := range given {
			for _, i := range by {
				if all[i].Admit(t.Context(), keelguard.ID(fp)).Allow {
					given[fp]++
				}
			}
		}
	}
	g.down[addrOf(g.names[2])] = true // the home of a third gives none yet
	admit(1)
	g.lose(g.names[2])
	admit(0, 1)
	is.True(slices.Contains(given, 0))
	for _, i := range []int{0, 1} {
		all[i].Recall(t.Context())
	}
	admit(0, 1)
	is.True(!slices.Contains(given, 0)) // the next home has taken over
	all[2] = g.start(g.names[2])
	clock.Advance(settled)
	all[2].Recall(t.Context())
	admit(0, 1, 2)
	is.Equal(slices.Max(given), 1)
}

// TestPermissionOfLostHome gives a permission back to the home that took over.
func TestPermissionOfLostHome(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClockAt(guardStart)
	g, all := newGuards(clock, nil)
	clock.Advance(guardRetention)
	fp := homedAt(t, g, all, 0)
	is.True(all[1].Admit(t.Context(), fp).Allow)
	g.lose(g.names[0])
	for _, s := range all[1:] {
		s.Recall(t.Context())
	}
	is.True(!all[2].Admit(t.Context(), fp).Allow) // it is in use
	all[1].NotStarted(fp)
	is.True(all[2].Admit(t.Context(), fp).Allow)
}

// TestRecallOnDemand lets a home that has started again ask the others only once
// a suspect needs its permission.
func TestRecallOnDemand(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClockAt(guardStart)
	g, all := newGuards(clock, nil)
	clock.Advance(guardRetention)
	fp := homedAt(t, g, all, 0)
	all[0] = g.start(g.names[0])
	clock.Advance(settled)
	ctx, cancel := context.WithCancel(t.Context())
	var group conc.WaitGroup
	defer group.Wait()
	defer cancel()
	g.mu.Lock()
	g.bytes = 0
	g.mu.Unlock()
	group.Go(func() { _ = all[0].Run(ctx) })
	const waiters = 2 // the loops of the service wait for their tickers
	is.NoErr(clock.BlockUntilContext(ctx, waiters))
	g.mu.Lock()
	is.Equal(g.bytes, 0)
	g.mu.Unlock()
	is.True(!all[1].Admit(ctx, fp).Allow)
	for !all[1].Admit(ctx, fp).Allow {
		clock.Advance(time.Second)
		runtime.Gosched()
	}
}
