package keelquorum_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelquorum"
	"github.com/greengagekeel/greengagekeel/keelstore"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
)

const testLimit = 60 * time.Second

// memoryNet delivers messages between the nodes of one process.
type memoryNet struct {
	keel.Transport // only Send is used
	mu             sync.Mutex
	nodes          map[netip.AddrPort]*keelquorum.Node
	// messages and bytes count what was sent.
	messages, bytes int
}

func (n *memoryNet) Send(ctx context.Context, to netip.AddrPort, e keel.Envelope) error {
	n.mu.Lock()
	node := n.nodes[to]
	n.messages++
	n.bytes += len(e.Body)
	n.mu.Unlock()
	if node == nil {
		return errors.New("instance is down")
	}
	_, err := node.HandleMessage(ctx, e)
	return err
}

func (n *memoryNet) count() (messages, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.messages, n.bytes
}

func (n *memoryNet) set(addr netip.AddrPort, node *keelquorum.Node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[addr] = node
}

// listMachine is a state machine that keeps a list of the applied commands.
type listMachine struct {
	mu      sync.Mutex
	changed sync.Cond
	list    []string
}

func newListMachine() *listMachine {
	m := &listMachine{}
	m.changed.L = &m.mu
	return m
}

// set changes the list and wakes the goroutines in await.
func (m *listMachine) set(change func() error) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	defer m.changed.Broadcast()
	return change()
}

// await waits until the list has n commands.
func (m *listMachine) await(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for len(m.list) < n {
		m.changed.Wait()
	}
}

func (m *listMachine) Apply(_ uint64, entry []byte) {
	_ = m.set(func() error { m.list = append(m.list, string(entry)); return nil })
}

func (m *listMachine) Snapshot(w io.Writer) error {
	return m.set(func() error { return json.NewEncoder(w).Encode(m.list) })
}

func (m *listMachine) Restore(_ uint64, r io.Reader) error {
	return m.set(func() error { m.list = nil; return json.NewDecoder(r).Decode(&m.list) })
}

func (m *listMachine) commands() (list []string) {
	_ = m.set(func() error { list = append(list, m.list...); return nil })
	return list
}

func (m *listMachine) text() (s string) {
	_ = m.set(func() error { s = fmt.Sprint(m.list); return nil })
	return s
}

// group runs nodes that share a memoryNet.
type group struct {
	t             testing.TB
	ctx           context.Context
	net           *memoryNet
	names         []keel.InstanceName
	heartbeat     time.Duration
	snapshotEvery int // entries between snapshots
	disks         map[keel.InstanceName]keel.Storage
	nodes         map[keel.InstanceName]*keelquorum.Node
	machines      map[keel.InstanceName]*listMachine
	stops         map[keel.InstanceName]func()
}

func newGroup(t testing.TB, heart time.Duration, names ...keel.InstanceName) *group {
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	g := &group{
		t: t, ctx: ctx, heartbeat: heart, snapshotEvery: 20, names: names, net: &memoryNet{nodes: map[netip.AddrPort]*keelquorum.Node{}},
		disks: map[keel.InstanceName]keel.Storage{}, nodes: map[keel.InstanceName]*keelquorum.Node{},
		machines: map[keel.InstanceName]*listMachine{}, stops: map[keel.InstanceName]func(){},
	}
	t.Cleanup(func() {
		for _, stop := range g.stops {
			stop()
		}
		cancel()
	})
	return g
}

func address(name keel.InstanceName) (netip.AddrPort, bool) {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(name[0])), true
}

func (g *group) start(name keel.InstanceName, bootstrap []keel.InstanceName) *keelquorum.Node {
	log := logrus.New()
	log.SetOutput(io.Discard)
	if g.disks[name] == nil {
		g.disks[name] = keelstore.NewMemory()
	}
	g.machines[name] = newListMachine()
	n, err := keelquorum.New(keelquorum.Config{
		Self: name, Storage: g.disks[name], Machine: g.machines[name], Transport: g.net, Resolve: address,
		Bootstrap: bootstrap, Log: logrus.NewEntry(log), Seed: 1, Heartbeat: g.heartbeat, SnapshotEvery: g.snapshotEvery,
	})
	is.New(g.t).NoErr(err)
	addr, _ := address(name)
	g.net.set(addr, n)
	ctx, cancel := context.WithCancel(g.ctx)
	var wg conc.WaitGroup
	wg.Go(func() { _ = n.Run(ctx) })
	g.nodes[name] = n
	g.stops[name] = func() {
		g.net.set(addr, nil)
		cancel()
		wg.Wait()
	}
	return n
}

// awaitLeader returns the current leader according to the node via.
func (g *group) awaitLeader(via keel.InstanceName) *keelquorum.Node {
	leader, err := g.nodes[via].AwaitLeader(g.ctx)
	is.New(g.t).NoErr(err)
	return g.nodes[leader]
}

// propose repeats a proposal until a leader accepts it. The node via finds the
// leader.
func (g *group) propose(via keel.InstanceName, data string) {
	for {
		_, err := g.awaitLeader(via).Propose(g.ctx, []byte(data))
		if err == nil {
			return
		}
		if notLeader := (*keelquorum.NotLeaderError)(nil); !errors.As(err, &notLeader) && !errors.Is(err, keelquorum.ErrStopped) {
			g.t.Fatalf("propose %q: %v", data, err)
		}
	}
}

// Accepted proposals survive a handover and a restart of all voters.
func TestNode(t *testing.T) {
	for _, names := range [][]keel.InstanceName{{"a"}, {"a", "b", "c"}, {"a", "b", "c", "d", "e"}} {
		t.Run(fmt.Sprintf("%d voters", len(names)), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			g := newGroup(t, 30*time.Millisecond, names...)
			for _, name := range names {
				g.start(name, names)
			}
			want := []string{}
			add := func(k int) {
				for range k {
					want = append(want, fmt.Sprint(len(want)))
					g.propose("a", want[len(want)-1])
				}
			}
			add(30)
			is.NoErr(g.awaitLeader("a").HandOver(g.ctx))
			add(30)
			is.NoErr(g.awaitLeader("a").ReadIndex(g.ctx))
			for _, name := range names {
				g.stops[name]()
			}
			for _, name := range names {
				g.start(name, names)
			}
			add(1)
			st := g.awaitLeader("a").Status()
			is.Equal(g.machines[st.Self].text(), fmt.Sprint(want))
			is.Equal(len(st.Voters), len(names))
			is.True(st.Snapshot > 0) // the log was compacted
		})
	}
}

// Two instances join by snapshot, and the leader's storage fails. The accepted
// proposals are not lost.
func TestNodeJoinAndStorageFailure(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 30*time.Millisecond, "a", "b", "c")
	g.start("a", []keel.InstanceName{"a"})
	for i := range 50 {
		g.propose("a", fmt.Sprint(i))
	}
	g.start("b", nil)
	g.start("c", nil)
	is.NoErr(g.nodes["a"].AddVoter(g.ctx, "b"))
	is.NoErr(g.nodes["a"].AddVoter(g.ctx, "c"))
	is.True(errors.Is(g.nodes["a"].RemoveVoter(g.ctx, "a"), keelquorum.ErrLeaderRemoval))
	disk := g.disks["a"].(*keelstore.Memory)
	disk.FailReopen(keelstore.ErrInjected)
	disk.FailSync(1, 0)
	_, err := g.nodes["a"].Propose(g.ctx, []byte("last"))
	is.True(errors.Is(err, keelquorum.ErrUnknownOutcome))
	_, err = g.nodes["a"].Propose(g.ctx, []byte("none"))
	notLeader := (*keelquorum.NotLeaderError)(nil)
	is.True(errors.As(err, &notLeader))
	is.True(g.nodes["a"].Status().StorageFailure != "")
	for g.awaitLeader("b") == g.nodes["a"] || g.awaitLeader("b").ReadIndex(g.ctx) != nil {
		is.NoErr(g.ctx.Err())
	}
	l := g.awaitLeader("b")
	is.True(bytes.HasPrefix([]byte(g.machines[l.Status().Self].text()), []byte("[0 1 2 3")))
	is.NoErr(l.RemoveVoter(g.ctx, "a"))
	is.Equal(len(l.Status().Voters), 2)
}

// The disk of one leader after the other refuses a write and accepts data again later. Without
// voters that return to the quorum in the same process, the second failure leaves no majority.
func TestNodesReturnAfterStorageFailures(t *testing.T) {
	is := is.New(t)
	names := []keel.InstanceName{"a", "b", "c"}
	g := newGroup(t, 30*time.Millisecond, names...)
	for _, name := range names {
		g.start(name, names)
	}
	var accepted []string
	uncertain := map[string]bool{} // proposals with an unknown outcome
	count, failed := 0, keel.InstanceName("")
	// via returns a voter whose storage works.
	via := func() keel.InstanceName {
		if failed == names[count%len(names)] {
			return names[(count+1)%len(names)]
		}
		return names[count%len(names)]
	}
	add := func() {
		// More than the entries between two snapshots, so that a restarted core meets both.
		for range g.snapshotEvery + 5 {
			count++
			data := fmt.Sprint(count)
			if _, err := g.awaitLeader(via()).Propose(g.ctx, []byte(data)); err != nil {
				uncertain[data] = true
				continue
			}
			accepted = append(accepted, data)
		}
	}
	add()
	for round := range 6 {
		leader := g.awaitLeader(via())
		self := leader.Status().Self
		disk := g.disks[self].(*keelstore.Memory)
		disk.FailReopen(keelstore.ErrInjected)
		disk.FailSync(1, round%2)
		_, err := leader.Propose(g.ctx, []byte("failed"))
		is.True(err != nil)
		uncertain["failed"] = true
		for leader.Status().StorageFailure == "" {
			is.NoErr(g.ctx.Err())
		}
		failed = self
		add() // by the others
		disk.FailReopen(nil)
		for leader.Status().StorageFailure != "" {
			is.NoErr(g.ctx.Err())
		}
		failed = ""
	}
	is.True(len(accepted) > 6*g.snapshotEvery)
	for _, name := range names {
		var got []string
		for len(got) < len(accepted) {
			is.NoErr(g.ctx.Err())
			got = slices.DeleteFunc(g.machines[name].commands(), func(c string) bool { return uncertain[c] })
		}
		is.Equal(got, accepted) // none is lost or applied twice
	}
}

// blockingStorage is a storage whose writes hang while it is locked.
type blockingStorage struct {
	*keelstore.Memory
	mu sync.Mutex
}

func (s *blockingStorage) Append(entries []keel.LogEntry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Memory.Append(entries)
}

// The disk of a follower hangs. Its status is that of the time before, which would make an old
// state appear current: it must not name a leader once another one may have been elected.
func TestNoLeaderKnownWhileDiskHangs(t *testing.T) {
	is := is.New(t)
	names := []keel.InstanceName{"a", "b", "c"}
	g := newGroup(t, 30*time.Millisecond, names...)
	disks := map[keel.InstanceName]*blockingStorage{}
	for _, name := range names {
		disks[name] = &blockingStorage{Memory: keelstore.NewMemory()}
		g.disks[name] = disks[name]
		g.start(name, names)
	}
	g.propose("a", "1")
	leader := g.awaitLeader("a").Status().Self
	follower := names[0]
	if leader == follower {
		follower = names[1]
	}
	disks[follower].mu.Lock()
	unblock := sync.OnceFunc(disks[follower].mu.Unlock)
	t.Cleanup(unblock)
	g.propose(leader, "2") // committed by the other two
	for g.nodes[follower].Status().Leader != "" {
		is.NoErr(g.ctx.Err())
	}
	unblock()
	for g.nodes[follower].Status().Leader == "" {
		is.NoErr(g.ctx.Err())
	}
	g.machines[follower].await(2)
}
