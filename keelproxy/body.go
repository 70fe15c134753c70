package keelproxy

import (
	"io"
	"net"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
)

// CleanEnd reports whether err is the end of a body that is whole. A body that
// broke off ends with [io.ErrUnexpectedEOF] even where
// the error also wraps [io.EOF].
func CleanEnd(err error) bool {
	return errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF)
}

// Interrupt ends a blocked read of a body, if the body has a method Interrupt.
// Other bodies are left alone.
func Interrupt(body io.Reader) {
	if b, ok := body.(interface{ Interrupt() }); ok {
		b.Interrupt()
	}
}

// requestBody reads the body of a request on its way to an endpoint and notes
// why it broke off.
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

// bodyError is the error of a request whose body broke off before its end, so
// that the endpoint is not to blame.
type bodyError struct{ err error }

// Error implements error.
func (e *bodyError) Error() string { return "body of the request: " + e.err.Error() }

// Unwrap returns the cause.
func (e *bodyError) Unwrap() error { return e.err }

func (e *bodyError) reason() keel.Reason { return BodyReason(e.err) }

// BodyReason returns the reason of the refusal of a request whose body could not
// be read to its end because of err.
func BodyReason(err error) keel.Reason {
	var network net.Error
	switch {
	case errors.Is(err, ErrStalled):
		return keel.ReasonRequestTimeout
	case errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &network):
		return keel.ReasonCallerGone
	default:
		return keel.ReasonBadRequest
	}
}
