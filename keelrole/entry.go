package keelrole

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/gofiber/fiber/v3"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelbudget"
	"github.com/greengagekeel/greengagekeel/keelconfig"
	"github.com/greengagekeel/greengagekeel/keelentry"
	"github.com/greengagekeel/greengagekeel/keelguard"
	"github.com/greengagekeel/greengagekeel/keelkey"
	"github.com/greengagekeel/greengagekeel/keelpeer"
	"github.com/greengagekeel/greengagekeel/keelplace"
	"github.com/greengagekeel/greengagekeel/keelproxy"
	"github.com/greengagekeel/greengagekeel/keelsync"
	"github.com/greengagekeel/greengagekeel/keelworld"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc/pool"
)

// EntryConfig configures an [Entry].
type EntryConfig struct {
	Settings *keelconfig.SteerSettings
	// Dialect is the HTTP dialect of callers and endpoints.
	Dialect *keelproxy.Dialect
	// ReadFacts extracts the facts about an endpoint from the header of its answer.
	ReadFacts func(*keelproxy.Answer) keelentry.Facts
	// Status returns the HTTP status for a refusal.
	Status func(*keel.Refusal) int
	// App returns the HTTP application for look-ups and readiness.
	App func(*Entry) *fiber.App
	Log *logrus.Entry
}

const (
	// dialTimeout limits the opening of a connection to an endpoint. It allows
	// for several round trips between regions.
	dialTimeout = 400 * time.Millisecond
	// endpointIdleTimeout is how long an idle connection to an endpoint is kept.
	// Endpoints close theirs later.
	endpointIdleTimeout = 8 * time.Second
	// callerIdleTimeout is how long a connection of a caller may be idle. Callers
	// don't reuse connections that were idle for this long.
	callerIdleTimeout = time.Minute
	// bodyIdleTimeout is how long a caller may send nothing in the middle of a
	// request.
	bodyIdleTimeout = 3 * time.Second
	// maxHeaderBytes limits the header of a request.
	maxHeaderBytes = 64 << 10
	// lookupTTL limits how long callers may cache a look-up, and thereby how long
	// they send requests to an instance that is shutting down. The settings may
	// set a lower limit.
	lookupTTL = 2 * time.Second
	// leaveDelay is how long an instance that is shutting down still accepts
	// requests. By then, the look-ups that callers have cached have expired.
	leaveDelay = lookupTTL + 1200*time.Millisecond
	// graceMargin is the part of the grace period that is reserved for the exit of
	// the process.
	graceMargin = 400 * time.Millisecond
)

// Entry is an instance that accepts callers' requests and sends them to endpoints.
type Entry struct {
	cfg            EntryConfig
	calls          *keelpeer.CallClient
	follower       *keelsync.Follower
	client         *keelproxy.EndpointClient
	runner         *keelentry.Runner
	link           *keelentry.LinkGuard
	front          *keelproxy.Front
	callerListener net.Listener
	budget         *keelbudget.Budget
	metrics        *metrics
	leaving        atomic.Bool
	stop           stopSignal
}

// NewEntry opens the caller port of an entry instance. [Entry.Run] opens the others.
func NewEntry(cfg EntryConfig) (*Entry, error) {
	s := cfg.Settings
	keys, err := keelkey.Unverified(instanceName(s))
	if err != nil {
		return nil, errors.Wrap(err, "make keys")
	}
	calls := keelpeer.NewCallClient(keelpeer.CallClientConfig{Keys: keys})
	in := &Entry{cfg: cfg, calls: calls, metrics: newMetrics(s), stop: make(stopSignal)}
	share := keelbudget.ShareOf(s.MemoryBytes(), keelbudget.Descriptors())
	in.budget = keelbudget.New(keelbudget.Config{Bytes: share.Bytes, Connections: share.Clients})
	in.follower = keelsync.NewFollower(keelsync.FollowerConfig{
		Self: keelworld.Node{
			Name: instanceName(s), Incarnation: uint64(time.Now().UnixNano()),
			Domain: s.Domain, Region: s.Region, Caller: s.Listen.Caller, Up: true,
		},
		Network: calls, PeerPort: s.PeerPort, Seeds: s.SeedAddrs(), Log: cfg.Log,
		OnChange:   func(_, now *keelworld.View) { in.runner.Follow(time.Now(), now) },
		Observed:   func(v *keelworld.View) ([]uint64, []keelworld.Crash) { return in.runner.Observed(v) },
		RateLimits: func(v *keelworld.View) []keelworld.RateLimit { return in.runner.RateLimits(v) },
	})
	traffic := &keelproxy.Traffic{}
	in.link = keelentry.NewLinkGuard(keelentry.LinkConfig{Traffic: traffic, BytesPerSecond: s.LinkBytesPerSecond()})
	in.client = keelproxy.NewEndpointClient(keelproxy.ClientConfig{
		DialTimeout: dialTimeout, IdleTimeout: endpointIdleTimeout, Dialect: cfg.Dialect, Traffic: traffic,
		MaxOpen:  share.Endpoints,
		Observer: keelentry.ContactObserver{Connected: func() { in.runner.Connected() }},
	})
	in.runner = keelentry.NewRunner(keelentry.Config{
		Pool: keelplace.Config{
			Self: instanceName(s), Location: keelplace.Location{Domain: s.Domain, Region: s.Region}, Region: s.RegionOf,
			MaxShift: s.Bounds.MaxShift,
		},
		View: in.follower.View, Age: in.follower.Age, OrderAge: in.follower.OrderAge, Silence: in.follower.Silence, Client: in.client, ReadFacts: cfg.ReadFacts, Status: cfg.Status,
		Link:        in.link,
		Isolated:    in.follower.SetIsolated,
		RetryBudget: keelplace.RetryBudget{Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack, Window: s.Bounds.RetryWindow()},
		Log:         cfg.Log,
	})
	in.front = keelproxy.NewFront(keelproxy.FrontConfig{
		Runner: in.runner, Dialect: cfg.Dialect, Log: cfg.Log, Report: in.metrics.recordRequest,
		MaxHeaderBytes: maxHeaderBytes, IdleTimeout: callerIdleTimeout, BodyIdle: bodyIdleTimeout,
		Limits: in.limits, Budget: in.budget, MoveCaller: in.link.MoveCaller, Traffic: traffic,
	})
	in.callerListener, err = in.listenCallers(s.Listen.Caller)
	return in, err
}

// instanceName returns the name of the instance among its peers: its address.
func instanceName(s *keelconfig.SteerSettings) keel.InstanceName {
	return keel.InstanceName(s.Address.String())
}

func listen(at netip.AddrPort) (net.Listener, error) {
	ln, err := net.Listen("tcp4", at.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", at)
	}
	return keelpeer.AcceptRetrier{Listener: ln}, nil
}

// Run serves until ctx ends, [Entry.Stop] has completed, or a component fails.
func (in *Entry) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group := pool.New().WithErrors().WithContext(ctx).WithCancelOnError()
	group.Go(in.calls.Run)
	group.Go(in.follower.Run)
	group.Go(in.front.Run)
	group.Go(in.runFront)
	group.Go(in.runner.Run)
	for _, at := range []netip.AddrPort{in.cfg.Settings.Listen.Ready, in.cfg.Settings.Listen.Lookup} {
		if at.IsValid() {
			group.Go(callerAppServer{in, at}.run)
		}
	}
	group.Go(keelbudget.Reporter{Budget: in.budget, Log: in.cfg.Log}.Run)
	if at := operatorAddr(in.cfg.Settings); at.IsValid() {
		group.Go(appServer{newOperatorApp(in.metrics, in.gaugeValues, in.stateDump), at}.run)
	}
	group.Go(in.stop.wait)
	usage := in.budget.Usage()
	in.cfg.Log.WithFields(logrus.Fields{
		"caller": in.cfg.Settings.Listen.Caller.String(), "domain": in.cfg.Settings.Domain,
		"held_bytes_limit": usage.Limit, "caller_connections_limit": usage.MaxConnections,
	}).Info("entry instance started")
	err := ignoreStopped(group.Wait())
	in.cfg.Log.WithField("requests", in.front.InFlight()).Info("entry instance stopped")
	return err
}

// operatorAddr returns the address of the operator port, which is not valid if
// there is none.
func operatorAddr(s *keelconfig.SteerSettings) netip.AddrPort {
	if s.OperatorPort == 0 {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(s.Address, s.OperatorPort)
}

// gaugeValues returns the current values of the gauges.
func (in *Entry) gaugeValues() map[string]float64 {
	v := in.follower.View()
	endpoints := 0
	for _, es := range v.Endpoints {
		endpoints += len(es)
	}
	usage := in.budget.Usage()
	return map[string]float64{
		"held_bytes": float64(usage.Held), "held_bytes_limit": float64(usage.Limit),
		"caller_connections": float64(usage.Connections), "caller_connections_limit": float64(usage.MaxConnections),
		"callers_evicted": float64(usage.Evicted), "callers_without_room": float64(usage.Refused),
		"in_flight": float64(in.front.InFlight()), "view_index": float64(v.Index),
		"view_age_seconds":  in.follower.Age(time.Now()).Seconds(),
		"order_age_seconds": in.follower.OrderAge(time.Now()).Seconds(),
		"endpoints":         float64(endpoints), "entry_instances": float64(len(v.Nodes)),
		"link_utilization":  in.link.Utilization(),
		"suspects":          float64(len(v.Suspects)),
		"isolated":          number(in.runner.Isolated()),
		"limited_endpoints": float64(len(v.RateLimits)),
	}
}

// number returns 1 for true.
func number(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// stateDump returns the state that the operator port shows.
func (in *Entry) stateDump() any {
	v := in.follower.View()
	return map[string]any{
		"name": in.cfg.Settings.Name, "domain": in.cfg.Settings.Domain, "leaving": in.leaving.Load(),
		"index": v.Index, "age_ms": in.follower.Age(time.Now()).Milliseconds(), "configured": v.Configured, "isolated": in.runner.Isolated(),
		"endpoints": v.Endpoints, "drained": v.Drained, "entry_instances": v.Nodes,
		"callers": in.budget.Usage(), "suspects": crashCounts(v.Suspects), "rate_limits": perSecond(v.RateLimits),
	}
}

// crashCounts returns the number of crashes of each request by fingerprint.
func crashCounts(all keelworld.Suspects) map[string]int {
	counts := make(map[string]int, len(all))
	for request, o := range all {
		counts[keelguard.ID(request).String()] = len(o.Crashes)
	}
	return counts
}

// perSecond returns the limits of endpoints in requests per second by id.
func perSecond(all keelworld.RateLimits) map[string]float64 {
	rates := make(map[string]float64, len(all))
	for id, l := range all {
		rates[id] = l.PerSecond
	}
	return rates
}

func (in *Entry) runFront(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = in.callerListener.Close() })
	defer stop()
	if err := in.front.Serve(in.callerListener); err != nil && ctx.Err() == nil && !in.leaving.Load() {
		return err
	}
	<-ctx.Done()
	return nil
}

// Stop shuts down gracefully: it withdraws the instance from look-ups, waits for
// the requests in flight, at most for the grace period, and makes [Entry.Run]
// return. It must be called at most once.
func (in *Entry) Stop(ctx context.Context) {
	in.leaving.Store(true)
	in.cfg.Log.WithField("requests", in.front.InFlight()).Info("entry instance leaves")
	in.follower.SetAvailable(false)
	in.front.DisableKeepAlive()
	grace := in.cfg.Settings.Timing.Grace() - graceMargin
	end := time.Now().Add(grace)
	in.runner.SetShutdownTime(end)
	select {
	case <-ctx.Done():
	case <-time.After(min(leaveDelay, grace)):
	}
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	if err := in.front.Shutdown(ctx); err != nil {
		in.cfg.Log.WithError(err).WithField("requests", in.front.InFlight()).Warn("requests cut at the end of the grace period")
	}
	close(in.stop)
}

// Reload applies changed settings. Only the seeds take effect.
func (in *Entry) Reload(s *keelconfig.SteerSettings) { in.follower.SetSeeds(s.SeedAddrs()) }

// Nearest returns the caller ports of the entry instances nearest to a caller in a
// failure domain and a region, and how long the caller may cache them.
func (in *Entry) Nearest(domain keel.DomainName, region keel.RegionName) ([]netip.AddrPort, time.Duration) {
	addrs := keelplace.Nearest(keelplace.Reaching(in.follower.View().Nodes), domain, region, rand.Int())
	return addrs, min(lookupTTL, in.cfg.Settings.Timing.LookupTTL())
}

// Ready returns nil if the instance can accept callers, or else the reason why it
// can't.
func (in *Entry) Ready() error {
	if in.leaving.Load() {
		return errors.New("the instance leaves")
	}
	if !in.follower.View().Configured {
		return errors.New("no configuration is known")
	}
	return nil
}

// appServer serves an HTTP application on one address.
type appServer struct {
	app  *fiber.App
	addr netip.AddrPort
}

// appStopTimeout is how long requests in progress may take when a port is closed.
const appStopTimeout = 200 * time.Millisecond

func (s appServer) run(ctx context.Context) error {
	ln, err := listen(s.addr)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = s.app.ShutdownWithTimeout(appStopTimeout) })
	defer stop()
	err = s.app.Listener(ln, fiber.ListenConfig{DisableStartupMessage: true})
	if err == nil || ctx.Err() != nil {
		return nil
	}
	return errors.Wrapf(err, "serve %s", s.addr)
}
