package keeldeclare

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
)

const (
	// defaultOutsideRate is the part of an instance's 19 KB a second that
	// fetches from other failure domains may take, in bytes a second.
	defaultOutsideRate = 4000
	// insideBytes and outsideBytes are the sizes of responses that are asked
	// for inside the failure domain and outside it.
	insideBytes  = 256 << 10
	outsideBytes = 12 << 10
	// fetchOverhead is what one exchange takes on the wire besides its bodies,
	// in bytes.
	fetchOverhead = 200
	// fetchTimeout bounds one exchange.
	fetchTimeout = 5 * time.Second
)

// FetcherConfig is the configuration of a [Fetcher].
type FetcherConfig struct {
	Replica   *Replica
	Transport keel.Transport
	Clock     clockwork.Clock
	Log       *logrus.Entry
	// OutsideBytesPerSecond paces fetches from other failure domains; 0 means
	// 4,000.
	OutsideBytesPerSecond int
}

// Fetcher brings a replica up to the versions that other instances have.
type Fetcher struct {
	cfg   FetcherConfig
	wake  chan struct{}
	pacer pacer

	mu      sync.Mutex
	sources sources
	stats   FetcherStats
}

// FetcherStats counts what a fetcher did.
type FetcherStats struct {
	Fetches      uint64 `json:"fetches"`
	Failures     uint64 `json:"failures"`
	InsideBytes  uint64 `json:"inside_bytes"`
	OutsideBytes uint64 `json:"outside_bytes"`
	LastError    string `json:"last_error,omitempty"`
}

// NewFetcher returns a fetcher, which does nothing before [Fetcher.Run].
func NewFetcher(cfg FetcherConfig) *Fetcher {
	rate := cfg.OutsideBytesPerSecond
	if rate <= 0 {
		rate = defaultOutsideRate
	}
	return &Fetcher{
		cfg:     cfg,
		wake:    make(chan struct{}, 1),
		pacer:   pacer{rate: rate},
		sources: newSources(),
	}
}

// Notice tells the fetcher that a peer has a version. It does not wait.
func (f *Fetcher) Notice(peer netip.AddrPort, v keel.Version, sameDomain bool) {
	f.mu.Lock()
	f.sources.notice(f.cfg.Clock.Now(), peer, v, sameDomain)
	f.mu.Unlock()
	if v < f.wanted() {
		return
	}
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// wanted returns the version from which on a peer is of use.
func (f *Fetcher) wanted() keel.Version {
	s := f.cfg.Replica.Current()
	if s.Partial {
		return s.Version
	}
	return s.Version + 1
}

// Stats returns what the fetcher did so far.
func (f *Fetcher) Stats() FetcherStats {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stats
}

// Run fetches until ctx ends. It returns nil then.
func (f *Fetcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		wait := f.step(ctx)
		if wait < 0 {
			continue
		}
		f.sleep(ctx, wait)
	}
	return nil
}

// sleep waits for a notice, or until wait has passed if it is above 0.
func (f *Fetcher) sleep(ctx context.Context, wait time.Duration) {
	var after <-chan time.Time
	if wait > 0 {
		t := f.cfg.Clock.NewTimer(wait)
		defer t.Stop()
		after = t.Chan()
	}
	select {
	case <-ctx.Done():
	case <-after:
	case <-f.wake:
	}
}

// step does one exchange. It returns how long to wait before the next one: less
// than 0 for not at all, 0 until a notice comes.
func (f *Fetcher) step(ctx context.Context) time.Duration {
	f.mu.Lock()
	peer, same, wait := f.sources.pick(f.cfg.Clock.Now(), f.wanted())
	f.mu.Unlock()
	if !peer.IsValid() {
		return wait
	}
	n, resp, err := f.fetch(ctx, peer, same)
	f.record(peer, same, n, resp, err)
	if same {
		return -1
	}
	return f.pause(ctx, n)
}

// pause waits out what an exchange with another failure domain has used up.
func (f *Fetcher) pause(ctx context.Context, n int) time.Duration {
	wait := f.pacer.spend(f.cfg.Clock.Now(), n)
	select {
	case <-ctx.Done():
	case <-f.cfg.Clock.After(wait):
	}
	return -1
}

func (f *Fetcher) fetch(ctx context.Context, peer netip.AddrPort, same bool) (int, *FetchResponse, error) {
	size := outsideBytes
	if same {
		size = insideBytes
	}
	req, err := keel.EncodeCBOR(f.cfg.Replica.NextRequest(size))
	if err != nil {
		return 0, nil, err
	}
	callCtx, cancel := clockwork.WithTimeout(ctx, f.cfg.Clock, fetchTimeout)
	defer cancel()
	n := len(req) + fetchOverhead
	e, err := f.cfg.Transport.Call(callCtx, peer, keel.Envelope{Kind: keel.KindFetch, Body: req})
	if err != nil {
		return n, nil, errors.Wrapf(err, "fetch from %s", peer)
	}
	n += len(e.Body)
	var resp FetchResponse
	if err := keel.DecodeCBOR(e.Body, &resp); err != nil {
		return n, nil, errors.Wrapf(err, "answer of %s", peer)
	}
	return n, &resp, f.cfg.Replica.Install(resp)
}

func (f *Fetcher) record(peer netip.AddrPort, same bool, n int, resp *FetchResponse, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stats.Fetches++
	if same {
		f.stats.InsideBytes += uint64(n)
	} else {
		f.stats.OutsideBytes += uint64(n)
	}
	if errors.Is(err, ErrNotKept) {
		f.cfg.Log.WithError(err).Error("declarations are in force but not on disk")
		err = nil
	}
	if err != nil {
		f.stats.Failures++
		f.stats.LastError = err.Error()
		f.sources.failed(f.cfg.Clock.Now(), peer)
		f.cfg.Log.WithError(err).WithField("peer", peer.String()).Warn("fetch of declarations failed")
		return
	}
	f.sources.answered(f.cfg.Clock.Now(), peer, resp.Version, resp.useful())
}
