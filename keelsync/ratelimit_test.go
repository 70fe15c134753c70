package keelsync_test

import (
	"net/netip"
	"sync"
	"testing"

	"github.com/greengagekeel/greengagekeel/keelsync"
	"github.com/greengagekeel/greengagekeel/keelworld"
)

// limitsToReport are the limits that an entry instance reports.
type limitsToReport struct {
	mu  sync.Mutex
	all []keelworld.RateLimit
}

func (l *limitsToReport) set(all ...keelworld.RateLimit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = all
}

func (l *limitsToReport) get(*keelworld.View) []keelworld.RateLimit {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all
}

// One entry instance reports the limit of an endpoint, another one that it was lifted. All
// instances get to know both, those that start later as well: otherwise the ones that get no answers
// would exceed the limit, or keep to it for good.
func TestRateLimitsAreShared(t *testing.T) {
	w, voters := startSixVoters(t)
	first, second := &limitsToReport{}, &limitsToReport{}
	w.limits["10.0.1.1"], w.limits["10.0.1.2"] = first.get, second.get
	followers := []*keelsync.Follower{w.follower("10.0.1.1", nil), w.follower("10.0.1.2", nil), w.follower("10.0.1.3", nil)}
	e := &keelworld.Endpoint{
		ID: "a", Incarnation: 1, Sequence: 1, State: keelworld.EndpointServing, Service: "s", Domain: "d0",
		Address: netip.MustParseAddrPort("10.0.9.1:80"), Slots: 2,
	}
	await := func(what string, want int) {
		t.Helper()
		for _, f := range followers {
			w.waitFor(what, func() bool { return len(f.View().RateLimits) == want })
		}
	}
	w.waitFor("the endpoint is announced", func() bool {
		_ = voters[names[0]].Announce(t.Context(), e)
		_, ok := followers[0].View().Endpoint("s", "a")
		return ok
	})
	l := keelworld.RateLimit{Endpoint: "a", Incarnation: 1, PerSecond: 3}
	first.set(l)
	await("the limit is known", 1)
	followers = append(followers, w.follower("10.0.1.4", nil))
	await("the limit is known to a new instance", 1)
	first.set()
	l.Lifted = true
	second.set(l)
	await("the limit is lifted", 0)
}
