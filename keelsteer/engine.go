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
	// View returns what is known of the other instances.
	View      func() *View
	Endpoints *keelendpoint.Service
	Transport keel.Transport
	Claims    *keelclaim.Service
	Guard     *keelguard.Service
	Log       *logrus.Entry
	// OnLookup is told of every look-up that was answered. It may be nil.
	OnLookup func(LookupResult)
	// LookupTTL is how long a caller may use the answer to a look-up.
	LookupTTL time.Duration
	// MaxKeyedBytes bounds the body of an at-most-once request, which is held in
	// memory so that it can be compared and sent again.
	MaxKeyedBytes int
	// MaxAnswerBytes bounds the answer to an at-most-once request that is
	// recorded for resends.
	MaxAnswerBytes int
	// FirstStart says that the system starts for the first time, so that
	// nothing can have been shifted before.
	FirstStart bool
	// Seed seeds the choices.
	Seed uint64
}

// Periods and limits of an [Engine].
const (
	// retryPart is the part of the requests that may be tried again.
	retryPart = 0.1
	// maxTries bounds the failure domains that one request is offered to.
	maxTries = 3
	// expirePeriod is how often waiting requests are looked at.
	expirePeriod = 10 * time.Millisecond
	// planPeriod is how often the plan is made anew without a cause.
	planPeriod = 500 * time.Millisecond
	// probeTimeout limits a fresh connection that tests an endpoint.
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
	replan  chan struct{}
	drains  drainLog

	mu      sync.Mutex // guards what follows
	rng     *rand.Rand
	shares  *keelroute.Shares
	owners  *keeladmit.Owners
	retry   *keeladmit.RetryBudget
	ramp    *keelroute.Ramp
	pools   map[keel.ServiceName]*pool
	known   map[keel.EndpointID]bool
	demand  map[keelroute.Source]map[keel.DomainName]*load
	sent    map[keel.InstanceName]int
	lost    map[keel.DomainName]bool
	credits creditBook
	links   linkBook
	// settling holds the latency of each service.
	settling map[keel.ServiceName]*keelroute.Settling
	closures closures
	// exchange and moved are guarded by mu.
	exchange shareExchange
	moved    handOvers
}

// New returns an engine that runs nothing before [Engine.Run] has made its
// first plan.
func New(cfg Config) *Engine {
	e := &Engine{
		cfg:     cfg,
		forward: keelproxy.Forwarder{Transport: cfg.Transport},
		replan:  make(chan struct{}, 1),
		rng:     rand.New(rand.NewPCG(cfg.Seed, cfg.Self.Incarnation)),
		shares:  keelroute.NewShares(keelroute.SharesConfig{Self: cfg.Self.Name, FirstStart: cfg.FirstStart}),
		owners:  keeladmit.NewOwners(keeladmit.OwnersConfig{Self: cfg.Self.Name}),
		retry:   keeladmit.NewRetryBudget(retryPart),
		ramp:    keelroute.NewRamp(keelroute.RampConfig{}),
		pools:   make(map[keel.ServiceName]*pool),
		known:   make(map[keel.EndpointID]bool),
		demand:  make(map[keelroute.Source]map[keel.DomainName]*load),
		sent:    make(map[keel.InstanceName]int),
		lost:    make(map[keel.DomainName]bool),
	}
	e.credits = newCreditBook(cfg.Self.Name)
	e.links = newLinkBook(cfg.Self.Region)
	e.exchange = newShareExchange()
	e.settling = make(map[keel.ServiceName]*keelroute.Settling)
	e.closures = newClosures()
	e.moved = newHandOvers()
	e.silence = newSilenceWatch(cfg.Log)
	e.client = keelproxy.NewEndpointClient(keelproxy.ClientConfig{Observer: e.silence})
	e.silence.client = e.client
	e.makePlan(time.Now())
	return e
}

// Run keeps the plan up to date and refuses requests that wait too long, until
// ctx ends.
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
		e.makePlan(time.Now())
	}
}

// Changed asks for a new plan, since something that it is made from changed.
func (e *Engine) Changed() {
	select {
	case e.replan <- struct{}{}:
	default: // a plan is due already
	}
}

// Leave makes the engine hand over its endpoints: it takes no new work for them
// except what waits already.
func (e *Engine) Leave() {
	e.leaving.Store(true)
	e.Changed()
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
