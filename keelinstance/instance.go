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
	"github.com/greengagekeel/greengagekeel/keelbudget"
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

// Config configures an [Instance]. All fields must be set.
type Config struct {
	Settings *keelconfig.Settings
	Keys     *keelkey.Keys
	Log      *logrus.Logger
}

// Limits of recorded claims.
const (
	// claimRetention is how long a claim is kept after its last use.
	claimRetention = time.Hour
	// maxAnswerBytes limits a recorded answer, and maxClaimBytes all claims of an
	// instance together.
	maxAnswerBytes = 64 << 10
	maxClaimBytes  = 24 << 20
)

// Instance is one instance of the traffic steering system. Several may run in one
// process.
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
	current   currentVersion
	guard     *keelguard.Service
	engine    *keelsteer.Engine
	front     *keelproxy.Front
	budget    *keelbudget.Budget
	metrics   *metrics

	endpointApp *fiber.App
	operatorApp *fiber.App

	leaving  atomic.Bool
	stopOnce sync.Once
	stopped  chan struct{}
}

// ports are the TCP listeners of an instance.
type ports struct {
	caller   net.Listener
	endpoint net.Listener
	operator net.Listener
}

// New opens the ports and the stored state of an instance. Call [Instance.Run]
// to serve, or [Instance.Close] to release the ports.
func New(cfg Config) (*Instance, error) {
	in := &Instance{cfg: cfg, stopped: make(chan struct{})}
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
		if p.ln == &in.ports.caller {
			if err := keelproxy.LimitBuffers(ln); err != nil {
				in.cfg.Log.WithError(err).Warn("the buffers of callers' connections are not limited")
			}
		}
		*p.ln = keelpeer.AcceptRetrier{Listener: ln}
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
	in.self = in.newSelf()
	in.metrics = newMetrics(in.self)
	if in.control, err = newControl(in); err != nil {
		return err
	}
	in.assemble()
	in.registerHandlers()
	return nil
}

// newSelf returns the description of this instance that other instances receive.
// The incarnation number is the start time, so that it increases with each start.
func (in *Instance) newSelf() keel.Instance {
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

// assemble creates the components that decide and serve, and passes each one the
// others that it depends on.
func (in *Instance) assemble() {
	s := in.cfg.Settings
	clock := clockwork.NewRealClock()
	share := keelbudget.ShareOf(s.Memory.LimitBytes, keelbudget.Descriptors())
	in.budget = keelbudget.New(keelbudget.Config{Bytes: share.Bytes, Connections: min(share.Clients, s.Limits.MaxConnections)})
	in.fetcher = keeldeclare.NewFetcher(keeldeclare.FetcherConfig{
		Replica: in.control.replica, Transport: in.peer, Clock: clock, Log: in.log,
	})
	in.members = keelmember.New(keelmember.Config{
		Self: in.self, Join: s.Join, Transport: in.peer, Clock: clock, Log: in.log,
		Local: in.localStatus, OnVersion: in.fetcher.ObserveVersion, Seed: in.self.Incarnation,
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
		Self: in.self, Transport: in.peer, Resolve: in.resolve, Holders: in.holders.sets, Domains: in.domainNames,
		BarrierLifted: in.barrierLifted, Live: in.reachableInstances, Clock: clock, Log: in.log, Secret: in.cfg.Keys.Secret(),
		Retention: claimRetention, MaxAnswerBytes: maxAnswerBytes, MaxTotalBytes: maxClaimBytes, Seed: in.self.Incarnation,
	})
	in.guard = keelguard.New(keelguard.Config{
		Self: in.self, Transport: in.peer, Resolve: in.resolve, Peers: in.guardPeers, Homes: in.registeredInstances,
		Live: in.reachableInstances, Lifted: in.liftedFingerprints, Clock: clock, Log: in.log,
	})
	in.engine = keelsteer.New(keelsteer.Config{
		Self: in.self, Declared: in.control.replica.Current, View: in.steeringView, Endpoints: in.endpoints,
		Transport: in.peer, Claims: in.claims, Guard: in.guard, Log: in.log, OnVersion: in.onVersion, OnLookup: in.reportLookup,
		MaxEndpointConns: share.Endpoints,
		LookupTTL:        s.Timing.LookupTTL.Std(), MaxKeyedBytes: int(s.Limits.MaxKeyedBodyBytes), MaxAnswerBytes: maxAnswerBytes,
		FirstStart: in.control.replica.Current().Version == 0, Seed: in.self.Incarnation,
	})
	in.front = keelproxy.NewFront(keelproxy.FrontConfig{
		Runner: in.engine, Lookup: in.engine.HandleLookup, Report: in.reportRequest,
		Log: in.log, MaxHeaderBytes: s.Limits.MaxHeaderBytes, IdleTimeout: callerIdleTimeout,
		BodyIdle:    s.Timing.BodyIdle.Std(),
		MaxInFlight: s.Limits.MaxInFlight, Budget: in.budget,
	})
	in.endpointApp = keelendpoint.NewApp(in.endpoints, in.reportAnnouncement)
	in.operatorApp = in.newOperatorApp()
}

// callerIdleTimeout is how long a caller's connection may stay without a request
// before it is closed.
const callerIdleTimeout = 2 * time.Minute

// streams returns the handler of forwarded requests.
func (in *Instance) streams() keel.StreamHandler { return deferredStreams{in} }

// deferredStreams passes forwarded requests to the engine, which it looks up at
// each request because the engine is created after the transport.
type deferredStreams struct{ in *Instance }

// HandleStream implements [keel.StreamHandler].
func (d deferredStreams) HandleStream(ctx context.Context, e keel.Envelope, s keel.Stream) {
	rc := &keelproxy.Receiver{Runner: d.in.engine, Budget: d.in.budget, Log: d.in.log}
	rc.HandleStream(ctx, e, s)
}

// registerHandlers registers the handler of each message kind.
func (in *Instance) registerHandlers() {
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

// Addresses holds the addresses of the open ports.
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

// Self returns the description of the instance that other instances receive.
func (in *Instance) Self() keel.Instance { return in.self }

// Version returns the version of the declarations in force at this instance.
func (in *Instance) Version() keel.Version { return in.control.replica.Current().Version }

// Close releases the ports of an instance that is not running.
func (in *Instance) Close() {
	for _, ln := range []net.Listener{in.ports.caller, in.ports.endpoint, in.ports.operator} {
		if ln != nil {
			_ = ln.Close() // the instance is discarded anyway
		}
	}
	if in.peer != nil {
		in.peer.Close()
	}
}
