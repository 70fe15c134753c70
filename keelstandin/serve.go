package keelstandin

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/valyala/fasthttp"
	"github.com/zeebo/xxh3"
)

// Paths of the control interface.
const (
	controlPrefix        = "/stand-in/"
	controlBehaviourPath = controlPrefix + "behaviour"
	controlCountsPath    = controlPrefix + "counts"
	controlLeavePath     = controlPrefix + "leave"
	controlCrashPath     = controlPrefix + "crash"
)

const (
	copyBytes          = 32 << 10
	maxAnswerBytes     = 4 << 30
	maxMemoryBodyBytes = 64 << 10 // larger request bodies are streamed
)

func (e *Endpoint) newServer() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               e.handle,
		NoDefaultServerHeader: true,
		StreamRequestBody:     true,
		MaxRequestBodySize:    maxMemoryBodyBytes,
		CloseOnShutdown:       true,
		Logger:                e.cfg.Log,
	}
}

// handleControl serves the control interface.
func (e *Endpoint) handleControl(ctx *fasthttp.RequestCtx) {
	method := string(ctx.Method())
	switch path := string(ctx.Path()); {
	case path == controlCountsPath && method == fasthttp.MethodGet:
		writeJSON(ctx, e.Counts())
	case path == controlBehaviourPath && method == fasthttp.MethodGet:
		writeJSON(ctx, e.behaviour.Load())
	case path == controlBehaviourPath && method == fasthttp.MethodPost:
		e.postBehaviour(ctx)
	case path == controlLeavePath && method == fasthttp.MethodPost:
		e.Leave()
	case path == controlCrashPath && method == fasthttp.MethodPost:
		e.Crash()
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

func (e *Endpoint) postBehaviour(ctx *fasthttp.RequestCtx) {
	body, err := io.ReadAll(bodyStream(ctx))
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	var b Behaviour
	if err := keel.DecodeJSON(body, &b); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	e.SetBehaviour(b)
	writeJSON(ctx, &b)
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	ctx.SetContentType("application/json")
	_ = json.NewEncoder(ctx).Encode(v)
}

// bodyStream returns the request's body, which the HTTP library has either
// buffered or left on the connection.
func bodyStream(ctx *fasthttp.RequestCtx) io.Reader {
	if r := ctx.RequestBodyStream(); r != nil {
		return r
	}
	return strings.NewReader(string(ctx.Request.Body()))
}

// answerSpec describes the answer that a request asks for.
type answerSpec struct {
	id       string
	token    string
	checksum string // of the request's body
	length   int64
	chunked  bool
	delay    time.Duration
}

// handle serves the control interface under /stand-in/ and answers all other
// requests.
func (e *Endpoint) handle(ctx *fasthttp.RequestCtx) {
	if strings.HasPrefix(string(ctx.Path()), controlPrefix) {
		e.handleControl(ctx)
		return
	}
	e.serveRequest(ctx)
	ctx.Response.Header.SetBytesV(HeaderRequestID, ctx.Request.Header.Peek(HeaderRequestID))
}

// serveRequest runs a request and answers it with the faults of the behaviour.
func (e *Endpoint) serveRequest(ctx *fasthttp.RequestCtx) {
	b := e.behaviour.Load()
	if b.Shed {
		e.counter.update(func(n *Counts) { n.Shed++ })
		ctx.Error("shedding load", fasthttp.StatusServiceUnavailable)
		ctx.Response.Header.SetBytesV(HeaderToken, ctx.Request.Header.Peek(HeaderToken))
		return
	}
	e.counter.requestStarted(string(ctx.Request.Header.Peek(HeaderToken)))
	done := sync.OnceFunc(e.counter.requestEnded)
	a, err := e.receiveRequest(ctx)
	if err != nil {
		done()
		ctx.SetConnectionClose()
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if b.CrashMark != "" && strings.Contains(string(ctx.RequestURI()), b.CrashMark) {
		done()
		e.Crash()
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
		return
	}
	e.sleep(a.delay + b.Late.Std())
	if b.needsRawConn() {
		e.hijackAndAnswer(ctx, b, a, done)
		return
	}
	e.writeAnswer(ctx, a, done)
}

// receiveRequest reads the request, which counts as run once its body has arrived
// completely.
func (e *Endpoint) receiveRequest(ctx *fasthttp.RequestCtx) (answerSpec, error) {
	a := answerSpec{id: string(ctx.Request.Header.Peek(HeaderRequestID)), token: string(ctx.Request.Header.Peek(HeaderToken))}
	if err := a.parseQuery(ctx.QueryArgs()); err != nil {
		return answerSpec{}, err
	}
	sum := xxh3.New()
	if _, err := io.CopyBuffer(sum, bodyStream(ctx), make([]byte, copyBytes)); err != nil {
		e.counter.update(func(n *Counts) { n.Broken++ })
		return answerSpec{}, errors.Wrap(err, "read request body")
	}
	a.checksum = formatChecksum(sum.Sum128())
	e.counter.requestRan(string(ctx.Request.Header.Peek(HeaderKey)), a.token)
	return a, nil
}

func (a *answerSpec) parseQuery(args *fasthttp.Args) error {
	if v := args.Peek("bytes"); len(v) > 0 {
		if _, err := fmt.Sscan(string(v), &a.length); err != nil || a.length < 0 || a.length > maxAnswerBytes {
			return errors.Errorf("bytes is %q, must be a number up to %d", v, int64(maxAnswerBytes))
		}
	}
	if v := args.Peek("delay"); len(v) > 0 {
		d, err := time.ParseDuration(string(v))
		if err != nil || d < 0 {
			return errors.Errorf("delay is %q, must be a duration", v)
		}
		a.delay = d
	}
	a.chunked = args.GetBool("chunked")
	return nil
}

func (e *Endpoint) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-e.cfg.Clock.After(d):
	case <-e.stopped:
	}
}

// writeAnswer sends the answer by the HTTP library. It calls done when the answer
// is written or abandoned.
func (e *Endpoint) writeAnswer(ctx *fasthttp.RequestCtx, a answerSpec, done func()) {
	ctx.Response.Header.Set(HeaderToken, a.token)
	ctx.Response.Header.Set(HeaderChecksum, a.checksum)
	ctx.Response.Header.Set(HeaderEndpoint, e.ID().String())
	ctx.SetContentType("application/octet-stream")
	size := int(a.length)
	if a.chunked {
		size = -1
	}
	ctx.SetBodyStream(&closingReader{Reader: NewBody(a.token, a.length), onClose: done}, size)
}

// closingReader calls a function when the HTTP library closes it, which is when
// the answer is written or abandoned.
type closingReader struct {
	io.Reader
	onClose func()
}

// Close implements [io.Closer].
func (r *closingReader) Close() error {
	r.onClose()
	return nil
}
