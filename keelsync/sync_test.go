package keelsync_test

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelpeer"
	"github.com/greengagekeel/greengagekeel/keelstore"
	"github.com/greengagekeel/greengagekeel/keelsync"
	"github.com/greengagekeel/greengagekeel/keelworld"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
)

// testLimit is the time limit of each test.
const testLimit = 40 * time.Second

const peerPort = 7

// cluster runs instances in one process on a memory network.
type cluster struct {
	t     *testing.T
	hub   *keelpeer.MemoryHub
	log   *logrus.Entry
	disks map[string]*keelstore.Memory
	group conc.WaitGroup
	stops map[string]func()
	seeds []netip.Addr
	ctx   context.Context
	// observed is what followers report, by name.
	observed map[string]func(*keelworld.View) ([]uint64, []keelworld.Crash)
	// limits are the limits of endpoints that followers report, by name.
	limits map[string]func(*keelworld.View) []keelworld.RateLimit
	// retention is how long the crashes of a request count.
	retention time.Duration
}

func newCluster(t *testing.T, seeds ...string) *cluster {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	w := &cluster{
		t: t, hub: keelpeer.NewMemoryHub(keelpeer.HubConfig{Seed: 1}), log: logrus.NewEntry(logger),
		disks: map[string]*keelstore.Memory{}, stops: map[string]func(){}, ctx: ctx,
		observed: map[string]func(*keelworld.View) ([]uint64, []keelworld.Crash){},
		limits:   map[string]func(*keelworld.View) []keelworld.RateLimit{},
	}
	for _, s := range seeds {
		w.seeds = append(w.seeds, netip.MustParseAddr(s))
	}
	t.Cleanup(func() {
		for _, stop := range w.stops {
			stop()
		}
		cancel()
		w.group.Wait()
	})
	return w
}

func addrOf(name string) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr(name), peerPort)
}

// voter starts a voter in a failure domain. A voter that was stopped starts with
// its former disk, a new one with an empty disk.
func (w *cluster) voter(name, domain string, bootstrap bool) *keelsync.Voter {
	w.t.Helper()
	disk := w.disks[name]
	if disk == nil {
		disk = keelstore.NewMemory()
		w.disks[name] = disk
	}
	if err := disk.Reopen(); err != nil {
		w.t.Fatal(err)
	}
	network := w.hub.Join(keel.InstanceName(name), addrOf(name))
	v, err := keelsync.NewVoter(keelsync.VoterConfig{
		Self: keelworld.Node{
			Name: keel.InstanceName(name), Incarnation: uint64(time.Now().UnixNano()),
			Domain: keel.DomainName(domain), Region: "r", Voter: true,
		},
		Network: network, Storage: disk, PeerPort: peerPort,
		Seeds: w.seeds, Bootstrap: bootstrap, EndpointSilence: 500 * time.Millisecond, SuspectRetention: w.retention, Log: w.log, Seed: 1,
	})
	if err != nil {
		w.t.Fatal(err)
	}
	w.run(name, network, v.Run)
	return v
}

func (w *cluster) run(name string, network *keelpeer.MemoryTransport, f func(context.Context) error) {
	ctx, cancel := context.WithCancel(w.ctx)
	done := make(chan struct{})
	w.group.Go(func() {
		defer close(done)
		_ = network.Run(ctx)
	})
	end := make(chan struct{})
	w.group.Go(func() {
		defer close(end)
		_ = f(ctx)
	})
	w.stops[name] = func() {
		cancel()
		<-done
		<-end
	}
}

// stop stops an instance and keeps its disk.
func (w *cluster) stop(name string) {
	w.stops[name]()
	delete(w.stops, name)
}

// waitFor waits until a condition holds and fails the test after [testLimit].
func (w *cluster) waitFor(what string, holds func() bool) {
	w.t.Helper()
	for !holds() {
		select {
		case <-w.ctx.Done():
			w.t.Fatalf("%s: not within %s", what, testLimit)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// submit commits a command through a voter.
// submit submits a command, and again if it is outdated, as a caller who waits does.
func (w *cluster) submit(v *keelsync.Voter, c *keelworld.Command) keelworld.Result {
	w.t.Helper()
	for {
		r, err := v.Submit(w.ctx, c, nil)
		if err != nil {
			w.t.Fatal(err)
		}
		if !r.Outdated {
			return r
		}
		c.AsOf = r.Index
	}
}

func countVoting(v *keelsync.Voter) int {
	n := 0
	for _, o := range v.Status().Voters {
		if !o.Learner {
			n++
		}
	}
	return n
}

func item(name string, version keelworld.Version) keelworld.Item {
	return keelworld.Item{
		ItemKey: keelworld.ItemKey{Kind: keelworld.ItemService, Name: name}, Version: version,
		Service: &keelworld.Service{}, Source: fmt.Appendf(nil, "%s-%d", name, version),
	}
}

func patch(items ...keelworld.Item) *keelworld.Command {
	return &keelworld.Command{Patch: &keelworld.Patch{Items: items}}
}

func (w *cluster) versionOf(v *keelsync.Voter, name string) keelworld.Version {
	items, err := v.Read(w.ctx)
	if err != nil {
		w.t.Fatal(err)
	}
	for _, it := range items {
		if it.Name == name {
			return it.Version
		}
	}
	return 0
}

var names = []string{"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4", "10.0.0.5", "10.0.0.6"}

// startSixVoters starts six voters with three of them as seeds, and waits until
// every voter lists six voting members.
func startSixVoters(t *testing.T) (*cluster, map[string]*keelsync.Voter) {
	return startSixVotersRetaining(t, 0)
}

// startSixVotersRetaining starts six voters that keep the crashes of requests for a time, or
// for the default one.
func startSixVotersRetaining(t *testing.T, retention time.Duration) (*cluster, map[string]*keelsync.Voter) {
	w := newCluster(t, names[:3]...)
	w.retention = retention
	voters := map[string]*keelsync.Voter{}
	for i, name := range names {
		voters[name] = w.voter(name, fmt.Sprintf("d%d", i), true)
	}
	for _, name := range names {
		w.waitFor(name+" sees six voters", func() bool { return countVoting(voters[name]) == len(names) })
	}
	return w, voters
}

func TestVotersFormFromSeeds(t *testing.T) {
	is := is.New(t)
	w, voters := startSixVoters(t)
	for i, name := range names {
		r := w.submit(voters[name], patch(item("a", keelworld.Version(i+1))))
		is.Equal(len(r.Faults), 0)
	}
	for _, name := range names {
		is.Equal(w.versionOf(voters[name], "a"), keelworld.Version(len(names)))
	}
}

// Two voters lose their disks right after a command is acknowledged, and all
// restart. The command is not lost, and all six vote again.
func TestTwoDisksLostAfterAcknowledgement(t *testing.T) {
	is := is.New(t)
	w, voters := startSixVoters(t)
	w.submit(voters[names[0]], patch(item("a", 7)))
	for _, name := range names {
		w.stop(name)
	}
	delete(w.disks, names[0])
	delete(w.disks, names[1])
	for i, name := range names {
		voters[name] = w.voter(name, fmt.Sprintf("d%d", i), false)
	}
	is.Equal(w.versionOf(voters[names[0]], "a"), keelworld.Version(7))
	for _, name := range names {
		w.waitFor(name+" votes again", func() bool {
			st := voters[name].Status()
			for _, o := range st.Voters {
				if o.Name == st.Self {
					return !o.Learner && o.Incarnation == st.Incarnation
				}
			}
			return false
		})
	}
}

// A voter stops for good and another one starts in its failure domain, with
// another address and an empty disk. It replaces the stopped voter.
func TestVoterReplaced(t *testing.T) {
	is := is.New(t)
	w, voters := startSixVoters(t)
	w.submit(voters[names[1]], patch(item("a", 3)))
	w.stop(names[0])
	const replacement = "10.0.0.7"
	v := w.voter(replacement, "d0", false)
	w.waitFor("the new voter replaces the stopped one", func() bool {
		old := false
		for _, o := range v.Status().Voters {
			old = old || o.Name == keel.InstanceName(names[0])
		}
		return !old && countVoting(v) == len(names)
	})
	is.Equal(w.versionOf(v, "a"), keelworld.Version(3))
}

// A voter that was replaced while it was down restarts with its disk. It votes
// again, and so does the one that replaced it.
func TestReplacedVoterReturns(t *testing.T) {
	is := is.New(t)
	w, voters := startSixVoters(t)
	w.stop(names[0])
	v := w.voter("10.0.0.7", "d0", false)
	w.waitFor("the new voter replaces the stopped one", func() bool {
		return countVoting(v) == len(names) && !slices.ContainsFunc(v.Status().Voters, func(o keel.Voter) bool { return o.Name == keel.InstanceName(names[0]) })
	})
	old := w.voter(names[0], "d0", false)
	w.waitFor("the former voter votes again", func() bool { return countVoting(old) == len(names)+1 })
	w.submit(voters[names[1]], patch(item("a", 3)))
	is.Equal(w.versionOf(old, "a"), keelworld.Version(3))
}

// A new instance whose seeds are all followers joins: they forward its request to
// the leader.
func TestJoinForwardedToLeader(t *testing.T) {
	is := is.New(t)
	w, voters := startSixVoters(t)
	leader := ""
	w.waitFor("a leader", func() bool {
		for name, v := range voters {
			if v.Status().LeaseValid {
				leader = name
				return true
			}
		}
		return false
	})
	w.seeds = nil
	for _, name := range names {
		if name != leader && len(w.seeds) < 3 {
			w.seeds = append(w.seeds, netip.MustParseAddr(name))
		}
	}
	v := w.voter("10.0.0.7", "d0", false)
	w.waitFor("the new instance votes", func() bool { return countVoting(v) == len(names)+1 })
	is.Equal(string(v.Status().Leader), leader) // no other one was elected meanwhile
}

// A voter that is partitioned from all others does not acknowledge that an
// endpoint leaves, even if its state does not contain that endpoint.
func TestLeaveAtPartitionedVoter(t *testing.T) {
	is := is.New(t)
	w, voters := startSixVoters(t)
	e := keelworld.Endpoint{
		ID: "e", Incarnation: 1, Sequence: 1, State: keelworld.EndpointServing, Service: "a", Domain: "d0",
		Address: netip.MustParseAddrPort("10.0.2.1:80"), Slots: 2,
	}
	is.NoErr(voters[names[1]].Announce(w.ctx, &e))
	const partitioned = "10.0.0.7"
	for _, name := range names {
		w.hub.Cut(addrOf(name), addrOf(partitioned))
	}
	v := w.voter(partitioned, "d0", false)
	ctx, cancel := context.WithTimeout(w.ctx, 200*time.Millisecond)
	defer cancel()
	_, err := v.Depart(ctx, "e", 0, nil)
	is.True(err != nil)
	for _, name := range names {
		w.hub.Heal(addrOf(name), addrOf(partitioned))
	}
	w.depart(v, "e")
}

// A partition divides six voters into halves. Neither half accepts a command;
// after the partition heals, both halves have the same state.
func TestPartitionedHalvesAcceptNothing(t *testing.T) {
	is := is.New(t)
	w, voters := startSixVoters(t)
	w.submit(voters[names[0]], patch(item("a", 1)))
	for _, a := range names[:3] {
		for _, b := range names[3:] {
			w.hub.Cut(addrOf(a), addrOf(b))
		}
	}
	for _, name := range []string{names[0], names[5]} {
		w.waitFor("no lease in either half", func() bool {
			for _, v := range voters {
				if v.Status().LeaseValid {
					return false
				}
			}
			return true
		})
		ctx, cancel := context.WithTimeout(w.ctx, 200*time.Millisecond)
		_, err := voters[name].Submit(ctx, patch(item("a", 2)), nil)
		cancel()
		is.True(err != nil)
	}
	for _, a := range names[:3] {
		for _, b := range names[3:] {
			w.hub.Heal(addrOf(a), addrOf(b))
		}
	}
	w.submit(voters[names[4]], patch(item("a", 3)))
	is.Equal(w.versionOf(voters[names[0]], "a"), keelworld.Version(3))
}

func (w *cluster) follower(name string, onChange func(old, now *keelworld.View)) *keelsync.Follower {
	network := w.hub.Join(keel.InstanceName(name), addrOf(name))
	f := keelsync.NewFollower(keelsync.FollowerConfig{
		Self: keelworld.Node{
			Name: keel.InstanceName(name), Incarnation: 1, Domain: "d0", Region: "r",
			Caller: netip.AddrPortFrom(netip.MustParseAddr(name), 80), Up: true,
		},
		Network: network, PeerPort: peerPort,
		Seeds: w.seeds, OnChange: onChange, Observed: w.observed[name], RateLimits: w.limits[name], Log: w.log,
	})
	w.run(name, network, f.Run)
	return f
}

// A follower receives committed commands, its view index only increases, and
// other instances list it as long as it polls.
func TestFollower(t *testing.T) {
	is := is.New(t)
	w, voters := startSixVoters(t)
	decreased := false
	f := w.follower("10.0.1.1", func(old, now *keelworld.View) { decreased = decreased || now.Index <= old.Index })
	g := w.follower("10.0.1.2", nil)
	w.submit(voters[names[3]], patch(item("a", 1)))
	w.waitFor("both follow", func() bool {
		return f.View().Services["a"] != nil && g.View().Services["a"] != nil && len(g.View().Nodes) == 2
	})
	w.waitFor("the view is confirmed", func() bool { return f.Age(time.Now()) < testLimit })
	// The nearest voter stops: another one is polled.
	w.stop(names[0])
	w.submit(voters[names[3]], patch(item("b", 1)))
	w.waitFor("the follower polls another voter", func() bool { return f.View().Services["b"] != nil })
	// One instance leaves, and one is killed.
	f.SetAvailable(false)
	w.waitFor("the instance that leaves is no longer listed", func() bool { return len(g.View().Nodes) == 1 })
	f.SetAvailable(true)
	w.waitFor("the instance is listed again", func() bool { return len(g.View().Nodes) == 2 })
	w.stop("10.0.1.1")
	w.waitFor("the killed instance is no longer listed", func() bool { return len(g.View().Nodes) == 1 })
	is.Equal(decreased, false)
}

// All voters stop and one restarts. Without a leader it serves its stored
// snapshot to a new follower.
func TestSnapshotServedWithoutLeader(t *testing.T) {
	is := is.New(t)
	w, voters := startSixVoters(t)
	for i := range 100 { // more than snapshotEvery
		w.submit(voters[names[i%len(names)]], patch(item("a", keelworld.Version(i+1))))
	}
	for _, name := range names {
		w.stop(name)
	}
	v := w.voter(names[1], "d1", false)
	f := w.follower("10.0.1.1", nil)
	w.waitFor("the follower has the item", func() bool { return f.View().Services["a"] != nil })
	is.Equal(v.Status().Leader, keel.InstanceName(""))
}

// Followers receive the announced states of an endpoint: serving, draining,
// silent after no more announcements, a new incarnation, and left.
func TestAnnounce(t *testing.T) {
	is := is.New(t)
	w, voters := startSixVoters(t)
	f := w.follower("10.0.1.1", nil)
	e := keelworld.Endpoint{
		ID: "e", Incarnation: 1, Sequence: 1, State: keelworld.EndpointServing, Service: "a", Domain: "d0",
		Address: netip.MustParseAddrPort("10.0.2.1:80"), Slots: 2,
	}
	is.NoErr(voters[names[5]].Announce(w.ctx, &e))
	w.waitFor("the endpoint is listed", func() bool { return len(f.View().Endpoints["a"]) == 1 })
	e.Sequence, e.State = 2, keelworld.EndpointDraining
	is.NoErr(voters[names[2]].Announce(w.ctx, &e))
	w.waitFor("the endpoint is listed as draining", func() bool {
		es := f.View().Endpoints["a"]
		return len(es) == 1 && es[0].State == keelworld.EndpointDraining
	})
	w.waitFor("the silent endpoint is no longer listed", func() bool { return len(f.View().Endpoints["a"]) == 0 })
	e.Incarnation, e.Sequence, e.State = 2, 1, keelworld.EndpointServing
	is.NoErr(voters[names[1]].Announce(w.ctx, &e))
	w.waitFor("the next incarnation is listed", func() bool { return len(f.View().Endpoints["a"]) == 1 })
	w.depart(voters[names[4]], "e")
	w.waitFor("the endpoint has left", func() bool {
		_, ok := f.View().Endpoint("a", "e")
		return !ok
	})
}

// Orders reach a voter that stood still, or that lags, after their callers gave them up. Those of
// callers who left change nothing; those of callers who wait and send them again come into force.
func TestOrdersOfCallersWhoLeft(t *testing.T) {
	is := is.New(t)
	w, voters := startSixVoters(t)
	drain := func(on bool) *keelworld.Command {
		return &keelworld.Command{Drain: &keelworld.Drain{Domain: "d1", On: on}}
	}
	gone := func() bool { return true }
	w.submit(voters[names[0]], drain(true))
	other := &keelworld.Command{Drain: &keelworld.Drain{Domain: "d2", On: true}}
	_, err := voters[names[4]].Submit(w.ctx, other, gone)
	is.True(errors.Is(err, keelsync.ErrCallerLeft))
	_, err = voters[names[4]].Depart(w.ctx, "e", 0, gone)
	is.True(errors.Is(err, keelsync.ErrCallerLeft))
	f := w.follower("10.0.1.1", nil)
	w.waitFor("the drain is in force", func() bool { return f.View().Drained["d1"] })

	// Others start and end drains between the check of the caller and the commit.
	for i := range 5 {
		checks := 0
		interfere := func() bool {
			if checks++; checks == 1 {
				w.submit(voters[names[i]], drain(true))
				w.submit(voters[names[i+1]], drain(false))
				w.submit(voters[names[i]], drain(true))
			}
			return false
		}
		c := drain(false)
		c.AsOf = f.View().Index
		r, err := voters[names[5]].Submit(w.ctx, c, interfere)
		is.NoErr(err)
		is.True(r.Outdated) // the order came from before the drain
		is.Equal(checks, 1)
		c = drain(false)
		c.AsOf = r.Index
		r, err = voters[names[5]].Submit(w.ctx, c, interfere)
		is.NoErr(err)
		is.True(!r.Outdated) // the caller waited after the drain
		w.waitFor("the order is in force", func() bool { return !f.View().Drained["d1"] })
		w.submit(voters[names[i]], drain(true))
		w.waitFor("the drain is in force", func() bool { return f.View().Drained["d1"] })
	}
}

// The disk of a voter is full. The voter reports nothing to the leader, so that endpoints which
// it acknowledged would be taken for silent: they must be sent on to another voter.
func TestAnnounceAtVoterWithFullDisk(t *testing.T) {
	is := is.New(t)
	w, voters := startSixVoters(t)
	e := keelworld.Endpoint{
		ID: "e", Incarnation: 1, Sequence: 1, State: keelworld.EndpointServing, Service: "a", Domain: "d0",
		Address: netip.MustParseAddrPort("10.0.2.1:80"), Slots: 2,
	}
	is.NoErr(voters[names[5]].Announce(w.ctx, &e))
	disk := w.disks[names[5]]
	disk.FailReopen(keelstore.ErrInjected)
	disk.FailSync(1, 0)
	w.submit(voters[names[0]], patch(item("a", 7)))
	w.waitFor("the write fails", func() bool { return voters[names[5]].Status().StorageFailure != "" })
	e.Sequence++
	is.True(voters[names[5]].Announce(w.ctx, &e) != nil)
	disk.FailReopen(nil)
	w.waitFor("the voter takes part again", func() bool { return voters[names[5]].Announce(w.ctx, &e) == nil })
	is.Equal(w.versionOf(voters[names[5]], "a"), keelworld.Version(7))
}

// An endpoint that is new to a long-standing leader is not marked silent before
// the first liveness report that contains it arrives.
func TestNewEndpointIsNotSilent(t *testing.T) {
	is := is.New(t)
	w, voters := startSixVoters(t)
	var mu sync.Mutex
	vanished := map[string]bool{}
	f := w.follower("10.0.1.1", func(old, now *keelworld.View) {
		for _, e := range old.Endpoints["a"] {
			if _, ok := now.Endpoint("a", e.ID); !ok {
				mu.Lock()
				vanished[e.ID] = true
				mu.Unlock()
			}
		}
	})
	var all []keelworld.Endpoint
	for i := range 40 {
		all = append(all, keelworld.Endpoint{
			ID: fmt.Sprintf("e%d", i), Incarnation: 1, State: keelworld.EndpointServing, Service: "a", Domain: "d0",
			Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.2.1"), uint16(1000+i)), Slots: 2,
		})
		for j := range all { // each endpoint repeats its announcement to one voter
			all[j].Sequence++
			is.NoErr(voters[names[j%len(names)]].Announce(w.ctx, &all[j]))
		}
		w.waitFor("the new endpoint is listed", func() bool {
			mu.Lock()
			defer mu.Unlock()
			_, ok := f.View().Endpoint("a", all[i].ID)
			return ok || vanished[all[i].ID]
		})
		time.Sleep(25 * time.Millisecond) // the whole loop spans several reconcile intervals
	}
	w.stop("10.0.1.1") // no more writes to vanished
	is.Equal(len(vanished), 0)
}
