package keelproxy

import (
	"context"
	"io"
	"net"
	"os"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/greengagekeel/greengagekeel/keelheader"
	"github.com/valyala/fasthttp"
)

// errMalformed replaces errors of parsers, and errConnection network errors that
// the system does not number.
var (
	errMalformed  = errors.New("malformed data")
	errConnection = errors.New("the connection failed")
)

// redactError returns what is known about a failed connection to an endpoint or a
// caller, or stream to another instance. Texts of parsers quote unread bytes, which
// may be part of another caller's answer or of a body, and those of network errors
// contain addresses. Neither is for callers or for the log of requests.
func redactError(err error) error {
	if err == nil {
		return nil
	}
	var network net.Error
	if errors.Is(err, fasthttp.ErrTimeout) || errors.As(err, &network) && network.Timeout() {
		return os.ErrDeadlineExceeded
	}
	var header keelheader.Error
	if errors.As(err, &header) {
		return header
	}
	var errno syscall.Errno
	if errors.As(err, &errno) {
		return errno
	}
	for _, known := range []error{context.Canceled, net.ErrClosed, io.ErrUnexpectedEOF, io.EOF} {
		if errors.Is(err, known) {
			return known
		}
	}
	if network != nil {
		return errConnection
	}
	return errMalformed
}
