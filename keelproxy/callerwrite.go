package keelproxy

import (
	"bufio"
	"io"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

// framingFields are the fields of an answer that depend on the connection to the caller.
var framingFields = []string{"connection", "content-length", "transfer-encoding", "trailer", "keep-alive"}

// copyBytes is the size of the buffer through which the bodies of answers are streamed.
const copyBytes = 4 << 10

// writeAnswer sends the answer in fctx. It reports whether the connection can carry another
// request, which keepAlive asks for.
func (c *callerConn) writeAnswer(fctx *fasthttp.RequestCtx, keepAlive bool) bool {
	a := c.server.acquireAnswerWriter(c)
	defer c.server.releaseAnswerWriter(a)
	a.resp, a.http11, a.close = &fctx.Response, fctx.Request.Header.IsHTTP11(), !keepAlive
	a.noBody = fctx.IsHead() || fctx.Response.SkipBody || !hasBodyStatus(fctx.Response.StatusCode())
	err := a.write()
	if closeErr := fctx.Response.CloseBodyStream(); err == nil {
		err = closeErr
	}
	return err == nil && !a.close
}

// answerWriter writes one answer.
type answerWriter struct {
	w      *bufio.Writer
	resp   *fasthttp.Response
	http11 bool
	// noBody is whether the answer has no body, whatever its header says.
	noBody bool
	// close is whether the connection is closed after the answer.
	close bool
	// buf holds a part of a body that is streamed.
	buf [copyBytes]byte
}

// write sends the answer. The error is that of the connection or of the body.
func (a *answerWriter) write() error {
	body, length := a.resp.BodyStream(), int64(a.resp.Header.ContentLength())
	if body == nil {
		length = int64(len(a.resp.Body()))
	}
	chunked := length < 0 && a.http11
	if length < 0 && !a.http11 {
		a.close = true // the end of the connection ends the body
	}
	a.writeHeader(length, chunked)
	switch {
	case a.noBody:
	case body == nil:
		_, _ = a.w.Write(a.resp.Body()) // Flush returns the error
	default:
		if err := a.writeBody(body, length, chunked); err != nil {
			return err
		}
	}
	return a.w.Flush()
}

// writeHeader buffers the header. Errors are returned by the next flush.
func (a *answerWriter) writeHeader(length int64, chunked bool) {
	status := a.resp.StatusCode()
	a.text("HTTP/1.1 ", strconv.Itoa(status), " ", fasthttp.StatusMessage(status), "\r\n")
	for name, value := range a.resp.Header.All() {
		if !matchesAny(framingFields, name) {
			a.field(name, value)
		}
	}
	switch {
	case status < fasthttp.StatusOK || status == fasthttp.StatusNoContent:
	case chunked:
		a.text("Transfer-Encoding: chunked\r\n")
	case length >= 0 && (status != fasthttp.StatusNotModified || length > 0):
		a.text("Content-Length: ", strconv.FormatInt(length, 10), "\r\n")
	}
	switch {
	case a.close:
		a.text("Connection: close\r\n")
	case !a.http11:
		a.text("Connection: keep-alive\r\n")
	}
	a.text("\r\n")
}

func (a *answerWriter) text(parts ...string) {
	for _, p := range parts {
		_, _ = a.w.WriteString(p) // the next flush returns the error
	}
}

// field buffers a field, without line breaks in its value.
func (a *answerWriter) field(name, value []byte) {
	_, _ = a.w.Write(name) // the next flush returns the error
	a.text(": ", lineBreaks.Replace(string(value)), "\r\n")
}

var lineBreaks = strings.NewReplacer("\r", " ", "\n", " ")

// writeBody sends a body as it is read. The length of a body in chunks is not known.
func (a *answerWriter) writeBody(body io.Reader, length int64, chunked bool) error {
	for sent := int64(0); length < 0 || sent < length; {
		part := a.buf[:]
		if length >= 0 {
			part = part[:min(int64(len(part)), length-sent)]
		}
		n, err := body.Read(part)
		if chunked && n > 0 {
			a.text(strconv.FormatInt(int64(n), 16), "\r\n")
		}
		if _, err := a.w.Write(part[:n]); err != nil {
			return err
		}
		if chunked && n > 0 {
			a.text("\r\n")
		}
		sent += int64(n)
		switch {
		case CleanEnd(err) && length >= 0 && sent < length:
			return errors.Wrapf(io.ErrUnexpectedEOF, "body has %d of %d bytes", sent, length)
		case CleanEnd(err):
			if chunked {
				a.text("0\r\n\r\n")
			}
			return nil
		case err != nil:
			return err
		}
		if n < len(part) { // the next part may take some time
			if err := a.w.Flush(); err != nil {
				return err
			}
		}
	}
	return nil
}
