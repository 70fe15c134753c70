package keelstandin

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// listener keeps track of the connections that it accepted.
type listener struct {
	net.Listener
	endpoint *Endpoint
	mu       sync.Mutex
	conns    map[*trackedConn]bool
	closed   bool
}

func newListener(inner net.Listener, e *Endpoint) *listener {
	return &listener{Listener: inner, endpoint: e, conns: map[*trackedConn]bool{}}
}

// Accept implements [net.Listener].
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &trackedConn{Conn: inner, listener: l, clock: l.endpoint.cfg.Clock, opened: l.endpoint.cfg.Clock.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = inner.Close()
		return nil, net.ErrClosed
	}
	l.conns[c] = true
	l.endpoint.counter.change(func(n *Counts) { n.Connections++ })
	return c, nil
}

// crash closes the listener and resets every connection.
func (l *listener) crash() {
	_ = l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for c := range l.conns {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Conn.Close()
	}
}

// silence makes every open connection go silent.
func (l *listener) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.silent.Store(true)
	}
}

// trackedConn is a connection that can go silent. It then reads nothing more
// and sends nothing more, but stays open.
type trackedConn struct {
	net.Conn
	listener *listener
	clock    clockwork.Clock
	opened   time.Time
	silent   atomic.Bool
}

// Read implements [net.Conn]. It drops what arrives on a silent connection.
func (c *trackedConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.isSilent() {
			return n, err
		}
	}
}

// Write implements [net.Conn]. It drops what would leave on a silent connection.
func (c *trackedConn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements [net.Conn].
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

func (c *trackedConn) isSilent() bool {
	age := c.listener.endpoint.behaviour.Load().SilentAge.Std()
	if age > 0 && c.clock.Since(c.opened) > age {
		c.silent.Store(true)
	}
	return c.silent.Load()
}
