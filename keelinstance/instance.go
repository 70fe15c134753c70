package keelinstance

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/gofiber/fiber/v3"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelclaim"
	"github.com/greengagekeel/greengagekeel/keelconfig"
	"github.com/greengagekeel/greengagekeel/keeldeclare"
	"github.com/greengagekeel/greengagekeel/keelendpoint"
	"github.com/greengagekeel/greengagekeel/keelguard"
	"github.com/greengagekeel/greengagekeel/keelkey"
	"github.com/greengagekeel/greengagekeel/keelmember"
	"github.com/greengagekeel/greengagekeel/keelpeer"
	"github.com/greengagekeel/greengagekeel/keelproxy"
	"github.com/greengagekeel/greengagekeel/keelsteer"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
)

// Config configures an [Instance].
type Config struct {
	Settings *keelconfig.Settings
	Keys     *keelkey.Keys
	Log      *logrus.Logger
}

// Retention and sizes of recorded claims.
const (
	claimRetention = time.Hour
	maxAnswerBytes = 64 << 10
	maxClaimBytes  = 24 << 20
)

// Instance is one process of the system.
type Instance struct {
	cfg   Config
	self  keel.Instance
	log   *logrus.Entry
	peer  *keelpeer.Transport
	ports ports

	control   *control
	fetcher   *keeldeclare.Fetcher
	members   *keelmember.Service
	endpoints *keelendpoint.Service
	claims    *keelclaim.Service
	holders   *holderSets
	currency  currency
	guard     *keelguard.Service
	engine    *keelsteer.Engine
	front     *keelproxy.Front
	metrics   *metrics

	endpointApp *fiber.App
	operatorApp *fiber.App

	leaving  atomic.Bool
	stopOnce sync.Once
	stop     chan struct{}
}

// ports are the open ports of an instance.
type ports struct {
	caller   net.Listener
	endpoint net.Listener
	operator net.Listener
}

// New opens the ports and the stored state of an instance. Call [Instance.Run]
// to serve, or [Instance.Close] to give the ports back.
func New(cfg Config) (*Instance, error) {
	in := &Instance{cfg: cfg, stop: make(chan struct{})}
	if err := in.openPorts(); err != nil {
		return nil, err
	}
	if err := in.open(); err != nil {
		in.Close()
		return nil, err
	}
	return in, nil
}

func (in *Instance) openPorts() error {
	listen := in.cfg.Settings.Listen
	for _, p := range []struct {
		name string
		addr netip.AddrPort
		ln   *net.Listener
	}{
		{"listen.caller", listen.Caller, &in.ports.caller},
		{"listen.endpoint", listen.Endpoint, &in.ports.endpoint},
		{"listen.operator", listen.Operator, &in.ports.operator},
	} {
		ln, err := net.Listen("tcp", p.addr.String())
		if err != nil {
			in.Close()
			return errors.Wrapf(err, "%s", p.name)
		}
		*p.ln = ln
	}
	return nil
}

func (in *Instance) open() error {
	s := in.cfg.Settings
	in.log = in.cfg.Log.WithFields(logrus.Fields{"instance": s.Instance, "domain": s.Domain})
	peer, err := keelpeer.New(keelpeer.Config{
		Listen:  s.Listen.Peer,
		Keys:    in.cfg.Keys,
		Streams: in.streams(),
		Log:     in.log,
	})
	if err != nil {
		return errors.Wrap(err, "listen.peer")
	}
	in.peer = peer
	in.self = in.describe()
	in.metrics = newMetrics(in.self)
	if in.control, err = newControl(in); err != nil {
		return err
	}
	in.connect()
	in.register()
	return nil
}

// describe returns what this instance says about itself. The incarnation is the
// time of the start, so that it rises with each one.
func (in *Instance) describe() keel.Instance {
	s := in.cfg.Settings
	return keel.Instance{
		Name:        s.Instance,
		Domain:      s.Domain,
		Region:      s.Region,
		Caller:      s.AdvertisedCaller(addrPort(in.ports.caller.Addr())),
		Peer:        s.AdvertisedPeer(in.peer.Addr()),
		Incarnation: uint64(time.Now().UnixNano()),
		Voter:       s.Voter,
	}
}

func addrPort(a net.Addr) netip.AddrPort {
	ap, err := netip.ParseAddrPort(a.String())
	if err != nil {
		return netip.AddrPort{}
	}
	return ap
}

// connect makes the parts that decide and serve, each of which gets the others
// that it needs.
func (in *Instance) connect() {
	s := in.cfg.Settings
	clock := clockwork.NewRealClock()
	in.fetcher = keeldeclare.NewFetcher(keeldeclare.FetcherConfig{
		Replica: in.control.replica, Transport: in.peer, Clock: clock, Log: in.log,
	})
	in.members = keelmember.New(keelmember.Config{
		Self: in.self, Join: s.Join, Transport: in.peer, Clock: clock, Log: in.log,
		Local: in.local, OnVersion: in.fetcher.Notice, Seed: in.self.Incarnation,
	})
	in.endpoints = keelendpoint.NewService(keelendpoint.ServiceConfig{
		Directory: keelendpoint.Config{
			Self: in.self.Name, Incarnation: in.self.Incarnation,
			Services: func() []keel.Service { return in.declarations().Services },
		},
		Transport: in.peer, Members: in.domainMembers, Changed: in.replan, Log: in.log,
	})
	in.holders = newHolderSets(in.declarations)
	in.claims = keelclaim.New(keelclaim.Config{
		Self: in.self, Transport: in.peer, Resolve: in.resolve, Holders: in.holders.sets, Domains: in.domains,
		BarrierLifted: in.barrierLifted, Live: in.reachable, Clock: clock, Log: in.log, Secret: in.cfg.Keys.Secret(),
		Retention: claimRetention, MaxAnswerBytes: maxAnswerBytes, MaxTotalBytes: maxClaimBytes, Seed: in.self.Incarnation,
	})
	in.guard = keelguard.New(keelguard.Config{
		Self: in.self, Transport: in.peer, Resolve: in.resolve, Peers: in.guardPeers, Homes: in.registered,
		Live: in.reachable, Lifted: in.lifted, Clock: clock, Log: in.log,
	})
	in.engine = keelsteer.New(keelsteer.Config{
		Self: in.self, Declared: in.control.replica.Current, View: in.view, Endpoints: in.endpoints,
		Transport: in.peer, Claims: in.claims, Guard: in.guard, Log: in.log, OnLookup: in.reportLookup,
		LookupTTL: s.Timing.LookupTTL.Std(), MaxKeyedBytes: int(s.Limits.MaxKeyedBodyBytes), MaxAnswerBytes: maxAnswerBytes,
		FirstStart: in.control.replica.Current().Version == 0, Seed: in.self.Incarnation,
	})
	in.front = keelproxy.NewFront(keelproxy.FrontConfig{
		Runner: in.engine, Lookup: in.engine.HandleLookup, Report: in.report,
		Log: in.log, MaxHeaderBytes: s.Limits.MaxHeaderBytes, IdleTimeout: callerIdleTimeout,
		BodyIdle:    s.Timing.BodyIdle.Std(),
		MaxInFlight: s.Limits.MaxInFlight, MaxConnections: s.Limits.MaxConnections,
	})
	in.endpointApp = keelendpoint.NewApp(in.endpoints, in.reportAnnouncement)
	in.operatorApp = in.newOperatorApp()
}

// callerIdleTimeout closes callers' connections without requests.
const callerIdleTimeout = 2 * time.Minute

// streams returns the handler of forwarded requests. The engine is made later
// than the transport.
func (in *Instance) streams() keel.StreamHandler { return lateStreams{in} }

type lateStreams struct{ in *Instance }

// HandleStream runs a forwarded request.
func (l lateStreams) HandleStream(ctx context.Context, e keel.Envelope, s keel.Stream) {
	rc := &keelproxy.Receiver{Runner: l.in.engine, Log: l.in.log}
	rc.HandleStream(ctx, e, s)
}

// register connects the kinds of messages with their handlers.
func (in *Instance) register() {
	for _, kind := range []keel.MessageKind{keel.KindHello, keel.KindHeartbeat, keel.KindDigest} {
		in.peer.Register(kind, in.members)
	}
	in.peer.Register(keel.KindFetch, in.control.replica.Handler())
	in.peer.Register(keel.KindPropose, in.control)
	in.peer.Register(keel.KindInForce, inForceHandler{in})
	in.peer.Register(keel.KindAnnounce, in.endpoints)
	in.peer.Register(keel.KindClaim, in.claims)
	in.peer.Register(keel.KindGuard, in.guard)
	for _, kind := range in.engine.Kinds() {
		in.peer.Register(kind, in.engine)
	}
	if in.control.node != nil {
		in.peer.Register(keel.KindQuorum, in.control.node)
	}
}

// Addresses are the addresses of the open ports.
type Addresses struct {
	Caller   netip.AddrPort `json:"caller"`
	Endpoint netip.AddrPort `json:"endpoint"`
	Operator netip.AddrPort `json:"operator"`
	Peer     netip.AddrPort `json:"peer"`
}

// Addresses returns the addresses of the open ports.
func (in *Instance) Addresses() Addresses {
	return Addresses{
		Caller:   addrPort(in.ports.caller.Addr()),
		Endpoint: addrPort(in.ports.endpoint.Addr()),
		Operator: addrPort(in.ports.operator.Addr()),
		Peer:     in.peer.Addr(),
	}
}

// Self returns what the instance says about itself.
func (in *Instance) Self() keel.Instance { return in.self }

// Version returns the version of the declarations in force at this instance.
func (in *Instance) Version() keel.Version { return in.control.replica.Current().Version }

// Close gives back the ports of an instance that does not run.
func (in *Instance) Close() {
	for _, ln := range []net.Listener{in.ports.caller, in.ports.endpoint, in.ports.operator} {
		if ln != nil {
			_ = ln.Close() // the instance is given up anyway
		}
	}
	if in.peer != nil {
		in.peer.Close()
	}
}
