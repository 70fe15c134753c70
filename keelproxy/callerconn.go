package keelproxy

import (
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

// ErrStalled is the error of reading a request's body whose caller sent nothing
// for too long.
var ErrStalled = errors.New("the caller sent no byte of the body for too long")

// longAgo is a deadline that ends a read or a write at once.
var longAgo = time.Unix(1, 0)

// callerConn is the connection of a caller. It counts its reads and writes,
// which costs less than reading the clock for each; the [callerWatch] sees by
// the counts which of them stand still.
type callerConn struct {
	net.Conn
	addr  netip.Addr
	peek  *peeker
	watch *callerWatch
	// reads and writes are odd while a read or a write is under way.
	reads, writes atomic.Uint64
	// active is set from the first byte of a request to the end of its answer.
	active atomic.Bool
	// stalled is set when the caller was given up, since it sent nothing.
	stalled atomic.Bool
	// unread is set when the caller got its answer before all of its request was
	// read.
	unread  atomic.Bool
	current atomic.Pointer[proxied]
	// seen is used by the watch only.
	seen seenConn
}

// Read reads from the caller.
func (c *callerConn) Read(p []byte) (int, error) {
	c.reads.Add(1)
	n, err := c.Conn.Read(p)
	c.reads.Add(1)
	return n, err
}

// Write writes to the caller.
func (c *callerConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	n, err := c.Conn.Write(p)
	c.writes.Add(1)
	return n, err
}

// Close closes the connection, after the caller could read its answer.
func (c *callerConn) Close() error {
	c.watch.remove(c)
	if c.unread.Load() {
		c.discard()
	}
	return c.Conn.Close()
}

// lingerTime is how long a connection stays open for a caller that still sends
// a request which was answered already.
const lingerTime = 2 * time.Second

// discard ends the sending direction and reads what the caller still sends. A
// connection that is closed with unread bytes is reset, and the caller's system
// would drop the answer.
func (c *callerConn) discard() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	if c.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, c.Conn) // the answer has been sent, whatever comes
}

// callerListener makes a callerConn of each connection.
type callerListener struct {
	net.Listener
	watch *callerWatch
}

// Accept implements [net.Listener].
func (l callerListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &callerConn{Conn: nc, addr: addrOf(nc.RemoteAddr()), peek: newPeeker(nc), watch: l.watch}
	l.watch.add(c)
	return c, nil
}

// addrOf returns the IP address of a, or the zero address if it has none.
func addrOf(a net.Addr) netip.Addr {
	if tcp, ok := a.(*net.TCPAddr); ok {
		return tcp.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// noteState notes whether a connection waits for a request.
func noteState(nc net.Conn, state fasthttp.ConnState) {
	c, ok := nc.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case fasthttp.StateActive:
		c.active.Store(true)
	case fasthttp.StateIdle:
		c.active.Store(false)
	}
}
