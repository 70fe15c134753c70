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

// quicBench is a bench over QUIC, whose members can be cut off.
type quicBench struct {
	*bench
	qa, qb *keelpeer.Transport
}

func newQUICBench(t *testing.T) *quicBench {
	v := &quicBench{bench: newBench(t, newQUICPair)}
	v.qa, v.qb = v.a.(*keelpeer.Transport), v.b.(*keelpeer.Transport)
	return v
}

// patience is how long one of several tries may take.
const patience = 2 * time.Second

func (v *quicBench) echo(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	_, err := v.a.Call(ctx, v.b.Addr(), keel.Envelope{Kind: kindEcho})
	return err
}

// TestSilentConnection loses every packet of the connections that are open, as
// when something between the two ends forgets them, while fresh ones work.
func TestSilentConnection(t *testing.T) {
	is := is.New(t)
	v := newQUICBench(t)
	ctx := t.Context()
	s, err := v.a.Open(ctx, v.b.Addr(), keel.Envelope{Kind: kindHang})
	is.NoErr(err)
	<-v.hanging
	var group conc.WaitGroup
	var hangErr error
	group.Go(func() { _, hangErr = v.a.Call(ctx, v.b.Addr(), keel.Envelope{Kind: kindHang}) })
	<-v.hanging
	v.qb.Block(v.a.Addr())
	group.Wait() // ends although nothing arrives and no deadline is set
	is.True(errors.Is(hangErr, keelpeer.ErrOutcomeUnknown))
	is.NoErr(v.echo(ctx))
	<-s.Context().Done() // the stream's connection is found out too
	fresh, err := v.a.Open(ctx, v.b.Addr(), keel.Envelope{Kind: kindEcho})
	is.NoErr(err)
	is.NoErr(fresh.CloseWrite())
	got, err := io.ReadAll(fresh)
	is.NoErr(err)
	is.Equal(string(got), "a:")
}

// TestCutAndHeal drops every packet between two members for a while.
func TestCutAndHeal(t *testing.T) {
	is := is.New(t)
	v := newQUICBench(t)
	ctx := t.Context()
	is.NoErr(v.echo(ctx))
	v.qa.Block(v.b.Addr())
	v.qb.Block(v.a.Addr())
	for {
		err := v.echo(ctx)
		is.True(err != nil)
		if errors.Is(err, keelpeer.ErrUnreachable) {
			break // known not to have been sent
		}
	}
	is.NoErr(v.a.Send(ctx, v.b.Addr(), keel.Envelope{Kind: kindNote})) // dropped without an error
	v.qa.Unblock()
	v.qb.Unblock(v.a.Addr())
	for v.echo(ctx) != nil {
	}
}

// TestRestartedPeer replaces a member by another one at the same address, whose
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
		(&bench{}).register(m)
		group.Go(func() { _ = m.Run(ctx) })
		return m
	}
	listen := netip.MustParseAddrPort("127.0.0.1:0")
	a, b := open("a", listen), open("b", listen)
	v := &quicBench{bench: &bench{a: a, b: b}}
	is.NoErr(v.echo(ctx))
	a.Block(b.Addr()) // a misses the close
	b.Close()
	b.Wait()
	a.Unblock()
	v.b = open("b", b.Addr())
	for v.echo(ctx) != nil {
	}
}

// TestStrangerIsRefused calls a member with keys of another authority.
func TestStrangerIsRefused(t *testing.T) {
	is := is.New(t)
	v := newQUICBench(t)
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
	is.Equal(len(v.noted), 0)
}

// TestStartNeedsNoOtherLock starts a goroutine as one that opens a connection
// does: it holds the lock of a peer, for which the end of a connection waits
// with the lock of all peers held. On a fault it hangs.
func TestStartNeedsNoOtherLock(t *testing.T) {
	v := newQUICBench(t)
	done := make(chan struct{})
	is.New(t).True(v.qa.StartWhileLocked(func() { close(done) }))
	<-done
}
