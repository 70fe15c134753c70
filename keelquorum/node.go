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
	// MaxEntrySize is the size limit of one proposal, in bytes. The message that
	// carries it must fit into the limit of the transport, 4 MiB by default: an
	// entry that can't be sent would block the log permanently.
	MaxEntrySize = 3 << 20

	defaultHeartbeat     = 100 * time.Millisecond
	electionHeartbeats   = 10
	defaultSnapshotEvery = 1000
	ticksPerHeartbeat    = 4
	// inboxSize is the number of received messages queued for the core. Further
	// ones are dropped, as a network may do.
	inboxSize = 1024
	// maxInputs limits the messages and calls processed between two disk syncs.
	maxInputs = 512
	// reopenInterval is the time between two attempts to use a failed storage again.
	reopenInterval = 250 * time.Millisecond
	// reopenLogInterval is the time between two log lines about the same error of these
	// attempts.
	reopenLogInterval = 10 * time.Second
)

// Config configures a [Node].
type Config struct {
	// Self is the name of this instance.
	Self keel.InstanceName
	// Storage stores the log. It must implement [keel.SnapshotReader]. The node
	// closes it when it stops.
	Storage keel.Storage
	// Machine receives the committed entries.
	Machine keel.StateMachine
	// Transport sends messages to the other voters.
	Transport keel.Transport
	// Resolve returns the peer address of an instance, or false if unknown.
	Resolve func(keel.InstanceName) (netip.AddrPort, bool)
	// Bootstrap names the voters of the first start. The first election needs all
	// of them, so that the incarnation of each is known. It is empty for an
	// instance that joins later.
	Bootstrap []keel.InstanceName
	// Log is the logger; nil means the standard logger.
	Log *logrus.Entry
	// Seed seeds the election timeouts.
	Seed uint64
	// Heartbeat is the time between two heartbeats of the leader; 0 means 100 ms.
	Heartbeat time.Duration
	// Election is the minimum time without a leader before a voter starts an
	// election; 0 means ten heartbeats.
	Election time.Duration
	// SnapshotEvery is the number of entries between two snapshots; 0 means 1000.
	SnapshotEvery int
}

// Check reports missing and invalid values.
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

// Node runs a [Core] with a storage, a state machine and a transport.
type Node struct {
	cfg     Config
	core    *Core
	inbox   chan Message
	calls   chan loopCall
	applier *applier
	// snapshots is cfg.Storage, which reads parts of the stored snapshot.
	snapshots keel.SnapshotReader
	sender    *sender
	// stopped is closed when Run returns.
	stopped chan struct{}
	running atomic.Bool
	status  atomic.Pointer[Status]

	mu      sync.Mutex
	waiters map[uint64][]waiter
	// watchers wait for a state of the core. Only the loop uses them.
	watchers []watcher
	// role, elections and votes are those of the status that was published last.
	role      string
	elections uint64
	votes     int
	lateness  lateness
	// reopenError is the last logged error of an attempt to use the storage again, and
	// reopenLoggedAt when it was logged.
	reopenError    string
	reopenLoggedAt time.Time
}

// loopCall is run by the loop that owns the core. It receives a zero time if the
// storage or the state machine has failed.
type loopCall func(now time.Time)

// waiter waits until an entry is applied. term is that of the proposal, or 0 for
// a read, which any entry completes.
type waiter struct {
	term uint64
	done chan error
}

// watcher waits until check reports that its condition holds or has failed.
type watcher struct {
	done  chan error
	check func(now time.Time) (done bool, err error)
}

var _ keel.Handler = (*Node)(nil)

// New returns a node that is ready to run. It loads the storage and restores the
// state machine. An invalid configuration returns [keel.Faults].
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
		calls:   make(chan loopCall),
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
	n.core = n.newCore(now, st)
	n.publishStatus(now, nil)
	return n, nil
}

// newCore returns a core with the stored state.
func (n *Node) newCore(now time.Time, st keel.StoredState) *Core {
	return NewCore(CoreConfig{
		Self: n.cfg.Self, Stored: st, Bootstrap: n.cfg.Bootstrap, Now: now, Seed: n.cfg.Seed,
		Heartbeat: n.cfg.Heartbeat, Election: n.cfg.Election, TailEntries: uint64(n.cfg.SnapshotEvery),
	})
}

// Run runs the node until ctx ends. After a failed write the node does not vote or
// replicate and reports the failure in its status, until the storage can be used
// again. A failure of the state machine is final. Run can be called only once.
func (n *Node) Run(ctx context.Context) error {
	if !n.running.CompareAndSwap(false, true) {
		return errors.New("node has already been started")
	}
	defer close(n.stopped)
	ctx, cancel := context.WithCancel(ctx)
	var wg conc.WaitGroup
	wg.Go(func() { n.applier.run(ctx) })
	n.sender.start(ctx, &wg)
	for {
		err := n.loop(ctx)
		if err == nil || !n.runFailed(ctx, err) {
			break
		}
	}
	cancel()
	wg.Wait()
	n.failWaiters()
	if err := n.cfg.Storage.Close(); err != nil {
		return errors.Wrap(err, "close storage")
	}
	return nil
}

// loop owns the core. It returns an error if the storage or the state machine has
// failed.
func (n *Node) loop(ctx context.Context) error {
	ticker := time.NewTicker(n.cfg.Heartbeat / ticksPerHeartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-n.applier.failed:
			return &machineError{err}
		case m := <-n.inbox:
			n.core.Step(time.Now(), m)
		case f := <-n.calls:
			f(time.Now())
		case <-ticker.C:
		}
		n.processPending()
		now := time.Now()
		n.reportLateness(now)
		n.core.Tick(now)
		err := n.executeActions()
		n.checkWatchers(now)
		n.publishStatus(now, err)
		if err != nil {
			return err
		}
	}
}

// processPending processes the messages and calls that are already queued, so
// that one disk sync covers all of them.
func (n *Node) processPending() {
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

// executeActions executes the actions of the core until there are none.
func (n *Node) executeActions() error {
	for {
		a := n.core.Take()
		if a.Empty() {
			return nil
		}
		n.sender.send(a.SendBeforeStore)
		if err := n.store(&a); err != nil {
			return err
		}
		n.core.Stored(time.Now())
		n.sender.send(n.readChunks(a.SendAfterStore))
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

// readChunks reads the parts of the snapshot that messages carry. A message whose
// snapshot has been replaced is dropped; the next heartbeat sends a part of the
// newer one.
func (n *Node) readChunks(messages []Message) []Message {
	complete := messages[:0]
	for _, m := range messages {
		if m.ChunkSize > 0 {
			m.Chunk = make([]byte, m.ChunkSize)
			if err := n.snapshots.ReadSnapshot(m.Index, m.Offset, m.Chunk); err != nil {
				n.cfg.Log.WithError(err).Warn("cannot read part of the snapshot")
				continue
			}
		}
		complete = append(complete, m)
	}
	return complete
}

// checkWatchers completes the watchers whose condition holds or has failed.
func (n *Node) checkWatchers(now time.Time) {
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

// publishStatus stores the state for Status and logs a change of leadership. err
// is the failure of the storage or the state machine, if any.
func (n *Node) publishStatus(now time.Time, err error) {
	st := n.core.Status(now)
	st.publishedAt = now
	if err != nil {
		st.clearLeadership()
		st.StorageFailure = err.Error()
	}
	n.status.Store(&st)
	if st.Role != n.role && (st.Role == string(RoleLeader) || n.role == string(RoleLeader)) {
		n.cfg.Log.WithFields(logrus.Fields{"term": st.Term, "role": st.Role}).Info("leadership changed")
	}
	if st.Elections != n.elections {
		n.cfg.Log.WithFields(logrus.Fields{"term": st.Term, "last": st.Last, "lost_votes": n.votes, "voters": len(st.Voters)}).Info("election started")
	}
	n.role, n.elections, n.votes = st.Role, st.Elections, st.Votes
}

// Status returns the state of the node. The validity of the lease is that at the
// time of the call. No leader is known while the node has not run for an election
// timeout, since it waits for its disk or the process was suspended: another leader
// may have been elected.
func (n *Node) Status() Status {
	st := *n.status.Load()
	st.Applied = n.applier.applied.Load()
	now := time.Now()
	st.LeaseValid = st.LeaseValid && now.Before(st.leaseUntil)
	if now.Sub(st.publishedAt) >= n.cfg.Election {
		st.clearLeadership()
	}
	return st
}

// HandleMessage queues a message of [keel.KindQuorum] and does not wait until it
// is processed.
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
