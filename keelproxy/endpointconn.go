package keelproxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"
)

// endpointConn is one connection to an endpoint.
type endpointConn struct {
	client *EndpointClient
	id     uint64
	target Target
	nc     net.Conn
	r      *bufio.Reader
	w      *bufio.Writer
	// sent counts the bytes that the operating system took for the current
	// request.
	sent      atomic.Int64
	idleSince time.Time
	closeOnce sync.Once
}

func newEndpointConn(c *EndpointClient, id uint64, t Target, nc net.Conn) *endpointConn {
	conn := &endpointConn{client: c, id: id, target: t, nc: nc}
	conn.r = bufio.NewReaderSize(progressReader{conn}, c.cfg.MaxHeaderBytes)
	conn.w = bufio.NewWriter(progressWriter{conn})
	return conn
}

type progressReader struct{ conn *endpointConn }

func (p progressReader) Read(b []byte) (int, error) {
	obs := p.conn.client.cfg.Observer
	obs.Waiting(p.conn.id, time.Now())
	n, err := p.conn.nc.Read(b)
	if n > 0 {
		obs.Progress(p.conn.id, time.Now())
	}
	obs.Idle(p.conn.id, time.Now())
	return n, err
}

type progressWriter struct{ conn *endpointConn }

func (p progressWriter) Write(b []byte) (int, error) {
	obs := p.conn.client.cfg.Observer
	obs.Waiting(p.conn.id, time.Now())
	n, err := p.conn.nc.Write(b)
	if n > 0 {
		p.conn.sent.Add(int64(n))
		obs.Progress(p.conn.id, time.Now())
	}
	obs.Idle(p.conn.id, time.Now())
	return n, err
}

func (conn *endpointConn) close() {
	conn.closeOnce.Do(func() {
		_ = conn.nc.Close() // nothing can be done about a failed close
		conn.client.closed(conn)
	})
}

// usable reports whether the connection can carry another request: it is
// neither too old, nor closed by the endpoint, nor has it unread bytes, which
// would be taken for the next answer.
func (conn *endpointConn) usable(maxIdle time.Duration) bool {
	if time.Since(conn.idleSince) > maxIdle || conn.r.Buffered() > 0 {
		return false
	}
	return quiet(conn.nc)
}

// quiet reports whether c is open and has nothing to read.
func quiet(c net.Conn) bool {
	n, err := peek(c)
	return n < 0 && errors.Is(err, syscall.EAGAIN)
}

// peek looks at the next byte of c without taking it or waiting for it. It
// returns 0 if the other side has closed.
func peek(c net.Conn) (int, error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0, errors.Errorf("%T gives no access to its socket", c)
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, errors.Wrap(err, "socket of connection")
	}
	var (
		n       int
		recvErr error
		b       [1]byte
	)
	err = raw.Control(func(fd uintptr) {
		n, _, recvErr = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if err != nil {
		return 0, errors.Wrap(err, "access socket")
	}
	return n, recvErr
}

// exchange sends r and reads the header of its answer.
func (conn *endpointConn) exchange(ctx context.Context, r *Request) (*Answer, error) {
	conn.sent.Store(0)
	if err := conn.nc.SetDeadline(r.Deadline); err != nil {
		return nil, errors.Wrap(err, "set deadline")
	}
	stop := context.AfterFunc(ctx, func() {
		conn.close()
		Interrupt(r.Body)
	})
	resp := fasthttp.AcquireResponse()
	resp.StreamBody = true
	resp.SkipBody = r.Method == fasthttp.MethodHead
	sendErr := conn.send(r)
	// An endpoint may answer and close before it has read the whole request,
	// so its answer is looked for even when sending failed.
	err := resp.ReadLimitBody(conn.r, 0)
	if err == nil {
		err = checkAnswer(r, resp)
	}
	if err != nil {
		stop()
		fasthttp.ReleaseResponse(resp)
		if sendErr != nil {
			return nil, errors.Wrap(sendErr, "send request")
		}
		return nil, errors.Wrap(err, "read answer")
	}
	body := &answerBody{conn: conn, resp: resp, stop: stop}
	body.reusable = sendErr == nil && reusable(r, resp)
	body.r = bodyReader(resp)
	body.atEnd = resp.BodyStream() == nil
	return answerOf(resp, body), nil
}

func (conn *endpointConn) send(r *Request) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	fillRequest(req, r)
	if err := req.Write(conn.w); err != nil {
		return err
	}
	return conn.w.Flush()
}

// checkAnswer refuses an answer that belongs to another request, and one whose
// end can't be told from a break.
func checkAnswer(r *Request, resp *fasthttp.Response) error {
	if id := resp.Header.Peek(HeaderRequestID); len(id) > 0 && string(id) != r.ID {
		return errors.Errorf("the answer is to request %q, not to %q", id, r.ID)
	}
	if !resp.SkipBody && resp.Header.ContentLength() == identityLength && hasBodyStatus(resp.StatusCode()) {
		return errors.New("the answer has neither a length nor chunks")
	}
	return nil
}

// identityLength is what the library gives for a body that ends with the
// connection.
const identityLength = -2

func hasBodyStatus(status int) bool {
	return status >= fasthttp.StatusOK && status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified
}

// reusable reports whether the connection may carry another request after this
// answer. An answer that does not repeat the request id could be followed by
// a second one, which a later request would take for its own.
func reusable(r *Request, resp *fasthttp.Response) bool {
	return !resp.ConnectionClose() && string(resp.Header.Peek(HeaderRequestID)) == r.ID
}

func bodyReader(resp *fasthttp.Response) io.Reader {
	if s := resp.BodyStream(); s != nil {
		return s
	}
	return eofReader{}
}

type eofReader struct{}

func (eofReader) Read([]byte) (int, error) { return 0, io.EOF }

// answerFields are those fields of an answer that are for the system itself.
var answerFields = []string{HeaderRequestID}

func answerOf(resp *fasthttp.Response, body io.ReadCloser) *Answer {
	f := newHeaderFilter(string(resp.Header.Peek("Connection")), answerFields)
	for name, value := range resp.Header.All() {
		f.add(name, value)
	}
	length := int64(resp.Header.ContentLength())
	if length < 0 {
		length = LengthUnknown
	}
	return &Answer{
		Status:        resp.StatusCode(),
		Header:        f.fields,
		ContentLength: length,
		Body:          body,
	}
}

// answerBody reads the body of an answer and gives the connection back when it
// is closed.
type answerBody struct {
	conn     *endpointConn
	resp     *fasthttp.Response
	r        io.Reader
	stop     func() bool
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
	return n, err
}

// Close gives the connection back if the answer was read to its end, and else
// closes it.
func (b *answerBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	alive := b.stop()
	fasthttp.ReleaseResponse(b.resp)
	conn := b.conn
	keep := alive && b.reusable && b.atEnd && conn.r.Buffered() == 0
	if !keep {
		conn.close()
		return nil
	}
	conn.idleSince = time.Now()
	if !conn.client.pushIdle(conn) {
		conn.close()
	}
	return nil
}
