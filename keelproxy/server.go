package keelproxy

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelbudget"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
)

// Limits bounds what a caller may send and how long it may take. A zero field means no
// limit, except for HeaderBytes.
type Limits struct {
	// HeaderBytes is the size of a request's header, with its request line.
	HeaderBytes int
	// BodyBytes is the size of a request's body, without the framing of chunks.
	BodyBytes int64
	// HeaderTimeout is the time from the first byte of a header to its end.
	HeaderTimeout time.Duration
	// IdleTimeout closes connections without requests.
	IdleTimeout time.Duration
}

// ServerConfig configures a [Server].
type ServerConfig struct {
	// Handler handles the requests. It is called concurrently.
	Handler fasthttp.RequestHandler
	// Refuse writes the refusal of a request that Handler does not get; nil means
	// [WriteRefusal].
	Refuse func(fctx *fasthttp.RequestCtx, refusal *keel.Refusal)
	// Refused is called for each such request. It may be nil.
	Refused func(refusal *keel.Refusal)
	// Relayed is the header field of requests that other instances relay, see
	// [Dialect.Relayed]; it may be empty.
	Relayed string
	// Limits returns the limits in force. It is called for each request.
	Limits func() Limits
	// BodyIdle is how long a read of a request's header or body, or a write of
	// the end of its answer, may wait for the caller; 0 means no limit.
	BodyIdle time.Duration
	// Budget is charged for what callers hold; nil means no limit.
	Budget *keelbudget.Budget
	// Clock is used for the timeouts; nil means the system clock.
	Clock clockwork.Clock
	// Traffic counts the bytes of the connections; it may be nil.
	Traffic *Traffic
	// Log gets the panics of Handler; nil means the standard logger.
	Log *logrus.Entry
}

// Server serves HTTP/1 to callers. It waits for a whole header before it parses it, and
// charges what a request holds to the account of its connection first, so that callers can't
// exhaust the memory or the descriptors of the process.
type Server struct {
	cfg      ServerConfig
	monitor  *callerMonitor
	readers  sync.Pool
	answers  sync.Pool
	contexts sync.Pool
	stopping atomic.Bool

	mu        sync.Mutex // guards listeners
	listeners []net.Listener
}

// NewServer returns a server that does not listen yet.
func NewServer(cfg ServerConfig) *Server {
	if cfg.Refuse == nil {
		cfg.Refuse = WriteRefusal
	}
	if cfg.Clock == nil {
		cfg.Clock = clockwork.NewRealClock()
	}
	if cfg.Log == nil {
		cfg.Log = logrus.NewEntry(logrus.StandardLogger())
	}
	return &Server{cfg: cfg, monitor: newCallerMonitor(cfg)}
}

// Serve serves callers on ln until [Server.Shutdown], or until ln fails.
func (s *Server) Serve(ln net.Listener) error {
	if !s.register(ln) {
		return nil
	}
	for {
		nc, err := ln.Accept()
		switch {
		case err == nil:
			s.serve(nc)
		case s.stopping.Load():
			return nil
		default:
			return errors.Wrapf(err, "accept callers on %s", ln.Addr())
		}
	}
}

// register adds a listener that a shutdown closes. After one it closes ln and returns false.
func (s *Server) register(ln net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping.Load() {
		_ = ln.Close() // nothing was accepted
		return false
	}
	s.listeners = append(s.listeners, ln)
	return true
}

// serve starts to serve a connection, unless there is no room for it.
func (s *Server) serve(nc net.Conn) {
	c := &callerConn{
		Conn: nc, server: s, addr: addrOf(nc.RemoteAddr()), peeker: newPeeker(nc), monitor: s.monitor, acceptedAt: s.cfg.Clock.Now(),
	}
	account, err := s.cfg.Budget.Open(s.cfg.Clock.Now(), connBytes, c.evict)
	if err != nil {
		_ = nc.Close() // nothing was read from it
		return
	}
	c.account = account
	s.monitor.add(c)
	go c.run()
}

// Run enforces the timeouts of connections and cancels requests of callers that have
// disconnected, until ctx ends.
func (s *Server) Run(ctx context.Context) error { return s.monitor.Run(ctx) }

// shutdownPollInterval is how often a shutdown closes the connections that have become idle.
const shutdownPollInterval = 10 * time.Millisecond

// Shutdown stops listening, closes idle connections and waits until every request has ended.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.stopping.Store(true)
	for _, ln := range s.listeners {
		_ = ln.Close() // it accepts nothing more in any case
	}
	s.mu.Unlock()
	ticker := time.NewTicker(shutdownPollInterval)
	defer ticker.Stop()
	for {
		conns := s.monitor.connections()
		if len(conns) == 0 {
			return nil
		}
		now := s.cfg.Clock.Now()
		for _, c := range conns {
			if c.served.Load() || now.Sub(c.acceptedAt) > firstRequestGrace {
				c.closeIdle()
			}
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%d connections are open", len(conns))
		case <-ticker.C:
		}
	}
}

// firstRequestGrace is how long a shutdown waits for the first request of a connection, which
// may be on its way.
const firstRequestGrace = 5 * time.Second

// refuse writes a refusal of a request that the handler does not get, and reports it.
func (s *Server) refuse(fctx *fasthttp.RequestCtx, refusal *keel.Refusal, reported string) {
	fctx.SetConnectionClose()
	s.cfg.Refuse(fctx, refusal)
	if s.cfg.Refused == nil {
		return
	}
	r := *refusal
	r.Detail = reported
	s.cfg.Refused(&r)
}

// readerBytes is the size of the buffer with which a connection starts. It holds an ordinary
// header.
const readerBytes = 4 << 10

func (s *Server) acquireReader(c *callerConn) *bufio.Reader {
	if r, ok := s.readers.Get().(*bufio.Reader); ok {
		r.Reset(c)
		return r
	}
	return bufio.NewReaderSize(c, readerBytes)
}

// releaseReader returns a reader to the pool unless it was enlarged.
func (s *Server) releaseReader(r *bufio.Reader) {
	if r.Size() == readerBytes {
		r.Reset(nil)
		s.readers.Put(r)
	}
}

func (s *Server) acquireAnswerWriter(c *callerConn) *answerWriter {
	a, ok := s.answers.Get().(*answerWriter)
	if !ok {
		a = &answerWriter{w: bufio.NewWriter(nil)}
	}
	a.w.Reset(c)
	return a
}

func (s *Server) releaseAnswerWriter(a *answerWriter) {
	a.w.Reset(nil)
	a.resp = nil
	s.answers.Put(a)
}

func (s *Server) acquireContext(c *callerConn) *fasthttp.RequestCtx {
	fctx, ok := s.contexts.Get().(*fasthttp.RequestCtx)
	if !ok {
		fctx = &fasthttp.RequestCtx{}
	}
	fctx.Init2(c, discardLogger{}, true)
	fctx.Response.Header.SetNoDefaultContentType(true)
	return fctx
}

// maxPooledLines is the number of header lines up to which a parsed request is reused. A
// pooled one keeps the memory of all its fields.
const maxPooledLines = 64

// releaseContext returns a context to the pool, unless its request had many header lines.
func (s *Server) releaseContext(fctx *fasthttp.RequestCtx, lines int) {
	if lines > maxPooledLines {
		return
	}
	fctx.ResetUserValues()
	fctx.Request.Reset()
	fctx.Response.Reset()
	s.contexts.Put(fctx)
}

// discardLogger drops fasthttp's log lines; failures are reported by ServerConfig.Refused.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
