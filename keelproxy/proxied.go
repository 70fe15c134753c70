package keelproxy

import (
	"io"
	"sync"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelbudget"
	"github.com/valyala/fasthttp"
)

// typicalFields is the number of header fields that need no extra allocation.
const typicalFields = 12

// proxiedRequest is a request of a caller from its header to the end of its
// answer. It holds all state of the request in one allocation.
type proxiedRequest struct {
	front   *Front
	start   time.Time
	conn    *callerConn
	ctx     requestContext
	request Request
	body    callerBody
	stream  answerStream
	result  Result
	once    sync.Once
	fields  [typicalFields]Field
}

// check cancels the request if its caller has disconnected, charges what the kernel holds of
// the caller's bytes, and interrupts the writing of the answer if that continues past the
// deadline.
func (p *proxiedRequest) check(now time.Time) {
	if p.conn.chargeUnread() {
		p.conn.ended.Store(true)
		p.ctx.cancel()
	}
	deadline, ok := p.ctx.Deadline()
	if !ok || now.Sub(deadline) <= checkInterval || p.conn.writes.Load()%2 == 0 {
		return
	}
	_ = p.conn.SetWriteDeadline(pastDeadline) // a closed connection needs no deadline
	if p.conn.current.Load() != p {
		_ = p.conn.SetWriteDeadline(time.Time{}) // the answer ended meanwhile
	}
}

// attachBody sets the body of the request to a reader of the caller's connection.
func (p *proxiedRequest) attachBody(fctx *fasthttp.RequestCtx) {
	body, ok := fctx.RequestBodyStream().(*wireBody)
	if !ok {
		p.request.ContentLength = 0
		return
	}
	p.body.r, p.body.conn = body, p.conn
	p.request.Body = &p.body
}

func (p *proxiedRequest) refuse(fctx *fasthttp.RequestCtx, refusal *keel.Refusal) {
	p.stopBody()
	p.front.cfg.Dialect.Refuse(fctx, refusal)
	p.result = Result{Status: refusal.Reason.Status(), Refusal: refusal}
	p.end()
}

// answer sets the header and the body stream of an answer. fasthttp sends the
// body after the handler has returned and then closes it, which ends the request.
func (p *proxiedRequest) answer(fctx *fasthttp.RequestCtx, a *Answer) {
	h := &fctx.Response.Header
	fctx.SetStatusCode(a.Status)
	for _, f := range a.Header {
		h.Add(f.Name, f.Value)
	}
	d := p.front.cfg.Dialect
	h.Set(d.RequestID, p.request.ID)
	if a.Domain != "" && d.ServedBy != "" {
		h.Set(d.ServedBy, string(a.Domain))
	}
	p.result = Result{Status: a.Status, Domain: a.Domain}
	p.conn.holdAnswer(a.ContentLength)
	p.stream = answerStream{p: p, answer: a}
	body := &p.stream
	fctx.Response.SetBodyStream(body, int(a.ContentLength))
	if fctx.IsHead() || !hasBodyStatus(a.Status) {
		fctx.Response.SkipBody = true
		body.noBody = true
		_ = body.Close()
	}
}

// stopBody stops reading the request's body.
func (p *proxiedRequest) stopBody() {
	if p.body.r != nil {
		p.body.stop()
	}
}

// end releases and reports the request. Only the first call has an effect.
func (p *proxiedRequest) end() {
	p.once.Do(func() {
		p.stopBody()
		p.ctx.cancel()
		p.conn.current.Store(nil)
		p.front.inFlight.Add(-1)
		p.result.Request = &p.request
		p.result.Elapsed = time.Since(p.start)
		p.front.report(p.result)
	})
}

// answerStream reads the body of an answer while it is sent to the caller.
type answerStream struct {
	p      *proxiedRequest
	answer *Answer
	noBody bool
	read   int64
	atEnd  bool
}

func (s *answerStream) Read(b []byte) (int, error) {
	n, err := s.answer.Body.Read(b)
	s.read += int64(n)
	if CleanEnd(err) {
		s.atEnd = true
		return n, io.EOF
	}
	return n, err
}

// Close ends the request.
func (s *answerStream) Close() error {
	s.p.stopBody()
	err := s.answer.Body.Close()
	s.p.result.Broken = !s.noBody && !s.complete()
	s.p.end()
	return err
}

// complete reports whether the whole answer was read. fasthttp does not read past
// a known length, so it may not have seen the end.
func (s *answerStream) complete() bool {
	return s.atEnd || s.read == s.answer.ContentLength
}

// callerBody reads a request's body from the caller's connection. After stop has
// returned, no read is in progress, so that the connection can be used for the
// next request.
type callerBody struct {
	r       *wireBody
	conn    *callerConn
	mu      sync.Mutex // held while reading
	stopped bool

	interruptMu sync.Mutex // guards ended
	ended       bool
}

func (b *callerBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		return 0, errors.New("request body: the request has ended")
	}
	n, err := b.r.Read(p)
	switch {
	case err == nil:
	case CleanEnd(err):
		b.conn.account.SetState(b.conn.server.cfg.Clock.Now(), keelbudget.Running)
	case b.conn.evicted.Load():
		err = keelbudget.ErrNoRoom
	case b.conn.stalled.Load():
		err = ErrStalled
	case !errors.Is(err, errBodyTooLarge):
		err = redactError(err)
	}
	return n, err
}

// Interrupt makes pending and later reads fail. It does nothing after the request
// has ended, when the connection may carry the next one, and after its caller has
// closed the connection: reads then return its end, which tells that the body is cut.
func (b *callerBody) Interrupt() {
	b.interruptMu.Lock()
	defer b.interruptMu.Unlock()
	if !b.ended && !b.conn.ended.Load() {
		_ = b.conn.SetReadDeadline(pastDeadline) // unblocks a pending read
	}
}

// stop interrupts a pending read, makes later ones fail and waits until none is
// in progress.
func (b *callerBody) stop() {
	if !b.r.atEnd.Load() {
		b.Interrupt()
	}
	b.interruptMu.Lock()
	b.ended = true
	b.interruptMu.Unlock()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
}
