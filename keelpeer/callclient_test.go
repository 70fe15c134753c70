package keelpeer_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelkey"
	"github.com/greengagekeel/greengagekeel/keelpeer"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
)

// newCallFixture starts a transport that accepts calls over TCP, and a client. keys are
// those of the client; nil means that both trust the same authority.
func newCallFixture(t *testing.T, keys *keelkey.Keys) (*fixture, *keelpeer.CallClient) {
	t.Helper()
	all, err := keelkey.Ephemeral("a", "b")
	if err != nil {
		t.Fatal(err)
	}
	b, err := keelpeer.New(keelpeer.Config{Listen: netip.MustParseAddrPort("127.0.0.1:0"), Keys: all["b"], AcceptTCP: true})
	if err != nil {
		t.Fatal(err)
	}
	v := &fixture{b: b, started: make(chan struct{}, 10), cancelled: make(chan struct{}, 10)}
	v.register(b)
	if keys == nil {
		keys = all["a"]
	}
	client := keelpeer.NewCallClient(keelpeer.CallClientConfig{Keys: keys})
	var group conc.WaitGroup
	ctx, cancel := context.WithCancel(t.Context())
	group.Go(func() { _ = b.Run(ctx) })
	group.Go(func() { _ = client.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return v, client
}

func TestCallsOverTCP(t *testing.T) {
	large := bytes.Repeat([]byte("0123456789"), 100_000)
	for _, tt := range []struct {
		name string
		run  func(is *is.I, ctx context.Context, v *fixture, c *keelpeer.CallClient)
	}{
		{"call is answered and the sender is set", func(is *is.I, ctx context.Context, v *fixture, c *keelpeer.CallClient) {
			got, err := c.Call(ctx, v.b.Addr(), keel.Envelope{Kind: kindEcho, From: "forged", Body: []byte("x")})
			is.NoErr(err)
			is.Equal(string(got.Body), "a:x")
		}},
		{"large call", func(is *is.I, ctx context.Context, v *fixture, c *keelpeer.CallClient) {
			got, err := c.Call(ctx, v.b.Addr(), keel.Envelope{Kind: kindEcho, Body: large})
			is.NoErr(err)
			is.Equal(len(got.Body), len(large)+2)
		}},
		{"refusal keeps its verdict", func(is *is.I, ctx context.Context, v *fixture, c *keelpeer.CallClient) {
			_, err := c.Call(ctx, v.b.Addr(), keel.Envelope{Kind: kindRefuse})
			is.Equal(keel.VerdictOf(err), keel.NotRun)
		}},
		{"error of the handler", func(is *is.I, ctx context.Context, v *fixture, c *keelpeer.CallClient) {
			_, err := c.Call(ctx, v.b.Addr(), keel.Envelope{Kind: kindFail})
			var remote *keelpeer.RemoteError
			is.True(errors.As(err, &remote))
			is.Equal(remote.Message, "broken")
		}},
		{"panic of a handler ends only its call", func(is *is.I, ctx context.Context, v *fixture, c *keelpeer.CallClient) {
			_, err := c.Call(ctx, v.b.Addr(), keel.Envelope{Kind: kindPanic})
			is.True(errors.Is(err, keelpeer.ErrOutcomeUnknown))
			_, err = c.Call(ctx, v.b.Addr(), keel.Envelope{Kind: kindEcho})
			is.NoErr(err)
		}},
		{"no answer before the deadline", func(is *is.I, ctx context.Context, v *fixture, c *keelpeer.CallClient) {
			_, err := c.Call(ctx, v.b.Addr(), keel.Envelope{Kind: kindEcho}) // opens the connection
			is.NoErr(err)
			ctx, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
			defer cancel()
			_, err = c.Call(ctx, v.b.Addr(), keel.Envelope{Kind: kindHang})
			is.True(errors.Is(err, keelpeer.ErrOutcomeUnknown))
		}},
		{"cancelled call has an unknown outcome", func(is *is.I, ctx context.Context, v *fixture, c *keelpeer.CallClient) {
			ctx, cancel := context.WithCancel(ctx)
			var group conc.WaitGroup
			defer group.Wait()
			group.Go(func() {
				<-v.started
				cancel()
			})
			_, err := c.Call(ctx, v.b.Addr(), keel.Envelope{Kind: kindHang})
			is.True(errors.Is(err, keelpeer.ErrOutcomeUnknown))
			is.True(errors.Is(err, context.Canceled))
		}},
		{"other side stops during a call", func(is *is.I, ctx context.Context, v *fixture, c *keelpeer.CallClient) {
			var group conc.WaitGroup
			defer group.Wait()
			group.Go(func() {
				<-v.started
				v.b.Close()
			})
			_, err := c.Call(ctx, v.b.Addr(), keel.Envelope{Kind: kindHang})
			is.True(err != nil)
		}},
		{"no listener", func(is *is.I, ctx context.Context, _ *fixture, c *keelpeer.CallClient) {
			_, err := c.Call(ctx, netip.MustParseAddrPort("127.0.0.1:9"), keel.Envelope{Kind: kindEcho})
			is.True(errors.Is(err, keelpeer.ErrUnreachable))
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			v, c := newCallFixture(t, nil)
			tt.run(is.New(t), t.Context(), v, c)
		})
	}
}

// Calls over TCP need a certificate of the same authority, as those over QUIC do.
func TestCallOverTCPFromForeignInstance(t *testing.T) {
	is := is.New(t)
	foreign, err := keelkey.Ephemeral("a")
	is.NoErr(err)
	v, c := newCallFixture(t, foreign["a"])
	_, err = c.Call(t.Context(), v.b.Addr(), keel.Envelope{Kind: kindEcho})
	is.True(errors.Is(err, keelpeer.ErrUnreachable))
}

// A client that is stopped ends its calls at once, also one that waits for the handshake of a
// peer that does not answer, and makes no further ones.
func TestCallClientStops(t *testing.T) {
	is := is.New(t)
	v, _ := newCallFixture(t, nil)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = silent.Close() }()
	all, err := keelkey.Ephemeral("a")
	is.NoErr(err)
	c := keelpeer.NewCallClient(keelpeer.CallClientConfig{Keys: all["a"]})
	ctx, cancel := context.WithCancel(t.Context())
	var group conc.WaitGroup
	group.Go(func() {
		conn, err := silent.Accept()
		is.NoErr(err)
		cancel()
		_, _ = io.Copy(io.Discard, conn) // until the client closes it
		_ = conn.Close()
	})
	group.Go(func() { is.NoErr(c.Run(ctx)) })
	_, err = c.Call(t.Context(), silent.Addr().(*net.TCPAddr).AddrPort(), keel.Envelope{Kind: kindEcho})
	is.True(errors.Is(err, keelpeer.ErrUnreachable))
	group.Wait()
	_, err = c.Call(t.Context(), v.b.Addr(), keel.Envelope{Kind: kindEcho})
	is.True(errors.Is(err, keelpeer.ErrClosed))
}

// slowPath forwards connections to an address. The first bytes that come back on each of
// them, which belong to the handshake, are late by delay.
type slowPath struct {
	net.Listener
	to       netip.AddrPort
	delay    time.Duration
	accepted atomic.Int64
	group    conc.WaitGroup
}

func (p *slowPath) run() {
	for {
		nc, err := p.Accept()
		if err != nil {
			return
		}
		p.accepted.Add(1)
		p.group.Go(func() { p.forward(nc) })
	}
}

func (p *slowPath) forward(nc net.Conn) {
	defer func() { _ = nc.Close() }()
	server, err := net.Dial("tcp", p.to.String())
	if err != nil {
		return
	}
	p.group.Go(func() {
		_, _ = io.Copy(server, nc)
		_ = server.Close()
	})
	buf := make([]byte, 64<<10)
	n, _ := server.Read(buf)
	time.Sleep(p.delay)
	_, _ = nc.Write(buf[:n])
	_, _ = io.Copy(nc, server)
}

// A handshake takes longer than the calls that need it, as at an instance to which hundreds
// connect at once. The connection is used by a later call: calls that each open one of their own
// would keep the instance busy with handshakes for ever.
func TestHandshakeSlowerThanCalls(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	p := &slowPath{Listener: ln, delay: 400 * time.Millisecond}
	t.Cleanup(p.group.Wait) // after the client has closed its connections
	v, c := newCallFixture(t, nil)
	p.to = v.b.Addr()
	p.group.Go(p.run)
	defer func() { _ = ln.Close() }()
	for range 20 {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		_, err = c.Call(ctx, ln.Addr().(*net.TCPAddr).AddrPort(), keel.Envelope{Kind: kindEcho})
		cancel()
		if err == nil {
			break
		}
	}
	is.NoErr(err)
	is.True(p.accepted.Load() <= 2) // a call that gets the connection at the end of its time closes it
}

// Clients that stop in the middle of their handshakes, such as behind a cut, keep no others
// from theirs.
func TestStalledHandshakes(t *testing.T) {
	is := is.New(t)
	v, c := newCallFixture(t, nil)
	for range 40 {
		nc, err := net.Dial("tcp", v.b.Addr().String())
		is.NoErr(err)
		defer func() { _ = nc.Close() }()
		stalled := tls.Client(&silentAfter{Conn: nc, writes: 1}, &tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS13})
		go func() { _ = stalled.Handshake() }()
	}
	_, err := c.Call(t.Context(), v.b.Addr(), keel.Envelope{Kind: kindEcho})
	is.NoErr(err)
}

// silentAfter is a connection that reads nothing, and sends only its first writes.
type silentAfter struct {
	net.Conn
	writes int
}

func (c *silentAfter) Write(p []byte) (int, error) {
	if c.writes--; c.writes < 0 {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *silentAfter) Read([]byte) (int, error) { select {} }
