package keelstandin

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// Config configures an [Endpoint].
type Config struct {
	Service keel.ServiceName
	Name    keel.EndpointName
	Site    keel.SiteName
	Labels  keel.Labels
	// Listen is the address of the endpoint; port 0 takes a free port.
	Listen netip.AddrPort
	// Control is the address of a second listener that offers only the paths
	// under /stand-in/, also while the endpoint is crashed. Invalid means none.
	Control netip.AddrPort
	// AnnounceTo lists the endpoint ports of instances. Each gets every
	// announcement.
	AnnounceTo []netip.AddrPort
	// Slots is the number of concurrent requests that the endpoint announces.
	// It doesn't enforce it; zero means 4.
	Slots int
	// TTL is the validity of an announcement; zero means [DefaultTTL].
	TTL       time.Duration
	Behaviour Behaviour
	// Log receives failed announcements and errors of the HTTP server; nil means
	// the standard logger.
	Log logrus.FieldLogger
	// Clock times announcements, delays, silence and restarts; nil means the
	// real clock.
	Clock clockwork.Clock
}

// Defaults of the configuration.
const (
	DefaultTTL   = 3 * time.Second
	defaultSlots = 4
	// stopTimeout bounds the wait for requests in flight when the endpoint
	// stops.
	stopTimeout = 10 * time.Second
)

// Endpoint is a stand-in for a real endpoint.
type Endpoint struct {
	cfg       Config
	addr      netip.AddrPort
	control   net.Listener
	counter   *counter
	behaviour atomic.Pointer[Behaviour]
	client    *fasthttp.Client

	mu          sync.Mutex
	listener    *listener
	incarnation uint64
	leaving     bool

	crashed        chan struct{}
	restarted      chan struct{}
	leaveRequested chan struct{}
	stopped        chan struct{}
}

// New opens the port of the endpoint and, if one is configured, of the control
// listener. Nothing is served before [Endpoint.Run].
func New(cfg Config) (*Endpoint, error) {
	cfg = withDefaults(cfg)
	e := &Endpoint{
		cfg:            cfg,
		counter:        newCounter(),
		client:         &fasthttp.Client{ReadTimeout: announceTimeout, WriteTimeout: announceTimeout},
		incarnation:    uint64(cfg.Clock.Now().UnixNano()),
		crashed:        make(chan struct{}, 1),
		restarted:      make(chan struct{}, 1),
		leaveRequested: make(chan struct{}, 1),
		stopped:        make(chan struct{}),
	}
	e.behaviour.Store(&cfg.Behaviour)
	if err := e.listen(cfg.Listen); err != nil {
		return nil, err
	}
	if !cfg.Control.IsValid() {
		return e, nil
	}
	control, err := net.Listen("tcp", cfg.Control.String())
	if err != nil {
		_ = e.listener.Close()
		return nil, errors.Wrapf(err, "listen on %s", cfg.Control)
	}
	e.control = control
	return e, nil
}

func withDefaults(cfg Config) Config {
	if cfg.Slots == 0 {
		cfg.Slots = defaultSlots
	}
	if cfg.TTL == 0 {
		cfg.TTL = DefaultTTL
	}
	if cfg.Log == nil {
		cfg.Log = logrus.StandardLogger()
	}
	if cfg.Clock == nil {
		cfg.Clock = clockwork.NewRealClock()
	}
	return cfg
}

func (e *Endpoint) listen(addr netip.AddrPort) error {
	inner, err := net.Listen("tcp", addr.String())
	if err != nil {
		return errors.Wrapf(err, "listen on %s", addr)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listener = newListener(inner, e)
	e.addr = inner.Addr().(*net.TCPAddr).AddrPort()
	return nil
}

// Addr returns the address that the endpoint listens on.
func (e *Endpoint) Addr() netip.AddrPort { return e.addr }

// ControlAddr returns the address of the control listener, invalid if there is
// none.
func (e *Endpoint) ControlAddr() netip.AddrPort {
	if e.control == nil {
		return netip.AddrPort{}
	}
	return e.control.Addr().(*net.TCPAddr).AddrPort()
}

// ID returns the identity that the endpoint announces.
func (e *Endpoint) ID() keel.EndpointID {
	return keel.EndpointID{Service: e.cfg.Service, Name: e.cfg.Name}
}

// Counts returns the endpoint's counters.
func (e *Endpoint) Counts() Counts { return e.counter.snapshot() }

// SetBehaviour replaces the behaviour. Requests that are already being handled
// keep the old one.
func (e *Endpoint) SetBehaviour(b Behaviour) {
	e.behaviour.Store(&b)
	e.currentListener().silenceByAge(b.SilentAge.Std())
	if b.SilenceOpen {
		e.currentListener().silence()
	}
}

// Leave announces that the endpoint leaves. It keeps serving the requests that it
// still receives.
func (e *Endpoint) Leave() { notify(e.leaveRequested) }

// Crash closes the listener and resets every connection. The endpoint restarts if
// its behaviour has a RestartAfter.
func (e *Endpoint) Crash() {
	e.counter.update(func(n *Counts) { n.Crashes++ })
	e.currentListener().resetAll()
	notify(e.crashed)
}

func (e *Endpoint) currentListener() *listener {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.listener
}

// notify signals c, unless a signal is pending already.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run serves and announces until ctx ends. It then announces that the endpoint
// leaves, unless it is crashed, finishes the requests in flight and returns. It
// fails only if it can't listen again after a crash. It may be called once.
func (e *Endpoint) Run(ctx context.Context) error {
	var group conc.WaitGroup
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group.Go(func() { e.runAnnouncements(ctx) })
	if e.control != nil {
		server := &fasthttp.Server{Handler: e.handleControl, NoDefaultServerHeader: true}
		group.Go(func() { _ = server.Serve(e.control) })
		defer func() { _ = server.Shutdown() }()
	}
	err := e.serveAcrossCrashes(ctx, &group)
	cancel()
	close(e.stopped)
	if e.control != nil {
		_ = e.control.Close()
	}
	group.Wait()
	return err
}

// serveAcrossCrashes serves until ctx ends, and restarts after crashes.
func (e *Endpoint) serveAcrossCrashes(ctx context.Context, group *conc.WaitGroup) error {
	for {
		server := e.newServer()
		l := e.currentListener()
		group.Go(func() { _ = server.Serve(l) })
		select {
		case <-ctx.Done():
			e.announceLeave()
			e.shutDown(server, l)
			return nil
		case <-e.crashed:
		}
		if !e.waitRestart(ctx) {
			return nil
		}
		if err := e.restart(); err != nil {
			return err
		}
	}
}

// shutDown finishes the requests in flight, and cuts those that last longer than
// [stopTimeout].
func (e *Endpoint) shutDown(server *fasthttp.Server, l *listener) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	l.closeSilent()
	_ = server.ShutdownWithContext(ctx)
	l.resetAll()
}

// waitRestart waits until the endpoint is to restart after a crash. It returns
// false if ctx has ended.
func (e *Endpoint) waitRestart(ctx context.Context) bool {
	after := e.behaviour.Load().RestartAfter.Std()
	if after == 0 {
		<-ctx.Done()
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-e.cfg.Clock.After(after):
		return true
	}
}

// restart listens again on the same address, with the next incarnation number.
func (e *Endpoint) restart() error {
	if err := e.listen(e.addr); err != nil {
		return err
	}
	e.mu.Lock()
	e.incarnation++
	e.mu.Unlock()
	notify(e.restarted)
	return nil
}
