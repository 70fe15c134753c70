package keelproxy

import (
	"io"
	"net"
	"os"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

const (
	// identityLength is the content length that fasthttp reports for a body that
	// is delimited by the end of the connection.
	identityLength = -2
	// maxUnmatchedAnswers limits the answers to other requests that are discarded
	// before the expected one, and maxUnmatchedBytes the body of each.
	maxUnmatchedAnswers = 2
	maxUnmatchedBytes   = 256 << 10
)

// closeDelimited reports whether the body of an answer is delimited by the end
// of its connection.
func closeDelimited(resp *fasthttp.Response) bool {
	return !resp.SkipBody && resp.Header.ContentLength() == identityLength && hasBodyStatus(resp.StatusCode())
}

// readAnswer reads the header of the answer to r. Answers to other requests,
// which an endpoint sent late or twice, are discarded.
func (conn *endpointConn) readAnswer(r *Request, resp *fasthttp.Response) error {
	for range maxUnmatchedAnswers + 1 {
		if err := conn.readHeader(resp); err != nil {
			return err
		}
		id := resp.Header.Peek(conn.client.cfg.Dialect.RequestID)
		if len(id) == 0 || string(id) == r.ID {
			return conn.checkFraming(resp)
		}
		if closeDelimited(resp) {
			return errors.Errorf("the answer is to request %q, not to %q", id, r.ID)
		}
		if err := discardBody(resp); err != nil {
			return errors.Wrapf(err, "discard the answer to request %q", id)
		}
		skip := resp.SkipBody
		resp.Reset()
		resp.StreamBody, resp.SkipBody = true, skip
	}
	return errors.Errorf("more than %d answers to other requests", maxUnmatchedAnswers)
}

// checkFraming rejects a close-delimited answer, whose end looks like a lost
// connection, unless the dialect allows it.
func (conn *endpointConn) checkFraming(resp *fasthttp.Response) error {
	if closeDelimited(resp) && !conn.client.cfg.Dialect.AllowCloseDelimited {
		return errors.New("the answer has neither a length nor chunks")
	}
	return nil
}

// readHeader reads the header of an answer and skips interim answers (1xx). It
// opens the body unless that is close-delimited.
func (conn *endpointConn) readHeader(resp *fasthttp.Response) error {
	for {
		if err := resp.Header.Read(conn.r); err != nil {
			return redactError(err)
		}
		if resp.StatusCode() >= fasthttp.StatusOK {
			break
		}
		if resp.StatusCode() == fasthttp.StatusSwitchingProtocols {
			return errors.New("the endpoint switched protocols without an upgrade request")
		}
		resp.Header.Reset()
	}
	if resp.SkipBody || !hasBodyStatus(resp.StatusCode()) || closeDelimited(resp) {
		return nil
	}
	if err := resp.ReadBody(conn.r, 0); err != nil {
		return redactError(err)
	}
	return nil
}

// errMalformed replaces parse errors of fasthttp, which quote the input. That
// may be part of another caller's answer and must not be logged.
var errMalformed = errors.New("the answer is malformed")

// redactError returns errors of the connection unchanged and replaces all others
// by [errMalformed].
func redactError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) {
		return err
	}
	for _, known := range []error{io.EOF, io.ErrUnexpectedEOF, os.ErrDeadlineExceeded, net.ErrClosed, fasthttp.ErrTimeout} {
		if errors.Is(err, known) {
			return err
		}
	}
	return errMalformed
}

// discardBody reads and drops the body of an answer to another request.
func discardBody(resp *fasthttp.Response) error {
	s := resp.BodyStream()
	if s == nil {
		return nil
	}
	n, err := io.Copy(io.Discard, io.LimitReader(s, maxUnmatchedBytes+1))
	if err == nil && n > maxUnmatchedBytes {
		return errors.Errorf("its body exceeds %d bytes", maxUnmatchedBytes)
	}
	return err
}
