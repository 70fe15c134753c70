package keelpeer

import (
	"bufio"
	"context"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelheader"
	"github.com/greengagekeel/greengagekeel/keelkey"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// CallClientConfig is the configuration of a [CallClient].
type CallClientConfig struct {
	Keys *keelkey.Keys
	// MaxAnswerBytes is the size limit of an answer; 0 means [DefaultMaxMessageBytes].
	MaxAnswerBytes int
}

const (
	// callPath is the path of calls over TCP, which are HTTP requests.
	callPath = "/v1/call"
	// dialTimeout limits the opening of a connection over TCP, with its handshake. On a
	// full link each of the two round trips waits in the queue.
	dialTimeout = 3 * time.Second
	// callIdleTimeout is how long a client keeps an unused connection. Servers keep them
	// for serverIdleTimeout, which is longer, so that no call crosses their close.
	callIdleTimeout   = 6 * time.Second
	serverIdleTimeout = 10 * time.Second
	// defaultCallTimeout limits a call whose context has no deadline.
	defaultCallTimeout = 5 * time.Second
)

// CallClient makes calls over TCP with mutual TLS to transports with
// [Config.AcceptTCP]. A full link drops datagrams, while the segments of TCP wait in the
// same queue as those of all other connections, so that calls are late and not lost.
// Each connection carries one call at a time, and only one to an address is being opened
// at any time. It implements [keel.CallTransport].
type CallClient struct {
	cfg CallClientConfig
	// ctx ends when the client is closed.
	ctx    context.Context
	cancel context.CancelFunc

	mu    sync.Mutex
	hosts map[netip.AddrPort]*fasthttp.HostClient
	conns map[net.Conn]struct{}
	// group holds the calls and dials in progress. None is added once ctx has ended.
	group conc.WaitGroup
}

var _ keel.CallTransport = (*CallClient)(nil)

// NewCallClient returns a client without connections.
func NewCallClient(cfg CallClientConfig) *CallClient {
	if cfg.MaxAnswerBytes == 0 {
		cfg.MaxAnswerBytes = DefaultMaxMessageBytes
	}
	c := &CallClient{cfg: cfg, hosts: map[netip.AddrPort]*fasthttp.HostClient{}, conns: map[net.Conn]struct{}{}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// Run closes the client when ctx ends.
func (c *CallClient) Run(ctx context.Context) error {
	<-ctx.Done()
	c.close()
	return nil
}

// close closes all connections and waits until all calls have ended.
func (c *CallClient) close() {
	c.mu.Lock()
	c.cancel()
	conns := slices.Collect(maps.Keys(c.conns)) // closing one removes it, which needs mu
	c.mu.Unlock()
	for _, nc := range conns {
		_ = nc.Close()
	}
	c.group.Wait()
}

// Call implements [keel.CallTransport], with the errors of [Transport.Call]. When ctx is
// cancelled before its deadline, the call goes on without its caller, so that its
// connection can be used again.
func (c *CallClient) Call(ctx context.Context, to netip.AddrPort, e keel.Envelope) (keel.Envelope, error) {
	data, err := keel.EncodeCBOR(e)
	if err != nil {
		return keel.Envelope{}, err
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultCallTimeout)
	}
	x := &tcpCall{request: data, deadline: deadline, done: make(chan struct{})}
	if !c.start(x, unmapped(to)) {
		return keel.Envelope{}, ErrClosed
	}
	select {
	case <-x.done:
	case <-ctx.Done():
		return keel.Envelope{}, errors.Wrapf(errors.Join(ErrOutcomeUnknown, ctx.Err()), "call %s", to)
	}
	switch {
	case errors.Is(x.err, ErrUnreachable):
		return keel.Envelope{}, errors.Wrapf(x.err, "connect to %s", to)
	case x.err != nil:
		return keel.Envelope{}, errors.Wrapf(errors.Join(ErrOutcomeUnknown, x.err), "call %s", to)
	}
	return x.answer.result()
}

// tcpCall is one call over TCP.
type tcpCall struct {
	host     *fasthttp.HostClient
	request  []byte
	deadline time.Time
	// done is closed once answer or err is set.
	done   chan struct{}
	answer reply
	err    error
}

func (x *tcpCall) run() {
	defer close(x.done)
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + x.host.Addr + callPath)
	req.SetBodyRaw(x.request)
	if x.err = x.host.DoDeadline(req, resp, x.deadline); x.err != nil {
		return
	}
	if status := resp.StatusCode(); status != fasthttp.StatusOK {
		x.err = errors.Errorf("status %d", status)
		return
	}
	x.err = keel.DecodeCBOR(resp.Body(), &x.answer)
}

// start starts a call to an address. It reports false if the client is closed.
func (c *CallClient) start(x *tcpCall, to netip.AddrPort) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx.Err() != nil {
		return false
	}
	x.host = c.host(to)
	c.group.Go(x.run)
	return true
}

// host returns the client of one address. The caller holds mu.
func (c *CallClient) host(to netip.AddrPort) *fasthttp.HostClient {
	h := c.hosts[to]
	if h == nil {
		d := &callDialer{client: c, to: to}
		h = &fasthttp.HostClient{
			Addr: to.String(), DialTimeout: d.connect,
			MaxIdleConnDuration: callIdleTimeout, MaxResponseBodySize: c.cfg.MaxAnswerBytes,
			NoDefaultUserAgentHeader: true, MaxIdemponentCallAttempts: 1,
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		}
		c.hosts[to] = h
	}
	return h
}

// startDial starts an attempt to open a connection. It reports false if the client is
// closed.
func (c *CallClient) startDial(x *callDial) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx.Err() != nil {
		return false
	}
	c.group.Go(x.run)
	return true
}

// track makes the client close a new connection with itself. It closes the connection at
// once if the client is closed already.
func (c *CallClient) track(nc net.Conn) (net.Conn, error) {
	tracked := &callConn{Conn: nc, client: c, r: bufio.NewReader(nc)}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx.Err() != nil {
		_ = nc.Close()
		return nil, ErrClosed
	}
	c.conns[tracked] = struct{}{}
	return tracked, nil
}

// callConn is a connection that its client closes with itself. It carries one call at a time,
// and checks the header of each answer.
type callConn struct {
	net.Conn
	client *CallClient
	r      *bufio.Reader
	// headerDue is set from the first byte of a request to the header of its answer.
	headerDue bool
}

// Write writes a part of a request.
func (cc *callConn) Write(p []byte) (int, error) {
	cc.headerDue = true
	return cc.Conn.Write(p)
}

// Read reads a part of an answer.
func (cc *callConn) Read(p []byte) (int, error) {
	if cc.headerDue {
		if err := keelheader.CheckAnswer(cc.r); err != nil {
			return 0, err
		}
		cc.headerDue = false
	}
	return cc.r.Read(p)
}

// Close closes the connection.
func (cc *callConn) Close() error {
	cc.client.mu.Lock()
	delete(cc.client.conns, cc)
	cc.client.mu.Unlock()
	return cc.Conn.Close()
}
