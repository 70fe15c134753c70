package keelproxy

import (
	"context"
	"io"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
)

// chunkBytes is the size of the chunks in which bodies are sent between
// instances.
const chunkBytes = 32 << 10

// maxChunkBytes limits a chunk that another instance sends.
const maxChunkBytes = 1 << 20

// chunk is a part of a body. A body that ends without a chunk marked as the last
// one is truncated.
type chunk struct {
	Data []byte `cbor:"1,keyasint,omitempty"`
	Last bool   `cbor:"2,keyasint,omitempty"`
	// Stalled means that the body ends early because the caller sent nothing for
	// too long.
	Stalled bool `cbor:"3,keyasint,omitempty"`
}

// Check reports a chunk that is too large.
func (c *chunk) Check() keel.Faults {
	var fs keel.Faults
	if len(c.Data) > maxChunkBytes {
		fs.Add("data", "has %d bytes, the limit is %d", len(c.Data), maxChunkBytes)
	}
	return fs
}

// answerHead is the first message of the answer to a forwarded request.
type answerHead struct {
	Refusal       *keel.Refusal   `cbor:"1,keyasint,omitempty"`
	Status        int             `cbor:"2,keyasint,omitempty"`
	Header        []Field         `cbor:"3,keyasint,omitempty"`
	ContentLength int64           `cbor:"4,keyasint"`
	Domain        keel.DomainName `cbor:"5,keyasint,omitempty"`
	// NoBody means that no chunks follow.
	NoBody bool `cbor:"6,keyasint,omitempty"`
}

// Check reports the faults of the refusal, or those of the answer if there is none.
func (h *answerHead) Check() keel.Faults {
	var fs keel.Faults
	if h.Refusal != nil {
		fs.Under("refusal", h.Refusal.Check())
		return fs
	}
	return (&Answer{Status: h.Status, Header: h.Header}).Check()
}

// Forwarder sends requests to other instances.
type Forwarder struct {
	// Transport carries the streams.
	Transport keel.Transport
	// Log gets the errors of the transport, whose texts contain addresses that
	// callers are not told. Nil means that they are not logged.
	Log *logrus.Entry
}

// Forward sends r to the instance at to and returns its answer. The error is a
// [keel.Refusal]; if the stream fails after the request was sent, its verdict
// is [keel.MayHaveRun].
func (f *Forwarder) Forward(ctx context.Context, to netip.AddrPort, r *Request) (*Answer, error) {
	e, err := forwardEnvelope(r)
	if err != nil {
		return nil, keel.Refuse(keel.NotRun, keel.ReasonBadRequest, 0, "%v", err)
	}
	s, err := f.Transport.Open(ctx, to, e)
	if err != nil {
		f.logFailure(to, r, err)
		return nil, keel.Refuse(keel.NotRun, keel.ReasonPeerFailed, 0, "no stream to another instance could be opened")
	}
	x := &exchange{stream: s, r: keel.NewCBORReader(s)}
	body := r.Body // r may change once Forward has returned
	x.stop = context.AfterFunc(ctx, func() {
		s.Cancel()
		Interrupt(body)
	})
	if r.HasBody() {
		x.sender = &bodySender{stream: s, body: body}
		x.group.Go(x.sender.run)
	} else {
		// This fails if the other instance has already answered; its answer is
		// still read.
		_ = s.CloseWrite()
	}
	answer, err := x.answer()
	if err == nil {
		return answer, nil
	}
	var refusal *keel.Refusal
	if errors.As(err, &refusal) {
		return nil, refusal
	}
	f.logFailure(to, r, err)
	return nil, keel.Refuse(keel.MayHaveRun, streamReason(ctx), 0, "the answer of another instance could not be read")
}

// logFailure logs a failure of the transport while r was forwarded.
func (f *Forwarder) logFailure(to netip.AddrPort, r *Request, err error) {
	if f.Log != nil {
		f.Log.WithError(err).WithFields(logrus.Fields{"request_id": r.ID, "peer": to.String()}).Info("forwarding failed")
	}
}

func forwardEnvelope(r *Request) (keel.Envelope, error) {
	out := *r
	out.Hops++
	out.Timeout = time.Until(r.Deadline)
	if out.Timeout <= 0 {
		return keel.Envelope{}, errors.Errorf("the deadline of request %q has passed", r.ID)
	}
	if out.Hops > maxHops {
		return keel.Envelope{}, errors.Errorf("request %q passed %d instances, the limit is %d", r.ID, out.Hops, maxHops)
	}
	body, err := keel.EncodeCBOR(&out)
	return keel.Envelope{Kind: keel.KindForward, Body: body}, err
}

// exchange is one forwarded request at the instance that sends it.
type exchange struct {
	stream keel.Stream
	r      *keel.CBORReader
	group  conc.WaitGroup
	sender *bodySender
	stop   func() bool
	once   sync.Once
}

// abort cancels the stream and stops watching the context. When it has returned, the
// request's body is marked as read or will not be read.
func (x *exchange) abort() {
	x.once.Do(func() {
		x.stop()
		x.stream.Cancel()
	})
	if x.sender != nil {
		x.sender.stop()
	}
}

// answer reads the beginning of the answer. The error is the [keel.Refusal] of the
// other instance, or that of the stream.
func (x *exchange) answer() (*Answer, error) {
	var head answerHead
	if err := x.r.Read(&head); err != nil {
		x.abort()
		return nil, errors.Wrap(err, "read answer")
	}
	if head.Refusal != nil {
		x.abort()
		return nil, head.Refusal
	}
	a := &Answer{Status: head.Status, Header: head.Header, ContentLength: head.ContentLength, Domain: head.Domain}
	a.Body = &forwardedBody{x: x, chunks: chunkReader{r: x.r, atEnd: head.NoBody}}
	return a, nil
}

// streamReason returns the refusal reason for a stream that failed.
func streamReason(ctx context.Context) keel.Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return keel.ReasonDeadline
	case ctx.Err() != nil:
		return keel.ReasonCallerGone
	default:
		return keel.ReasonPeerFailed
	}
}

// bodySender sends the body of a request while the answer is read concurrently.
type bodySender struct {
	stream keel.Stream
	body   io.Reader

	mu      sync.Mutex
	stopped bool
}

// begin marks the body as read, unless the sender has been stopped.
func (b *bodySender) begin() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		return false
	}
	MarkRead(b.body)
	return true
}

// stop prevents the sender from reading the body if it has not begun.
func (b *bodySender) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
}

func (b *bodySender) run() {
	if !b.begin() {
		return
	}
	err := sendBody(b.stream, b.body)
	if errors.Is(err, ErrStalled) {
		// The other instance determines the verdict, since only it can tell
		// whether a byte was sent to an endpoint.
		err = keel.NewCBORWriter(b.stream).Write(&chunk{Stalled: true})
	}
	// An instance that refuses stops reading the body, so sending fails while
	// its refusal is in transit. Only a failure to read the body cancels the
	// stream.
	var bodyErr *readError
	if errors.As(err, &bodyErr) {
		b.stream.Cancel()
	}
}

// readError is a failure to read a body, as opposed to a failure to send it.
type readError struct{ err error }

// Error implements error.
func (e *readError) Error() string { return "read body: " + e.err.Error() }

// Unwrap returns the cause.
func (e *readError) Unwrap() error { return e.err }

// sendBody sends body in chunks, the last of which is marked, and closes the
// sending direction. If reading body fails, no last chunk is sent.
func sendBody(s keel.Stream, body io.Reader) error {
	w := keel.NewCBORWriter(s)
	if err := copyChunks(w, body); err != nil {
		return err
	}
	if err := w.Write(&chunk{Last: true}); err != nil {
		return err
	}
	return s.CloseWrite()
}

func copyChunks(w *keel.CBORWriter, body io.Reader) error {
	buf := make([]byte, chunkBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if err := w.Write(&chunk{Data: buf[:n]}); err != nil {
				return err
			}
		}
		if CleanEnd(err) {
			return nil
		}
		if err != nil {
			return &readError{err}
		}
	}
}

// chunkReader reads a body that arrives in chunks.
type chunkReader struct {
	r        *keel.CBORReader
	buffered []byte
	atEnd    bool
}

func (c *chunkReader) Read(p []byte) (int, error) {
	for len(c.buffered) == 0 {
		if c.atEnd {
			return 0, io.EOF
		}
		var next chunk
		if err := c.r.Read(&next); err != nil {
			return 0, errors.Wrapf(io.ErrUnexpectedEOF, "next part of body: %v", redactError(err))
		}
		if next.Stalled {
			return 0, ErrStalled
		}
		c.buffered, c.atEnd = next.Data, next.Last
	}
	n := copy(p, c.buffered)
	c.buffered = c.buffered[n:]
	return n, nil
}

// forwardedBody reads the body of an answer from another instance.
type forwardedBody struct {
	x      *exchange
	chunks chunkReader
}

func (b *forwardedBody) Read(p []byte) (int, error) { return b.chunks.Read(p) }

// Close cancels the stream. The request's body may still be read until its
// owner interrupts it.
func (b *forwardedBody) Close() error {
	b.x.abort()
	return nil
}
