package keelstandin

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// listener tracks the open connections that it accepted.
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
	c.silenceByAge(l.endpoint.behaviour.Load().SilentAge.Std())
	l.endpoint.counter.update(func(n *Counts) { n.Connections++ })
	return c, nil
}

// resetAll closes the listener and resets every open connection.
func (l *listener) resetAll() {
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
		c.silence()
	}
}

// silenceByAge makes every open connection go silent when it reaches an age.
func (l *listener) silenceByAge(age time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.silenceByAge(age)
	}
}

// closeSilent closes the silent connections. They would stay open otherwise, since
// they don't receive the close of the other side.
func (l *listener) closeSilent() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c.silent.Load() {
			_ = c.Conn.Close()
		}
	}
}

// trackedConn is a connection that can go silent: it stays open but discards what
// it reads and writes. The operating system doesn't even acknowledge what arrives,
// as if a middlebox on the path had lost the connection's state.
type trackedConn struct {
	net.Conn
	listener *listener
	clock    clockwork.Clock
	opened   time.Time
	silent   atomic.Bool
}

// Read implements [net.Conn]. It discards what arrives on a silent connection.
func (c *trackedConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.isSilent() {
			return n, err
		}
	}
}

// Write implements [net.Conn]. On a silent connection it sends nothing and reports
// success.
func (c *trackedConn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements [net.Conn]. The listener no longer tracks the connection.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

func (c *trackedConn) isSilent() bool { return c.silent.Load() }

// silence makes the connection go silent for good.
func (c *trackedConn) silence() {
	if c.silent.Swap(true) {
		return
	}
	if socket, ok := c.Conn.(syscall.Conn); ok {
		_ = dropIncomingPackets(socket) // fails only if the socket is closed, which drops everything anyway
	}
}

// silenceByAge makes the connection go silent when it reaches an age, if the
// endpoint's behaviour still has that age then. Zero means never.
func (c *trackedConn) silenceByAge(age time.Duration) {
	if age <= 0 {
		return
	}
	c.clock.AfterFunc(age-c.clock.Since(c.opened), func() {
		if c.listener.endpoint.behaviour.Load().SilentAge.Std() == age {
			c.silence()
		}
	})
}

// dropIncomingPackets attaches a socket filter by which the operating system drops
// each packet for the socket before it is acknowledged.
func dropIncomingPackets(c syscall.Conn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "get raw connection")
	}
	drop := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
	var sockErr error
	err = raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop})
	})
	if err != nil {
		return errors.Wrap(err, "access socket of connection")
	}
	if sockErr != nil {
		return errors.Wrap(sockErr, "attach filter to socket")
	}
	return nil
}
