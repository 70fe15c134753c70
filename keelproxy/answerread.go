package keelproxy

import (
	"io"
	"net"
	"os"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

const (
	// identityLength is what the library gives for a body that ends with the
	// connection.
	identityLength = -2
	// maxStray bounds the answers to other requests that are passed over before
	// the one that is awaited, and maxStrayBytes the body of each.
	maxStray      = 2
	maxStrayBytes = 256 << 10
)

// unframed reports whether the body of an answer ends with its connection.
func unframed(resp *fasthttp.Response) bool {
	return !resp.SkipBody && resp.Header.ContentLength() == identityLength && hasBodyStatus(resp.StatusCode())
}

// readAnswer reads the header of the answer to r. Answers to other requests,
// which an endpoint sent late or twice, are passed over.
func (conn *endpointConn) readAnswer(r *Request, resp *fasthttp.Response) error {
	for range maxStray + 1 {
		if err := conn.readHeader(resp); err != nil {
			return err
		}
		id := resp.Header.Peek(conn.client.cfg.Dialect.RequestID)
		if len(id) == 0 || string(id) == r.ID {
			return conn.checkFraming(resp)
		}
		if unframed(resp) {
			return errors.Errorf("the answer is to request %q, not to %q", id, r.ID)
		}
		if err := passOver(resp); err != nil {
			return errors.Wrapf(err, "pass over the answer to request %q", id)
		}
		skip := resp.SkipBody
		resp.Reset()
		resp.StreamBody, resp.SkipBody = true, skip
	}
	return errors.Errorf("more than %d answers to other requests", maxStray)
}

// checkFraming refuses an answer whose end can't be told from a break.
func (conn *endpointConn) checkFraming(resp *fasthttp.Response) error {
	if unframed(resp) && !conn.client.cfg.Dialect.Unframed {
		return errors.New("the answer has neither a length nor chunks")
	}
	return nil
}

// readHeader reads the header of an answer and, unless the body ends with the
// connection, opens its body.
func (conn *endpointConn) readHeader(resp *fasthttp.Response) error {
	for {
		if err := resp.Header.Read(conn.r); err != nil {
			return withoutBytes(err)
		}
		if resp.StatusCode() >= fasthttp.StatusOK {
			break
		}
		if resp.StatusCode() == fasthttp.StatusSwitchingProtocols {
			return errors.New("the endpoint switched protocols unasked")
		}
		resp.Header.Reset()
	}
	if resp.SkipBody || !hasBodyStatus(resp.StatusCode()) || unframed(resp) {
		return nil
	}
	if err := resp.ReadBody(conn.r, 0); err != nil {
		return withoutBytes(err)
	}
	return nil
}

// errMalformed stands for an error of the library that quotes what it could not
// read. That may be a part of another caller's answer, which must not be logged.
var errMalformed = errors.New("the answer is malformed")

// withoutBytes returns an error of the connection as it is, and for any other
// one [errMalformed].
func withoutBytes(err error) error {
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

// passOver reads the body of an answer that nobody waits for.
func passOver(resp *fasthttp.Response) error {
	s := resp.BodyStream()
	if s == nil {
		return nil
	}
	n, err := io.Copy(io.Discard, io.LimitReader(s, maxStrayBytes+1))
	if err == nil && n > maxStrayBytes {
		return errors.Errorf("its body exceeds %d bytes", maxStrayBytes)
	}
	return err
}
