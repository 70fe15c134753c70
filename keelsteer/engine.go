package keelsteer

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keeladmit"
	"github.com/greengagekeel/greengagekeel/keelclaim"
	"github.com/greengagekeel/greengagekeel/keeldeclare"
	"github.com/greengagekeel/greengagekeel/keelendpoint"
	"github.com/greengagekeel/greengagekeel/keelguard"
	"github.com/greengagekeel/greengagekeel/keelproxy"
	"github.com/greengagekeel/greengagekeel/keelroute"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
)

// Config configures an [Engine].
type Config struct {
	Self keel.Instance
	// Declared returns the declarations in force at this instance.
	Declared func() *keeldeclare.Snapshot
	// View returns the last reports of the other instances.
	View      func() *View
	Endpoints *keelendpoint.Service
	Transport keel.Transport
	Claims    *keelclaim.Service
	Guard     *keelguard.Service
	Log       *logrus.Entry
	// OnVersion is called by [Engine.Run] once requests are handled by another version
	// of the declarations. It may be nil.
	OnVersion func()
	// OnLookup is called after each look-up with its result. It may be nil.
	OnLookup func(LookupResult)
	// LookupTTL is how long a caller may use the answer to a look-up.
	LookupTTL time.Duration
	// MaxKeyedBytes limits the body of an at-most-once request. It is buffered
	// in memory, so that it can be hashed and sent again.
	MaxKeyedBytes int
	// MaxEndpointConns limits the connections to endpoints; 0 means no limit.
	MaxEndpointConns int
	// MaxAnswerBytes limits the answer to an at-most-once request that is
	// recorded for resends.
	MaxAnswerBytes int
	// FirstStart is set if the system starts for the first time, so that no
	// traffic can have been shifted before.
	FirstStart bool
	// Seed seeds the random choices.
	Seed uint64
}

// Periods and limits of an [Engine].
const (
	// retryRatio is the maximum ratio of retries to requests.
	retryRatio = 0.1
	// maxAttempts limits how often runShared tries a request in a failure domain,
	// and how often runOwned dispatches it to an endpoint.
	maxAttempts = 3
	// expirePeriod is the interval between two checks for requests that have
	// waited too long.
	expirePeriod = 10 * time.Millisecond
	// planPeriod is the interval at which the plan is rebuilt if nothing
	// changes.
	planPeriod = 500 * time.Millisecond
	// leavingRetryAfter is the retry delay of a request that another instance can take
	// at once.
	leavingRetryAfter = 50 * time.Millisecond
	// probeTimeout limits the probe of an endpoint on a new connection.
	probeTimeout = time.Second
)

// Engine runs requests. It implements [keelproxy.Runner] and is safe for use by
// several goroutines.
type Engine struct {
	cfg     Config
	client  *keelproxy.EndpointClient
	forward keelproxy.Forwarder
	silence *silenceWatch
	plan    atomic.Pointer[plan]
	leaving atomic.Bool
	// shutdownAt is when the process exits at the latest; nil while that is not planned.
	shutdownAt atomic.Pointer[time.Time]
	replan     chan struct{}
	drains     drainLog

	mu             sync.Mutex // guards the fields below; credits and links have mutexes of their own
	rng            *rand.Rand
	shares         *keelroute.Shares
	owners         *keeladmit.Owners
	retry          *keeladmit.RetryBudget
	ramp           *keelroute.Ramp
	pools          map[keel.ServiceName]*pool
	knownEndpoints map[keel.EndpointID]bool
	// demand holds, per source and failure domain, the requests sent there.
	demand map[keelroute.Source]map[keel.DomainName]*load
	// forwarded counts the requests in flight at each other instance.
	forwarded map[keel.InstanceName]int
	// lostDomains holds the domains that are unreachable or drained.
	lostDomains map[keel.DomainName]bool
	credits     creditState
	links       linkState
	// settling tracks, per service, which domains are slower than usual after
	// their share grew.
	settling      map[keel.ServiceName]*keelroute.Settling
	closedDomains closedDomains
	exchange      shareExchange
	handOvers     handOvers
}

// New returns an engine with its first plan. Call [Engine.Run] to keep the plan
// up to date.
func New(cfg Config) *Engine {
	e := &Engine{
		cfg:            cfg,
		forward:        keelproxy.Forwarder{Transport: cfg.Transport, Log: cfg.Log},
		replan:         make(chan struct{}, 1),
		rng:            rand.New(rand.NewPCG(cfg.Seed, cfg.Self.Incarnation)),
		shares:         keelroute.NewShares(keelroute.SharesConfig{Self: cfg.Self.Name, FirstStart: cfg.FirstStart}),
		owners:         keeladmit.NewOwners(keeladmit.OwnersConfig{Self: cfg.Self.Name}),
		retry:          keeladmit.NewRetryBudget(retryRatio),
		ramp:           keelroute.NewRamp(keelroute.RampConfig{}),
		pools:          make(map[keel.ServiceName]*pool),
		knownEndpoints: make(map[keel.EndpointID]bool),
		demand:         make(map[keelroute.Source]map[keel.DomainName]*load),
		forwarded:      make(map[keel.InstanceName]int),
		lostDomains:    make(map[keel.DomainName]bool),
	}
	e.credits = newCreditState(cfg.Self.Name)
	e.links = newLinkState(cfg.Self.Region)
	e.exchange = newShareExchange()
	e.settling = make(map[keel.ServiceName]*keelroute.Settling)
	e.closedDomains = newClosedDomains()
	e.handOvers = newHandOvers()
	e.silence = newSilenceWatch(cfg.Log)
	e.client = keelproxy.NewEndpointClient(keelproxy.ClientConfig{Observer: e.silence, MaxOpen: cfg.MaxEndpointConns})
	e.silence.client = e.client
	e.makePlan(time.Now())
	return e
}

// Run keeps the plan up to date, exchanges credits, shares and hand-overs with
// other instances, closes silent connections, and refuses requests that have
// waited too long. When ctx ends, it closes the connections to endpoints and
// returns nil.
func (e *Engine) Run(ctx context.Context) error {
	var group conc.WaitGroup
	defer group.Wait()
	group.Go(loop{e: e, ctx: ctx}.runExpiry)
	group.Go(loop{e: e, ctx: ctx}.runCredits)
	group.Go(loop{e: e, ctx: ctx}.runSilence)
	group.Go(loop{e: e, ctx: ctx}.runShares)
	group.Go(loop{e: e, ctx: ctx}.runHandOver)
	ticker := time.NewTicker(planPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			e.client.Close()
			return nil
		case <-ticker.C:
		case <-e.replan:
		}
		old := e.Version()
		e.makePlan(time.Now())
		if e.Version() != old && e.cfg.OnVersion != nil {
			e.cfg.OnVersion()
		}
	}
}

// Version returns the version of the declarations by which requests are handled. It is
// behind Config.Declared until the plan has been rebuilt.
func (e *Engine) Version() keel.Version { return e.plan.Load().snapshot.Version }

// Replan triggers a rebuild of the plan. It is called after a change of the
// declarations, the members or the endpoints.
func (e *Engine) Replan() {
	select {
	case e.replan <- struct{}{}:
	default: // a rebuild is already pending
	}
}

// SetShutdownTime sets when the process exits at the latest. Requests whose deadline is
// later are refused from now on: they would be cut then.
func (e *Engine) SetShutdownTime(t time.Time) { e.shutdownAt.Store(&t) }

// Leave makes the engine hand over its endpoints. They take no new requests,
// but requests that already wait are still run.
func (e *Engine) Leave() {
	e.leaving.Store(true)
	e.Replan()
}

// refuseOutlasting refuses a request that may last until after the exit of the process.
// Another instance can take it.
func (e *Engine) refuseOutlasting(r *keelproxy.Request) *keel.Refusal {
	end := e.shutdownAt.Load()
	if end == nil || !r.Deadline.After(*end) {
		return nil
	}
	return keel.Refuse(keel.NotRun, keel.ReasonLeaving, leavingRetryAfter, "instance %q leaves before the deadline of the request", e.cfg.Self.Name)
}

// loop is one periodic task of an engine.
type loop struct {
	e   *Engine
	ctx context.Context
}

func (l loop) runExpiry() {
	ticker := time.NewTicker(expirePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case now := <-ticker.C:
			for _, p := range l.e.allPools() {
				p.expire(now)
			}
		}
	}
}

func (e *Engine) allPools() map[keel.ServiceName]*pool {
	return e.plan.Load().pools
}

func (e *Engine) random() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rng.Uint64()
}
