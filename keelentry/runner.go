package keelentry

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelplace"
	"github.com/greengagekeel/greengagekeel/keelproxy"
	"github.com/greengagekeel/greengagekeel/keelworld"
	"github.com/sirupsen/logrus"
)

// Config configures a [Runner].
type Config struct {
	Place keelplace.Config
	// View returns the present view of the replicated state.
	View func() *keelworld.View
	// Age returns the age of the view.
	Age func(now time.Time) time.Duration
	// Client sends requests to endpoints.
	Client *keelproxy.EndpointClient
	// Read reads what an answer says beside its body.
	Read func(a *keelproxy.Answer) Facts
	// Status returns the status with which a refusal is answered.
	Status func(*keel.Refusal) int
	// Budget bounds the requests that are sent to a second endpoint.
	Budget keelplace.Budget
	Log    *logrus.Entry
}

// Facts are what an answer says beside its body.
type Facts struct {
	// NotRun says that the endpoint did not run the request, Elsewhere that it
	// is not the one that was meant.
	NotRun, Elsewhere bool
	// Genuine says that the answer bears the mark of an endpoint.
	Genuine bool
	Report  keelplace.Report
}

// Runner runs requests. It implements [keelproxy.Runner].
type Runner struct {
	cfg Config
	// end is when the process ends, in nanoseconds since 1970, or 0.
	end atomic.Int64

	mu    sync.Mutex
	view  *keelworld.View
	pools map[keel.ServiceName]*keelplace.Pool
	// patience is the longest time that callers of a route would wait.
	patience map[string]time.Duration
}

// NewRunner returns a runner.
func NewRunner(cfg Config) *Runner {
	return &Runner{cfg: cfg, pools: map[keel.ServiceName]*keelplace.Pool{}, patience: map[string]time.Duration{}}
}

// elsewhereWait is the advised wait where another instance can be asked at once.
const elsewhereWait = 50 * time.Millisecond

// RunRequest implements [keelproxy.Runner].
func (rn *Runner) RunRequest(ctx context.Context, r *keelproxy.Request) (*keelproxy.Answer, error) {
	now := time.Now()
	view := rn.cfg.View()
	t := &try{runner: rn, view: view, request: r, begun: r.Begun}
	t.route, t.spec = view.Route(r.Host, r.Path())
	if t.spec == nil {
		return nil, t.end(t.unmatched())
	}
	limit := t.spec.Timeout
	if r.Timeout > 0 {
		limit = min(limit, r.Timeout)
	}
	r.Deadline = t.begun.Add(limit)
	t.waited = rn.waited(t.route, r.Timeout)
	r.Service = share(t.spec)
	if rn.outlasts(r.Deadline) {
		return nil, t.end(keel.Refuse(keel.NotRun, keel.ReasonLeaving, elsewhereWait, "the instance leaves"))
	}
	ctx, cancel := keelproxy.WithDeadline(ctx, r.Deadline)
	if cancel != nil {
		defer cancel()
	}
	if err := t.readBody(); err != nil {
		return nil, t.end(err)
	}
	a, refusal := t.run(ctx, now)
	if refusal != nil {
		return nil, t.end(refusal)
	}
	t.log(a.Status, nil)
	return a, nil
}

// waited returns how long a caller has waited before this try of its request.
// Callers send how long they will still wait; the longest such time on a route
// is that of first tries.
func (rn *Runner) waited(route string, left time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	rn.mu.Lock()
	defer rn.mu.Unlock()
	rn.patience[route] = max(rn.patience[route], left)
	return rn.patience[route] - left
}

// EndBy tells the runner that the process ends at a time. A request that may not
// be answered by then is refused, so that its caller goes elsewhere.
func (rn *Runner) EndBy(t time.Time) { rn.end.Store(t.UnixNano()) }

// outlasts reports whether a request may last longer than the process.
func (rn *Runner) outlasts(deadline time.Time) bool {
	end := rn.end.Load()
	return end != 0 && deadline.UnixNano() > end
}

// share draws the service of a request by the weights of its route.
func share(spec *keelworld.Route) keel.ServiceName {
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

// with calls f with the pool of a service, brought up to date.
func (rn *Runner) with(now time.Time, view *keelworld.View, service keel.ServiceName, f func(p *keelplace.Pool)) {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	if rn.view == nil || view.Index > rn.view.Index {
		rn.renew(now, view)
	}
	p := rn.pools[service]
	if p == nil {
		p = rn.newPool(now, service)
	}
	f(p)
}

func (rn *Runner) newPool(now time.Time, service keel.ServiceName) *keelplace.Pool {
	p := keelplace.NewPool(rn.cfg.Place, service)
	p.Update(now, rn.view, nil)
	rn.pools[service] = p
	return p
}

// renew takes a newer view. The caller holds mu.
func (rn *Runner) renew(now time.Time, view *keelworld.View) {
	ended := map[keel.DomainName]bool{}
	if rn.view != nil {
		for d := range rn.view.Drained {
			if !view.Drained[d] {
				ended[d] = true
			}
		}
	}
	rn.view = view
	for service := range view.Endpoints {
		if rn.pools[service] == nil {
			rn.newPool(now, service)
		}
	}
	for _, p := range rn.pools {
		p.Update(now, view, ended)
	}
}
