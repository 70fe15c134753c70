package keelsync

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelworld"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/zeebo/xxh3"
)

// FollowerConfig configures a [Follower].
type FollowerConfig struct {
	// Self is this instance with the address that callers use.
	Self    keelworld.Node
	Network keel.CallTransport
	// PeerPort is the port of the peer protocol, the same at every instance.
	PeerPort uint16
	// Seeds are instances to poll while no voters are known.
	Seeds []netip.Addr
	// OnChange, if not nil, is called with the previous and the new view before
	// [Follower.View] returns the new one, always from the goroutine of
	// [Follower.Run].
	OnChange func(old, now *keelworld.View)
	// Observed, if not nil, returns the answered requests and the crashes that the next
	// poll is to report, each at most [MaxReported].
	Observed func(now *keelworld.View) (answered []uint64, crashes []keelworld.Crash)
	// RateLimits, if not nil, returns the limits of endpoints that the next poll is to
	// report, at most [MaxReported].
	RateLimits func(now *keelworld.View) []keelworld.RateLimit
	Log        *logrus.Entry
}

const (
	// feedWait is how long a voter holds a poll while there is nothing new. The
	// polls are also this instance's heartbeats.
	feedWait = 400 * time.Millisecond
	// feedAnswerTimeout is how long an answer may take beyond feedWait: several
	// round trips between regions.
	feedAnswerTimeout = 500 * time.Millisecond
	// partAnswerTimeout is how long the answer to a request for a part may take. It is long
	// since a second answer with the same part would only use the link twice.
	partAnswerTimeout = 1500 * time.Millisecond
	// maxAnswerTimeout limits the growth of feedAnswerTimeout after failed polls. It is
	// less than nodeSilenceTimeout, so that an instance on a congested link stays
	// listed.
	maxAnswerTimeout = 1400 * time.Millisecond
	// firstAnswerTimeout is how long an answer may take while the state is empty:
	// a handshake and some round trips between regions. It is short because any
	// voter can send a snapshot, so that another one is polled soon if this one is
	// down. It is doubled after each failed poll, up to [maxLimitShift] times.
	firstAnswerTimeout = 300 * time.Millisecond
	// firstFeedWait is how long a voter holds the poll of a follower with an empty state if
	// its own state is empty too. Without it the follower would poll without a pause until
	// the first command is committed.
	firstFeedWait = 100 * time.Millisecond
	// feedRetryDelay is the delay before the next poll after a failed one, while there are
	// voters that have not failed. It is doubled each time that as many polls as there are
	// voters to poll have failed, up to maxRetryDelay.
	feedRetryDelay = 20 * time.Millisecond
	// maxRetryDelay is the mean delay between two polls while no voter has a leader.
	maxRetryDelay = 320 * time.Millisecond
	// maxRoundPolls limits the failed polls after which the delay is doubled. With many
	// voters, several in a row that have no leader show that there is none.
	maxRoundPolls = 3
	// maxDelayShift is the number of doublings from feedRetryDelay to maxRetryDelay.
	maxDelayShift = 4
	// failedVoterBackoff is how long a voter is polled only after all others once a
	// poll of it has failed.
	failedVoterBackoff = 3 * time.Second
)

// Follower holds a copy of the replicated state in memory and polls voters for
// updates.
type Follower struct {
	cfg   FollowerConfig
	state *keelworld.State
	view  atomic.Pointer[keelworld.View]
	// freshAt is when a voter that has a leader last found that the view is current, in
	// nanoseconds since start.
	freshAt atomic.Int64
	// answeredAt is when a voter that has a leader last answered, in nanoseconds since
	// start.
	answeredAt atomic.Int64
	// leaderlessAt is when enough voters without a leader were last found, in nanoseconds
	// since start.
	leaderlessAt atomic.Int64
	start        time.Time

	// firstSeed determines the seed that is polled first.
	firstSeed uint64

	mu     sync.Mutex
	self   keelworld.Node
	seeds  []netip.Addr
	voters []keelworld.Node
	// failedAt is when the last poll of a voter failed or returned a stale answer.
	failedAt map[keel.InstanceName]time.Time
	// cancelPoll cancels the current poll, so that the next one carries a change
	// of self.
	cancelPoll context.CancelFunc

	// noLeaderAt is when a voter last answered that it has no leader. Only Run uses it.
	noLeaderAt map[keel.InstanceName]time.Time
	// contact is the contact with the voters as logged last, and download the blob
	// that is being received. Only Run uses them and the following fields.
	contact  contactLog
	download download
	// pending are the polls whose answers are awaited, oldest first, and polled
	// receives those that ended.
	pending []*pendingPoll
	polled  chan *pendingPoll
	calls   conc.WaitGroup
	// answered is the voter that answered last.
	answered keel.InstanceName
	// failures is the number of failed polls since the last answer of a voter that has a
	// leader.
	failures int
}

// NewFollower returns a follower with an empty state.
func NewFollower(cfg FollowerConfig) *Follower {
	f := &Follower{
		cfg: cfg, self: cfg.Self, seeds: cfg.Seeds, failedAt: map[keel.InstanceName]time.Time{},
		noLeaderAt: map[keel.InstanceName]time.Time{},
		state:      keelworld.NewState(), start: time.Now(), firstSeed: xxh3.HashString(string(cfg.Self.Name)),
		download: download{partBytes: firstPartBytes, partLimit: maxPartBytes}, polled: make(chan *pendingPoll),
	}
	f.view.Store(f.state.View())
	f.freshAt.Store(-int64(time.Hour))
	f.answeredAt.Store(-int64(time.Hour))
	f.leaderlessAt.Store(-int64(time.Hour))
	return f
}

// View returns the current view. Its index never decreases.
func (f *Follower) View() *keelworld.View { return f.view.Load() }

// Age returns the time since the view was last confirmed to be current.
func (f *Follower) Age(now time.Time) time.Duration {
	return now.Sub(f.start) - time.Duration(f.freshAt.Load())
}

// Silence returns the time since a voter that has a leader last answered, also with a part
// of what the view lacks.
func (f *Follower) Silence(now time.Time) time.Duration {
	return now.Sub(f.start) - time.Duration(f.answeredAt.Load())
}

// SetAvailable reports to the voters whether callers may be sent to this instance.
func (f *Follower) SetAvailable(up bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.self.Up == up {
		return
	}
	f.self.Up = up
	if f.cancelPoll != nil {
		f.cancelPoll()
	}
}

// SetIsolated reports to the voters whether this instance reaches no endpoint.
func (f *Follower) SetIsolated(isolated bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.self.Isolated == isolated {
		return
	}
	f.self.Isolated = isolated
	if f.cancelPoll != nil {
		f.cancelPoll()
	}
}

// SetSeeds replaces the instances to poll while no voters are known.
func (f *Follower) SetSeeds(seeds []netip.Addr) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = seeds
}

// applyAnswer applies the answer to a poll and publishes the new view.
func (f *Follower) applyAnswer(p *pendingPoll) error {
	a, name := &p.answer, p.voter
	content := &feedContent{Entries: a.Entries, Snapshot: a.Snapshot}
	if a.Part != nil {
		var err error
		if content, err = f.addPart(a.Part, name); err != nil {
			f.markFailed(name)
			return err
		}
	}
	if f.applyContent(content) {
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
	voters := f.voters
	delete(f.failedAt, name)
	f.mu.Unlock()
	f.noteLeader(p.sentAt, name, a.NoLeader, voters)
	if a.Stale {
		f.markFailed(name)
		return errors.Errorf("voter %s has no leader or lags behind", name)
	}
	f.answered, f.failures = name, 0
	f.answeredAt.Store(int64(time.Since(f.start)))
	if a.Part == nil {
		f.download.regrow()
	}
	if a.Part == nil && !a.More { // otherwise the voter may have a newer state
		f.freshAt.Store(max(f.freshAt.Load(), int64(p.confirmedAt().Sub(f.start))))
	}
	return nil
}

// addPart adds a part to the download. It returns the content once that is
// complete, and empty content before.
func (f *Follower) addPart(p *blobPart, from keel.InstanceName) (*feedContent, error) {
	b, err := f.download.add(p, from)
	if err != nil || b == nil {
		return &feedContent{}, err
	}
	return b.content()
}

// applyContent applies content and reports whether that changed the state.
func (f *Follower) applyContent(c *feedContent) (changed bool) {
	if sn := c.Snapshot; sn != nil && sn.Index > f.state.Index() {
		f.state.Restore(sn)
		changed = true
	}
	for _, entry := range c.Entries {
		if entry.Index <= f.state.Index() {
			continue
		}
		var command keelworld.Command
		if err := keel.DecodeCBOR(entry.Data, &command); err != nil {
			f.cfg.Log.WithError(err).WithField("index", entry.Index).Error("undecodable log entry skipped")
			f.state.Skip(entry.Index)
			continue
		}
		f.state.Apply(entry.Index, &command)
		changed = true
	}
	return changed
}

// chooseVoter returns the voter to poll: the nearest one that has not failed
// recently, or else the one that failed longest ago. While polls fail, every second
// one goes to the voter that answered last: there is a connection to it, and opening
// one takes long on a congested link. The caller holds mu.
func (f *Follower) chooseVoter(now time.Time) keel.InstanceName {
	if n := f.download.failed; n > 0 && n%2 == 0 && f.answered != "" {
		return f.answered
	}
	var oldest keel.InstanceName
	for _, name := range f.candidates() {
		at, failed := f.failedAt[name]
		if !failed || now.Sub(at) > failedVoterBackoff {
			return name
		}
		if oldest == "" || at.Before(f.failedAt[oldest]) {
			oldest = name
		}
	}
	return oldest
}

// candidates returns the voters by distance, and then the seeds. Voters at the same
// distance are in another order at each instance, so that none has all the followers of its
// failure domain, and so are the seeds.
func (f *Follower) candidates() []keel.InstanceName {
	voters := slices.Clone(f.voters)
	slices.SortStableFunc(voters, func(a, b keelworld.Node) int {
		return cmp.Or(cmp.Compare(f.distance(&a), f.distance(&b)), cmp.Compare(f.preference(a.Name), f.preference(b.Name)))
	})
	var all []keel.InstanceName
	for _, n := range voters {
		all = append(all, n.Name)
	}
	for i := range f.seeds {
		a := f.seeds[(f.firstSeed+uint64(i))%uint64(len(f.seeds))]
		if name := keel.InstanceName(a.String()); !slices.Contains(all, name) {
			all = append(all, name)
		}
	}
	return all
}

// preference returns the rank of a voter among those at the same distance.
func (f *Follower) preference(voter keel.InstanceName) uint64 {
	return xxh3.HashString(string(f.self.Name) + "\x00" + string(voter))
}

// retryDelay returns the delay before the next poll after a failed one. While voters
// without a leader refuse the polls of hundreds of followers, the polls must leave them the
// time to elect one, and are spread by a random part.
func (f *Follower) retryDelay() time.Duration {
	f.mu.Lock()
	candidates := len(f.candidates())
	f.mu.Unlock()
	return spreadDelay(retryDelay(f.failures, candidates), rand.Float64())
}

// retryDelay returns the mean delay before the next poll after a number of failed ones,
// where there are so many voters to poll.
func retryDelay(failures, candidates int) time.Duration {
	rounds := failures / min(max(candidates, 1), maxRoundPolls)
	return min(feedRetryDelay<<min(rounds, maxDelayShift), maxRetryDelay)
}

// spreadDelay returns a delay of half to one and a half times d, for an x from 0 to 1.
func spreadDelay(d time.Duration, x float64) time.Duration {
	return time.Duration(float64(d) * (0.5 + x))
}

// distance ranks voters: 0 in the same failure domain, 1 in the same region, 2
// elsewhere.
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

// markFailed records that a poll of a voter failed or returned a stale answer.
func (f *Follower) markFailed(name keel.InstanceName) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failedAt[name] = time.Now()
}
