package keelentry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/greengagekeel/greengagekeel/keelguard"
	"github.com/greengagekeel/greengagekeel/keelproxy"
	"github.com/greengagekeel/greengagekeel/keelsync"
	"github.com/greengagekeel/greengagekeel/keelworld"
	"github.com/sourcegraph/conc/pool"
	"github.com/zeebo/xxh3"
)

// reportTimeout is how long an observation is reported to the voters. It exceeds the
// time without a leader after the loss of voters.
const reportTimeout = time.Minute

const (
	// probeDelay is how long after a broken connection its endpoint is probed. Several
	// connections break at the same time, and the port of a process may close after its
	// connections.
	probeDelay = 100 * time.Millisecond
	// probeTimeout limits the time to open a connection to an endpoint that has not
	// crashed: some round trips between regions.
	probeTimeout = 500 * time.Millisecond
	// maxProbes limits the probes at the same time.
	maxProbes = 8
)

// crashGuard keeps requests from crashing one endpoint after the other. It collects
// what this instance observed until the replicated state has it. A request is blocked
// from [keelworld.MaxCrashes] crashes on, unless an endpoint answers a copy that is in
// flight.
//
// A broken connection counts if the endpoint accepts no new one shortly after, and another
// endpoint does. Endpoints with too many connections, and faulty ones, break connections without a
// crash, and so does a partition.
type crashGuard struct {
	// probe opens a connection to an endpoint.
	probe func(ctx context.Context, t keelproxy.Target) error
	// reaches reports whether a connection to any endpoint but those with the given ids can
	// be opened.
	reaches func(ctx context.Context, except map[string]bool) bool
	// wake has a value while broken is not empty.
	wake chan struct{}

	mu sync.Mutex
	// broken holds the broken connections whose endpoints are not probed yet.
	broken []brokenRun
	// crashes and answered are when something was observed that the state may lack.
	crashes  map[keelworld.Crash]time.Time
	answered map[uint64]time.Time
}

// brokenRun is a request whose connection broke while it was in flight at an endpoint.
type brokenRun struct {
	crash  keelworld.Crash
	target keelproxy.Target
}

func newCrashGuard(probe func(context.Context, keelproxy.Target) error, reaches func(context.Context, map[string]bool) bool) *crashGuard {
	return &crashGuard{
		probe: probe, reaches: reaches, wake: make(chan struct{}, 1),
		crashes: map[keelworld.Crash]time.Time{}, answered: map[uint64]time.Time{},
	}
}

// run probes the endpoints of broken connections until ctx ends.
func (g *crashGuard) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.wake:
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(probeDelay):
		}
		g.probeBroken(ctx)
	}
}

// probeBroken probes each endpoint of a broken connection once.
func (g *crashGuard) probeBroken(ctx context.Context) {
	g.mu.Lock()
	broken := g.broken
	g.broken = nil
	g.mu.Unlock()
	type start struct {
		endpoint    string
		incarnation int64
	}
	runs := map[start][]brokenRun{}
	for _, b := range broken {
		s := start{b.crash.Endpoint, b.crash.Incarnation}
		runs[s] = append(runs[s], b)
	}
	probes := pool.NewWithResults[[]brokenRun]().WithMaxGoroutines(maxProbes)
	for _, all := range runs {
		probes.Go(func() []brokenRun {
			if g.probeEndpoint(ctx, all[0].target) {
				return nil
			}
			return all
		})
	}
	var failed []brokenRun
	except := map[string]bool{}
	for _, all := range probes.Wait() {
		failed = append(failed, all...)
		for _, b := range all {
			except[b.crash.Endpoint] = true
		}
	}
	if len(failed) == 0 || ctx.Err() != nil {
		return
	}
	// An instance that has lost its links to all endpoints shows nothing about any of them.
	if len(except) < len(runs) || g.reaches(ctx, except) {
		g.addCrashes(time.Now(), failed)
	}
}

// probeEndpoint reports whether an endpoint accepts a connection. The time limit is that of this
// probe: it must not be used up by those before, of endpoints that hang.
func (g *crashGuard) probeEndpoint(ctx context.Context, t keelproxy.Target) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return g.probe(ctx, t) == nil
}

func (g *crashGuard) addCrashes(now time.Time, all []brokenRun) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, b := range all {
		if len(g.crashes) < keelsync.MaxReported {
			delete(g.answered, b.crash.Request)
			g.crashes[b.crash] = now
		}
	}
}

// fingerprint identifies a request by its content, so that a resend has the same one. The
// service is no part of it, since a route may send the request to another one next time.
// Of a streamed body only the length is known before it is sent.
func fingerprint(r *keelproxy.Request, body []byte) uint64 {
	sum := uint64(r.ContentLength)
	if body != nil {
		sum = xxh3.Hash(body)
	}
	return uint64(keelguard.Fingerprint("", r.Method, r.Host+r.URI, "", sum))
}

// hasSuspects reports whether any request has crashes. If not, none is blocked, and an
// answer changes nothing.
func (g *crashGuard) hasSuspects(v *keelworld.View) bool {
	if len(v.Suspects) > 0 {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.crashes)+len(g.broken) > 0
}

// count returns the number of crashes of a request, with those of its present attempts,
// which are not confirmed yet.
func (g *crashGuard) count(v *keelworld.View, request uint64, attempts []brokenRun) int {
	known := v.Suspects[request].Crashes
	n := len(known)
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.crashes {
		if c.Request == request && !slices.Contains(known, c) {
			n++
		}
	}
	for _, b := range attempts {
		if _, ok := g.crashes[b.crash]; !ok && !slices.Contains(known, b.crash) {
			n++
		}
	}
	return n
}

// connectionsBroke records the connections that broke while the endpoints ran a request
// that was not answered then.
func (g *crashGuard) connectionsBroke(broken []brokenRun) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.broken)+len(broken) > keelsync.MaxReported {
		return
	}
	g.broken = append(g.broken, broken...)
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// wasAnswered records that an endpoint answered the request, so that it does not crash
// those that run it.
func (g *crashGuard) wasAnswered(now time.Time, v *keelworld.View, request uint64) {
	_, suspected := v.Suspects[request]
	g.mu.Lock()
	defer g.mu.Unlock()
	g.broken = slices.DeleteFunc(g.broken, func(b brokenRun) bool { return b.crash.Request == request })
	for c := range g.crashes {
		if c.Request == request {
			delete(g.crashes, c)
			suspected = true // it may have been reported
		}
	}
	if suspected && len(g.answered) < keelsync.MaxReported {
		g.answered[request] = now
	}
}

// observed returns what the state lacks, for the next poll of a voter.
func (g *crashGuard) observed(now time.Time, v *keelworld.View) (answered []uint64, crashes []keelworld.Crash) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c, at := range g.crashes {
		if v.Suspects.Contains(c) || now.Sub(at) > reportTimeout {
			delete(g.crashes, c)
			continue
		}
		crashes = append(crashes, c)
	}
	for request, at := range g.answered {
		// An earlier report of a crash may be on its way to the state.
		if _, suspected := v.Suspects[request]; !suspected && now.Sub(at) > clearDelay || now.Sub(at) > reportTimeout {
			delete(g.answered, request)
			continue
		}
		answered = append(answered, request)
	}
	return answered, crashes
}

// clearDelay is how long a report of a crash takes into the state.
const clearDelay = 2 * time.Second
