package keelproxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

// endpointConn is one connection to an endpoint.
type endpointConn struct {
	client *EndpointClient
	id     uint64
	target Target
	nc     net.Conn
	peeker *peeker
	// r and w are set only during a request, so that idle connections hold no
	// buffers.
	r *bufio.Reader
	w *bufio.Writer
	// netReader and netWriter are what r and w read from and write to.
	netReader countingReader
	netWriter countingWriter
	// sent counts the bytes of the current request that were written to the
	// socket.
	sent atomic.Int64
	// requestSent is set when the current request was sent completely, and writeFailed
	// when writing it to the socket failed.
	requestSent, writeFailed bool
	// reused is set while the connection carries another request than its first.
	reused bool
	// carried are the ids of the requests that the connection carried last.
	carried recentIDs
	// steps counts the starts and ends of reads and writes.
	steps     atomic.Uint64
	idleSince time.Time
	closeOnce sync.Once
	// abortHook aborts the current request, whose body is body. reqBody reads
	// body for the endpoint.
	abortHook hook
	body      io.Reader
	reqBody   requestBody
}

func newEndpointConn(c *EndpointClient, id uint64, t Target, nc net.Conn) *endpointConn {
	conn := &endpointConn{client: c, id: id, target: t, nc: nc, peeker: newPeeker(nc)}
	conn.netReader.conn, conn.netWriter.conn = conn, conn
	conn.abortHook.f = conn.abort
	return conn
}

// countingReader reads from the connection and counts steps.
type countingReader struct{ conn *endpointConn }

func (s *countingReader) Read(b []byte) (int, error) {
	s.conn.steps.Add(1)
	n, err := s.conn.nc.Read(b)
	s.conn.steps.Add(1)
	s.conn.client.cfg.Traffic.addReceived(n)
	return n, err
}

// countingWriter writes to the connection and counts steps and sent bytes.
type countingWriter struct{ conn *endpointConn }

func (s *countingWriter) Write(b []byte) (int, error) {
	s.conn.steps.Add(1)
	n, err := s.conn.nc.Write(b)
	s.conn.steps.Add(1)
	s.conn.sent.Add(int64(n))
	if err != nil {
		s.conn.writeFailed = true
	}
	s.conn.client.cfg.Traffic.addSent(n)
	return n, err
}

// abort closes the connection and unblocks a read of the request's body.
func (conn *endpointConn) abort() {
	conn.close()
	Interrupt(conn.body)
}

func (conn *endpointConn) close() {
	conn.closeOnce.Do(func() {
		_ = conn.nc.Close() // there is no recovery from a failed close
		conn.client.removeConn(conn)
	})
}

// usable reports whether the connection can carry another request: it has not
// been idle for too long, the endpoint has not closed it, and it has no unread
// bytes, which would be parsed as the next answer.
func (conn *endpointConn) usable(now time.Time, maxIdle time.Duration) bool {
	return now.Sub(conn.idleSince) <= maxIdle && conn.peeker.idle()
}

// exchange sends r and reads the header of its answer. After an error the caller
// must close the connection.
func (conn *endpointConn) exchange(ctx context.Context, r *Request) (*Answer, error) {
	conn.sent.Store(0)
	conn.writeFailed = false
	if err := conn.nc.SetDeadline(r.Deadline); err != nil {
		return nil, errors.Wrap(err, "set deadline")
	}
	conn.reused = !conn.carried.empty()
	conn.carried.add(r.ID)
	conn.client.acquireBuffers(conn)
	binding := conn.bind(ctx, r.Body)
	resp := fasthttp.AcquireResponse()
	resp.StreamBody = true
	resp.SkipBody = r.Method == fasthttp.MethodHead
	if err := conn.roundTrip(r, resp); err != nil {
		binding.release()
		fasthttp.ReleaseResponse(resp)
		conn.client.releaseBuffers(conn)
		return nil, err
	}
	return conn.newAnswer(r, resp, binding), nil
}

// bind aborts the request when ctx ends. The connection's deadline covers its own
// reads and writes, but not a read of the request's body from the caller.
func (conn *endpointConn) bind(ctx context.Context, body io.Reader) contextBinding {
	conn.body = body
	if c, ok := ctx.(*requestContext); ok {
		c.add(&conn.abortHook, body != nil)
		return contextBinding{ctx: c, hook: &conn.abortHook}
	}
	return contextBinding{stopFunc: context.AfterFunc(ctx, conn.abortHook.f)}
}

// contextBinding is the registration of abortHook with the context of a request.
type contextBinding struct {
	ctx      *requestContext
	hook     *hook
	stopFunc func() bool
}

// release removes the registration and reports whether the request was not
// aborted.
func (b contextBinding) release() bool {
	if b.ctx != nil {
		return b.ctx.remove(b.hook)
	}
	return b.stopFunc()
}

// roundTrip sends r and reads the header of its answer into resp.
func (conn *endpointConn) roundTrip(r *Request, resp *fasthttp.Response) error {
	sendErr := conn.send(r)
	// The rest of the body won't come, and an endpoint that has not answered yet
	// may wait for it until the deadline.
	if conn.reqBody.err != nil && conn.peeker.idle() {
		return errors.Wrap(sendErr, "send request")
	}
	// An endpoint may answer and close before it has read the whole request, so
	// the answer is read even if sending failed.
	err := conn.readAnswer(r, resp)
	conn.requestSent = sendErr == nil
	switch {
	case err == nil:
		return nil
	case sendErr != nil:
		return errors.Wrap(sendErr, "send request")
	default:
		return errors.Wrap(err, "read answer")
	}
}

// send writes r. A failure to read its body is returned as a [bodyError].
func (conn *endpointConn) send(r *Request) error {
	req := &fasthttp.Request{}
	if len(r.Header) <= maxPooledLines { // a pooled request keeps the memory of all its fields
		req = fasthttp.AcquireRequest()
		defer fasthttp.ReleaseRequest(req)
	}
	conn.reqBody = requestBody{r: r.Body}
	body := &conn.reqBody
	conn.client.fillRequest(req, r, conn.target, body, time.Now())
	err := req.Write(conn.w)
	if err == nil {
		err = conn.w.Flush()
	}
	if body.err != nil {
		return &bodyError{body.err}
	}
	return redactError(err)
}

// hasBodyStatus reports whether answers with this status may have a body.
func hasBodyStatus(status int) bool {
	return status >= fasthttp.StatusOK && status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified
}

// reusable reports whether the connection may carry another request after this
// answer. Without the request id in answers, a second answer of the endpoint could
// not be told from the answer to the next request.
func (c *EndpointClient) reusable(r *Request, resp *fasthttp.Response) bool {
	return !resp.ConnectionClose() && !closeDelimited(resp) && string(resp.Header.Peek(c.cfg.Dialect.RequestID)) == r.ID
}
