package keelpeer

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelkey"
	"github.com/quic-go/quic-go"
)

// poolKey identifies a pool of connections.
type poolKey struct {
	addr  netip.AddrPort
	class class
}

// peer holds the connections to one address for one class.
type peer struct {
	transport *Transport
	key       poolKey

	mu      sync.Mutex
	links   []*link
	dialing *dial
	pending []keel.Envelope
}

// link is one connection.
type link struct {
	conn *quic.Conn
	// name is the instance name in the other side's certificate.
	name keel.InstanceName
}

// dial is an attempt to open a connection.
type dial struct {
	done chan struct{}
	link *link
	err  error
}

func (l *link) alive() bool { return l.conn.Context().Err() == nil }

// peer returns the pool for an address, or nil if the transport is closed.
func (t *Transport) peer(key poolKey) *peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil
	}
	p := t.peers[key]
	if p == nil {
		p = &peer{transport: t, key: key}
		t.peers[key] = p
	}
	return p
}

// link returns a live connection to an address and opens one if there is none.
func (t *Transport) link(ctx context.Context, to netip.AddrPort, c class) (*link, error) {
	p := t.peer(poolKey{addr: unmapped(to), class: c})
	if p == nil {
		return nil, ErrClosed
	}
	l, d := p.get()
	if l != nil {
		return l, nil
	}
	select {
	case <-d.done:
		return d.link, d.err
	case <-ctx.Done():
		return nil, unreachable(to, ctx.Err())
	}
}

func unreachable(to netip.AddrPort, cause error) error {
	return errors.Wrapf(errors.Join(ErrUnreachable, cause), "connect to %s", to)
}

// get returns the newest live connection, or else the attempt to open one.
func (p *peer) get() (*link, *dial) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.newest(); l != nil {
		return l, nil
	}
	return nil, p.dial()
}

func (p *peer) newest() *link {
	for i := len(p.links) - 1; i >= 0; i-- {
		if p.links[i].alive() {
			return p.links[i]
		}
	}
	return nil
}

// dial returns the running attempt, after starting one if there is none.
func (p *peer) dial() *dial {
	if p.dialing != nil {
		return p.dialing
	}
	d := &dial{done: make(chan struct{})}
	p.dialing = d
	if !p.transport.start(func() { p.runDial(d) }) {
		p.dialing = nil
		d.err = ErrClosed
		close(d.done)
	}
	return d
}

func (p *peer) runDial(d *dial) {
	t := p.transport
	conn, err := t.quic.Dial(t.ctx, net.UDPAddrFromAddrPort(p.key.addr), t.clientTLS(p.key), t.quicConfig())
	if err != nil {
		d.err = unreachable(p.key.addr, err)
	} else {
		d.link = newLink(conn)
	}
	pending := p.dialled(d)
	close(d.done)
	if d.link == nil {
		return
	}
	for _, e := range pending {
		_ = t.sendOn(t.ctx, d.link, e)
	}
	t.runLink(p, d.link)
}

// dialled records the end of an attempt and returns the messages that waited
// for it.
func (p *peer) dialled(d *dial) []keel.Envelope {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing = nil
	pending := p.pending
	p.pending = nil
	if d.link != nil {
		p.links = append(p.links, d.link)
	}
	return pending
}

// sendLater keeps a message until a connection is open. It returns a connection
// if there is one already.
func (p *peer) sendLater(e keel.Envelope) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.newest(); l != nil {
		return l
	}
	if len(p.pending) < maxPendingMessages {
		p.pending = append(p.pending, e)
	}
	p.dial()
	return nil
}

func (p *peer) add(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.links = append(p.links, l)
}

// remove drops a connection that has ended, and the pool once it is unused.
func (t *Transport) remove(p *peer, l *link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range p.links {
		if other == l {
			p.links = append(p.links[:i], p.links[i+1:]...)
			break
		}
	}
	if len(p.links) == 0 && p.dialing == nil && t.peers[p.key] == p {
		delete(t.peers, p.key)
	}
}

func (p *peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		_ = l.conn.CloseWithError(codeClosing, "instance stops")
	}
}

func newLink(conn *quic.Conn) *link {
	return &link{conn: conn, name: keelkey.PeerName(conn.ConnectionState().TLS)}
}
