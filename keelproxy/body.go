package keelproxy

import (
	"io"
	"net"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelbudget"
)

// CleanEnd reports whether err is the end of a complete body. A truncated body
// ends with [io.ErrUnexpectedEOF], even if the error also wraps [io.EOF].
func CleanEnd(err error) bool {
	return errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF)
}

// Interrupt unblocks a read of body if body has a method Interrupt, and does
// nothing otherwise.
func Interrupt(body io.Reader) {
	if b, ok := body.(interface{ Interrupt() }); ok {
		b.Interrupt()
	}
}

// MarkRead calls the method MarkRead of body, if it has one, before the first read.
// A body that is marked is not sent again.
func MarkRead(body io.Reader) {
	if b, ok := body.(interface{ MarkRead() }); ok {
		b.MarkRead()
	}
}

// Discard ends an answer whose body is not needed, without waiting for an endpoint
// that does not send it.
func Discard(body io.ReadCloser) {
	if b, ok := body.(interface{ Discard() }); ok {
		b.Discard()
		return
	}
	_ = body.Close() // the answer is dropped in any case
}

// Followed reports whether an endpoint has sent further bytes after an answer with this body,
// of which a short rest is read and dropped. Its answers and the requests are out of step
// then: the answer may be that to an earlier request, and the next bytes that to this one.
func Followed(body io.ReadCloser) bool {
	b, ok := body.(interface{ Followed() bool })
	return ok && b.Followed()
}

// requestBody reads the body of a request for an endpoint and records a read
// error, so that it can be told from an error of the endpoint's connection.
type requestBody struct {
	r   io.Reader
	err error
}

// Read reads from the body.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if err != nil && !CleanEnd(err) {
		b.err = err
	}
	return n, err
}

// bodyError is a failure to read the body of a request. The endpoint did not
// cause it.
type bodyError struct{ err error }

// Error implements error.
func (e *bodyError) Error() string { return "body of the request: " + e.err.Error() }

// Unwrap returns the cause.
func (e *bodyError) Unwrap() error { return e.err }

func (e *bodyError) reason() keel.Reason { return BodyReason(e.err) }

// BodyReason returns the refusal reason for a request whose body could not be
// read because of err.
func BodyReason(err error) keel.Reason {
	var network net.Error
	switch {
	case errors.Is(err, ErrStalled):
		return keel.ReasonRequestTimeout
	case errors.Is(err, keelbudget.ErrNoRoom):
		return keel.ReasonOverload
	case errors.Is(err, errBodyTooLarge):
		return keel.ReasonTooLarge
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, errConnection), errors.As(err, &network):
		return keel.ReasonCallerGone
	default:
		return keel.ReasonBadRequest
	}
}

// BodyRefusal returns the refusal of a request that has not been passed on, whose body could
// not be read or held because of err.
func BodyRefusal(err error) *keel.Refusal {
	refusal := keel.Refuse(keel.NotRun, BodyReason(err), 0, "body of the request: %v", err)
	if refusal.Reason == keel.ReasonOverload {
		refusal.RetryAfter = keel.Duration(overloadRetryAfter)
	}
	return refusal
}
