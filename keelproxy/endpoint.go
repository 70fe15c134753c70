package keelproxy

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/valyala/fasthttp"
)

// Target is the endpoint that a request is sent to.
type Target struct {
	ID keel.EndpointID
	// Incarnation is that of the endpoint's announcement.
	Incarnation uint64
	Address     netip.AddrPort
	Domain      keel.DomainName
	// Relays is whether the target is no endpoint but the caller port of another instance.
	Relays bool
}

// ConnObserver is notified of opened and closed connections to endpoints. Its
// methods are called from several goroutines. They must not block, nor call the
// [EndpointClient], which may hold its lock.
type ConnObserver interface {
	// Opened is called after a connection was opened.
	Opened(id uint64, t Target, now time.Time)
	// Closed is called after a connection was closed.
	Closed(id uint64, now time.Time)
}

// ClientConfig configures an [EndpointClient].
type ClientConfig struct {
	// DialTimeout limits the opening of a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept.
	IdleTimeout time.Duration
	// MaxIdle limits the unused connections to one endpoint.
	MaxIdle int
	// MaxOpen limits the connections to all endpoints; 0 means no limit.
	MaxOpen int
	// MaxHeaderBytes limits the header of an answer.
	MaxHeaderBytes int
	// Observer is notified of connections. It may be nil.
	Observer ConnObserver
	// Dialect encodes the requests; nil means [DefaultDialect].
	Dialect *Dialect
	// Traffic counts the bytes of the connections; it may be nil.
	Traffic *Traffic
}

// Defaults for zero fields of [ClientConfig].
const (
	defaultDialTimeout    = time.Second
	defaultIdleTimeout    = 30 * time.Second
	defaultMaxIdle        = 1024
	defaultMaxHeaderBytes = 64 << 10
)

// EndpointClient sends requests to endpoints over pooled connections. A
// connection carries one request at a time. It is closed if its request was
// aborted, if the endpoint sent more than one answer, or if the answer did not
// repeat the request id.
type EndpointClient struct {
	cfg ClientConfig
	// internalFields are the answer's header fields that are not passed on to
	// callers.
	internalFields []string
	readers        sync.Pool
	writers        sync.Pool

	mu sync.Mutex
	// dialing is the number of connections that are being opened.
	dialing int
	idle    map[netip.AddrPort][]*endpointConn
	open    map[uint64]*endpointConn
	nextID  uint64
}

// NewEndpointClient returns a client without connections.
func NewEndpointClient(cfg ClientConfig) *EndpointClient {
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = defaultDialTimeout
	}
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = defaultIdleTimeout
	}
	if cfg.MaxIdle == 0 {
		cfg.MaxIdle = defaultMaxIdle
	}
	if cfg.MaxHeaderBytes == 0 {
		cfg.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	if cfg.Observer == nil {
		cfg.Observer = noObserver{}
	}
	if cfg.Dialect == nil {
		cfg.Dialect = DefaultDialect
	}
	return &EndpointClient{
		cfg:            cfg,
		internalFields: []string{cfg.Dialect.RequestID},
		idle:           make(map[netip.AddrPort][]*endpointConn),
		open:           make(map[uint64]*endpointConn),
	}
}

// Dispatch sends r to t and returns the answer as soon as its header is
// complete. The error is a [*keel.Refusal]. Its verdict is [keel.NotRun] only if
// no byte was sent.
func (c *EndpointClient) Dispatch(ctx context.Context, t Target, r *Request) (*Answer, error) {
	now := time.Now()
	conn, err := c.acquire(ctx, now, t, r)
	if errors.Is(err, errTooManyConns) {
		return nil, keel.Refuse(keel.NotRun, keel.ReasonOverload, overloadRetryAfter, "%v", err)
	}
	if err != nil {
		return nil, keel.Refuse(keel.NotRun, keel.ReasonEndpointFailed, 0, "connect to endpoint %s: %v", t.ID, redactError(err))
	}
	answer, err := conn.exchange(ctx, r)
	if err != nil {
		conn.close()
		return nil, conn.refusal(ctx, err)
	}
	answer.Domain = t.Domain
	return answer, nil
}

// Probe opens a new connection to t and closes it. It returns an error if the
// connection could not be opened.
func (c *EndpointClient) Probe(ctx context.Context, t Target) error {
	conn, err := c.dial(ctx, t)
	if err != nil {
		return err
	}
	conn.close()
	return nil
}

// CloseConn closes the connection with the given id, even if it carries a
// request.
func (c *EndpointClient) CloseConn(id uint64) {
	c.mu.Lock()
	conn := c.open[id]
	c.mu.Unlock()
	if conn != nil {
		conn.close()
	}
}

// Activity calls f with the id of each open connection and the number of starts
// and ends of its reads and writes. The number is odd while a read or a write is
// blocked on the endpoint, and changes when bytes were transferred. f must not
// block or call the client, whose lock is held.
func (c *EndpointClient) Activity(f func(id, steps uint64)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, conn := range c.open {
		f(id, conn.steps.Load())
	}
}

// Socket returns the socket of the open connection with the given id.
func (c *EndpointClient) Socket(id uint64) (syscall.Conn, bool) {
	c.mu.Lock()
	conn := c.open[id]
	c.mu.Unlock()
	if conn == nil {
		return nil, false
	}
	socket, ok := conn.nc.(syscall.Conn)
	return socket, ok
}

// CloseIdle closes the idle connections to an address.
func (c *EndpointClient) CloseIdle(addr netip.AddrPort) {
	c.mu.Lock()
	conns := c.idle[addr]
	delete(c.idle, addr)
	c.mu.Unlock()
	for _, conn := range conns {
		conn.close()
	}
}

// Close closes every connection.
func (c *EndpointClient) Close() {
	c.mu.Lock()
	conns := make([]*endpointConn, 0, len(c.open))
	for _, conn := range c.open {
		conns = append(conns, conn)
	}
	clear(c.idle)
	c.mu.Unlock()
	for _, conn := range conns {
		conn.close()
	}
}

// acquire returns an idle connection to t that can carry r, or a new one.
func (c *EndpointClient) acquire(ctx context.Context, now time.Time, t Target, r *Request) (*endpointConn, error) {
	for !r.NewConnection {
		conn := c.popIdle(t.Address, r.ID)
		if conn == nil {
			break
		}
		if conn.usable(now, c.cfg.IdleTimeout) {
			conn.target = t // the address may have belonged to another endpoint
			return conn, nil
		}
		conn.close()
	}
	return c.dial(ctx, t)
}

// popIdle returns the idle connection to addr that was used last, or nil. One that
// has carried a request with the same id is left out: the endpoint may send the
// earlier answer again, such as a refusal, although this time it runs the request.
func (c *EndpointClient) popIdle(addr netip.AddrPort, id string) *endpointConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idle[addr]
	for i := len(conns) - 1; i >= 0; i-- {
		conn := conns[i]
		if conn.carried.contains(id) {
			continue
		}
		c.idle[addr] = slices.Delete(conns, i, i+1)
		return conn
	}
	return nil
}

// pushIdle adds conn to the idle connections and reports whether it was kept.
func (c *EndpointClient) pushIdle(conn *endpointConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	addr := conn.target.Address
	if len(c.idle[addr]) >= c.cfg.MaxIdle || c.open[conn.id] == nil {
		return false
	}
	c.idle[addr] = append(c.idle[addr], conn)
	return true
}

// acquireBuffers takes the buffers for one request from the pools.
func (c *EndpointClient) acquireBuffers(conn *endpointConn) {
	if r, ok := c.readers.Get().(*bufio.Reader); ok {
		r.Reset(&conn.netReader)
		conn.r = r
	} else {
		conn.r = bufio.NewReaderSize(&conn.netReader, c.readerBytes())
	}
	if w, ok := c.writers.Get().(*bufio.Writer); ok {
		w.Reset(&conn.netWriter)
		conn.w = w
	} else {
		conn.w = bufio.NewWriter(&conn.netWriter)
	}
}

// readerBytes is the size of the buffer with which the header of an answer is read first.
func (c *EndpointClient) readerBytes() int { return min(readerBytes, c.cfg.MaxHeaderBytes) }

// releaseBuffers returns the buffers to the pools, but for a reader that was enlarged.
func (c *EndpointClient) releaseBuffers(conn *endpointConn) {
	if conn.r.Size() == c.readerBytes() {
		c.readers.Put(conn.r)
	}
	c.writers.Put(conn.w)
	conn.r, conn.w = nil, nil
}

func (c *EndpointClient) dial(ctx context.Context, t Target) (*endpointConn, error) {
	if err := c.reserve(); err != nil {
		return nil, err
	}
	d := net.Dialer{Timeout: c.cfg.DialTimeout, Control: limitSocketBuffers}
	nc, err := d.DialContext(ctx, "tcp", t.Address.String())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dialing--
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", t.Address)
	}
	c.nextID++
	conn := newEndpointConn(c, c.nextID, t, nc)
	c.open[conn.id] = conn
	c.cfg.Observer.Opened(conn.id, t, time.Now())
	return conn, nil
}

// errTooManyConns is returned when no further connection may be opened.
var errTooManyConns = errors.New("all connections to endpoints are in use")

// reserve makes room for a connection. At the limit it closes the connection that has been
// idle for the longest time.
func (c *EndpointClient) reserve() error {
	c.mu.Lock()
	var oldest *endpointConn
	if c.cfg.MaxOpen > 0 && len(c.open)+c.dialing >= c.cfg.MaxOpen {
		if oldest = c.popOldestIdle(); oldest == nil {
			c.mu.Unlock()
			return errTooManyConns
		}
	}
	c.dialing++
	c.mu.Unlock()
	if oldest != nil {
		oldest.close()
	}
	return nil
}

// popOldestIdle removes the connection that has been idle for the longest time, or returns nil.
// The caller holds mu.
func (c *EndpointClient) popOldestIdle() *endpointConn {
	var oldest *endpointConn
	for _, conns := range c.idle {
		if len(conns) > 0 && (oldest == nil || conns[0].idleSince.Before(oldest.idleSince)) {
			oldest = conns[0] // they are in the order of their last use
		}
	}
	if oldest == nil {
		return nil
	}
	addr := oldest.target.Address
	c.idle[addr] = c.idle[addr][1:]
	return oldest
}

func (c *EndpointClient) removeConn(conn *endpointConn) {
	c.mu.Lock()
	delete(c.open, conn.id)
	c.mu.Unlock()
	c.cfg.Observer.Closed(conn.id, time.Now())
}

// refusal converts the error of an exchange to a refusal. The verdict is
// [keel.NotRun] only if no byte was written.
func (conn *endpointConn) refusal(ctx context.Context, err error) *keel.Refusal {
	verdict := keel.MayHaveRun
	if conn.sent.Load() == 0 {
		verdict = keel.NotRun
	}
	reason := keel.ReasonEndpointFailed
	var body *bodyError
	switch {
	case errors.Is(err, ErrStalled):
		reason = keel.ReasonRequestTimeout
	case errors.Is(ctx.Err(), context.DeadlineExceeded), errors.Is(err, os.ErrDeadlineExceeded):
		reason = keel.ReasonDeadline
	case ctx.Err() != nil:
		reason = keel.ReasonCallerGone
	case errors.As(err, &body):
		reason = body.reason()
	}
	return keel.Refuse(verdict, reason, 0, "endpoint %s: %v", conn.target.ID, err)
}

type noObserver struct{}

func (noObserver) Opened(uint64, Target, time.Time) {}
func (noObserver) Closed(uint64, time.Time)         {}

// fillRequest copies r to out, with the remaining time at now as its time limit.
func (c *EndpointClient) fillRequest(out *fasthttp.Request, r *Request, t Target, body *requestBody, now time.Time) {
	out.Header.DisableNormalizing()
	out.Header.SetMethod(r.Method)
	out.Header.SetRequestURI(r.URI)
	for _, f := range r.Header {
		out.Header.Add(f.Name, f.Value)
	}
	out.Header.SetHost(r.Host)
	d := c.cfg.Dialect
	out.Header.Set(d.RequestID, r.ID)
	if left := r.Deadline.Sub(now); left > 0 {
		out.Header.Set(d.Timeout, d.FormatTimeout(left))
	}
	if d.Target != "" {
		out.Header.Set(d.Target, string(t.ID.Name))
	}
	if t.Relays && d.Relayed != "" {
		out.Header.Set(d.Relayed, "1")
	}
	if r.Body != nil {
		out.SetBodyStream(body, int(r.ContentLength))
	}
}
