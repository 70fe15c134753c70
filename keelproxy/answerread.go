package keelproxy

import (
	"io"

	"github.com/go-faster/errors"
	"github.com/greengagekeel/greengagekeel/keelheader"
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
	// maxInterimAnswers limits the interim answers (1xx) before an answer. Servers
	// send one or two.
	maxInterimAnswers = 8
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
		if conn.isAnswerTo(r, resp) {
			return conn.checkFraming(resp)
		}
		if closeDelimited(resp) {
			return errors.New("the answer is to another request")
		}
		if err := discardBody(conn.bodyReader(resp)); err != nil {
			return errors.Wrap(redactError(err), "discard an answer to another request")
		}
		skip := resp.SkipBody
		resp.Reset()
		resp.StreamBody, resp.SkipBody = true, skip
	}
	return errors.Errorf("more than %d answers to other requests", maxUnmatchedAnswers)
}

// isAnswerTo reports whether the answer whose header is in resp is to r. An answer
// without an id counts only on a new connection: a connection is reused only if its
// endpoint repeats ids, so that such an answer may be an earlier one that was sent
// again.
func (conn *endpointConn) isAnswerTo(r *Request, resp *fasthttp.Response) bool {
	id := resp.Header.Peek(conn.client.cfg.Dialect.RequestID)
	return string(id) == r.ID || len(id) == 0 && !conn.reused
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
// opens a body with a length; other bodies are read by [endpointConn.bodyReader].
func (conn *endpointConn) readHeader(resp *fasthttp.Response) error {
	for range maxInterimAnswers + 1 {
		if err := conn.checkHeader(); err != nil {
			return redactError(err)
		}
		if err := resp.Header.Read(conn.r); err != nil {
			return redactError(err)
		}
		if resp.StatusCode() == fasthttp.StatusSwitchingProtocols {
			return errors.New("the endpoint switched protocols without an upgrade request")
		}
		if resp.StatusCode() >= fasthttp.StatusOK {
			return conn.openBody(resp)
		}
		resp.Header.Reset()
	}
	return errors.Errorf("more than %d interim answers", maxInterimAnswers)
}

// checkHeader waits for the header of an answer and checks it. Its buffer grows up to the limit.
func (conn *endpointConn) checkHeader() error {
	for {
		err := keelheader.CheckAnswer(conn.r)
		most := conn.client.cfg.MaxHeaderBytes
		if !errors.Is(err, keelheader.ErrTooLong) || conn.r.Size() >= most {
			return err
		}
		conn.r = enlarge(conn.r, &conn.netReader, min(2*conn.r.Size(), most))
	}
}

// openBody opens the body of the answer whose header is in resp if it has a length.
func (conn *endpointConn) openBody(resp *fasthttp.Response) error {
	if resp.SkipBody || !hasBodyStatus(resp.StatusCode()) || closeDelimited(resp) || chunked(resp) {
		return nil
	}
	return redactError(resp.ReadBody(conn.r, 0))
}

// discardBody reads and drops the body of an answer to another request.
func discardBody(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxUnmatchedBytes+1))
	if err == nil && n > maxUnmatchedBytes {
		return errors.Errorf("its body exceeds %d bytes", maxUnmatchedBytes)
	}
	return err
}
