package keelpeer

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelkey"
	"github.com/quic-go/quic-go"
)

// watchInterval is the time between two checks of all connections for silence.
const watchInterval = 250 * time.Millisecond

// link is one QUIC connection to a peer. The lock of the pool guards its watch.
type link struct {
	conn *quic.Conn
	// name is the instance name in the peer's certificate.
	name   keel.InstanceName
	opened time.Time
	watch  watch
	// inFlight is the number of calls and streams in flight.
	inFlight atomic.Int64
	// release closes the socket of the connection if it is not shared.
	release func()
}

func newLink(conn *quic.Conn, opened time.Time, release func()) *link {
	return &link{
		conn:    conn,
		name:    keelkey.PeerName(conn.ConnectionState().TLS),
		opened:  opened,
		watch:   newWatch(),
		release: release,
	}
}

func (l *link) alive() bool { return l.conn.Context().Err() == nil }

func (l *link) counts() packetCounts {
	s := l.conn.ConnectionStats()
	return packetCounts{sent: s.PacketsSent, received: s.PacketsReceived}
}

// trackInFlight counts a call or stream as in flight until the returned
// function is called.
func (l *link) trackInFlight() func() {
	l.inFlight.Add(1)
	return sync.OnceFunc(func() { l.inFlight.Add(-1) })
}

// probe sends an empty datagram, which the peer must acknowledge.
func (l *link) probe() { _ = l.conn.SendDatagram(nil) }

// loopWatch checks for silent connections until the transport stops.
func (t *Transport) loopWatch() {
	ticker := t.cfg.Clock.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-ticker.Chan():
			t.watchAll(t.cfg.Clock.Now())
		}
	}
}

func (t *Transport) watchAll(now time.Time) {
	for _, p := range t.allPools() {
		if retired := p.observe(now); retired {
			t.probeAddress(p.key.addr, now)
		}
	}
}

func (t *Transport) allPools() []*pool {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]*pool, 0, len(t.pools))
	for _, p := range t.pools {
		all = append(all, p)
	}
	return all
}

// probeAddress probes every connection to an address to which a connection has
// gone silent.
func (t *Transport) probeAddress(addr netip.AddrPort, now time.Time) {
	for _, p := range t.allPools() {
		if p.key.addr == addr {
			p.probe(now)
		}
	}
}

// observe checks each connection for silence, and reports whether one was
// retired since the last call.
func (p *pool) observe(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		if !l.alive() {
			continue
		}
		switch l.watch.observe(now, l.counts(), l.inFlight.Load() > 0) {
		case stepProbe:
			l.probe()
		case stepReplace:
			p.dial()
		case stepNone:
		}
	}
	retired := p.retired
	p.retired = false
	return retired
}

func (p *pool) probe(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		if l.alive() && l.watch.startProbe(now) == stepProbe {
			l.probe()
		}
	}
}

// retireSilent closes the silent connections once fresh is open. Calls and
// streams in flight on them fail.
func (p *pool) retireSilent(fresh *link) {
	for _, l := range p.links {
		if !l.alive() || !l.watch.replace() {
			continue
		}
		p.retired = true
		p.transport.log.WithField("peer", fresh.name).WithField("address", p.key.addr).
			WithField("age", fresh.opened.Sub(l.opened)).
			Warn("closed silent connection after a new one was opened")
		_ = l.conn.CloseWithError(codeRetired, "silent")
	}
}

// extraSocket is a socket that only one connection uses.
type extraSocket struct {
	quic   *quic.Transport
	socket *net.UDPConn
}

func (t *Transport) newExtraSocket() (*extraSocket, error) {
	local := netip.AddrPortFrom(t.Addr().Addr(), 0)
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(local))
	if err != nil {
		return nil, errors.Wrap(err, "open a socket for one connection")
	}
	return &extraSocket{quic: t.newQUIC(socket), socket: socket}, nil
}

func (s *extraSocket) close() {
	_ = s.quic.Close()
	_ = s.socket.Close()
}
