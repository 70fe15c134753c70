package keelpeer_test

import (
	"context"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelkey"
	"github.com/greengagekeel/greengagekeel/keelpeer"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
)

// quicFixture is a fixture over QUIC whose members can block packets.
type quicFixture struct {
	*fixture
	qa, qb *keelpeer.Transport
}

func newQUICFixture(t *testing.T) *quicFixture {
	v := &quicFixture{fixture: newFixture(t, newQUICPair)}
	v.qa, v.qb = v.a.(*keelpeer.Transport), v.b.(*keelpeer.Transport)
	return v
}

// tryTimeout is the time limit of one attempt of a call that is repeated.
const tryTimeout = 2 * time.Second

func (v *quicFixture) echo(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	_, err := v.a.Call(ctx, v.b.Addr(), keel.Envelope{Kind: kindEcho})
	return err
}

// TestSilentConnection drops all packets of the open connections, as when a
// device on the path loses its state, while new connections work. A call or
// stream on an old connection must not block forever.
func TestSilentConnection(t *testing.T) {
	is := is.New(t)
	v := newQUICFixture(t)
	ctx := t.Context()
	s, err := v.a.Open(ctx, v.b.Addr(), keel.Envelope{Kind: kindHang})
	is.NoErr(err)
	<-v.started
	var group conc.WaitGroup
	var hangErr error
	group.Go(func() { _, hangErr = v.a.Call(ctx, v.b.Addr(), keel.Envelope{Kind: kindHang}) })
	<-v.started
	v.qb.Block(v.a.Addr())
	group.Wait() // ends although no packet arrives and no deadline is set
	is.True(errors.Is(hangErr, keelpeer.ErrOutcomeUnknown))
	is.NoErr(v.echo(ctx))
	<-s.Context().Done() // the stream's connection is detected too
	fresh, err := v.a.Open(ctx, v.b.Addr(), keel.Envelope{Kind: kindEcho})
	is.NoErr(err)
	is.NoErr(fresh.CloseWrite())
	got, err := io.ReadAll(fresh)
	is.NoErr(err)
	is.Equal(string(got), "a:")
}

// TestCutAndHeal drops all packets between two members for a while.
func TestCutAndHeal(t *testing.T) {
	is := is.New(t)
	v := newQUICFixture(t)
	ctx := t.Context()
	is.NoErr(v.echo(ctx))
	v.qa.Block(v.b.Addr())
	v.qb.Block(v.a.Addr())
	for {
		err := v.echo(ctx)
		is.True(err != nil)
		if errors.Is(err, keelpeer.ErrUnreachable) {
			break // certainly not sent
		}
	}
	is.NoErr(v.a.Send(ctx, v.b.Addr(), keel.Envelope{Kind: kindNote})) // dropped without an error
	v.qa.Unblock()
	v.qb.Unblock(v.a.Addr())
	for v.echo(ctx) != nil {
	}
}

// TestRestartedPeer replaces a member by another one at the same address. Its
// clients must not wait for the old connections to time out.
func TestRestartedPeer(t *testing.T) {
	is := is.New(t)
	keys, err := keelkey.Ephemeral("a", "b")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	var group conc.WaitGroup
	defer group.Wait()
	defer cancel()
	open := func(name keel.InstanceName, listen netip.AddrPort) *keelpeer.Transport {
		m, err := keelpeer.New(keelpeer.Config{Listen: listen, Keys: keys[name]})
		is.NoErr(err)
		(&fixture{}).register(m)
		group.Go(func() { _ = m.Run(ctx) })
		return m
	}
	listen := netip.MustParseAddrPort("127.0.0.1:0")
	a, b := open("a", listen), open("b", listen)
	v := &quicFixture{fixture: &fixture{a: a, b: b}}
	is.NoErr(v.echo(ctx))
	a.Block(b.Addr()) // a does not receive the close
	b.Close()
	b.Wait()
	a.Unblock()
	v.b = open("b", b.Addr())
	for v.echo(ctx) != nil {
	}
}

// TestUntrustedPeerIsRefused calls a member with keys of another authority.
func TestUntrustedPeerIsRefused(t *testing.T) {
	is := is.New(t)
	v := newQUICFixture(t)
	keys, err := keelkey.Ephemeral("a")
	is.NoErr(err)
	stranger, err := keelpeer.New(keelpeer.Config{Listen: netip.MustParseAddrPort("127.0.0.1:0"), Keys: keys["a"]})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	var group conc.WaitGroup
	group.Go(func() { _ = stranger.Run(ctx) })
	defer group.Wait()
	defer cancel()
	_, err = stranger.Call(ctx, v.b.Addr(), keel.Envelope{Kind: kindNote})
	is.True(errors.Is(err, keelpeer.ErrUnreachable))
	is.Equal(len(v.notes), 0)
}

// TestStartNeedsNoOtherLock guards against a deadlock: a goroutine is started
// with the lock of a pool held, while the end of a connection waits for that
// lock with Transport.mu held. The test hangs if starting needs Transport.mu.
func TestStartNeedsNoOtherLock(t *testing.T) {
	v := newQUICFixture(t)
	done := make(chan struct{})
	is.New(t).True(v.qa.StartWhileLocked(func() { close(done) }))
	<-done
}
