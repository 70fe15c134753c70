package keelproxy

import (
	"bufio"
	"io"
	"net"
	"net/netip"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelbudget"
	"github.com/valyala/fasthttp"
)

// ErrStalled is returned when a request's body is read and its caller has sent
// nothing for too long.
var ErrStalled = errors.New("the caller sent no byte of the body for too long")

// pastDeadline makes pending and later reads or writes fail at once.
var pastDeadline = time.Unix(1, 0)

// What is charged for a connection and for an ordinary request on it, without its header and
// body: the goroutine, the buffers and the parsed request, and the connection to an endpoint.
const (
	connBytes    = 12 << 10
	requestBytes = 24 << 10
)

// callerConn is a connection from a caller. It counts reads and writes, which is
// cheaper than reading the clock for each one; [callerMonitor] samples the counts
// to find those that make no progress.
type callerConn struct {
	net.Conn
	server  *Server
	addr    netip.Addr
	account *keelbudget.Account
	// acceptedAt is when the connection was accepted; served is set with its first request.
	acceptedAt time.Time
	served     atomic.Bool
	br         *bufio.Reader
	peekMu     sync.Mutex // guards peeker
	peeker     *peeker
	// unread is what is charged for bytes that the kernel holds; peekMu guards it.
	unread  int64
	monitor *callerMonitor
	// reads and writes are odd while a read or a write is in progress.
	reads, writes atomic.Uint64
	// active is set from the first byte of a request to the end of its answer. idleMu orders
	// its changes and the closing of an idle connection.
	idleMu sync.Mutex
	active atomic.Bool
	// stalled is set when a read timed out because the caller sent nothing.
	stalled atomic.Bool
	// evicted is set when the connection has to give way to others.
	evicted atomic.Bool
	// ended is set when the caller was found to have closed its side of the
	// connection and everything it sent was read.
	ended atomic.Bool
	// requestUnread is set when the request was answered before all of it was
	// read.
	requestUnread atomic.Bool
	// headerRead is set once the header of the request in progress is complete.
	headerRead atomic.Bool
	// current is the request in progress, or nil.
	current atomic.Pointer[proxiedRequest]
	// progress belongs to the monitor and is not synchronized.
	progress connProgress
}

// left reports whether the caller has closed its side of the connection and everything
// that it sent was read.
func (c *callerConn) left() bool {
	c.peekMu.Lock()
	defer c.peekMu.Unlock()
	return c.peeker.closed()
}

// chargeUnread charges what the kernel holds of the bytes that the caller sent. It reports
// whether the caller has left, see [callerConn.left].
func (c *callerConn) chargeUnread() (left bool) {
	c.peekMu.Lock()
	defer c.peekMu.Unlock()
	pending, err := c.peeker.peek()
	var n int64
	if pending > 0 && err == nil {
		n = c.peeker.unread()
	}
	if n != c.unread {
		c.account.Adjust(c.server.cfg.Clock.Now(), n-c.unread)
		c.unread = n
	}
	return pending == 0 && err == nil
}

// Read reads from the caller.
func (c *callerConn) Read(p []byte) (int, error) {
	c.reads.Add(1)
	n, err := c.Conn.Read(p)
	c.reads.Add(1)
	c.monitor.traffic.addReceived(n)
	return n, err
}

// Write writes to the caller.
func (c *callerConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	n, err := c.Conn.Write(p)
	c.writes.Add(1)
	c.monitor.traffic.addSent(n)
	return n, err
}

// run serves the connection until it is closed.
func (c *callerConn) run() {
	defer c.finish()
	c.br = c.server.acquireReader(c)
	for c.serveRequest() {
	}
	c.server.releaseReader(c.br)
}

// finish closes the connection, returns what is charged for it and ends a request that
// panicked.
func (c *callerConn) finish() {
	if v := recover(); v != nil {
		c.server.cfg.Log.WithField("stack", string(debug.Stack())).Errorf("panic while a request was handled: %v", v)
		if p := c.current.Load(); p != nil {
			p.end()
		}
	}
	c.account.SetState(c.server.cfg.Clock.Now(), keelbudget.Idle)
	if c.requestUnread.Load() && !c.evicted.Load() {
		c.discard()
	}
	_ = c.Conn.Close() // there is no recovery from a failed close
	c.monitor.remove(c)
	c.account.Close()
}

// serveRequest waits for a request and answers it. It reports whether the connection can
// carry another one.
func (c *callerConn) serveRequest() bool {
	if !c.awaitRequest() || !c.beginRequest() {
		return false
	}
	s := c.server
	fctx := s.acquireContext(c)
	keepAlive, lines := c.handle(fctx)
	if lines > maxPooledLines {
		c.dropFields(fctx)
	}
	s.releaseContext(fctx, lines)
	return keepAlive && c.endRequest()
}

// awaitRequest waits for the first byte of a request.
func (c *callerConn) awaitRequest() bool {
	for {
		b, err := c.br.Peek(1)
		if err != nil {
			return false
		}
		// Some clients send an empty line after a body.
		if b[0] != '\r' && b[0] != '\n' {
			return true
		}
		_, _ = c.br.Discard(1) // never fails, since the byte is buffered
	}
}

// beginRequest marks the connection as active.
func (c *callerConn) beginRequest() bool {
	c.idleMu.Lock()
	defer c.idleMu.Unlock()
	c.headerRead.Store(false)
	c.active.Store(true)
	c.served.Store(true)
	return c.Conn.SetReadDeadline(time.Time{}) == nil
}

// endRequest marks the connection as idle, and reports whether it stays open.
func (c *callerConn) endRequest() bool {
	c.shrinkReader()
	c.peekMu.Lock()
	c.unread = 0
	c.account.ReleaseTo(connBytes + int64(c.br.Size()) - readerBytes)
	c.peekMu.Unlock()
	c.account.SetState(c.server.cfg.Clock.Now(), keelbudget.Idle)
	c.idleMu.Lock()
	defer c.idleMu.Unlock()
	c.active.Store(false)
	err := c.Conn.SetReadDeadline(time.Time{})
	// Checked last, since an eviction sets the flag and then the deadline.
	return err == nil && !c.evicted.Load() && (!c.server.stopping.Load() || c.br.Buffered() > 0)
}

// closeIdle closes the connection, unless a request is in progress. It reports whether it does.
func (c *callerConn) closeIdle() bool {
	c.idleMu.Lock()
	defer c.idleMu.Unlock()
	if c.active.Load() {
		return false
	}
	_ = c.Conn.SetReadDeadline(pastDeadline) // a closed connection needs no deadline
	return true
}

// evict makes the connection give way to others. It is called by the budget.
func (c *callerConn) evict(s keelbudget.State) {
	c.evicted.Store(true)
	// A closed connection needs no deadline.
	_ = c.Conn.SetReadDeadline(pastDeadline)
	if s == keelbudget.Answering {
		_ = c.Conn.SetWriteDeadline(pastDeadline)
	}
}

// holdAnswer charges what is held of an answer that is streamed, while it is sent. It was made
// already, so others give way to it rather than the reverse.
func (c *callerConn) holdAnswer(length int64) {
	n := int64(answerBytes)
	if length >= 0 {
		n = min(n, length)
	}
	c.account.Adjust(c.server.cfg.Clock.Now(), n)
	c.account.SetState(c.server.cfg.Clock.Now(), keelbudget.Answering)
}

// handle reads the header of a request and answers the request. lines is the number of lines
// of the header.
func (c *callerConn) handle(fctx *fasthttp.RequestCtx) (keepAlive bool, lines int) {
	s := c.server
	now := s.cfg.Clock.Now()
	c.account.SetState(now, keelbudget.Receiving)
	limits := s.cfg.Limits()
	var header headerSize
	err := c.hold(requestBytes)
	if err == nil {
		header, err = c.readHeader(limits.HeaderBytes)
	}
	if err == nil {
		err = c.parseHeader(fctx, header, limits)
	}
	if err != nil {
		refusal, reported := c.refusal(err, limits)
		c.requestUnread.Store(true) // the caller may still send and must be able to read the answer
		s.refuse(fctx, refusal, reported)
		return c.writeAnswer(fctx, false), header.lines
	}
	c.account.SetState(s.cfg.Clock.Now(), keelbudget.Receiving)
	c.headerRead.Store(true)
	body := newWireBody(fctx, c.br, limits.BodyBytes)
	if body != nil {
		fctx.Request.SetBodyStream(body, fctx.Request.Header.ContentLength())
		if fctx.Request.MayContinue() && !c.sendContinue() {
			return false, header.lines
		}
	} else {
		c.account.SetState(s.cfg.Clock.Now(), keelbudget.Running)
	}
	s.cfg.Handler(fctx)
	keepAlive = !fctx.Request.Header.ConnectionClose() && !fctx.Response.ConnectionClose() && !s.stopping.Load() && !c.evicted.Load()
	if body != nil && !body.atEnd.Load() {
		c.requestUnread.Store(true) // the rest would be parsed as the next request
		keepAlive = false
	}
	return c.writeAnswer(fctx, keepAlive), header.lines
}

// dropFields lets the parsed header of a request be collected while the connection stays open.
func (c *callerConn) dropFields(fctx *fasthttp.RequestCtx) {
	fctx.Request.Header = fasthttp.RequestHeader{}
	fctx.Response.Header = fasthttp.ResponseHeader{}
}

// hold charges bytes to the connection's account.
func (c *callerConn) hold(n int64) error {
	if err := c.account.Hold(c.server.cfg.Clock.Now(), n); err != nil {
		return err
	}
	if c.evicted.Load() {
		return keelbudget.ErrNoRoom
	}
	return nil
}

// refusal returns the refusal for a header that could not be read, and the text that is
// reported, which quotes nothing that the caller sent.
func (c *callerConn) refusal(err error, limits Limits) (refusal *keel.Refusal, reported string) {
	switch {
	case c.evicted.Load(), errors.Is(err, keelbudget.ErrNoRoom):
		refusal = noRoom()
	case c.stalled.Load():
		refusal = keel.Refuse(keel.NotRun, keel.ReasonRequestTimeout, 0, "the request did not arrive whole: %v", redactError(err))
	case errors.Is(err, errHeaderTooLarge):
		refusal = keel.Refuse(keel.NotRun, keel.ReasonTooLarge, 0, "header: exceeds %d bytes", limits.HeaderBytes)
	case errors.Is(err, errBodyTooLarge):
		refusal = bodyTooLarge(limits.BodyBytes)
	default:
		return badRequest("request: %v", err), "request could not be read: " + redactError(err).Error()
	}
	return refusal, refusal.Detail
}

// noRoom returns the refusal of a request that was not passed on for lack of room.
func noRoom() *keel.Refusal {
	return keel.Refuse(keel.NotRun, keel.ReasonOverload, overloadRetryAfter, "the instance has no room for the request")
}

// bodyTooLarge returns the refusal of a request with too large a body.
func bodyTooLarge(limit int64) *keel.Refusal {
	return keel.Refuse(keel.NotRun, keel.ReasonTooLarge, 0, "body: exceeds %d bytes", limit)
}

const continueLine = "HTTP/1.1 100 Continue\r\n\r\n"

// sendContinue asks the caller for the body of its request.
func (c *callerConn) sendContinue() bool {
	_, err := io.WriteString(c, continueLine)
	return err == nil
}

// lingerTimeout is how long a connection stays open for a caller that is still
// sending a request that has been answered.
const lingerTimeout = 2 * time.Second

// discard closes the sending direction and drops what the caller still sends.
// Closing a connection with unread bytes resets it, and the caller's kernel may
// then drop the answer.
func (c *callerConn) discard() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	c.account.ReleaseTo(connBytes)
	if c.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil || c.evicted.Load() {
		return
	}
	_, _ = io.Copy(io.Discard, c.Conn) // the answer has been sent, so an error doesn't matter
}

// addrOf returns the IP address of a, or the zero address if it has none.
func addrOf(a net.Addr) netip.Addr {
	if tcp, ok := a.(*net.TCPAddr); ok {
		return tcp.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}
