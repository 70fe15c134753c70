package keelmember_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelmember"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
)

var errNoListener = errors.New("no listener at the address")

// fakeTransport delivers messages synchronously.
type fakeTransport struct {
	keel.Transport
	handlers map[netip.AddrPort]keel.Handler
}

func (w *fakeTransport) Send(ctx context.Context, to netip.AddrPort, e keel.Envelope) error {
	h, ok := w.handlers[to]
	if !ok {
		return errNoListener
	}
	_, err := h.HandleMessage(ctx, e)
	return err
}

func newService(w *fakeTransport, clock clockwork.Clock, in keel.Instance, local func() keelmember.Local, onVersion func(netip.AddrPort, keel.Version, bool)) *keelmember.Service {
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := keelmember.New(keelmember.Config{
		Self: in, Join: []netip.AddrPort{peerAddr(0, 0)}, Transport: w, Clock: clock,
		Log: logrus.NewEntry(log), Local: local, OnVersion: onVersion, Seed: 1,
	})
	w.handlers[in.Peer] = s
	return s
}

// advance moves the clock forward until done reports true.
func advance(t *testing.T, clock *clockwork.FakeClock, sleepers int, done func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for !done() {
		if err := clock.BlockUntilContext(ctx, sleepers); err != nil {
			t.Fatal("the services did not wait for the clock in time")
		}
		clock.Advance(step)
	}
}

func TestService(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClockAt(start)
	w := &fakeTransport{handlers: map[netip.AddrPort]keel.Handler{}}
	var versions [2]atomic.Uint64
	var noticed atomic.Uint64
	var services [2]*keelmember.Service
	for i := range services {
		services[i] = newService(w, clock, instance(0, i, 5), func() keelmember.Local {
			return keelmember.Local{Version: keel.Version(versions[i].Load())}
		}, func(_ netip.AddrPort, v keel.Version, same bool) {
			if same {
				noticed.Store(uint64(v))
			}
		})
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg conc.WaitGroup
	results := make([]error, len(services))
	var stopped atomic.Int64
	for i, s := range services {
		wg.Go(func() {
			results[i] = s.Run(ctx)
			stopped.Add(1)
		})
	}
	seen := func(state keelmember.MemberState) bool {
		m, ok := services[0].View().Member("d00-01")
		return ok && m.State == state
	}
	advance(t, clock, 2, func() bool { return seen(alive) })
	peer, ok := services[0].View().Resolve("d00-01")
	is.True(ok)
	is.Equal(peer, peerAddr(0, 1))

	versions[0].Store(4)
	services[0].Notify()
	advance(t, clock, 2, func() bool { return noticed.Load() == 4 })

	is.NoErr(services[1].Leave(ctx))
	is.True(seen(keelmember.StateLeaving))
	_, err := json.Marshal(services[0].Dump())
	is.NoErr(err)

	later := instance(0, 1, 9)
	body, err := keel.EncodeCBOR(&keelmember.Hello{Instance: later, Answer: true, Newer: 9})
	is.NoErr(err)
	_, err = services[1].HandleMessage(ctx, keel.Envelope{Kind: keel.KindHello, From: later.Name, Body: body})
	is.NoErr(err)
	advance(t, clock, 1, func() bool { return stopped.Load() == 1 })
	cancel()
	wg.Wait()
	is.NoErr(results[0])
	is.Equal(results[1], keelmember.ErrSuperseded)
}

func TestServiceRefuses(t *testing.T) {
	s := newService(&fakeTransport{handlers: map[netip.AddrPort]keel.Handler{}}, clockwork.NewFakeClockAt(start), instance(0, 0, 1), func() keelmember.Local { return keelmember.Local{} }, nil)
	tests := []struct {
		name string
		kind keel.MessageKind
		body any
	}{
		{"another kind", keel.KindClaim, keelmember.Hello{Instance: instance(0, 1, 1)}},
		{"no instance", keel.KindHello, keelmember.Hello{}},
		{"incarnations differ", keel.KindHeartbeat, keelmember.Heartbeat{Incarnation: 3, Instance: &keel.Instance{Name: "x"}}},
		{"more free than slots", keel.KindHeartbeat, keelmember.Heartbeat{Capacity: []keelmember.ServiceCapacity{{Service: "s", Slots: 1, Free: 2}}}},
		{"free slots without a service", keel.KindDigest, keelmember.Digest{Domain: "d", Region: "r", Instances: []keelmember.DigestInstance{{Free: []int{1}, Slots: []int{1}}}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			body, err := keel.EncodeCBOR(tt.body)
			is.NoErr(err)
			_, err = s.HandleMessage(t.Context(), keel.Envelope{Kind: tt.kind, From: "d00-01", Body: body})
			is.True(err != nil)
		})
	}
}
