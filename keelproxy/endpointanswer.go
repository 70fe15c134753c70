package keelproxy

import (
	"io"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

// typicalHeaderBytes is the size that is reserved for the names and values of an
// answer's header fields.
const typicalHeaderBytes = 256

// endpointAnswer holds an answer, its body and its fields in one allocation.
type endpointAnswer struct {
	answer Answer
	body   answerBody
	fields [typicalFields]Field
}

// newAnswer returns the answer whose header is in resp.
func (conn *endpointConn) newAnswer(r *Request, resp *fasthttp.Response, binding contextBinding) *Answer {
	a := &endpointAnswer{body: answerBody{conn: conn, resp: resp, binding: binding}}
	a.body.reusable = conn.requestSent && conn.client.reusable(r, resp)
	a.body.r = conn.bodyReader(resp)
	a.body.atEnd = resp.BodyStream() == nil && !closeDelimited(resp) && !chunked(resp)
	var texts arena
	texts.grow(typicalHeaderBytes)
	f := newHeaderFilter(string(resp.Header.Peek("Connection")), conn.client.internalFields, &texts, a.fields[:0])
	for name, value := range resp.Header.All() {
		f.add(name, value)
	}
	length := int64(resp.Header.ContentLength())
	if length < 0 {
		length = LengthUnknown
	}
	a.answer = Answer{Status: resp.StatusCode(), Header: f.fields, ContentLength: length, Body: &a.body, Notice: conn.client.cfg.Dialect.notice(resp)}
	return &a.answer
}

// bodyReader returns the body of the answer whose header is in resp. A
// close-delimited body is read from the connection directly.
func (conn *endpointConn) bodyReader(resp *fasthttp.Response) io.Reader {
	switch s := resp.BodyStream(); {
	case closeDelimited(resp) && conn.writeFailed:
		return cutReader{conn.r}
	case closeDelimited(resp):
		return conn.r
	case chunked(resp):
		return newChunkedBody(conn.r)
	case s != nil:
		return s
	}
	return eofReader{}
}

// cutReader reads a close-delimited body from a connection that failed while the request
// was written. The kernel reports a reset once, to that write, so that the end of the
// connection doesn't show whether the endpoint sent the whole body.
type cutReader struct{ r io.Reader }

func (c cutReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

type eofReader struct{}

func (eofReader) Read([]byte) (int, error) { return 0, io.EOF }

// answerBody reads the body of an answer. Close returns the connection to the
// client.
type answerBody struct {
	conn     *endpointConn
	resp     *fasthttp.Response
	r        io.Reader
	binding  contextBinding
	reusable bool
	atEnd    bool
	closed   bool
}

func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if CleanEnd(err) {
		b.atEnd = true
		return n, io.EOF
	}
	return n, redactError(err)
}

const (
	// discardTimeout is how long the rest of a discarded body is awaited. A short
	// body normally arrives with its header.
	discardTimeout = 20 * time.Millisecond
	// maxDiscardBytes limits the rest of a discarded body that is read.
	maxDiscardBytes = 64 << 10
)

// Discard closes the body. It first reads a short rest, so that the connection can
// be reused, but does not wait for one that the endpoint may never send.
func (b *answerBody) Discard() {
	b.readRest()
	_ = b.Close() // never fails
}

// readRest reads a short rest of the body, which is dropped.
func (b *answerBody) readRest() {
	deadline := time.Now().Add(discardTimeout)
	if !b.atEnd && b.conn.nc.SetReadDeadline(deadline) == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(b, maxDiscardBytes)) // without the end, the connection is closed
	}
}

// Followed reports whether the endpoint has sent further bytes after the answer. A short rest
// of the body is read and dropped first.
func (b *answerBody) Followed() bool {
	b.readRest()
	if !b.atEnd {
		return false
	}
	if b.conn.r.Buffered() > 0 {
		return true
	}
	n, err := b.conn.peeker.peek()
	return n > 0 && err == nil
}

// Close returns the connection to the idle ones if it may be reused and the
// answer was read to its end. Otherwise it closes the connection.
func (b *answerBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	active := b.binding.release()
	fasthttp.ReleaseResponse(b.resp)
	conn := b.conn
	reuse := active && b.reusable && b.atEnd && conn.r.Buffered() == 0
	conn.client.releaseBuffers(conn)
	if !reuse {
		conn.close()
		return nil
	}
	conn.idleSince = time.Now()
	if !conn.client.pushIdle(conn) {
		conn.close()
	}
	return nil
}
