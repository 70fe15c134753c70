package keelproxy

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/valyala/fasthttp"
)

const (
	// lineEnd ends each line of a header.
	lineEnd = "\r\n"
	// maxStatus is the highest status: RFC 9110, section 15.
	maxStatus = 599
)

var (
	errLineEnd    = errors.New("a line of the header ends without a carriage return")
	errStatusLine = errors.New("malformed status line")
	errField      = errors.New("malformed header field")
	errFraming    = errors.New("the end of the body is ambiguous")
)

// checkHeader checks the header of an answer at the start of r, without consuming it.
// fasthttp parses it afterwards, and is more tolerant than RFC 9112, section 2.2, permits
// a gateway to be: it passes on what other recipients read in another way. Each line is
// checked as soon as it is complete, since the rest of a malformed header may never come.
func checkHeader(r *bufio.Reader) error {
	line, err := peekLine(r, 0)
	if err != nil {
		return err
	}
	if err := checkStatusLine(line); err != nil {
		return err
	}
	framing := framingFields{http11: bytes.HasPrefix(line, []byte("HTTP/1.1"))}
	for offset := 0; ; {
		offset += len(line) + len(lineEnd)
		if line, err = peekLine(r, offset); err != nil {
			return err
		}
		if len(line) == 0 {
			return framing.check()
		}
		name, ok := fieldName(line)
		if !ok {
			return errField
		}
		framing.add(name)
	}
}

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
		return errFraming
	}
	return nil
}

// Check reports a status that is not that of a final answer, and malformed fields. Instances
// of earlier versions pass such answers on.
func (a *Answer) Check() keel.Faults {
	var fs keel.Faults
	if a.Status < fasthttp.StatusOK || a.Status > maxStatus {
		fs.Add("status", "is %d, must lie between %d and %d", a.Status, fasthttp.StatusOK, maxStatus)
	}
	for i, f := range a.Header {
		if !isToken([]byte(f.Name)) || !isFieldContent([]byte(f.Value)) {
			fs.Add("header["+strconv.Itoa(i)+"]", "is malformed")
		}
	}
	return fs
}

// peekLine returns the line at an offset in r, without its line end and without consuming
// it. A line feed without a carriage return is no line end: what follows it would be read
// as a line of its own here and as part of this one elsewhere.
func peekLine(r *bufio.Reader, offset int) ([]byte, error) {
	for searched := offset; ; {
		b, _ := r.Peek(r.Buffered()) // never fails, since these bytes are buffered
		if i := bytes.IndexByte(b[searched:], '\n'); i >= 0 {
			line, ok := bytes.CutSuffix(b[offset:searched+i+1], []byte(lineEnd))
			if !ok {
				return nil, errLineEnd
			}
			return line, nil
		}
		searched = len(b)
		if _, err := r.Peek(searched + 1); err != nil {
			return nil, headerEnd(err, searched)
		}
	}
}

// headerEnd returns the error of a header that ends early, after size bytes.
func headerEnd(err error, size int) error {
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return errors.Errorf("the header exceeds %d bytes", size)
	case errors.Is(err, io.EOF) && size > 0:
		return io.ErrUnexpectedEOF
	}
	return redactError(err)
}

// checkStatusLine checks the first line of an answer: RFC 9112, section 4. The space
// before an empty reason may be missing, as many servers omit it.
func checkStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	status, reason, _ := bytes.Cut(rest, []byte(" "))
	minor, ok := bytes.CutPrefix(version, []byte("HTTP/1."))
	if !ok || len(minor) != 1 || !isDigit(minor[0]) || !isStatus(status) || !isFieldContent(reason) {
		return errStatusLine
	}
	return nil
}

// isStatus reports whether b is a status code: RFC 9110, section 15. fasthttp reports 000
// as 200, and other codes below 200 as those of interim answers.
func isStatus(b []byte) bool {
	return len(b) == 3 && b[0] >= '1' && b[0] <= '5' && isDigit(b[1]) && isDigit(b[2])
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// fieldName returns the name of the field in a line, and false if the line is no field: RFC
// 9112, section 5. It isn't if its name holds or is followed by a blank, nor if it continues
// the line before it.
func fieldName(line []byte) ([]byte, bool) {
	name, value, found := bytes.Cut(line, []byte(":"))
	return name, found && isToken(name) && isFieldContent(value)
}

// isToken reports whether b is a token: RFC 9110, section 5.6.2.
func isToken(b []byte) bool {
	for _, c := range b {
		if !isTokenByte[c] {
			return false
		}
	}
	return len(b) > 0
}

// isTokenByte holds the bytes of tokens.
var isTokenByte = func() (table [256]bool) {
	for _, c := range "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz" {
		table[c] = true
	}
	return table
}()

// isFieldContent reports whether b has no control byte other than the tab, as the value of
// a field and the reason of a status line.
func isFieldContent(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
