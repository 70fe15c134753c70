package keelpeer

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
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
	// retired is set when a silent connection was closed.
	retired bool
}

// dial is an attempt to open a connection.
type dial struct {
	done chan struct{}
	link *link
	err  error
}

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

// get returns the newest connection that works, or else the attempt to open one.
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
		if l := p.links[i]; l.alive() && l.watch.usable() {
			return l
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
	d.link, d.err = p.open()
	pending := p.dialled(d)
	close(d.done)
	if d.link == nil {
		return
	}
	for _, e := range pending {
		_ = p.transport.sendOn(p.transport.ctx, d.link, e)
	}
	p.transport.runLink(p, d.link)
}

// open opens a connection. Beside connections that are in doubt it comes from a
// socket of its own, since what lost track of them may know the old socket.
func (p *peer) open() (*link, error) {
	t := p.transport
	from, release := t.quic, func() {}
	if p.inDoubt() {
		spare, err := t.newSpare()
		if err != nil {
			return nil, unreachable(p.key.addr, err)
		}
		from, release = spare.quic, spare.close
	}
	conn, err := from.Dial(t.ctx, net.UDPAddrFromAddrPort(p.key.addr), t.clientTLS(p.key), t.quicConfig())
	if err != nil {
		release()
		return nil, unreachable(p.key.addr, err)
	}
	return newLink(conn, t.cfg.Clock.Now(), release), nil
}

func (p *peer) inDoubt() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		if l.alive() && !l.watch.usable() {
			return true
		}
	}
	return false
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
		p.retire(d.link)
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
