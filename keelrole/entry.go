package keelrole

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/gofiber/fiber/v3"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelconfig"
	"github.com/greengagekeel/greengagekeel/keelentry"
	"github.com/greengagekeel/greengagekeel/keelkey"
	"github.com/greengagekeel/greengagekeel/keelpeer"
	"github.com/greengagekeel/greengagekeel/keelplace"
	"github.com/greengagekeel/greengagekeel/keelproxy"
	"github.com/greengagekeel/greengagekeel/keelsync"
	"github.com/greengagekeel/greengagekeel/keelworld"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc/pool"
)

// EntryConfig says what an [Entry] works with.
type EntryConfig struct {
	Settings *keelconfig.Steer
	// Dialect is how callers and endpoints speak.
	Dialect *keelproxy.Dialect
	// Read reads what an answer of an endpoint says beside its body.
	Read func(*keelproxy.Answer) keelentry.Facts
	// Status returns the status with which a refusal is answered.
	Status func(*keel.Refusal) int
	// App makes the server of look-ups and readiness.
	App func(*Entry) *fiber.App
	Log *logrus.Entry
}

const (
	// dialTimeout is how long the opening of a connection to an endpoint may
	// take: several round trips between regions.
	dialTimeout = 400 * time.Millisecond
	// endpointIdle is how long an unused connection to an endpoint is kept. It
	// is below the time after which endpoints close theirs.
	endpointIdle = 8 * time.Second
	// callerIdle is how long a connection of a caller may wait for a request.
	// Callers don't use connections again that were idle for so long.
	callerIdle = time.Minute
	// bodyIdle is how long a caller may send nothing of a request that it has
	// begun.
	bodyIdle = 3 * time.Second
	// headerBytes bounds the header of a request.
	headerBytes = 64 << 10
	// lookupTTL is how long callers may keep a look-up, as far as the settings
	// allow it. It bounds how long they go to an instance that leaves.
	lookupTTL = 2 * time.Second
	// leaveTime is how long an instance that leaves goes on taking requests, so
	// that callers learn of it by their next look-up.
	leaveTime = lookupTTL + 1200*time.Millisecond
	// leaveSpare is what is left of the grace period when the process ends.
	leaveSpare = 400 * time.Millisecond
)

// Entry takes callers' requests.
type Entry struct {
	cfg      EntryConfig
	peer     *keelpeer.Transport
	follower *keelsync.Follower
	client   *keelproxy.EndpointClient
	runner   *keelentry.Runner
	front    *keelproxy.Front
	caller   net.Listener
	metrics  *metrics
	leaving  atomic.Bool
	stop     stopped
}

// NewEntry opens the ports of an entry instance.
func NewEntry(cfg EntryConfig) (*Entry, error) {
	s := cfg.Settings
	peer, err := newPeer(s, cfg.Log)
	if err != nil {
		return nil, err
	}
	in := &Entry{cfg: cfg, peer: peer, metrics: newMetrics(s), stop: make(stopped)}
	in.follower = keelsync.NewFollower(keelsync.FollowerConfig{
		Self: keelworld.Node{
			Name: selfName(s), Incarnation: uint64(time.Now().UnixNano()),
			Domain: s.Domain, Region: s.Region, Caller: s.Listen.Caller, Up: true,
		},
		Network: peer, PeerPort: s.PeerPort, Seeds: s.SeedAddrs(), Log: cfg.Log,
	})
	in.client = keelproxy.NewEndpointClient(keelproxy.ClientConfig{
		DialTimeout: dialTimeout, IdleTimeout: endpointIdle, Dialect: cfg.Dialect,
	})
	in.runner = keelentry.NewRunner(keelentry.Config{
		Pool: keelplace.Config{
			Self: selfName(s), Location: keelplace.Location{Domain: s.Domain, Region: s.Region}, Region: s.RegionOf,
			MaxShift: s.Bounds.MaxShift,
		},
		View: in.follower.View, Age: in.follower.Age, Client: in.client, ReadFacts: cfg.Read, Status: cfg.Status,
		RetryBudget: keelplace.RetryBudget{Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack, Window: s.Bounds.RetryWindow()},
		Log:         cfg.Log,
	})
	in.front = keelproxy.NewFront(keelproxy.FrontConfig{
		Runner: in.runner, Dialect: cfg.Dialect, Log: cfg.Log, Report: in.metrics.request,
		MaxHeaderBytes: headerBytes, IdleTimeout: callerIdle, BodyIdle: bodyIdle,
	})
	in.caller, err = listen(s.Listen.Caller)
	return in, err
}

// selfName is the name of an instance to others: its address.
func selfName(s *keelconfig.Steer) keel.InstanceName {
	return keel.InstanceName(s.Address.String())
}

func newPeer(s *keelconfig.Steer, log *logrus.Entry) (*keelpeer.Transport, error) {
	keys, err := keelkey.Unverified(selfName(s))
	if err != nil {
		return nil, errors.Wrap(err, "make keys")
	}
	return keelpeer.New(keelpeer.Config{
		Listen: netip.AddrPortFrom(s.Address, s.PeerPort), Keys: keys, Log: log,
	})
}

func listen(at netip.AddrPort) (net.Listener, error) {
	ln, err := net.Listen("tcp4", at.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", at)
	}
	return ln, nil
}

// Run serves until ctx ends or [Entry.Stop] has left in order.
func (in *Entry) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group := pool.New().WithErrors().WithContext(ctx).WithCancelOnError()
	group.Go(in.peer.Run)
	group.Go(in.follower.Run)
	group.Go(in.front.Run)
	group.Go(in.runFront)
	for _, at := range []netip.AddrPort{in.cfg.Settings.Listen.Ready, in.cfg.Settings.Listen.Lookup} {
		if at.IsValid() {
			group.Go(appServer{in.cfg.App(in), at}.run)
		}
	}
	if at := operatorAddr(in.cfg.Settings); at.IsValid() {
		group.Go(appServer{newOperatorApp(in.metrics, in.values, in.state), at}.run)
	}
	group.Go(in.stop.run)
	in.cfg.Log.WithFields(logrus.Fields{
		"caller": in.cfg.Settings.Listen.Caller.String(), "domain": in.cfg.Settings.Domain,
	}).Info("entry instance started")
	err := planned(group.Wait())
	in.cfg.Log.WithField("requests", in.front.InFlight()).Info("entry instance stopped")
	return err
}

// operatorAddr returns the address of the operator port, which is not valid if
// there is none.
func operatorAddr(s *keelconfig.Steer) netip.AddrPort {
	if s.OperatorPort == 0 {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(s.Address, s.OperatorPort)
}

// values returns the gauges of the instance.
func (in *Entry) values() map[string]float64 {
	v := in.follower.View()
	endpoints := 0
	for _, es := range v.Endpoints {
		endpoints += len(es)
	}
	return map[string]float64{
		"in_flight": float64(in.front.InFlight()), "view_index": float64(v.Index),
		"view_age_seconds": in.follower.Age(time.Now()).Seconds(),
		"endpoints":        float64(endpoints), "entry_instances": float64(len(v.Nodes)),
	}
}

// state returns the state dump.
func (in *Entry) state() any {
	v := in.follower.View()
	return map[string]any{
		"name": in.cfg.Settings.Name, "domain": in.cfg.Settings.Domain, "leaving": in.leaving.Load(),
		"index": v.Index, "age_ms": in.follower.Age(time.Now()).Milliseconds(), "configured": v.Configured,
		"endpoints": v.Endpoints, "drained": v.Drained, "entry_instances": v.Nodes,
	}
}

func (in *Entry) runFront(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = in.caller.Close() })
	defer stop()
	if err := in.front.Serve(in.caller); err != nil && ctx.Err() == nil && !in.leaving.Load() {
		return err
	}
	<-ctx.Done()
	return nil
}

// Stop leaves in order: callers are sent elsewhere, requests in flight end, and
// then [Entry.Run] returns.
func (in *Entry) Stop(ctx context.Context) {
	in.leaving.Store(true)
	in.cfg.Log.WithField("requests", in.front.InFlight()).Info("entry instance leaves")
	in.follower.SetAvailable(false)
	in.front.Leave()
	grace := in.cfg.Settings.Timing.Grace() - leaveSpare
	end := time.Now().Add(grace)
	in.runner.SetShutdownTime(end)
	select {
	case <-ctx.Done():
	case <-time.After(min(leaveTime, grace)):
	}
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	if err := in.front.Shutdown(ctx); err != nil {
		in.cfg.Log.WithError(err).WithField("requests", in.front.InFlight()).Warn("requests cut at the end of the grace period")
	}
	close(in.stop)
}

// Reload takes changed settings.
func (in *Entry) Reload(s *keelconfig.Steer) { in.follower.SetSeeds(s.SeedAddrs()) }

// Nearest returns caller addresses for a caller in a failure domain, and how
// long they may be kept.
func (in *Entry) Nearest(domain keel.DomainName, region keel.RegionName) ([]netip.AddrPort, time.Duration) {
	addrs := keelplace.Nearest(in.follower.View().Nodes, domain, region)
	return addrs, min(lookupTTL, in.cfg.Settings.Timing.LookupTTL())
}

// Ready reports why this instance can't take callers, or nil.
func (in *Entry) Ready() error {
	if in.leaving.Load() {
		return errors.New("the instance leaves")
	}
	if !in.follower.View().Configured {
		return errors.New("no configuration is known")
	}
	return nil
}

// appServer serves one port.
type appServer struct {
	app *fiber.App
	at  netip.AddrPort
}

// appStopTimeout is how long calls may take to end when a port is closed.
const appStopTimeout = 200 * time.Millisecond

func (s appServer) run(ctx context.Context) error {
	ln, err := listen(s.at)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = s.app.ShutdownWithTimeout(appStopTimeout) })
	defer stop()
	err = s.app.Listener(ln, fiber.ListenConfig{DisableStartupMessage: true})
	if err == nil || ctx.Err() != nil {
		return nil
	}
	return errors.Wrapf(err, "serve %s", s.at)
}
