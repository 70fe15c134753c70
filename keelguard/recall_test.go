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

// afterDiscovery is the time after its start from which an instance may give
// permits.
const afterDiscovery = 5 * time.Second

// fingerprintWithHome returns a fingerprint whose home is the given instance
// while all are live.
func fingerprintWithHome(t *testing.T, g *guards, all []*keelguard.Service, home int) keelguard.ID {
	t.Helper()
	for fp := keelguard.ID(1); fp < 1000; fp++ {
		crash(all[0], fp, endpoint(1))
		all[0].Share(t.Context())
		alone := all[home].Admit(t.Context(), fp).Allow
		for i, name := range g.names {
			if i != home {
				g.unreachable[addrOf(name)] = true
			}
		}
		all[home].NotDispatched(fp)
		alone = alone && all[home].Admit(t.Context(), fp).Allow
		clear(g.unreachable)
		all[home].NotDispatched(fp)
		if alone {
			return fp
		}
	}
	t.Fatalf("no fingerprint has its home at instance %d", home)
	return 0
}

// TestRecall asks for a permit of a suspect after its home restarted or was
// lost. It must be given once the permits in use are known, unless another
// instance uses one.
func TestRecall(t *testing.T) {
	const home, asker, other = 0, 1, 2
	tests := []struct {
		name string
		// used says that an instance uses a permit which the home gave.
		used bool
		// lost says that the home does not restart.
		lost bool
		// silent says that the user of the permit can't be reached afterwards.
		silent bool
		// gone says that the others no longer count the user as live.
		gone bool
		// recalled says that the instances ask for permits in use.
		recalled bool
		// after is the time until the recall.
		after time.Duration
		want  bool
	}{
		{name: "home restarted, nothing recalled", after: afterDiscovery, want: false},
		{name: "home just restarted", recalled: true, want: false},
		{name: "home restarted", recalled: true, after: afterDiscovery, want: true},
		{name: "home restarted, permit in use", used: true, recalled: true, after: afterDiscovery, want: false},
		{name: "home restarted, an instance is silent", silent: true, recalled: true, after: afterDiscovery, want: false},
		{name: "home restarted, a lost instance is silent", silent: true, gone: true, recalled: true, after: afterDiscovery, want: true},
		{name: "home lost, nothing recalled", lost: true, want: false},
		{name: "home lost", lost: true, recalled: true, want: true},
		{name: "home lost, permit in use", lost: true, used: true, recalled: true, want: false},
		{name: "home lost, an instance is silent", lost: true, silent: true, recalled: true, want: false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			clock := clockwork.NewFakeClockAt(guardStart)
			g, all := newGuards(clock, nil)
			clock.Advance(guardRetention)
			fp := fingerprintWithHome(t, g, all, home)
			if tt.used {
				is.True(all[other].Admit(t.Context(), fp).Allow)
			}
			g.stopInstance(g.names[home])
			if !tt.lost {
				all[home] = g.startInstance(g.names[home])
			}
			clock.Advance(tt.after)
			g.unreachable[addrOf(g.names[other])] = tt.silent
			g.notLive[g.names[other]] = tt.gone
			if tt.recalled {
				for _, s := range all {
					s.Recall(t.Context())
				}
			}
			is.Equal(all[asker].Admit(t.Context(), fp).Allow, tt.want)
		})
	}
}

// TestRecallOnce asks for permits of many suspects at every instance after the
// loss of a home, and again after its restart. No suspect may get two permits.
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
	g.unreachable[addrOf(g.names[2])] = true // a third of the fingerprints have no reachable home
	admit(1)
	g.stopInstance(g.names[2])
	admit(0, 1)
	is.True(slices.Contains(given, 0))
	for _, i := range []int{0, 1} {
		all[i].Recall(t.Context())
	}
	admit(0, 1)
	is.True(!slices.Contains(given, 0)) // the next home has taken over
	all[2] = g.startInstance(g.names[2])
	clock.Advance(afterDiscovery)
	all[2].Recall(t.Context())
	admit(0, 1, 2)
	is.Equal(slices.Max(given), 1)
}

// TestPermitOfLostHome returns a permit to the home that took over.
func TestPermitOfLostHome(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClockAt(guardStart)
	g, all := newGuards(clock, nil)
	clock.Advance(guardRetention)
	fp := fingerprintWithHome(t, g, all, 0)
	is.True(all[1].Admit(t.Context(), fp).Allow)
	g.stopInstance(g.names[0])
	for _, s := range all[1:] {
		s.Recall(t.Context())
	}
	is.True(!all[2].Admit(t.Context(), fp).Allow) // it is in use
	all[1].NotDispatched(fp)
	is.True(all[2].Admit(t.Context(), fp).Allow)
}

// TestRecallOnDemand checks that a restarted home asks the others for their
// permits in use only once a suspect needs a permit.
func TestRecallOnDemand(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClockAt(guardStart)
	g, all := newGuards(clock, nil)
	clock.Advance(guardRetention)
	fp := fingerprintWithHome(t, g, all, 0)
	all[0] = g.startInstance(g.names[0])
	clock.Advance(afterDiscovery)
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
