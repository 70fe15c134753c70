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

// pool is the pool of connections of one class to one address.
type pool struct {
	transport *Transport
	key       poolKey

	mu      sync.Mutex
	links   []*link
	dialing *dial
	pending []keel.Envelope
	// retired is set when a silent connection was closed, until observe reports it.
	retired bool
}

// dial is an attempt to open a connection.
type dial struct {
	done chan struct{}
	link *link
	err  error
}

// pool returns the pool for an address and creates it if necessary. It returns
// nil if the transport is closed.
func (t *Transport) pool(key poolKey) *pool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil
	}
	p := t.pools[key]
	if p == nil {
		p = &pool{transport: t, key: key}
		t.pools[key] = p
	}
	return p
}

// link returns a usable connection to an address, and opens one if there is
// none.
func (t *Transport) link(ctx context.Context, to netip.AddrPort, c class) (*link, error) {
	p := t.pool(poolKey{addr: unmapped(to), class: c})
	if p == nil {
		return nil, ErrClosed
	}
	l, d := p.usableOrDial()
	if l != nil {
		return l, nil
	}
	select {
	case <-d.done:
		return d.link, d.err
	case <-ctx.Done():
		return nil, unreachableError(to, ctx.Err())
	}
}

func unreachableError(to netip.AddrPort, cause error) error {
	return errors.Wrapf(errors.Join(ErrUnreachable, cause), "connect to %s", to)
}

// usableOrDial returns the newest usable connection, or the attempt to open one
// if there is none.
func (p *pool) usableOrDial() (*link, *dial) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.newestUsable(); l != nil {
		return l, nil
	}
	return nil, p.dial()
}

func (p *pool) newestUsable() *link {
	for i := len(p.links) - 1; i >= 0; i-- {
		if l := p.links[i]; l.alive() && l.watch.usable() {
			return l
		}
	}
	return nil
}

// dial returns the dial in progress, or starts one.
func (p *pool) dial() *dial {
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

func (p *pool) runDial(d *dial) {
	d.link, d.err = p.open()
	pending := p.finishDial(d)
	close(d.done)
	if d.link == nil {
		return
	}
	for _, e := range pending {
		_ = p.transport.sendOn(p.transport.ctx, d.link, e)
	}
	p.transport.runLink(p, d.link)
}

// open opens a connection. While another connection to the peer is suspected of
// being silent, the new one uses a socket of its own: a device on the path that
// dropped the state of the old connection may also affect the old socket.
func (p *pool) open() (*link, error) {
	t := p.transport
	from, release := t.quic, func() {}
	if p.hasSuspectedLink() {
		spare, err := t.newExtraSocket()
		if err != nil {
			return nil, unreachableError(p.key.addr, err)
		}
		from, release = spare.quic, spare.close
	}
	conn, err := from.Dial(t.ctx, net.UDPAddrFromAddrPort(p.key.addr), t.clientTLS(p.key), t.quicConfig())
	if err != nil {
		release()
		return nil, unreachableError(p.key.addr, err)
	}
	return newLink(conn, t.cfg.Clock.Now(), release), nil
}

// hasSuspectedLink reports whether an open connection of the pool is suspected
// of being silent.
func (p *pool) hasSuspectedLink() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		if l.alive() && !l.watch.usable() {
			return true
		}
	}
	return false
}

// finishDial records the result of a dial and returns the messages that were
// queued for the connection.
func (p *pool) finishDial(d *dial) []keel.Envelope {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing = nil
	pending := p.pending
	p.pending = nil
	if d.link != nil {
		p.retireSilent(d.link)
		p.links = append(p.links, d.link)
	}
	return pending
}

// enqueue queues a message until a connection is open. If there is a usable
// connection already, it returns that and queues nothing. A message beyond
// maxPendingMessages is dropped.
func (p *pool) enqueue(e keel.Envelope) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.newestUsable(); l != nil {
		return l
	}
	if len(p.pending) < maxPendingMessages {
		p.pending = append(p.pending, e)
	}
	p.dial()
	return nil
}

func (p *pool) add(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.links = append(p.links, l)
}

// remove removes a connection that has ended, and the pool if it is no longer
// used.
func (t *Transport) remove(p *pool, l *link) {
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
	if len(p.links) == 0 && p.dialing == nil && t.pools[p.key] == p {
		delete(t.pools, p.key)
	}
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		_ = l.conn.CloseWithError(codeClosing, "instance stops")
	}
}
