package keelsync

import (
	"context"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelquorum"
	"github.com/greengagekeel/greengagekeel/keelworld"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc/pool"
)

// Network carries messages and finds the handlers of those that arrive.
type Network interface {
	keel.Transport
	Register(kind keel.MessageKind, h keel.Handler)
}

// VoterConfig says what a [Voter] works with.
type VoterConfig struct {
	// Self is this instance. Its name is its address, see [PeerAddress].
	Self    keelworld.Node
	Network Network
	// Storage keeps the agreed log.
	Storage keel.Storage
	// PeerPort is the port of the peer protocol, the same at every instance.
	PeerPort uint16
	// Seeds are instances that may be voters already.
	Seeds []netip.Addr
	// Bootstrap says that the whole system starts for the first time, so that
	// the seeds are its first voters.
	Bootstrap bool
	// EndpointSilence is the time without an announcement after which an
	// endpoint gets no more work.
	EndpointSilence time.Duration
	Log             *logrus.Entry
	// Seed seeds the election timeouts.
	Seed uint64
}

const (
	// heartbeat and election are the times of the agreement: an election is
	// over within about a second, several round trips between regions.
	heartbeat = 100 * time.Millisecond
	election  = 450 * time.Millisecond
	// tendInterval is how often a voter reports whom it has heard, and a leader
	// looks for those that have gone.
	tendInterval = 300 * time.Millisecond
	// nodeSilence is the time without a question for news after which callers
	// are sent to an entry instance no more. Questions come every half second.
	nodeSilence = 1500 * time.Millisecond
	// voterSilence is the time after which a voter is replaced if its failure
	// domain has another one.
	voterSilence = 3 * time.Second
	// snapshotEvery is the number of entries after which a voter stores the whole
	// state. A voter that starts again has that state at once and can give it to
	// entry instances, before there is a leader that knows what came after it.
	snapshotEvery = 40
	// maxBootstrap bounds the voters of the first start.
	maxBootstrap = 3
)

// Voter keeps the replicated state with the other voters.
type Voter struct {
	cfg     VoterConfig
	machine *machine
	node    *keelquorum.Node
	ids     atomic.Uint64
	batch   *batch
	heard   heard
	seeds   atomic.Pointer[[]netip.Addr]
	// leading is since when this instance leads, as seen by the tend loop.
	leading time.Time
	// ledAt is when the tend loop last knew a leader.
	ledAt   time.Time
	silence map[string]time.Time
}

// PeerAddress returns the peer address of an instance that is named by its IP
// address.
func PeerAddress(name keel.InstanceName, port uint16) (netip.AddrPort, bool) {
	addr, err := netip.ParseAddr(string(name))
	return netip.AddrPortFrom(addr, port), err == nil
}

// NewVoter opens the stored state.
func NewVoter(cfg VoterConfig) (*Voter, error) {
	v := &Voter{cfg: cfg, machine: newMachine(cfg.Log), silence: map[string]time.Time{}}
	v.batch = newBatch(v)
	v.heard.reset()
	v.seeds.Store(&cfg.Seeds)
	var first []keel.InstanceName
	if cfg.Bootstrap {
		for _, a := range cfg.Seeds {
			first = append(first, keel.InstanceName(a.String()))
		}
	}
	if len(first) == maxBootstrap-1 {
		first = first[:1] // two voters bear no loss, and the second one joins
	}
	node, err := keelquorum.New(keelquorum.Config{
		Self: cfg.Self.Name, Storage: cfg.Storage, Machine: v.machine, Transport: cfg.Network,
		Resolve:   func(n keel.InstanceName) (netip.AddrPort, bool) { return PeerAddress(n, cfg.PeerPort) },
		Bootstrap: first, Log: cfg.Log, Seed: cfg.Seed, Heartbeat: heartbeat, Election: election, SnapshotEvery: snapshotEvery,
	})
	if err != nil {
		return nil, errors.Wrap(err, "start voter")
	}
	v.node = node
	cfg.Network.Register(keel.KindQuorum, node)
	cfg.Network.Register(keel.KindCommand, handlerFunc(v.handleCommand))
	cfg.Network.Register(keel.KindFeed, handlerFunc(v.handleFeed))
	cfg.Network.Register(keel.KindHeard, handlerFunc(v.handleHeard))
	return v, nil
}

type handlerFunc func(ctx context.Context, e keel.Envelope) (keel.Envelope, error)

// HandleMessage implements [keel.Handler].
func (f handlerFunc) HandleMessage(ctx context.Context, e keel.Envelope) (keel.Envelope, error) {
	return f(ctx, e)
}

// Run takes part until ctx ends.
func (v *Voter) Run(ctx context.Context) error {
	group := pool.New().WithErrors().WithContext(ctx).WithCancelOnError()
	group.Go(v.node.Run)
	group.Go(v.loopTend)
	group.Go(v.batch.loop)
	return group.Wait()
}

// Leave hands the leadership over before a planned stop.
func (v *Voter) Leave(ctx context.Context) {
	if err := v.node.HandOver(ctx); err != nil {
		v.cfg.Log.WithError(err).Warn("leadership not handed over")
	}
}

// Status returns the state of the agreement.
func (v *Voter) Status() keelquorum.Status { return v.node.Status() }

// SetSeeds replaces the instances to ask while no leader is known.
func (v *Voter) SetSeeds(seeds []netip.Addr) { v.seeds.Store(&seeds) }

func (v *Voter) newID() string {
	return string(v.cfg.Self.Name) + "-" + strconv.FormatUint(v.cfg.Self.Started, 36) + "-" + strconv.FormatUint(v.ids.Add(1), 36)
}

// heard collects whom this voter has heard since its last report.
type heard struct {
	mu        sync.Mutex
	endpoints map[string]bool
	nodes     map[keel.InstanceName]bool
}

func (h *heard) reset() {
	h.endpoints, h.nodes = map[string]bool{}, map[keel.InstanceName]bool{}
}

func (h *heard) endpoint(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.endpoints[id] = true
}

func (h *heard) node(name keel.InstanceName) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.nodes[name] = true
}

// take returns who was heard and starts anew.
func (h *heard) take() heardMessage {
	h.mu.Lock()
	defer h.mu.Unlock()
	var m heardMessage
	for id := range h.endpoints {
		m.Endpoints = append(m.Endpoints, id)
	}
	for name := range h.nodes {
		m.Nodes = append(m.Nodes, name)
	}
	h.reset()
	return m
}
