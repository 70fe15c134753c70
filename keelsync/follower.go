package keelsync

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelworld"
	"github.com/sirupsen/logrus"
)

// FollowerConfig says what a [Follower] works with.
type FollowerConfig struct {
	// Self is this instance, as callers are to find it.
	Self    keelworld.Node
	Network keel.Transport
	// PeerPort is the port of the peer protocol, the same at every instance.
	PeerPort uint16
	// Seeds are instances that may be voters.
	Seeds []netip.Addr
	// OnChange is called with the former and the new view, from one goroutine.
	OnChange func(old, now *keelworld.View)
	Log      *logrus.Entry
}

const (
	// feedWait is how long a voter keeps a question for news; it is also the
	// time between two signs of life of this instance.
	feedWait = 400 * time.Millisecond
	// feedTime is how long an answer may take beyond that: several round trips
	// between regions.
	feedTime = 500 * time.Millisecond
	// firstTime is how long an answer may take as long as nothing is known here: a
	// handshake and some round trips between regions. Any voter has what is
	// needed to begin, and one that is down answers nothing.
	firstTime = 300 * time.Millisecond
	// feedPause is the time before another voter is asked after a failure.
	feedPause = 20 * time.Millisecond
	// failedTime is how long a voter that failed is asked after all others.
	failedTime = 3 * time.Second
)

// Follower holds a copy of the replicated state, without a disk.
type Follower struct {
	cfg   FollowerConfig
	state *keelworld.State
	view  atomic.Pointer[keelworld.View]
	// freshAt is when a voter that hears a leader last answered, in nanoseconds
	// since start.
	freshAt atomic.Int64
	start   time.Time

	mu     sync.Mutex
	self   keelworld.Node
	seeds  []netip.Addr
	voters []keelworld.Node
	// failedAt is when voters last had no news, though they should have.
	failedAt map[keel.InstanceName]time.Time
	// interrupt ends a question that waits, so that a change of self is told.
	interrupt context.CancelFunc
}

// NewFollower returns a follower that knows nothing yet.
func NewFollower(cfg FollowerConfig) *Follower {
	f := &Follower{cfg: cfg, self: cfg.Self, seeds: cfg.Seeds, failedAt: map[keel.InstanceName]time.Time{}, state: keelworld.NewState(), start: time.Now()}
	f.view.Store(f.state.View())
	f.freshAt.Store(-int64(time.Hour))
	return f
}

// View returns the present view. It never goes back.
func (f *Follower) View() *keelworld.View { return f.view.Load() }

// Age returns how long ago the view was known to be current.
func (f *Follower) Age(now time.Time) time.Duration {
	return now.Sub(f.start) - time.Duration(f.freshAt.Load())
}

// SetUp tells the voters whether callers may be sent here.
func (f *Follower) SetUp(up bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.self.Up == up {
		return
	}
	f.self.Up = up
	if f.interrupt != nil {
		f.interrupt()
	}
}

// SetSeeds replaces the instances to ask while no voters are known.
func (f *Follower) SetSeeds(seeds []netip.Addr) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = seeds
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := f.ask(ctx); err != nil && ctx.Err() == nil {
			f.cfg.Log.WithError(err).Debug("no news from voter")
			select {
			case <-ctx.Done():
			case <-time.After(feedPause):
			}
		}
	}
	return nil
}

// ask asks one voter for news once.
func (f *Follower) ask(ctx context.Context) error {
	wait, limit := feedWait, feedWait+feedTime
	if f.state.Index() == 0 {
		wait, limit = 0, firstTime
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	f.mu.Lock()
	name := f.choose(time.Now())
	r := feedRequest{Node: f.self, After: f.state.Index(), Wait: wait}
	f.interrupt = cancel
	f.mu.Unlock()
	to, ok := PeerAddress(name, f.cfg.PeerPort)
	if !ok {
		f.fail(name)
		return errors.Errorf("voter %q is not named by its address", name)
	}
	body, err := keel.EncodeCBOR(&r)
	if err != nil {
		return err
	}
	e, err := f.cfg.Network.Call(ctx, to, keel.Envelope{Kind: keel.KindFeed, Body: body})
	if err != nil {
		f.mu.Lock()
		told := f.self != r.Node
		f.mu.Unlock()
		if !told {
			f.fail(name)
		}
		return errors.Wrapf(err, "ask voter %s", name)
	}
	var a feedAnswer
	if err := keel.DecodeCBOR(e.Body, &a); err != nil {
		f.fail(name)
		return err
	}
	return f.take(&a, name)
}

// take applies an answer.
func (f *Follower) take(a *feedAnswer, name keel.InstanceName) error {
	changed := false
	if sn := a.Snapshot; sn != nil && sn.Index > f.state.Index() {
		f.state.Restore(sn)
		changed = true
	}
	for _, en := range a.Entries {
		if en.Index <= f.state.Index() {
			continue
		}
		var c keelworld.Command
		if err := keel.DecodeCBOR(en.Data, &c); err != nil {
			f.cfg.Log.WithError(err).WithField("index", en.Index).Error("command of the log skipped")
			f.state.Skip(en.Index)
			continue
		}
		f.state.Apply(en.Index, &c)
		changed = true
	}
	if changed {
		old, now := f.view.Load(), f.state.View()
		if f.cfg.OnChange != nil {
			f.cfg.OnChange(old, now)
		}
		f.view.Store(now)
	}
	f.mu.Lock()
	if len(a.Voters) > 0 {
		f.voters = a.Voters
	}
	f.mu.Unlock()
	if a.Stale {
		f.fail(name)
		return errors.Errorf("voter %s hears no leader", name)
	}
	f.freshAt.Store(int64(time.Since(f.start)))
	return nil
}

// choose returns the voter to ask: the nearest one that has not failed lately,
// or else the one that failed longest ago. The caller holds mu.
func (f *Follower) choose(now time.Time) keel.InstanceName {
	var oldest keel.InstanceName
	for _, name := range f.candidates() {
		at, failed := f.failedAt[name]
		if !failed || now.Sub(at) > failedTime {
			return name
		}
		if oldest == "" || at.Before(f.failedAt[oldest]) {
			oldest = name
		}
	}
	return oldest
}

func (f *Follower) candidates() []keel.InstanceName {
	voters := slices.Clone(f.voters)
	slices.SortStableFunc(voters, func(a, b keelworld.Node) int { return f.distance(&a) - f.distance(&b) })
	var all []keel.InstanceName
	for _, n := range voters {
		all = append(all, n.Name)
	}
	for _, a := range f.seeds {
		if name := keel.InstanceName(a.String()); !slices.Contains(all, name) {
			all = append(all, name)
		}
	}
	return all
}

func (f *Follower) distance(n *keelworld.Node) int {
	switch {
	case n.Domain == f.self.Domain:
		return 0
	case n.Region == f.self.Region:
		return 1
	default:
		return 2
	}
}

// fail notes that a voter had no news, though it should have.
func (f *Follower) fail(name keel.InstanceName) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failedAt[name] = time.Now()
}
