package keelproxy

import (
	"context"
	"io"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/sourcegraph/conc"
)

// chunkBytes is the size of the parts in which bodies travel between
// instances.
const chunkBytes = 32 << 10

// maxChunkBytes bounds a part that another instance sends.
const maxChunkBytes = 1 << 20

// chunk is a part of a body. A body without a chunk that is marked as the last
// one has broken off.
type chunk struct {
	Data []byte `cbor:"1,keyasint,omitempty"`
	Last bool   `cbor:"2,keyasint,omitempty"`
	// Stalled says that no more of the body comes, since the caller sent nothing
	// for too long.
	Stalled bool `cbor:"3,keyasint,omitempty"`
}

// Check reports a part that is too large.
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
	// NoBody says that no chunks follow.
	NoBody bool `cbor:"6,keyasint,omitempty"`
}

// Check reports a head that is neither an answer nor a refusal.
func (h *answerHead) Check() keel.Faults {
	var fs keel.Faults
	if h.Refusal != nil {
		fs.Under("refusal", h.Refusal.Check())
		return fs
	}
	if h.Status < 100 || h.Status > 999 {
		fs.Add("status", "is %d, must have three digits", h.Status)
	}
	return fs
}

// Forwarder sends requests to other instances.
type Forwarder struct {
	// Transport carries the streams.
	Transport keel.Transport
}

// Forward sends r to the instance at to and returns its answer. The error is a
// [keel.Refusal]; if the stream broke after the request was sent, its verdict
// is [keel.MayHaveRun].
func (f *Forwarder) Forward(ctx context.Context, to netip.AddrPort, r *Request) (*Answer, error) {
	e, err := forwardEnvelope(r)
	if err != nil {
		return nil, keel.Refuse(keel.NotRun, keel.ReasonBadRequest, 0, "%v", err)
	}
	s, err := f.Transport.Open(ctx, to, e)
	if err != nil {
		return nil, keel.Refuse(keel.NotRun, keel.ReasonPeerFailed, 0, "open stream to instance at %s: %v", to, err)
	}
	x := &exchange{stream: s, r: keel.NewCBORReader(s)}
	x.stop = context.AfterFunc(ctx, func() {
		s.Cancel()
		Interrupt(r.Body)
	})
	if r.HasBody() {
		x.sender = &bodySender{stream: s, body: r.Body}
		x.group.Go(x.sender.run)
	} else {
		// It fails if the other instance has answered already; the answer tells.
		_ = s.CloseWrite()
	}
	return x.answer(ctx, to)
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

// exchange is one forwarded request on the sending side.
type exchange struct {
	stream keel.Stream
	r      *keel.CBORReader
	group  conc.WaitGroup
	sender *bodySender
	stop   func() bool
	once   sync.Once
}

func (x *exchange) abort() {
	x.once.Do(func() {
		x.stop()
		x.stream.Cancel()
	})
}

func (x *exchange) answer(ctx context.Context, to netip.AddrPort) (*Answer, error) {
	var head answerHead
	err := x.r.Read(&head)
	if err != nil {
		x.abort()
		return nil, keel.Refuse(keel.MayHaveRun, brokenReason(ctx), 0, "read answer of instance at %s: %v", to, err)
	}
	if head.Refusal != nil {
		x.abort()
		return nil, head.Refusal
	}
	a := &Answer{Status: head.Status, Header: head.Header, ContentLength: head.ContentLength, Domain: head.Domain}
	a.Body = &forwardedBody{x: x, chunks: chunkReader{r: x.r, atEnd: head.NoBody}}
	return a, nil
}

func brokenReason(ctx context.Context) keel.Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return keel.ReasonDeadline
	case ctx.Err() != nil:
		return keel.ReasonCallerGone
	default:
		return keel.ReasonPeerFailed
	}
}

// bodySender sends the body of a request while its answer may arrive already.
type bodySender struct {
	stream keel.Stream
	body   io.Reader
}

func (b *bodySender) run() {
	err := sendBody(b.stream, b.body)
	if errors.Is(err, ErrStalled) {
		// The other instance knows whether a byte left for an endpoint.
		err = keel.NewCBORWriter(b.stream).Write(&chunk{Stalled: true})
	}
	// An instance that refuses stops reading the body, so that sending fails
	// while its refusal is on the way. Only a body that broke ends the stream.
	var broke *readError
	if errors.As(err, &broke) {
		b.stream.Cancel()
	}
}

// readError is a failure to read a body that is to be sent, other than a failure
// to send it.
type readError struct{ err error }

// Error implements error.
func (e *readError) Error() string { return "read body: " + e.err.Error() }

// Unwrap returns the cause.
func (e *readError) Unwrap() error { return e.err }

// sendBody sends body in chunks, ends with one that is marked as the last and
// closes the sending direction. If body fails, no last chunk is sent.
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
	r     *keel.CBORReader
	rest  []byte
	atEnd bool
}

func (c *chunkReader) Read(p []byte) (int, error) {
	for len(c.rest) == 0 {
		if c.atEnd {
			return 0, io.EOF
		}
		var next chunk
		if err := c.r.Read(&next); err != nil {
			return 0, errors.Wrapf(io.ErrUnexpectedEOF, "next part of body: %v", err)
		}
		if next.Stalled {
			return 0, ErrStalled
		}
		c.rest, c.atEnd = next.Data, next.Last
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// forwardedBody is the body of an answer from another instance.
type forwardedBody struct {
	x      *exchange
	chunks chunkReader
}

func (b *forwardedBody) Read(p []byte) (int, error) { return b.chunks.Read(p) }

// Close ends the exchange. The request's body may still be read until its own
// owner stops it.
func (b *forwardedBody) Close() error {
	b.x.abort()
	return nil
}
