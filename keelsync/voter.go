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

// Network sends messages and dispatches received ones to registered handlers.
type Network interface {
	keel.Transport
	Register(kind keel.MessageKind, h keel.Handler)
}

// VoterConfig configures a [Voter].
type VoterConfig struct {
	// Self is this instance. Its name is its IP address, see [PeerAddress].
	Self    keelworld.Node
	Network Network
	// Storage stores the replicated log.
	Storage keel.Storage
	// PeerPort is the port of the peer protocol, the same at every instance.
	PeerPort uint16
	// Seeds are instances that may be voters. Join requests go to them while no
	// leader is known.
	Seeds []netip.Addr
	// Bootstrap means that the whole system starts for the first time, with the
	// seeds as its first voters.
	Bootstrap bool
	// EndpointSilence is the time without an announcement after which an
	// endpoint receives no more requests.
	EndpointSilence time.Duration
	// SuspectRetention is how long the crashes of a request count that no endpoint
	// answers; 0 means [SuspectRetention].
	SuspectRetention time.Duration
	Log              *logrus.Entry
	// Seed seeds the election timeouts.
	Seed uint64
}

const (
	// quorumHeartbeat and electionTimeout make an election finish within about a
	// second, which is several round trips between regions.
	quorumHeartbeat = 100 * time.Millisecond
	electionTimeout = 450 * time.Millisecond
	// reconcileInterval is the time between two liveness reports of a voter, and
	// between two checks of the leader for silent endpoints, instances and voters.
	reconcileInterval = 300 * time.Millisecond
	// nodeSilenceTimeout is the time without a poll after which callers are no
	// longer sent to an entry instance. Followers poll about every half second.
	nodeSilenceTimeout = 1500 * time.Millisecond
	// voterSilenceTimeout is the time without contact after which a voter is
	// removed if its failure domain has another one.
	voterSilenceTimeout = 3 * time.Second
	// snapshotEvery is the number of entries between two stored snapshots. A
	// restarted voter serves its snapshot to followers even before a leader is
	// elected and later entries are known to be committed.
	snapshotEvery = 40
	// bootstrapVoters is the expected number of seeds at a bootstrap. With one
	// fewer, only the first seed is a voter at the start.
	bootstrapVoters = 3
)

// Voter replicates the state together with the other voters and serves it to
// followers.
type Voter struct {
	cfg     VoterConfig
	machine *stateMachine
	node    *keelquorum.Node
	ids     atomic.Uint64
	batcher *batcher
	seen    seenSet
	sent    feedCounts
	seeds   atomic.Pointer[[]netip.Addr]
	// leaderSince is when reconcile found that this instance leads, or last found
	// it leading without a valid lease. It is zero while another one leads.
	leaderSince time.Time
	// leaderSeenAt is when reconcile last found that a leader is known.
	leaderSeenAt time.Time
	// lastSeen is the last contact with endpoints and instances, by the keys
	// "e"+ID and "n"+name. Only the leader uses it.
	lastSeen map[string]time.Time
	// suspectAges holds the ages of the suspects, by fingerprint. Only the leader uses it.
	suspectAges map[uint64]suspectAge
}

// PeerAddress returns the peer address of an instance that is named by its IP
// address. It returns false for any other name.
func PeerAddress(name keel.InstanceName, port uint16) (netip.AddrPort, bool) {
	addr, err := netip.ParseAddr(string(name))
	return netip.AddrPortFrom(addr, port), err == nil
}

// NewVoter loads the stored state and registers the handlers of the voter's
// messages.
func NewVoter(cfg VoterConfig) (*Voter, error) {
	if cfg.SuspectRetention == 0 {
		cfg.SuspectRetention = SuspectRetention
	}
	v := &Voter{cfg: cfg, machine: newStateMachine(cfg.Log), lastSeen: map[string]time.Time{}}
	v.batcher = newBatcher(v)
	v.seen.reset()
	v.seeds.Store(&cfg.Seeds)
	var bootstrap []keel.InstanceName
	if cfg.Bootstrap {
		for _, a := range cfg.Seeds {
			bootstrap = append(bootstrap, keel.InstanceName(a.String()))
		}
	}
	if len(bootstrap) == bootstrapVoters-1 {
		bootstrap = bootstrap[:1] // two voters tolerate no failure; the second one joins later
	}
	node, err := keelquorum.New(keelquorum.Config{
		Self: cfg.Self.Name, Storage: cfg.Storage, Machine: v.machine, Transport: cfg.Network,
		Resolve:   func(n keel.InstanceName) (netip.AddrPort, bool) { return PeerAddress(n, cfg.PeerPort) },
		Bootstrap: bootstrap, Log: cfg.Log, Seed: cfg.Seed, Heartbeat: quorumHeartbeat, Election: electionTimeout, SnapshotEvery: snapshotEvery,
	})
	if err != nil {
		return nil, errors.Wrap(err, "start voter")
	}
	v.node = node
	cfg.Network.Register(keel.KindQuorum, node)
	cfg.Network.Register(keel.KindCommand, handlerFunc(v.handleCommand))
	cfg.Network.Register(keel.KindFeed, handlerFunc(v.handleFeed))
	cfg.Network.Register(keel.KindLiveness, handlerFunc(v.handleLivenessReport))
	return v, nil
}

type handlerFunc func(ctx context.Context, e keel.Envelope) (keel.Envelope, error)

// HandleMessage implements [keel.Handler].
func (f handlerFunc) HandleMessage(ctx context.Context, e keel.Envelope) (keel.Envelope, error) {
	return f(ctx, e)
}

// Run runs the voter until ctx ends.
func (v *Voter) Run(ctx context.Context) error {
	group := pool.New().WithErrors().WithContext(ctx).WithCancelOnError()
	group.Go(v.node.Run)
	group.Go(v.loopReconcile)
	group.Go(v.batcher.run)
	return group.Wait()
}

// HandOver transfers the leadership to another voter before a planned stop.
func (v *Voter) HandOver(ctx context.Context) {
	if err := v.node.HandOver(ctx); err != nil {
		v.cfg.Log.WithError(err).Warn("leadership not handed over")
	}
}

// Status returns the state of the quorum node.
func (v *Voter) Status() keelquorum.Status { return v.node.Status() }

// Drained returns the drained failure domains by the state that this voter has applied, in the
// order of their names.
func (v *Voter) Drained() (domains []keel.DomainName) {
	v.machine.withState(func(s *keelworld.State) { domains = s.Drained() })
	return domains
}

// SetSeeds replaces the instances that receive join requests while no leader is
// known.
func (v *Voter) SetSeeds(seeds []netip.Addr) { v.seeds.Store(&seeds) }

func (v *Voter) newCommandID() string {
	return string(v.cfg.Self.Name) + "-" + strconv.FormatUint(v.cfg.Self.Incarnation, 36) + "-" + strconv.FormatUint(v.ids.Add(1), 36)
}

// seenSet collects the endpoints and instances that contacted this voter since
// its last liveness report.
type seenSet struct {
	mu        sync.Mutex
	endpoints map[string]bool
	nodes     map[keel.InstanceName]bool
}

func (h *seenSet) reset() {
	h.endpoints, h.nodes = map[string]bool{}, map[keel.InstanceName]bool{}
}

func (h *seenSet) addEndpoint(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.endpoints[id] = true
}

func (h *seenSet) addNode(name keel.InstanceName) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.nodes[name] = true
}

// take returns the collected contacts as a report and clears the set.
func (h *seenSet) take() livenessReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	var m livenessReport
	for id := range h.endpoints {
		m.Endpoints = append(m.Endpoints, id)
	}
	for name := range h.nodes {
		m.Nodes = append(m.Nodes, name)
	}
	h.reset()
	return m
}
