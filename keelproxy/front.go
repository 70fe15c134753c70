package keelproxy

import (
	"bytes"
	"context"
	"encoding/json"
	"math"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelbudget"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
)

// FrontConfig configures a [Front].
type FrontConfig struct {
	// Runner runs the requests.
	Runner Runner
	// Dialect decodes requests and encodes refusals; nil means [DefaultDialect].
	Dialect *Dialect
	// Lookup handles requests whose path is [LookupPath]. If it is nil, they are
	// proxied like others.
	Lookup fasthttp.RequestHandler
	// NewID generates the id of a request whose id is missing or too long. If it
	// is nil, ids consist of a random prefix and a sequence number.
	NewID func() string
	// Report is called for every request that has ended. It may be nil.
	Report func(Result)
	Log    *logrus.Entry
	// MaxHeaderBytes limits the header of a request.
	MaxHeaderBytes int
	// MaxInFlight limits the requests that have not ended; 0 means no limit.
	MaxInFlight int
	// Limits returns the limits that are in force instead of MaxHeaderBytes and
	// IdleTimeout, where they are not 0. It is called for each request; nil means none.
	Limits func() Limits
	// Budget is charged for what callers hold; nil means no limit.
	Budget *keelbudget.Budget
	// IdleTimeout closes callers' connections without requests; 0 means no
	// limit.
	IdleTimeout time.Duration
	// BodyIdle is how long a read of a request's header or body, or a write of
	// the end of its answer, may wait for the caller; 0 means no limit.
	BodyIdle time.Duration
	// Clock is used for IdleTimeout and BodyIdle; nil means the system clock.
	Clock clockwork.Clock
	// MoveCaller reports whether a connection is closed after the answer to the
	// request that it carries, so that its caller opens one to another instance. It is
	// called for each request, concurrently. Nil means never.
	MoveCaller func() bool
	// Traffic counts the bytes of callers' connections; it may be nil.
	Traffic *Traffic
}

// LookupPath is the path of look-ups on the caller port.
const LookupPath = "/v1/lookup"

// Result describes how a request ended.
type Result struct {
	Request *Request
	// Status is the HTTP status that the caller got.
	Status int
	// Refusal is set if the request got no answer.
	Refusal *keel.Refusal
	// Broken means that the answer was truncated after its header.
	Broken bool
	Domain keel.DomainName
	// Elapsed is the time from the request's header to the end of the answer.
	Elapsed time.Duration
}

// overloadRetryAfter is the Retry-After of requests that exceed MaxInFlight.
const overloadRetryAfter = time.Second

// Front is the server of the caller port.
type Front struct {
	cfg    FrontConfig
	server *Server
	// internalFields are the request's header fields that are not passed on.
	internalFields []string
	inFlight       atomic.Int64
	closeConns     atomic.Bool
}

// NewFront returns a server that does not listen yet.
func NewFront(cfg FrontConfig) *Front {
	if cfg.NewID == nil {
		cfg.NewID = newIDGenerator()
	}
	if cfg.Clock == nil {
		cfg.Clock = clockwork.NewRealClock()
	}
	if cfg.Dialect == nil {
		cfg.Dialect = DefaultDialect
	}
	f := &Front{cfg: cfg, internalFields: cfg.Dialect.internalFields()}
	f.server = NewServer(ServerConfig{
		Handler: f.handle, Refuse: cfg.Dialect.Refuse, Refused: f.refusedUnread, Relayed: cfg.Dialect.Relayed, Limits: f.limits,
		BodyIdle: cfg.BodyIdle, Budget: cfg.Budget, Clock: cfg.Clock, Traffic: cfg.Traffic, Log: cfg.Log,
	})
	return f
}

// limits returns the limits in force.
func (f *Front) limits() Limits {
	var l Limits
	if f.cfg.Limits != nil {
		l = f.cfg.Limits()
	}
	if l.HeaderBytes == 0 {
		l.HeaderBytes = f.cfg.MaxHeaderBytes
	}
	if l.IdleTimeout == 0 {
		l.IdleTimeout = f.cfg.IdleTimeout
	}
	return l
}

// refusedUnread reports a request that could not be read or parsed.
func (f *Front) refusedUnread(refusal *keel.Refusal) {
	f.report(Result{Request: &Request{}, Status: refusal.Reason.Status(), Refusal: refusal})
}

// Serve serves callers on ln until [Front.Shutdown].
func (f *Front) Serve(ln net.Listener) error {
	if err := f.server.Serve(ln); err != nil {
		return errors.Wrapf(err, "serve callers on %s", ln.Addr())
	}
	return nil
}

// Run cancels requests of callers that have disconnected and enforces the
// timeouts of callers' connections, until ctx ends.
func (f *Front) Run(ctx context.Context) error { return f.server.Run(ctx) }

// DisableKeepAlive makes the server close each connection after its next answer, so that
// callers connect to another instance.
func (f *Front) DisableKeepAlive() { f.closeConns.Store(true) }

// Shutdown stops listening and waits until every request has ended.
func (f *Front) Shutdown(ctx context.Context) error {
	if err := f.server.Shutdown(ctx); err != nil {
		return errors.Wrap(err, "stop caller port")
	}
	return nil
}

// InFlight returns the number of requests that have not ended.
func (f *Front) InFlight() int64 { return f.inFlight.Load() }

func (f *Front) handle(fctx *fasthttp.RequestCtx) {
	if f.closeConns.Load() || f.cfg.MoveCaller != nil && f.cfg.MoveCaller() {
		fctx.SetConnectionClose()
	}
	if f.cfg.Lookup != nil && string(fctx.Path()) == LookupPath {
		f.cfg.Lookup(fctx)
		return
	}
	f.proxy(fctx)
}

func (f *Front) proxy(fctx *fasthttp.RequestCtx) {
	c, ok := fctx.Conn().(*callerConn)
	if !ok {
		fctx.SetStatusCode(fasthttp.StatusInternalServerError) // unreachable: Server makes every connection
		return
	}
	p := &proxiedRequest{front: f, start: time.Now(), conn: c}
	f.inFlight.Add(1)
	c.current.Store(p)
	if refusal := f.parse(fctx, p); refusal != nil {
		p.refuse(fctx, refusal)
		return
	}
	p.attachBody(fctx)
	if limit := int64(f.cfg.MaxInFlight); limit > 0 && f.inFlight.Load() > limit {
		p.refuse(fctx, keel.Refuse(keel.NotRun, keel.ReasonOverload, overloadRetryAfter, "the instance has %d requests in flight", limit))
		return
	}
	answer, err := f.cfg.Runner.RunRequest(&p.ctx, &p.request)
	if err != nil {
		p.refuse(fctx, AsRefusal(err))
		return
	}
	p.answer(fctx, answer)
}

func (f *Front) parse(fctx *fasthttp.RequestCtx, p *proxiedRequest) *keel.Refusal {
	h := &fctx.Request.Header
	var texts arena
	texts.grow(len(h.RawHeaders()) + len(h.RequestURI()) + len(h.Method()))
	r := &p.request
	*r = Request{
		ID:            texts.copyString(h.Peek(f.cfg.Dialect.RequestID)),
		Method:        texts.copyString(h.Method()),
		URI:           texts.copyString(h.RequestURI()),
		Host:          texts.copyString(h.Host()),
		ContentLength: int64(h.ContentLength()),
		Caller:        p.conn.addr,
		ReceivedAt:    p.start,
		conn:          p.conn,
		account:       p.conn.account,
		Key:           texts.copyString(h.Peek(HeaderKey)),
		Ticket:        texts.copyString(h.Peek(HeaderTicket)),
	}
	if refusal := f.identify(r, h, &texts); refusal != nil {
		return refusal
	}
	if !strings.HasPrefix(r.URI, "/") {
		return badRequest("request target: %q does not start with /", r.URI)
	}
	if err := f.parseTimeout(r, string(h.Peek(f.cfg.Dialect.Timeout))); err != nil {
		return badRequest("header %s: %v", f.cfg.Dialect.Timeout, err)
	}
	filter := newHeaderFilter(string(h.Peek("Connection")), f.internalFields, &texts, p.fields[:0])
	for name, value := range h.All() {
		filter.add(name, value)
	}
	r.Header = filter.fields
	return nil
}

// identify sets the id of r and, as the dialect provides, its service and its
// affinity.
func (f *Front) identify(r *Request, h *fasthttp.RequestHeader, texts *arena) *keel.Refusal {
	d := f.cfg.Dialect
	if d.KeepID && r.ID == "" {
		return badRequest("header %s: is missing", d.RequestID)
	}
	if !d.KeepID && (r.ID == "" || len(r.ID) > keel.MaxNameLength) {
		r.ID = f.cfg.NewID()
	}
	if d.Relayed != "" {
		r.Relayed = len(h.Peek(d.Relayed)) > 0
	}
	if d.Affinity != "" {
		r.Affinity = texts.copyString(h.Peek(d.Affinity))
	}
	if d.MatchByPath {
		return nil
	}
	r.Service = serviceOf(h, texts)
	if fs := keel.CheckName("service", r.Service); len(fs) > 0 {
		return badRequest("header %s or Host: %v", HeaderService, fs)
	}
	return nil
}

// internalFields returns the request's header fields that are not passed on,
// because they are addressed to the instance or set again for the endpoint.
func (d *Dialect) internalFields() []string {
	return []string{"Host", d.Timeout, d.RequestID, d.Target, d.Relayed, HeaderTicket, HeaderService}
}

func badRequest(format string, args ...any) *keel.Refusal {
	return keel.Refuse(keel.NotRun, keel.ReasonBadRequest, 0, format, args...)
}

func (f *Front) parseTimeout(r *Request, text string) error {
	if text == "" {
		return nil
	}
	d, err := f.cfg.Dialect.ParseTimeout(text)
	if err != nil {
		return err
	}
	if d <= 0 || d > maxTimeout {
		return errors.Errorf("%s must lie between 0s and %s", d, maxTimeout)
	}
	r.Timeout = d
	return nil
}

// maxTimeout is the longest time limit that a caller may request.
const maxTimeout = time.Hour

// serviceOf returns the service from its own header field or else from the first
// label of the host.
func serviceOf(h *fasthttp.RequestHeader, texts *arena) keel.ServiceName {
	if v := h.Peek(HeaderService); len(v) > 0 {
		return keel.ServiceName(texts.copyString(v))
	}
	host, _, _ := bytes.Cut(h.Host(), []byte{':'})
	first, _, _ := bytes.Cut(host, []byte{'.'})
	return keel.ServiceName(texts.copyString(first))
}

// CallerAddr returns the address of a request's caller, or the zero address if it
// is not known.
func CallerAddr(fctx *fasthttp.RequestCtx) netip.Addr {
	if c, ok := fctx.Conn().(*callerConn); ok {
		return c.addr
	}
	return addrOf(fctx.RemoteAddr())
}

func (f *Front) report(res Result) {
	if f.cfg.Report != nil {
		f.cfg.Report(res)
	}
}

// WriteRefusal writes a refusal as JSON with its status, verdict and Retry-After.
func WriteRefusal(fctx *fasthttp.RequestCtx, refusal *keel.Refusal) {
	body, err := json.Marshal(refusal)
	if err != nil {
		body = nil
	}
	fctx.Response.ResetBody()
	fctx.SetStatusCode(refusal.Reason.Status())
	fctx.Response.Header.Set(HeaderVerdict, refusal.Verdict.String())
	if wait := refusal.RetryAfter.Std(); wait > 0 {
		fctx.Response.Header.Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
	}
	fctx.SetContentType("application/json")
	fctx.SetBody(body)
}
