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

// watchInterval is how often every connection is looked at.
const watchInterval = 250 * time.Millisecond

// link is one connection. Its watch belongs to the lock of its peer.
type link struct {
	conn *quic.Conn
	// name is the instance name in the other side's certificate.
	name   keel.InstanceName
	opened time.Time
	watch  watch
	// inFlight counts the calls and streams on the connection.
	inFlight atomic.Int64
	// release closes what the connection does not share with others.
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

// begin counts a call or a stream until the function that it returns is called.
func (l *link) begin() func() {
	l.inFlight.Add(1)
	return sync.OnceFunc(func() { l.inFlight.Add(-1) })
}

// probe sends an empty datagram, which the other side has to acknowledge.
func (l *link) probe() { _ = l.conn.SendDatagram(nil) }

// loopWatch looks for connections that have gone silent.
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
	for _, p := range t.allPeers() {
		if retired := p.observe(now); retired {
			t.suspectAll(p.key.addr, now)
		}
	}
}

func (t *Transport) allPeers() []*peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]*peer, 0, len(t.peers))
	for _, p := range t.peers {
		all = append(all, p)
	}
	return all
}

// suspectAll probes every connection to an address to which another one has
// gone silent.
func (t *Transport) suspectAll(addr netip.AddrPort, now time.Time) {
	for _, p := range t.allPeers() {
		if p.key.addr == addr {
			p.suspect(now)
		}
	}
}

// observe looks at each connection, and reports whether one was retired since
// the last call.
func (p *peer) observe(now time.Time) bool {
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

func (p *peer) suspect(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		if l.alive() && l.watch.suspect(now) == stepProbe {
			l.probe()
		}
	}
}

// retire closes the connections that are silent while fresh works. What is in
// flight on them fails.
func (p *peer) retire(fresh *link) {
	for _, l := range p.links {
		if !l.alive() || !l.watch.replaced() {
			continue
		}
		p.retired = true
		p.transport.log.WithField("peer", fresh.name).WithField("address", p.key.addr).
			WithField("age", fresh.opened.Sub(l.opened)).
			Warn("silent connection retired, a fresh one works")
		_ = l.conn.CloseWithError(codeRetired, "silent")
	}
}

// spare is a socket for one connection.
type spare struct {
	quic   *quic.Transport
	socket *net.UDPConn
}

func (t *Transport) newSpare() (*spare, error) {
	local := netip.AddrPortFrom(t.Addr().Addr(), 0)
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(local))
	if err != nil {
		return nil, errors.Wrap(err, "open another socket")
	}
	return &spare{quic: t.newQUIC(socket), socket: socket}, nil
}

func (s *spare) close() {
	_ = s.quic.Close()
	_ = s.socket.Close()
}
