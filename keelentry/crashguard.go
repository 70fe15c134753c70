package keelentry

import (
	"slices"
	"sync"
	"time"

	"github.com/greengagekeel/greengagekeel/keelguard"
	"github.com/greengagekeel/greengagekeel/keelproxy"
	"github.com/greengagekeel/greengagekeel/keelsync"
	"github.com/greengagekeel/greengagekeel/keelworld"
	"github.com/zeebo/xxh3"
)

// reportTimeout is how long an observation is reported to the voters. It exceeds the
// time without a leader after the loss of voters.
const reportTimeout = time.Minute

// crashGuard keeps requests from crashing one endpoint after the other. It collects
// what this instance observed until the replicated state has it. A request is blocked
// from [keelworld.MaxCrashes] crashes on, unless an endpoint answers a copy that is in
// flight.
type crashGuard struct {
	mu sync.Mutex
	// crashes and answered are when something was observed that the state may lack.
	crashes  map[keelworld.Crash]time.Time
	answered map[uint64]time.Time
}

func newCrashGuard() *crashGuard {
	return &crashGuard{crashes: map[keelworld.Crash]time.Time{}, answered: map[uint64]time.Time{}}
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
	return len(g.crashes) > 0
}

// blocks reports whether a request may be sent to no endpoint.
func (g *crashGuard) blocks(v *keelworld.View, request uint64) bool {
	known := v.Suspects[request].Crashes
	n := len(known)
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.crashes {
		if c.Request == request && !slices.Contains(known, c) {
			n++
		}
	}
	return n >= keelworld.MaxCrashes
}

// connectionBroke records that the connection to an endpoint broke while the request was
// in flight there.
func (g *crashGuard) connectionBroke(now time.Time, c keelworld.Crash) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.answered, c.Request)
	if len(g.crashes) < keelsync.MaxReported {
		g.crashes[c] = now
	}
}

// wasAnswered records that an endpoint answered the request, so that it does not crash
// those that run it.
func (g *crashGuard) wasAnswered(now time.Time, v *keelworld.View, request uint64) {
	_, suspected := v.Suspects[request]
	g.mu.Lock()
	defer g.mu.Unlock()
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
