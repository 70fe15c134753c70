package keelquorum

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	keel "github.com/greengagekeel/greengagekeel"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
)

const (
	// MaxEntrySize is the limit of one proposal, in bytes. The message that
	// carries it must pass the transport, whose limit is 4 MiB by default: an
	// entry that can't be sent would hold up the log for good.
	MaxEntrySize = 3 << 20

	defaultHeartbeat     = 100 * time.Millisecond
	electionHeartbeats   = 10
	defaultSnapshotEvery = 1000
	ticksPerHeartbeat    = 4
	// inboxSize is the number of messages that wait for the core; more are
	// dropped, as a network may do.
	inboxSize = 1024
	// maxInputs is the number of messages and calls between two syncs.
	maxInputs = 512
)

// Config holds what a node works with.
type Config struct {
	// Self names this instance.
	Self keel.InstanceName
	// Storage keeps the log. It must implement [keel.SnapshotReader]. The node
	// closes it when it stops.
	Storage keel.Storage
	// Machine gets the committed entries.
	Machine keel.StateMachine
	// Transport carries messages to the other voters.
	Transport keel.Transport
	// Resolve returns the peer address of an instance, or false.
	Resolve func(keel.InstanceName) (netip.AddrPort, bool)
	// Bootstrap names the voters of the first start. All of them must be up
	// once, so that the disk of each is known. An instance that joins later
	// has none.
	Bootstrap []keel.InstanceName
	// Log takes the node's log lines; nil means the standard logger.
	Log *logrus.Entry
	// Seed seeds the election timeouts.
	Seed uint64
	// Heartbeat is the time between two signs of life of the leader; 0 means
	// 100 ms.
	Heartbeat time.Duration
	// Election is the time without a leader after which a voter stands for
	// election, at least; 0 means ten heartbeats.
	Election time.Duration
	// SnapshotEvery is the number of entries after which a snapshot is made;
	// 0 means 1000.
	SnapshotEvery int
}

// Check reports missing values.
func (cfg *Config) Check() keel.Faults {
	fs := keel.CheckName("self", cfg.Self)
	if _, ok := cfg.Storage.(keel.SnapshotReader); !ok {
		fs.Add("storage", "must be given and implement keel.SnapshotReader")
	}
	if cfg.Machine == nil {
		fs.Add("machine", "must be given")
	}
	if cfg.Transport == nil || cfg.Resolve == nil {
		fs.Add("transport", "must be given with resolve")
	}
	if cfg.Heartbeat < 0 || cfg.Election < 0 || cfg.Election < 2*cfg.Heartbeat {
		fs.Add("election", "is %v, must be at least twice the heartbeat of %v", cfg.Election, cfg.Heartbeat)
	}
	if n := len(cfg.Bootstrap); n != 0 && n != 1 && n != 3 && n != 5 {
		fs.Add("bootstrap", "has %d voters, must be 1, 3 or 5", n)
	}
	return fs
}

func (cfg *Config) fillDefaults() {
	if cfg.Heartbeat == 0 {
		cfg.Heartbeat = defaultHeartbeat
	}
	if cfg.Election == 0 {
		cfg.Election = electionHeartbeats * cfg.Heartbeat
	}
	if cfg.SnapshotEvery == 0 {
		cfg.SnapshotEvery = defaultSnapshotEvery
	}
	if cfg.Log == nil {
		cfg.Log = logrus.NewEntry(logrus.StandardLogger())
	}
}

// Node runs a core over a storage, a state machine and a transport.
type Node struct {
	cfg     Config
	core    *Core
	inbox   chan Message
	calls   chan call
	applier *applier
	// snapshots reads the storage's snapshot.
	snapshots keel.SnapshotReader
	sender    *sender
	// stopped is closed when Run ends.
	stopped chan struct{}
	running atomic.Bool
	status  atomic.Pointer[Status]

	mu      sync.Mutex
	waiters map[uint64][]waiter
	// watchers wait for a state of the core; only the loop uses them.
	watchers []watcher
	role     string
}

// call runs in the loop that owns the core.
type call func(now time.Time)

// waiter waits for the entry of a proposal to be applied.
type waiter struct {
	term uint64
	done chan error
}

// watcher waits until a condition on the core holds or fails.
type watcher struct {
	done  chan error
	check func(now time.Time) (done bool, err error)
}

var _ keel.Handler = (*Node)(nil)

// New returns a node that is ready to run. It reads the storage and restores
// the state machine. Settings with faults give [keel.Faults].
func New(cfg Config) (*Node, error) {
	cfg.fillDefaults()
	if err := cfg.Check().Err(); err != nil {
		return nil, err
	}
	st, err := cfg.Storage.Load()
	if err != nil {
		return nil, errors.Wrap(err, "load storage")
	}
	n := &Node{
		cfg:     cfg,
		inbox:   make(chan Message, inboxSize),
		calls:   make(chan call),
		stopped: make(chan struct{}),
		waiters: map[uint64][]waiter{},
		sender:  newSender(cfg),
	}
	n.snapshots, _ = cfg.Storage.(keel.SnapshotReader)
	n.applier = newApplier(n)
	if err := n.applier.restore(st.Snapshot); err != nil {
		return nil, err
	}
	now := time.Now()
	n.core = NewCore(CoreConfig{
		Self: cfg.Self, Stored: st, Bootstrap: cfg.Bootstrap, Now: now, Seed: cfg.Seed,
		Heartbeat: cfg.Heartbeat, Election: cfg.Election, Tail: uint64(cfg.SnapshotEvery),
	})
	n.publish(now, nil)
	return n, nil
}

// Run runs the node until ctx ends. After a failed write or sync the node takes
// no further part in votes and agreement, says so in its status, and goes on to
// wait for ctx; the same process must not use the storage again.
func (n *Node) Run(ctx context.Context) error {
	if !n.running.CompareAndSwap(false, true) {
		return errors.New("node runs already")
	}
	defer close(n.stopped)
	ctx, cancel := context.WithCancel(ctx)
	var wg conc.WaitGroup
	wg.Go(func() { n.applier.run(ctx) })
	n.sender.start(ctx, &wg)
	err := n.loop(ctx)
	if err != nil {
		n.stepAside(ctx, err)
	}
	cancel()
	wg.Wait()
	n.failWaiters()
	if err := n.cfg.Storage.Close(); err != nil {
		return errors.Wrap(err, "close storage")
	}
	return nil
}

// loop owns the core. It returns an error when the storage or the state machine
// has failed.
func (n *Node) loop(ctx context.Context) error {
	ticker := time.NewTicker(n.cfg.Heartbeat / ticksPerHeartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-n.applier.failed:
			return err
		case m := <-n.inbox:
			n.core.Step(time.Now(), m)
		case f := <-n.calls:
			f(time.Now())
		case <-ticker.C:
		}
		n.drain()
		now := time.Now()
		n.core.Tick(now)
		err := n.flush()
		n.watch(now)
		n.publish(now, err)
		if err != nil {
			return err
		}
	}
}

// drain takes what else is waiting, so that one sync serves all of it.
func (n *Node) drain() {
	for range maxInputs {
		select {
		case m := <-n.inbox:
			n.core.Step(time.Now(), m)
		case f := <-n.calls:
			f(time.Now())
		default:
			return
		}
	}
}

// flush carries out the core's actions until there are none.
func (n *Node) flush() error {
	for {
		a := n.core.Take()
		if a.Empty() {
			return nil
		}
		n.sender.send(a.Early)
		if err := n.store(&a); err != nil {
			return err
		}
		n.core.Stored(time.Now())
		n.sender.send(n.readChunks(a.Late))
		n.applier.add(&a)
	}
}

func (n *Node) store(a *Actions) error {
	if a.Vote != nil {
		if err := n.cfg.Storage.SaveVote(*a.Vote); err != nil {
			return errors.Wrap(err, "store vote")
		}
	}
	if a.Snapshot != nil {
		if err := n.cfg.Storage.SaveSnapshot(*a.Snapshot); err != nil {
			return errors.Wrap(err, "store snapshot")
		}
	}
	if len(a.Append) == 0 {
		return nil
	}
	if err := n.cfg.Storage.Append(a.Append); err != nil {
		return errors.Wrap(err, "store entries")
	}
	return nil
}

// readChunks reads the parts of the snapshot that messages carry. A message
// whose snapshot was replaced meanwhile is dropped; the next heartbeat sends the
// newer one.
func (n *Node) readChunks(messages []Message) []Message {
	whole := messages[:0]
	for _, m := range messages {
		if m.ChunkSize > 0 {
			m.Chunk = make([]byte, m.ChunkSize)
			if err := n.snapshots.ReadSnapshot(m.Index, m.Offset, m.Chunk); err != nil {
				n.cfg.Log.WithError(err).Warn("part of the snapshot not read")
				continue
			}
		}
		whole = append(whole, m)
	}
	return whole
}

// stepAside keeps a node with a failed storage out of the agreement: it answers
// no message and accepts nothing.
func (n *Node) stepAside(ctx context.Context, err error) {
	n.cfg.Log.WithError(err).Error("voter stepped aside, its storage or state machine failed")
	if m, ok := n.core.Abdicate(time.Now()); ok {
		n.sender.send([]Message{m})
	}
	n.publish(time.Now(), err)
	n.failWaiters()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.inbox:
		case f := <-n.calls:
			f(time.Time{})
		}
	}
}

// watch completes the watchers whose condition is decided.
func (n *Node) watch(now time.Time) {
	kept := n.watchers[:0]
	for _, w := range n.watchers {
		done, err := w.check(now)
		if !done {
			kept = append(kept, w)
			continue
		}
		w.done <- err
	}
	clear(n.watchers[len(kept):])
	n.watchers = kept
}

func (n *Node) publish(now time.Time, err error) {
	st := n.core.Status(now)
	if err != nil {
		st.Role, st.Leader, st.LeaseValid = string(RoleFollower), "", false
		st.leaseUntil = time.Time{}
		st.StorageFailure = err.Error()
	}
	n.status.Store(&st)
	if st.Role != n.role && (st.Role == string(RoleLeader) || n.role == string(RoleLeader)) {
		n.cfg.Log.WithFields(logrus.Fields{"term": st.Term, "role": st.Role}).Info("leadership changed")
	}
	n.role = st.Role
}

// Status returns the state of the node. The lease is that of the present time.
func (n *Node) Status() Status {
	st := *n.status.Load()
	st.Applied = n.applier.applied.Load()
	st.LeaseValid = st.LeaseValid && time.Now().Before(st.leaseUntil)
	return st
}

// HandleMessage takes a message of [keel.KindQuorum]. It does not wait until it
// is worked off.
func (n *Node) HandleMessage(_ context.Context, e keel.Envelope) (keel.Envelope, error) {
	var m Message
	if err := keel.DecodeCBOR(e.Body, &m); err != nil {
		return keel.Envelope{}, err
	}
	m.From, m.To = e.From, n.cfg.Self
	select {
	case n.inbox <- m:
	default:
	}
	return keel.Envelope{}, nil
}
