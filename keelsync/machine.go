package keelsync

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelworld"
	"github.com/sirupsen/logrus"
)

const (
	// maxRecentEntries is the number of entries kept for followers, some minutes
	// at the peak rate. A follower that lags further gets a snapshot.
	maxRecentEntries = 4096
	// maxFeedBytes limits the entries in one answer, in bytes.
	maxFeedBytes = 256 << 10
)

// stateMachine holds the replicated state of a voter and its recent log entries.
// It implements [keel.StateMachine].
type stateMachine struct {
	log *logrus.Entry

	mu    sync.Mutex
	state *keelworld.State
	// recent are the last applied entries, without a gap.
	recent []entry
	// recentBase is the index of the entry before the first one in recent.
	recentBase uint64
	// entryBytes is the size of all entries that were applied since the start.
	entryBytes uint64
	packer     packer
	// results holds the results of commands proposed by this voter, by command ID;
	// nil until the command is applied.
	results map[string]*keelworld.Result
	// endpointAppliedAt is when the current record of an endpoint was applied.
	endpointAppliedAt map[string]time.Time
	// nodeAppliedAt is when the current record of an instance was applied.
	nodeAppliedAt map[keel.InstanceName]time.Time
	// nodeAppliedIndex is the index of the current record of an instance, if it was applied
	// since the start.
	nodeAppliedIndex map[keel.InstanceName]uint64
	// changed is closed and replaced when an entry or a snapshot is applied.
	changed chan struct{}
}

func newStateMachine(log *logrus.Entry) *stateMachine {
	return &stateMachine{
		log: log, state: keelworld.NewState(), results: map[string]*keelworld.Result{},
		endpointAppliedAt: map[string]time.Time{}, nodeAppliedAt: map[keel.InstanceName]time.Time{},
		nodeAppliedIndex: map[keel.InstanceName]uint64{}, changed: make(chan struct{}),
	}
}

// Apply implements [keel.StateMachine].
func (m *stateMachine) Apply(index uint64, data []byte) {
	var c keelworld.Command
	err := keel.DecodeCBOR(data, &c)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		// All voters skip this entry, since it is the same everywhere.
		m.log.WithError(err).WithField("index", index).Error("undecodable log entry skipped")
		m.state.Skip(index)
	} else {
		r := m.state.Apply(index, &c)
		if _, ok := m.results[c.ID]; ok && c.ID != "" {
			m.results[c.ID] = &r
		}
		now := time.Now()
		for i := range c.Endpoints {
			m.endpointAppliedAt[c.Endpoints[i].ID] = now
		}
		for i := range c.Nodes {
			m.nodeAppliedAt[c.Nodes[i].Name] = now
			m.nodeAppliedIndex[c.Nodes[i].Name] = index
		}
		m.logApplied(index, &c, &r)
	}
	m.recent = append(m.recent, entry{Index: index, Data: data})
	m.entryBytes += uint64(len(data))
	if len(m.recent) > 2*maxRecentEntries {
		cut := len(m.recent) - maxRecentEntries
		m.recentBase = m.recent[cut-1].Index
		m.recent = append([]entry(nil), m.recent[cut:]...)
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *stateMachine) logApplied(index uint64, c *keelworld.Command, r *keelworld.Result) {
	l := m.log.WithFields(logrus.Fields{"index": index, "command": c.ID})
	switch {
	case r.Outdated:
		l.WithField("as_of", c.AsOf).Info("outdated order ignored")
	case c.Patch != nil && len(r.Faults) > 0:
		l.WithField("faults", r.Faults.Error()).Info("patch refused")
	case c.Patch != nil:
		l.WithField("items", len(c.Patch.Items)).Info("patch in force")
	case c.Drain != nil:
		l.WithFields(logrus.Fields{"domain": c.Drain.Domain, "on": c.Drain.On}).Info("drain of a failure domain")
	}
	for i := range c.Endpoints {
		e := &c.Endpoints[i]
		l.WithFields(logrus.Fields{
			"endpoint": e.ID, "state": e.State, "service": e.Service, "address": e.Address.String(),
			"born": e.Incarnation, "sequence": e.Sequence, "cold_ms": e.Cold.Milliseconds(),
		}).Info("endpoint changed")
	}
	if len(c.Answered) > 0 || len(c.Crashes) > 0 {
		l.WithFields(logrus.Fields{"answered": len(c.Answered), "crashes": len(c.Crashes), "suspects": len(m.state.Suspects())}).Info("requests that crash endpoints changed")
	}
	for _, rl := range c.RateLimits {
		l.WithFields(logrus.Fields{
			"endpoint": rl.Endpoint, "born": rl.Incarnation, "per_second": rl.PerSecond, "lifted": rl.Lifted,
		}).Info("rate limit of an endpoint changed")
	}
	for i := range c.Nodes {
		n := &c.Nodes[i]
		l.WithFields(logrus.Fields{"instance": n.Name, "up": n.Up, "voter": n.Voter, "started": n.Incarnation}).Info("instance changed")
	}
}

// Snapshot implements [keel.StateMachine].
func (m *stateMachine) Snapshot(w io.Writer) error {
	m.mu.Lock()
	sn := m.state.Snapshot()
	m.mu.Unlock()
	return sn.Write(w)
}

// Restore implements [keel.StateMachine].
func (m *stateMachine) Restore(index uint64, r io.Reader) error {
	sn, err := keelworld.ReadSnapshot(r)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.Restore(sn)
	m.state.Skip(index)
	m.recent, m.recentBase = nil, index
	close(m.changed)
	m.changed = make(chan struct{})
	return nil
}

// expectResult makes Apply keep the result of a command for [stateMachine.takeResult].
func (m *stateMachine) expectResult(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.results[id] = nil
}

// takeResult returns and discards the result of an expected command. It returns
// nil if the command was not applied.
func (m *stateMachine) takeResult(id string) *keelworld.Result {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.results[id]
	delete(m.results, id)
	return r
}

// answer returns what a follower lacks, and a channel that is closed at the next
// change. ok is false if the local state is older than the follower's.
func (m *stateMachine) answer(r *feedRequest) (a feedAnswer, changed chan struct{}, ok bool, err error) {
	if r.Offset > 0 {
		if b := m.packer.find(r.Blob); b != nil {
			return feedAnswer{Part: b.nextPart(r)}, nil, true, nil
		}
	}
	limit := maxFeedBytes
	if r.PartBytes > 0 {
		limit = r.PartBytes
	}
	a, changed, ok, snapshotNeeded := m.entriesAfter(r.After, limit)
	var b *blob
	switch {
	case snapshotNeeded && r.PartBytes == 0:
		m.withState(func(s *keelworld.State) { a.Snapshot = s.Snapshot() })
	case snapshotNeeded:
		b, err = m.packSnapshot()
	case r.PartBytes > 0 && len(a.Entries) == 1 && len(a.Entries[0].Data) > limit:
		b, err = m.packer.packEntry(a.Entries[0])
		a.Entries = nil
	}
	if b != nil {
		a.Part = b.nextPart(r)
	}
	return a, changed, ok, err
}

// entriesAfter returns the entries after index with up to limit bytes, at least
// one, and a channel that is closed at the next change. snapshotNeeded means that
// the next entry is no longer kept. ok is false if the local state is older than
// index.
func (m *stateMachine) entriesAfter(index uint64, limit int) (a feedAnswer, changed chan struct{}, ok, snapshotNeeded bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	applied := m.state.Index()
	if index > applied {
		return a, m.changed, false, false
	}
	if index == applied && applied > 0 {
		return a, m.changed, true, false
	}
	if index < m.recentBase || index == 0 {
		return a, m.changed, true, applied > 0
	}
	size := 0
	for _, e := range m.recent {
		if e.Index <= index {
			continue
		}
		size += len(e.Data)
		if size > limit && len(a.Entries) > 0 {
			a.More = true
			break
		}
		a.Entries = append(a.Entries, e)
	}
	return a, m.changed, true, false
}

// awaitApplied waits until the entry at index has been applied.
func (m *stateMachine) awaitApplied(ctx context.Context, index uint64) error {
	for {
		m.mu.Lock()
		applied, changed := m.state.Index(), m.changed
		m.mu.Unlock()
		if applied >= index {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "wait for entry %d, entry %d is applied", index, applied)
		}
	}
}

// outdates reports whether the local state has outdated an order or notice of leaving, and
// the index of that state.
func (m *stateMachine) outdates(c *keelworld.Command) (index uint64, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Index(), m.state.IsOutdated(c)
}

// node returns the record of an instance and its index, which is 0 if it was not applied since
// the start.
func (m *stateMachine) node(name keel.InstanceName) (n keelworld.Node, index uint64, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n, ok = m.state.Node(name)
	return n, m.nodeAppliedIndex[name], ok
}

// withState calls f with the state while mu is held. f must not retain the state.
func (m *stateMachine) withState(f func(s *keelworld.State)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.state)
}

// endpoint returns the record of an endpoint and how long ago it was applied.
func (m *stateMachine) endpoint(id string, now time.Time) (e keelworld.Endpoint, age time.Duration, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok = m.state.Endpoint(id)
	if at, found := m.endpointAppliedAt[id]; found {
		age = now.Sub(at)
	}
	return e, age, ok
}
