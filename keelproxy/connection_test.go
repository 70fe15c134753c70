package keelproxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/greengagekeel/greengagekeel/keelproxy"
	"github.com/matryer/is"
)

// connectionNames returns a request whose Connection field lists n names, and that has a field
// of each second one and one field more.
func connectionNames(n int) string {
	var names, fields strings.Builder
	for i := range n {
		fmt.Fprintf(&names, ", F%x", i)
		if i%2 == 0 {
			fmt.Fprintf(&fields, "f%x: v\r\n", i)
		}
	}
	return "GET /x HTTP/1.1\r\nHost: s\r\nConnection: x" + names.String() + "\r\n" + fields.String() + "Other: v\r\n\r\n"
}

// Fields that the Connection field lists are not passed on, however many there are.
func TestManyConnectionNames(t *testing.T) {
	is := is.New(t)
	front := keelproxy.NewFront(keelproxy.FrontConfig{Runner: runnerFunc(readingRunner), MaxHeaderBytes: 64 << 10})
	c := dialFront(t, front)
	send(c, connectionNames(2000))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	text, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(text), "0 bytes, 1 fields")
}

func BenchmarkManyConnectionNames(b *testing.B) {
	front := keelproxy.NewFront(keelproxy.FrontConfig{Runner: runnerFunc(readingRunner), MaxHeaderBytes: 64 << 10})
	c := dialFront(b, front)
	br := bufio.NewReader(c)
	text := connectionNames(2000)
	for b.Loop() {
		send(c, text)
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
	}
}
