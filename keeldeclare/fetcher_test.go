package keeldeclare_test

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keeldeclare"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
)

var (
	inside  = netip.MustParseAddrPort("127.0.0.1:7000")
	inside2 = netip.MustParseAddrPort("127.0.0.2:7000")
	outside = netip.MustParseAddrPort("127.0.0.3:7000")
)

var errCut = errors.New("cut off")

// fakeTransport passes calls to replicas. A call to a nil replica fails.
type fakeTransport struct {
	keel.Transport
	replicas map[netip.AddrPort]*keeldeclare.Replica
	calls    map[netip.AddrPort]*atomic.Int64
}

func (f *fakeTransport) Call(ctx context.Context, to netip.AddrPort, e keel.Envelope) (keel.Envelope, error) {
	f.calls[to].Add(1)
	if f.replicas[to] == nil {
		return keel.Envelope{}, errCut
	}
	return f.replicas[to].Handler().HandleMessage(ctx, e)
}

func TestFetcher(t *testing.T) {
	full := newVoter(t, 20, keeldeclare.ReplicaConfig{})
	full.apply(blockOps(0, 8000, 20)...)
	old, partial := newReplica(t, keeldeclare.ReplicaConfig{}), newReplica(t, keeldeclare.ReplicaConfig{})
	exchange(t, partial, full.replica, 8<<10)
	const rate = 5000
	tests := []struct {
		name     string
		replicas map[netip.AddrPort]*keeldeclare.Replica
		asked    []netip.AddrPort
		notAsked []netip.AddrPort
	}{
		{"own domain first", map[netip.AddrPort]*keeldeclare.Replica{inside: full.replica, outside: full.replica}, []netip.AddrPort{inside}, []netip.AddrPort{outside}},
		{"next in the domain", map[netip.AddrPort]*keeldeclare.Replica{inside: nil, inside2: full.replica}, []netip.AddrPort{inside, inside2}, nil},
		{"domain has less than it reported", map[netip.AddrPort]*keeldeclare.Replica{inside: old, outside: full.replica}, []netip.AddrPort{inside, outside}, nil},
		{"domain lacks blocks", map[netip.AddrPort]*keeldeclare.Replica{inside: partial, outside: full.replica}, []netip.AddrPort{inside, outside}, nil},
		{"outside only, paced", map[netip.AddrPort]*keeldeclare.Replica{outside: full.replica}, []netip.AddrPort{outside}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			clock := clockwork.NewFakeClockAt(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
			began := clock.Now()
			tr := &fakeTransport{replicas: tt.replicas, calls: map[netip.AddrPort]*atomic.Int64{inside: {}, inside2: {}, outside: {}}}
			done, stop := context.WithCancel(ctx)
			r := newReplica(t, keeldeclare.ReplicaConfig{OnApply: func(s *keeldeclare.Snapshot) {
				if !s.Partial {
					stop()
				}
			}})
			log := logrus.New()
			log.SetOutput(io.Discard)
			f := keeldeclare.NewFetcher(keeldeclare.FetcherConfig{Replica: r, Transport: tr, Clock: clock, Log: logrus.NewEntry(log), OutsideBytesPerSecond: rate})
			for peer := range tt.replicas {
				f.ObserveVersion(peer, full.replica.Current().Version, peer != outside)
			}
			var wg conc.WaitGroup
			wg.Go(func() { _ = f.Run(ctx) })
			for done.Err() == nil {
				if clock.BlockUntilContext(done, 1) == nil {
					clock.Advance(100 * time.Millisecond)
				}
			}
			elapsed := clock.Since(began)
			cancel()
			wg.Wait()
			is.Equal(r.Current().Checksum, full.replica.Current().Checksum)
			for _, a := range tt.asked {
				is.True(tr.calls[a].Load() > 0)
			}
			for _, a := range tt.notAsked {
				is.Equal(tr.calls[a].Load(), int64(0))
			}
			if tt.replicas[inside] == partial {
				is.True(tr.calls[inside].Load() < 20) // retries are delayed more and more
			}
			const onePart = 32 << 10
			is.True(float64(f.Stats().OutsideBytes) <= rate*elapsed.Seconds()+onePart)
		})
	}
}
