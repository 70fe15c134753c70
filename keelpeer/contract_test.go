package keelpeer_test

import (
	"bytes"
	"context"
	"io"
	"net/netip"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelkey"
	"github.com/greengagekeel/greengagekeel/keelpeer"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
)

// member is the interface of a transport under test.
type member interface {
	keel.Transport
	Register(kind keel.MessageKind, h keel.Handler)
	SetStreams(h keel.StreamHandler)
	Addr() netip.AddrPort
	Run(ctx context.Context) error
	Close()
}

const (
	kindEcho      keel.MessageKind = 101
	kindRefuse    keel.MessageKind = 102
	kindFail      keel.MessageKind = 103
	kindHang      keel.MessageKind = 104
	kindNote      keel.MessageKind = 105
	kindUnhandled keel.MessageKind = 106
	kindPanic     keel.MessageKind = 107
)

// fixture holds two connected members, a and b, and signals from the handlers
// of b.
type fixture struct {
	a, b      member
	notes     chan keel.Envelope
	started   chan struct{}
	cancelled chan struct{}
}

type handlerFunc func(ctx context.Context, e keel.Envelope) (keel.Envelope, error)

func (f handlerFunc) HandleMessage(ctx context.Context, e keel.Envelope) (keel.Envelope, error) {
	return f(ctx, e)
}

type streamFunc func(ctx context.Context, e keel.Envelope, s keel.Stream)

func (f streamFunc) HandleStream(ctx context.Context, e keel.Envelope, s keel.Stream) { f(ctx, e, s) }

func newQUICPair(t *testing.T) (member, member) {
	t.Helper()
	keys, err := keelkey.Ephemeral("a", "b")
	if err != nil {
		t.Fatal(err)
	}
	listen := netip.MustParseAddrPort("127.0.0.1:0")
	a, err := keelpeer.New(keelpeer.Config{Listen: listen, Keys: keys["a"]})
	if err != nil {
		t.Fatal(err)
	}
	b, err := keelpeer.New(keelpeer.Config{Listen: listen, Keys: keys["b"]})
	if err != nil {
		t.Fatal(err)
	}
	return a, b
}

func newMemoryPair(*testing.T) (member, member) {
	hub := keelpeer.NewMemoryHub(keelpeer.HubConfig{Seed: 1})
	return hub.Join("a", netip.MustParseAddrPort("10.0.0.1:1")), hub.Join("b", netip.MustParseAddrPort("10.0.0.2:1"))
}

func newFixture(t *testing.T, pair func(*testing.T) (member, member)) *fixture {
	t.Helper()
	a, b := pair(t)
	v := &fixture{a: a, b: b, notes: make(chan keel.Envelope, 100), started: make(chan struct{}, 10), cancelled: make(chan struct{}, 10)}
	v.register(b)
	var group conc.WaitGroup
	ctx, cancel := context.WithCancel(t.Context())
	group.Go(func() { _ = a.Run(ctx) })
	group.Go(func() { _ = b.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return v
}

func (v *fixture) register(m member) {
	m.Register(kindEcho, handlerFunc(func(_ context.Context, e keel.Envelope) (keel.Envelope, error) {
		return keel.Envelope{Kind: kindEcho, Body: append([]byte(e.From+":"), e.Body...)}, nil
	}))
	m.Register(kindRefuse, handlerFunc(func(context.Context, keel.Envelope) (keel.Envelope, error) {
		return keel.Envelope{}, keel.Refuse(keel.NotRun, keel.ReasonOverload, 0, "full")
	}))
	m.Register(kindFail, handlerFunc(func(context.Context, keel.Envelope) (keel.Envelope, error) {
		return keel.Envelope{}, errors.New("broken")
	}))
	m.Register(kindPanic, handlerFunc(func(context.Context, keel.Envelope) (keel.Envelope, error) {
		panic("test")
	}))
	m.Register(kindHang, handlerFunc(func(ctx context.Context, _ keel.Envelope) (keel.Envelope, error) {
		v.started <- struct{}{}
		<-ctx.Done()
		v.cancelled <- struct{}{}
		return keel.Envelope{}, ctx.Err()
	}))
	m.Register(kindNote, handlerFunc(func(_ context.Context, e keel.Envelope) (keel.Envelope, error) {
		v.notes <- e
		return keel.Envelope{}, nil
	}))
	m.SetStreams(streamFunc(v.handleStream))
}

// handleStream echoes a stream, blocks until it is cancelled, or cancels it,
// depending on the kind.
func (v *fixture) handleStream(ctx context.Context, e keel.Envelope, s keel.Stream) {
	switch e.Kind {
	case kindEcho:
		_, _ = io.Copy(s, io.MultiReader(strings.NewReader(string(e.From)+":"+string(e.Body)), s))
	case kindHang:
		v.started <- struct{}{}
		<-ctx.Done()
		v.cancelled <- struct{}{}
	default:
		s.Cancel()
	}
}

// TestTransportContract runs the same tests against every implementation of
// [keel.Transport].
func TestTransportContract(t *testing.T) {
	large := bytes.Repeat([]byte("0123456789"), 100_000)
	tests := []struct {
		name string
		run  func(is *is.I, ctx context.Context, v *fixture)
	}{
		{"call is answered and the sender is set", func(is *is.I, ctx context.Context, v *fixture) {
			got, err := v.a.Call(ctx, v.b.Addr(), keel.Envelope{Kind: kindEcho, From: "forged", Body: []byte("x")})
			is.NoErr(err)
			is.Equal(string(got.Body), "a:x")
			is.Equal(got.From, keel.InstanceName("b"))
		}},
		{"large call", func(is *is.I, ctx context.Context, v *fixture) {
			got, err := v.a.Call(ctx, v.b.Addr(), keel.Envelope{Kind: kindEcho, Body: large})
			is.NoErr(err)
			is.Equal(len(got.Body), len(large)+2)
		}},
		{"refusal keeps its verdict", func(is *is.I, ctx context.Context, v *fixture) {
			_, err := v.a.Call(ctx, v.b.Addr(), keel.Envelope{Kind: kindRefuse})
			is.Equal(keel.VerdictOf(err), keel.NotRun)
		}},
		{"error of the handler", func(is *is.I, ctx context.Context, v *fixture) {
			_, err := v.a.Call(ctx, v.b.Addr(), keel.Envelope{Kind: kindFail})
			var remote *keelpeer.RemoteError
			is.True(errors.As(err, &remote))
			is.Equal(remote.Message, "broken")
		}},
		{"kind without a handler", func(is *is.I, ctx context.Context, v *fixture) {
			_, err := v.a.Call(ctx, v.b.Addr(), keel.Envelope{Kind: kindUnhandled})
			var remote *keelpeer.RemoteError
			is.True(errors.As(err, &remote))
		}},
		{"panic of a handler ends only its call", func(is *is.I, ctx context.Context, v *fixture) {
			_, err := v.a.Call(ctx, v.b.Addr(), keel.Envelope{Kind: kindPanic})
			is.True(errors.Is(err, keelpeer.ErrOutcomeUnknown))
			_, err = v.a.Call(ctx, v.b.Addr(), keel.Envelope{Kind: kindEcho})
			is.NoErr(err)
		}},
		{"cancelled call has an unknown outcome", func(is *is.I, ctx context.Context, v *fixture) {
			ctx, cancel := context.WithCancel(ctx)
			var group conc.WaitGroup
			defer group.Wait()
			group.Go(func() {
				<-v.started
				cancel()
			})
			_, err := v.a.Call(ctx, v.b.Addr(), keel.Envelope{Kind: kindHang})
			is.True(errors.Is(err, keelpeer.ErrOutcomeUnknown))
			is.True(errors.Is(err, context.Canceled))
			<-v.cancelled
		}},
		{"other side stops during a call", func(is *is.I, ctx context.Context, v *fixture) {
			var group conc.WaitGroup
			defer group.Wait()
			group.Go(func() {
				<-v.started
				v.b.Close()
			})
			_, err := v.a.Call(ctx, v.b.Addr(), keel.Envelope{Kind: kindHang})
			is.True(errors.Is(err, keelpeer.ErrOutcomeUnknown))
		}},
		{"no listener", func(is *is.I, ctx context.Context, v *fixture) {
			ctx, cancel := context.WithCancel(ctx)
			cancel()
			_, err := v.a.Call(ctx, netip.MustParseAddrPort("127.0.0.1:9"), keel.Envelope{Kind: kindEcho})
			is.True(errors.Is(err, keelpeer.ErrUnreachable))
			_, err = v.a.Open(ctx, netip.MustParseAddrPort("127.0.0.1:9"), keel.Envelope{Kind: kindEcho})
			is.True(errors.Is(err, keelpeer.ErrUnreachable))
		}},
		{"small and large messages arrive", func(is *is.I, ctx context.Context, v *fixture) {
			for _, body := range [][]byte{[]byte("x"), large} {
				is.NoErr(v.a.Send(ctx, v.b.Addr(), keel.Envelope{Kind: kindNote, From: "forged", Body: body}))
				got := <-v.notes
				is.Equal(len(got.Body), len(body))
				is.Equal(got.From, keel.InstanceName("a"))
			}
		}},
		{"stream carries bytes both ways", func(is *is.I, ctx context.Context, v *fixture) {
			s, err := v.a.Open(ctx, v.b.Addr(), keel.Envelope{Kind: kindEcho, Body: []byte("x")})
			is.NoErr(err)
			var group conc.WaitGroup
			group.Go(func() {
				_, _ = s.Write(large)
				_ = s.CloseWrite()
			})
			got, err := io.ReadAll(s)
			group.Wait()
			is.NoErr(err)
			is.True(bytes.Equal(got, append([]byte("a:x"), large...)))
			is.NoErr(s.Context().Err())
		}},
		{"cancel reaches the other side", func(is *is.I, ctx context.Context, v *fixture) {
			s, err := v.a.Open(ctx, v.b.Addr(), keel.Envelope{Kind: kindHang})
			is.NoErr(err)
			_ = s.CloseWrite()
			<-v.started
			s.Cancel()
			<-v.cancelled
			_, err = s.Read(make([]byte, 1))
			is.True(err != nil && !errors.Is(err, io.EOF))
		}},
		{"cancel by the handler reaches the caller", func(is *is.I, ctx context.Context, v *fixture) {
			s, err := v.a.Open(ctx, v.b.Addr(), keel.Envelope{Kind: kindUnhandled})
			is.NoErr(err)
			<-s.Context().Done()
			_, err = io.ReadAll(s)
			is.True(err != nil)
			_, err = s.Write(large)
			is.True(err != nil)
		}},
		{"other side stops during a stream", func(is *is.I, ctx context.Context, v *fixture) {
			s, err := v.a.Open(ctx, v.b.Addr(), keel.Envelope{Kind: kindHang})
			is.NoErr(err)
			<-v.started
			v.b.Close()
			<-s.Context().Done()
		}},
	}
	for _, impl := range []struct {
		name string
		pair func(*testing.T) (member, member)
	}{{"quic", newQUICPair}, {"memory", newMemoryPair}} {
		for _, tt := range tests {
			t.Run(impl.name+"/"+tt.name, func(t *testing.T) {
				tt.run(is.New(t), t.Context(), newFixture(t, impl.pair))
			})
		}
	}
}
