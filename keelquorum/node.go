package keelquorum

import (
	"bytes"
	"context"
	"net/netip"
	"sync"
	"time"

	keel "github.com/greengagekeel/greengagekeel"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"
)

// MaxEntrySize is the limit of one proposal, in bytes.
const MaxEntrySize = 8 << 20

// Config holds what a node works with.
type Config struct {
	// Self names this instance.
	Self keel.InstanceName
	// Storage keeps the log. The node closes it when it stops.
	Storage keel.Storage
	// Machine gets the committed entries.
	Machine keel.StateMachine
	// Transport carries messages to the other voters.
	Transport keel.Transport
	// Resolve returns the peer address of an instance, or false.
	Resolve func(keel.InstanceName) (netip.AddrPort, bool)
	// Bootstrap names the voters of the first start. All of them must be up
	// once, so that their incarnations are known.
	Bootstrap []keel.InstanceName
	// Log takes the node's log lines.
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

// Node runs a core.
type Node struct {
	mu  sync.Mutex
	cfg Config
	st  Status
}

var _ keel.Handler = (*Node)(nil)

// New returns a node that is ready to run. It reads the storage.
func New(cfg Config) (*Node, error) {
	if len(cfg.Bootstrap) != 1 || cfg.Bootstrap[0] != cfg.Self {
		return nil, errors.New("sets of more than one voter are not built yet")
	}
	st, err := cfg.Storage.Load()
	if err != nil {
		return nil, errors.Wrap(err, "load storage")
	}
	n := &Node{cfg: cfg}
	if st.Snapshot.Index > 0 {
		if err := cfg.Machine.Restore(st.Snapshot.Index, bytes.NewReader(st.Snapshot.Data)); err != nil {
			return nil, errors.Wrap(err, "restore state machine")
		}
	}
	n.st = Status{
		Self: cfg.Self, Incarnation: st.Vote.Incarnation, Role: "leader", Term: st.Vote.Term + 1,
		Leader: cfg.Self, Last: st.Snapshot.Index, Commit: st.Snapshot.Index, Applied: st.Snapshot.Index,
		Snapshot: st.Snapshot.Index, LeaseValid: true,
		Voters: []keel.Voter{{Name: cfg.Self, Incarnation: st.Vote.Incarnation}},
	}
	for _, e := range st.Entries {
		n.apply(e)
	}
	return n, cfg.Storage.SaveVote(keel.StoredVote{Term: n.st.Term, For: cfg.Self})
}

func (n *Node) apply(e keel.LogEntry) {
	n.st.Last, n.st.Commit, n.st.Applied = e.Index, e.Index, e.Index
	if e.Type == keel.EntryCommand {
		n.cfg.Machine.Apply(e.Index, e.Data)
	}
}

// Run runs the node until ctx ends or the storage fails.
func (n *Node) Run(ctx context.Context) error {
	<-ctx.Done()
	return n.cfg.Storage.Close()
}

// Propose appends data to the log and returns its index once it is committed
// and applied here. After [*NotLeaderError], [ErrStopped] and [ErrTooLarge]
// nothing was proposed; [ErrUnknownOutcome] says that it may be committed.
func (n *Node) Propose(_ context.Context, data []byte) (uint64, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(data) > MaxEntrySize {
		return 0, ErrTooLarge
	}
	e := keel.LogEntry{Index: n.st.Last + 1, Term: n.st.Term, Type: keel.EntryCommand, Data: data}
	if err := n.cfg.Storage.Append([]keel.LogEntry{e}); err != nil {
		n.st.StorageFailure = err.Error()
		return 0, errors.Wrap(ErrUnknownOutcome, err.Error())
	}
	n.apply(e)
	return e.Index, nil
}

// ReadIndex returns once this instance has proved that it leads and has applied
// everything that was committed before the call.
func (n *Node) ReadIndex(context.Context) error { return nil }

// Status returns the state of the node.
func (n *Node) Status() Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.st
}

// HandleMessage takes a message of [keel.KindQuorum].
func (n *Node) HandleMessage(context.Context, keel.Envelope) (keel.Envelope, error) {
	return keel.Envelope{}, nil
}

// AddVoter makes an instance a learner and, once it holds everything that is
// committed, a voter. It returns when that is committed.
func (n *Node) AddVoter(context.Context, keel.InstanceName) error { return ErrChangePending }

// RemoveVoter removes an instance from the voters and returns when that is
// committed.
func (n *Node) RemoveVoter(context.Context, keel.InstanceName) error { return ErrChangePending }

// HandOver passes the leadership to the voter that holds the most and returns
// when this instance leads no more. It is called at a planned stop; on an
// instance that does not lead it returns at once.
func (n *Node) HandOver(context.Context) error { return nil }
