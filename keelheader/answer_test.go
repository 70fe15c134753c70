package keelheader_test

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/greengagekeel/greengagekeel/keelheader"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

func TestCheckAnswer(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for _, tt := range []struct {
		name, text string
		want       error
	}{
		{"no field", ok + "\r\n", nil},
		{"no reason", "HTTP/1.1 204 \r\n\r\n", nil},
		{"no reason and no space", "HTTP/1.1 204\r\n\r\n", nil},
		{"lowest status", "HTTP/1.0 100 Continue\r\n\r\n", nil},
		{"highest status", "HTTP/1.1 599 Other\r\n\r\n", nil},
		{"reason beyond ASCII", "HTTP/1.1 200 \xc3\x84h\tja\r\n\r\n", nil},
		{"empty value", ok + "X-Other:\r\n\r\n", nil},
		{"value with blanks", ok + "X-Other: \t1 2\t\r\n\r\n", nil},
		{"value with colons", ok + "X-Other: a:b\r\n\r\n", nil},
		{"all bytes of tokens", ok + "!#$%&'*+-.^_`|~09azAZ: 1\r\n\r\n", nil},
		{"length", ok + "content-length: 5\r\n\r\n", nil},
		{"chunked", ok + "TRANSFER-ENCODING: chunked\r\n\r\n", nil},
		{"chunked and length", ok + "TRANSFER-ENCODING: chunked\r\ncontent-length: 5\r\n\r\n", keelheader.ErrFraming},
		{"chunked in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", keelheader.ErrFraming},
		{"status 000", "HTTP/1.1 000 OK\r\n\r\n", keelheader.ErrStatusLine},
		{"incomplete after a malformed line", ok + "X Other: 1\r\nX-", keelheader.ErrField},
		{"line feed alone", ok + "X-Other: 1\n\r\n", keelheader.ErrLineEnd},
		{"nothing", "", io.EOF},
		{"cut in the status line", "HTTP/1.1 200", io.ErrUnexpectedEOF},
		{"cut after a field", ok + "X-Other: 1\r\n", io.ErrUnexpectedEOF},
		{"too long", ok + "X-Other: " + strings.Repeat("x", 1<<10) + "\r\n\r\n", keelheader.ErrTooLong},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := bufio.NewReaderSize(iotest.OneByteReader(strings.NewReader(tt.text)), 1<<10)
			is.Equal(keelheader.CheckAnswer(r), tt.want)
			rest, err := io.ReadAll(r)
			is.NoErr(err)
			is.Equal(string(rest), tt.text) // nothing is consumed
		})
	}
}

// FuzzCheckAnswer checks that fasthttp and net/http read an accepted header alike, up to the
// same byte.
func FuzzCheckAnswer(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nX-Other: 1\r\nContent-Length: 5\r\n\r\nbytes",
		"HTTP/1.1 000 OK\r\n\r\n", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\nX: 1\r\n\r\n", "HTTP/1.1 200 OK\r\nX: 1\r\n 2\r\n\r\n", "HTTP/1.1 200 OK\r\nX : 1\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		if keelheader.CheckAnswer(bufio.NewReader(bytes.NewReader(text))) != nil {
			return
		}
		header := bytes.Index(text, []byte("\r\n\r\n")) + 4
		var h fasthttp.ResponseHeader
		r := bufio.NewReader(bytes.NewReader(text))
		if h.Read(r) != nil {
			return // it refuses more, such as two lengths
		}
		if rest, _ := io.ReadAll(r); len(rest) != len(text)-header {
			t.Errorf("fasthttp reads a header of %d bytes in %q", len(text)-len(rest), text)
		}
		resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(text[:header])), nil)
		if err != nil {
			return
		}
		if resp.StatusCode != h.StatusCode() {
			t.Errorf("status %d, with fasthttp %d, in %q", resp.StatusCode, h.StatusCode(), text)
		}
		if err := keelheader.CheckResponse(resp); err != nil {
			t.Errorf("%v in %q", err, text)
		}
	})
}
