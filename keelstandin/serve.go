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
	controlPrefix = "/stand-in/"
	behaviourPath = controlPrefix + "behaviour"
	countsPath    = controlPrefix + "counts"
	leaveSelfPath = controlPrefix + "leave"
	crashPath     = controlPrefix + "crash"
)

const (
	copyBytes          = 32 << 10
	maxAnswerBytes     = 4 << 30
	maxMemoryBodyBytes = 64 << 10
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
	case path == countsPath && method == fasthttp.MethodGet:
		writeJSON(ctx, e.Runs())
	case path == behaviourPath && method == fasthttp.MethodGet:
		writeJSON(ctx, e.behaviour.Load())
	case path == behaviourPath && method == fasthttp.MethodPost:
		e.postBehaviour(ctx)
	case path == leaveSelfPath && method == fasthttp.MethodPost:
		e.Leave()
	case path == crashPath && method == fasthttp.MethodPost:
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

// bodyStream returns the request's body, wherever the library has put it.
func bodyStream(ctx *fasthttp.RequestCtx) io.Reader {
	if r := ctx.RequestBodyStream(); r != nil {
		return r
	}
	return strings.NewReader(string(ctx.Request.Body()))
}

// answer is what a request asks for.
type answer struct {
	id       string
	token    string
	checksum string
	length   int64
	chunked  bool
	delay    time.Duration
}

func (e *Endpoint) handle(ctx *fasthttp.RequestCtx) {
	if strings.HasPrefix(string(ctx.Path()), controlPrefix) {
		e.handleControl(ctx)
		return
	}
	e.serve(ctx)
	ctx.Response.Header.SetBytesV(HeaderRequestID, ctx.Request.Header.Peek(HeaderRequestID))
}

// serve runs a request and answers it as the behaviour says.
func (e *Endpoint) serve(ctx *fasthttp.RequestCtx) {
	b := e.behaviour.Load()
	if b.Shed {
		e.counter.change(func(n *Counts) { n.Shed++ })
		ctx.Error("shedding load", fasthttp.StatusServiceUnavailable)
		ctx.Response.Header.SetBytesV(HeaderToken, ctx.Request.Header.Peek(HeaderToken))
		return
	}
	e.counter.enter(string(ctx.Request.Header.Peek(HeaderToken)))
	leave := sync.OnceFunc(e.counter.leave)
	a, err := e.run(ctx)
	if err != nil {
		leave()
		ctx.SetConnectionClose()
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if b.CrashMark != "" && strings.Contains(string(ctx.RequestURI()), b.CrashMark) {
		leave()
		e.Crash()
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
		return
	}
	e.wait(a.delay + b.Late.Std())
	if b.raw() {
		e.answerRaw(ctx, b, a, leave)
		return
	}
	e.answer(ctx, a, leave)
}

// run reads the request. It counts as run once its body has arrived whole.
func (e *Endpoint) run(ctx *fasthttp.RequestCtx) (answer, error) {
	a := answer{id: string(ctx.Request.Header.Peek(HeaderRequestID)), token: string(ctx.Request.Header.Peek(HeaderToken))}
	if err := a.parseQuery(ctx.QueryArgs()); err != nil {
		return answer{}, err
	}
	sum := xxh3.New()
	if _, err := io.CopyBuffer(sum, bodyStream(ctx), make([]byte, copyBytes)); err != nil {
		e.counter.change(func(n *Counts) { n.Broken++ })
		return answer{}, errors.Wrap(err, "read the request's body")
	}
	a.checksum = formatChecksum(sum.Sum128())
	e.counter.ran(string(ctx.Request.Header.Peek(HeaderKey)), a.token)
	return a, nil
}

func (a *answer) parseQuery(args *fasthttp.Args) error {
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

func (e *Endpoint) wait(d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-e.cfg.Clock.After(d):
	case <-e.stopped:
	}
}

func (e *Endpoint) answer(ctx *fasthttp.RequestCtx, a answer, leave func()) {
	ctx.Response.Header.Set(HeaderToken, a.token)
	ctx.Response.Header.Set(HeaderChecksum, a.checksum)
	ctx.Response.Header.Set(HeaderEndpoint, e.ID().String())
	ctx.SetContentType("application/octet-stream")
	size := int(a.length)
	if a.chunked {
		size = -1
	}
	ctx.SetBodyStream(&closingReader{Reader: NewBody(a.token, a.length), close: leave}, size)
}

// closingReader calls a function when the answer is written or given up.
type closingReader struct {
	io.Reader
	close func()
}

// Close implements [io.Closer].
func (r *closingReader) Close() error {
	r.close()
	return nil
}
