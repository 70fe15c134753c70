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
	// defaultOutsideRate is the rate of fetches from other failure domains, in
	// bytes per second. It is a share of the 19 KB per second that an instance
	// may use.
	defaultOutsideRate = 4000
	// insideResponseBytes and outsideResponseBytes are the response sizes
	// requested from peers inside and outside the failure domain.
	insideResponseBytes  = 256 << 10
	outsideResponseBytes = 12 << 10
	// fetchOverheadBytes is the network overhead of one exchange besides the
	// message bodies.
	fetchOverheadBytes = 200
	// fetchTimeout limits the duration of one exchange.
	fetchTimeout = 5 * time.Second
)

// FetcherConfig is the configuration of a [Fetcher].
type FetcherConfig struct {
	Replica   *Replica
	Transport keel.Transport
	Clock     clockwork.Clock
	Log       *logrus.Entry
	// OutsideBytesPerSecond limits the rate of fetches from other failure
	// domains; 0 means 4,000.
	OutsideBytesPerSecond int
}

// Fetcher updates a replica to the versions that other instances report.
type Fetcher struct {
	cfg   FetcherConfig
	wake  chan struct{}
	pacer pacer

	mu      sync.Mutex
	sources sources
	stats   FetcherStats
}

// FetcherStats holds the counters of a fetcher.
type FetcherStats struct {
	Fetches  uint64 `json:"fetches"`
	Failures uint64 `json:"failures"`
	// InsideBytes and OutsideBytes count the bytes sent and received in fetches
	// from peers inside and outside the failure domain, including an estimate
	// of the network overhead.
	InsideBytes  uint64 `json:"inside_bytes"`
	OutsideBytes uint64 `json:"outside_bytes"`
	// LastError is the error of the last failed fetch.
	LastError string `json:"last_error,omitempty"`
}

// NewFetcher returns a fetcher. It does nothing until [Fetcher.Run] is called.
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

// ObserveVersion records the version that a peer reported, and whether the peer
// is in the same failure domain. It does not block.
func (f *Fetcher) ObserveVersion(peer netip.AddrPort, v keel.Version, sameDomain bool) {
	f.mu.Lock()
	f.sources.observe(f.cfg.Clock.Now(), peer, v, sameDomain)
	f.mu.Unlock()
	if v < f.minUsefulVersion() {
		return
	}
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// minUsefulVersion returns the lowest version at a peer that is worth fetching.
func (f *Fetcher) minUsefulVersion() keel.Version {
	s := f.cfg.Replica.Current()
	if s.Partial {
		return s.Version
	}
	return s.Version + 1
}

// Stats returns the current counters.
func (f *Fetcher) Stats() FetcherStats {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stats
}

// Run fetches until ctx ends, and then returns nil.
func (f *Fetcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		wait := f.fetchOnce(ctx)
		if wait < 0 {
			continue
		}
		f.waitForWake(ctx, wait)
	}
	return nil
}

// waitForWake waits until a peer reports a useful version, ctx ends or, if wait
// is above 0, wait has passed.
func (f *Fetcher) waitForWake(ctx context.Context, wait time.Duration) {
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

// fetchOnce does one exchange. It returns how long to wait before the next one:
// a negative value means not at all, 0 until a peer reports a useful version.
func (f *Fetcher) fetchOnce(ctx context.Context) time.Duration {
	f.mu.Lock()
	peer, sameDomain, wait := f.sources.pick(f.cfg.Clock.Now(), f.minUsefulVersion())
	f.mu.Unlock()
	if !peer.IsValid() {
		return wait
	}
	n, resp, err := f.fetch(ctx, peer, sameDomain)
	f.recordResult(peer, sameDomain, n, resp, err)
	if sameDomain {
		return -1
	}
	return f.throttle(ctx, n)
}

// throttle waits until the rate limit allows the next exchange with another
// failure domain, after one of n bytes. It returns the result of fetchOnce.
func (f *Fetcher) throttle(ctx context.Context, n int) time.Duration {
	wait := f.pacer.reserve(f.cfg.Clock.Now(), n)
	select {
	case <-ctx.Done():
	case <-f.cfg.Clock.After(wait):
	}
	return -1
}

// fetch does one exchange with the peer and installs the response. It also
// returns the number of bytes transferred.
func (f *Fetcher) fetch(ctx context.Context, peer netip.AddrPort, sameDomain bool) (int, *FetchResponse, error) {
	size := outsideResponseBytes
	if sameDomain {
		size = insideResponseBytes
	}
	req, err := keel.EncodeCBOR(f.cfg.Replica.NextRequest(size))
	if err != nil {
		return 0, nil, err
	}
	callCtx, cancel := clockwork.WithTimeout(ctx, f.cfg.Clock, fetchTimeout)
	defer cancel()
	n := len(req) + fetchOverheadBytes
	e, err := f.cfg.Transport.Call(callCtx, peer, keel.Envelope{Kind: keel.KindFetch, Body: req})
	if err != nil {
		return n, nil, errors.Wrapf(err, "fetch from %s", peer)
	}
	n += len(e.Body)
	var resp FetchResponse
	if err := keel.DecodeCBOR(e.Body, &resp); err != nil {
		return n, nil, errors.Wrapf(err, "response of %s", peer)
	}
	return n, &resp, f.cfg.Replica.Install(resp)
}

// recordResult updates the counters and the peer's state after an exchange.
func (f *Fetcher) recordResult(peer netip.AddrPort, sameDomain bool, n int, resp *FetchResponse, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stats.Fetches++
	if sameDomain {
		f.stats.InsideBytes += uint64(n)
	} else {
		f.stats.OutsideBytes += uint64(n)
	}
	if errors.Is(err, ErrNotSaved) {
		f.cfg.Log.WithError(err).Error("declarations are in force but could not be saved")
		err = nil
	}
	if err != nil {
		f.stats.Failures++
		f.stats.LastError = err.Error()
		f.sources.recordFailure(f.cfg.Clock.Now(), peer)
		f.cfg.Log.WithError(err).WithField("peer", peer.String()).Warn("fetch of declarations failed")
		return
	}
	f.sources.recordAnswer(f.cfg.Clock.Now(), peer, resp.Version, resp.useful())
}
