// Package keelheader checks the headers of HTTP/1 answers, which the parsers of fasthttp
// and net/http read more tolerantly than RFC 9112, section 2.2, permits a gateway to: they
// pass on what other recipients read in another way.
package keelheader

import (
	"bufio"
	"bytes"
	"io"

	"github.com/go-faster/errors"
)

// LineEnd ends each line of a header and of a trailer.
const LineEnd = "\r\n"

// MaxStatus is the highest status: RFC 9110, section 15.
const MaxStatus = 599

// Error is the reason why a header is refused. It quotes nothing of the header.
type Error string

// Error implements error.
func (e Error) Error() string { return string(e) }

// Reasons why a header is refused.
const (
	ErrTooLong    Error = "the header exceeds the buffer"
	ErrLineEnd    Error = "a line of the header ends without a carriage return"
	ErrStatusLine Error = "malformed status line"
	ErrField      Error = "malformed header field"
	ErrFraming    Error = "the end of the body is ambiguous"
)

// CheckAnswer checks the header of an answer at the start of r, without consuming it. The
// error is an [Error], or that of a header which ends early. Each line is checked as soon as
// it is complete, since the rest of a malformed header may never come.
func CheckAnswer(r *bufio.Reader) error {
	line, err := peekLine(r, 0)
	if err != nil {
		return err
	}
	if !isStatusLine(line) {
		return ErrStatusLine
	}
	framing := framingFields{http11: bytes.HasPrefix(line, []byte("HTTP/1.1"))}
	for offset := 0; ; {
		offset += len(line) + len(LineEnd)
		if line, err = peekLine(r, offset); err != nil {
			return err
		}
		if len(line) == 0 {
			return framing.check()
		}
		name, ok := FieldName(line)
		if !ok {
			return ErrField
		}
		framing.add(name)
	}
}

// peekLine returns the line at an offset in r, without its line end and without consuming
// it. A line feed without a carriage return is no line end: what follows it would be read
// as a line of its own here and as part of this one elsewhere.
func peekLine(r *bufio.Reader, offset int) ([]byte, error) {
	for searched := offset; ; {
		b, _ := r.Peek(r.Buffered()) // never fails, since these bytes are buffered
		if i := bytes.IndexByte(b[searched:], '\n'); i >= 0 {
			line, ok := bytes.CutSuffix(b[offset:searched+i+1], []byte(LineEnd))
			if !ok {
				return nil, ErrLineEnd
			}
			return line, nil
		}
		searched = len(b)
		_, err := r.Peek(searched + 1)
		switch {
		case err == nil:
		case errors.Is(err, bufio.ErrBufferFull):
			return nil, ErrTooLong
		case errors.Is(err, io.EOF) && searched > 0:
			return nil, io.ErrUnexpectedEOF
		default:
			return nil, err
		}
	}
}

// isStatusLine reports whether a line is a status line: RFC 9112, section 4. The space
// before an empty reason may be missing, as many servers omit it.
func isStatusLine(line []byte) bool {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	status, reason, _ := bytes.Cut(rest, []byte(" "))
	minor, ok := bytes.CutPrefix(version, []byte("HTTP/1."))
	return ok && len(minor) == 1 && isDigit(minor[0]) && isStatus(status) && IsFieldContent(reason)
}

// isStatus reports whether b is a status code: RFC 9110, section 15. fasthttp reports 000
// as 200, and other codes below 200 as those of interim answers.
func isStatus(b []byte) bool {
	return len(b) == 3 && b[0] >= '1' && b[0] <= '5' && isDigit(b[1]) && isDigit(b[2])
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// framingFields are the fields of a header that say where the body ends.
type framingFields struct{ http11, length, encoding bool }

func (f *framingFields) add(name []byte) {
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		f.length = true
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		f.encoding = true
	}
}

// check returns an error if recipients may disagree on the end of the body: RFC 9112,
// section 6.1. fasthttp ignores the encoding in other versions than HTTP/1.1, and the
// length beside an encoding.
func (f *framingFields) check() error {
	if f.encoding && (f.length || !f.http11) {
		return ErrFraming
	}
	return nil
}
