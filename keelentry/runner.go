package keelentry

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelplace"
	"github.com/greengagekeel/greengagekeel/keelproxy"
	"github.com/greengagekeel/greengagekeel/keelworld"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc/pool"
)

// Config configures a [Runner].
type Config struct {
	// Pool configures the pools of endpoints.
	Pool keelplace.Config
	// View returns the current view of the replicated state.
	View func() *keelworld.View
	// Age returns the time since the view was last confirmed to be current.
	Age func(now time.Time) time.Duration
	// OrderAge returns the time for which the view may lack an accepted order, such as the
	// drain of a failure domain.
	OrderAge func(now time.Time) time.Duration
	// Silence returns the time since a voter that has a leader last answered.
	Silence func(now time.Time) time.Duration
	// Client sends requests to endpoints.
	Client *keelproxy.EndpointClient
	// ReadFacts extracts the facts that an answer carries in its status and header.
	ReadFacts func(a *keelproxy.Answer) Facts
	// Link is the network link of the instance; its utilization is logged.
	Link *LinkGuard
	// Status returns the HTTP status with which a refusal is answered.
	Status func(*keel.Refusal) int
	// Isolated, if not nil, is called when the instance loses contact with all endpoints, and
	// when it regains it. It must not block.
	Isolated func(isolated bool)
	// RetryBudget limits the retries of requests at other endpoints.
	RetryBudget keelplace.RetryBudget
	Log         *logrus.Entry
}

// Facts holds what the status and header of an answer say about the request and
// the endpoint.
type Facts struct {
	// NotRun is whether the endpoint did not run the request, WrongEndpoint whether
	// the answer is from another endpoint than the chosen one.
	NotRun, WrongEndpoint bool
	// Genuine is whether the answer has a seal: the header field with which an
	// endpoint marks the answers that it generated itself.
	Genuine bool
	// Report is the load that the endpoint reported.
	Report keelplace.Report
}

// Runner dispatches requests to endpoints. It implements [keelproxy.Runner] and is
// safe for concurrent use.
type Runner struct {
	cfg Config
	// shutdownAt is when the process exits, in nanoseconds since 1970; 0 if that is
	// not planned.
	shutdownAt atomic.Int64

	mu    sync.Mutex
	view  *keelworld.View
	pools map[keel.ServiceName]*keelplace.Pool
	// longestTimeout is the longest timeout that callers have sent, by route.
	longestTimeout map[string]time.Duration
	crashes        *crashGuard
	limits         *limitReports
	contact        *contactGuard
}

// NewRunner returns a runner without pools. They are created on first use.
func NewRunner(cfg Config) *Runner {
	rn := &Runner{
		cfg: cfg, pools: map[keel.ServiceName]*keelplace.Pool{}, longestTimeout: map[string]time.Duration{},
		limits: newLimitReports(),
	}
	rn.contact = newContactGuard(rn)
	rn.crashes = newCrashGuard(cfg.Client.Probe, rn.contact.reachesOthers)
	return rn
}

// Run finds out whether endpoints whose connections broke have crashed, and whether the
// instance reaches any endpoint, until ctx ends.
func (rn *Runner) Run(ctx context.Context) error {
	group := pool.New().WithErrors().WithContext(ctx).WithCancelOnError()
	group.Go(rn.crashes.run)
	group.Go(rn.contact.run)
	return group.Wait()
}

// Connected tells the runner that its client has opened a connection to an endpoint.
func (rn *Runner) Connected() { rn.contact.connected() }

// Isolated reports whether the instance reaches no endpoint.
func (rn *Runner) Isolated() bool { return rn.contact.isolated() }

// regained drops what was observed of endpoints while the instance reached none.
func (rn *Runner) regained(now time.Time) {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	for _, p := range rn.pools {
		p.Regained(now)
	}
}

// Observed returns what the voters are to know of requests that crash endpoints, see
// [keelsync.FollowerConfig].
func (rn *Runner) Observed(v *keelworld.View) (answered []uint64, crashes []keelworld.Crash) {
	return rn.crashes.observed(time.Now(), v)
}

// RateLimits returns the limits of endpoints that the voters are to know, see
// [keelsync.FollowerConfig].
func (rn *Runner) RateLimits(v *keelworld.View) []keelworld.RateLimit {
	return rn.limits.due(time.Now(), v)
}

// leavingRetryAfter is the retry delay of a request that another instance can take
// immediately.
const leavingRetryAfter = 50 * time.Millisecond

// RunRequest implements [keelproxy.Runner].
func (rn *Runner) RunRequest(ctx context.Context, r *keelproxy.Request) (*keelproxy.Answer, error) {
	now := time.Now()
	view := rn.cfg.View()
	t := &task{runner: rn, view: view, request: r, startedAt: r.ReceivedAt}
	t.route, t.spec = view.Route(r.Host, r.Path())
	if t.spec == nil {
		return nil, t.logRefused(t.refuseUnmatched())
	}
	if rn.cfg.Link.Yields(now, rn.cfg.Age(now), rn.cfg.Silence(now)) {
		return nil, t.logRefused(keel.Refuse(keel.NotRun, keel.ReasonOverload, unconfirmedRetryAfter, "the link of the instance is full and keeps it from the voters"))
	}
	limit := t.spec.Timeout
	if r.Timeout > 0 {
		limit = min(limit, r.Timeout)
	}
	r.Deadline = t.startedAt.Add(limit)
	t.priorWait = rn.priorWait(t.route, r.Timeout)
	r.Service = pickService(t.spec)
	if rn.outlastsProcess(r.Deadline) {
		return nil, t.logRefused(keel.Refuse(keel.NotRun, keel.ReasonLeaving, leavingRetryAfter, "the instance leaves"))
	}
	ctx, cancel := keelproxy.WithDeadline(ctx, r.Deadline)
	if cancel != nil {
		defer cancel()
	}
	if err := t.bufferBody(ctx); err != nil {
		return nil, t.logRefused(err)
	}
	a, refusal := t.dispatch(ctx)
	if !t.relayed {
		t.recordCrashes(a != nil)
	}
	if refusal != nil {
		return nil, t.logRefused(refusal)
	}
	t.log(a.Status, nil)
	return a, nil
}

// priorWait estimates how long a caller has waited in earlier attempts at its
// request. Callers send their remaining timeout, and the longest one seen on a
// route is taken to be that of a first attempt.
func (rn *Runner) priorWait(route string, timeLeft time.Duration) time.Duration {
	if timeLeft <= 0 {
		return 0
	}
	rn.mu.Lock()
	defer rn.mu.Unlock()
	rn.longestTimeout[route] = max(rn.longestTimeout[route], timeLeft)
	return rn.longestTimeout[route] - timeLeft
}

// SetShutdownTime sets the time at which the process exits. Requests whose deadline
// is later are refused from now on, so that their callers use another instance.
func (rn *Runner) SetShutdownTime(t time.Time) { rn.shutdownAt.Store(t.UnixNano()) }

// outlastsProcess reports whether a deadline is after the exit of the process.
func (rn *Runner) outlastsProcess(deadline time.Time) bool {
	end := rn.shutdownAt.Load()
	return end != 0 && deadline.UnixNano() > end
}

// pickService picks a service at random by the weights of the route.
func pickService(spec *keelworld.Route) keel.ServiceName {
	if len(spec.Shares) == 1 {
		return spec.Shares[0].Service
	}
	var sum float64
	for _, s := range spec.Shares {
		sum += s.Weight
	}
	x := rand.Float64() * sum
	for _, s := range spec.Shares {
		if x -= s.Weight; x < 0 {
			return s.Service
		}
	}
	return spec.Shares[len(spec.Shares)-1].Service
}

// withPool calls f with the pool of a service, after updating all pools if the view
// is newer than theirs. It holds mu during the call, so f must not block.
func (rn *Runner) withPool(now time.Time, view *keelworld.View, service keel.ServiceName, f func(p *keelplace.Pool)) {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	if rn.view == nil || view.Index > rn.view.Index {
		rn.updateView(now, view)
	}
	p := rn.pools[service]
	if p == nil {
		p = rn.newPool(now, service)
	}
	p.SetConfirmed(rn.cfg.OrderAge(now) <= unconfirmedAge)
	f(p)
}

// newPool adds a pool for a service. The caller holds mu.
func (rn *Runner) newPool(now time.Time, service keel.ServiceName) *keelplace.Pool {
	p := keelplace.NewPool(rn.cfg.Pool, service)
	p.Update(now, rn.view, nil)
	rn.pools[service] = p
	return p
}

// Follow updates the pools to a newer view that was received now, so that the times in
// announcements count from then, also while no request comes.
func (rn *Runner) Follow(now time.Time, view *keelworld.View) {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	if rn.view == nil || view.Index > rn.view.Index {
		rn.updateView(now, view)
	}
}

// updateView updates all pools to a newer view. The caller holds mu.
func (rn *Runner) updateView(now time.Time, view *keelworld.View) {
	// The first view may hold the end of a drain that is just over, so that all count.
	known := map[keel.DomainName]uint64{}
	if rn.view != nil {
		known = rn.view.DrainEndedAt
	}
	undrained := map[keel.DomainName]bool{}
	for d, index := range view.DrainEndedAt {
		if index > known[d] {
			undrained[d] = true
		}
	}
	if len(undrained) > 0 {
		rn.cfg.Log.WithFields(logrus.Fields{"domains": slices.Sorted(maps.Keys(undrained)), "index": view.Index}).Info("drains have ended, endpoints count as cold")
	}
	rn.view = view
	for service := range view.Endpoints {
		if rn.pools[service] == nil {
			rn.newPool(now, service)
		}
	}
	for _, p := range rn.pools {
		p.Update(now, view, undrained)
	}
}
