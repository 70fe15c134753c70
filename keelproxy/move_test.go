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

// A caller that is moved to another instance gets its whole answer before the
// connection ends, and others keep theirs. The bytes of both connections are counted.
func TestMovedCallerGetsItsAnswer(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat("x", 100_000)
	addr := rawEndpoint(t, func(r *http.Request, w io.Writer) bool {
		send(w, fmt.Sprintf("HTTP/1.1 200 OK\r\nKeel-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get(keelproxy.HeaderRequestID), len(body), body))
		return true
	})
	traffic := &keelproxy.Traffic{}
	client := keelproxy.NewEndpointClient(keelproxy.ClientConfig{Traffic: traffic})
	t.Cleanup(client.Close)
	requests := 0
	front := keelproxy.NewFront(keelproxy.FrontConfig{
		Runner: deadlineRunner{endpointRunner{client, addr}}, MaxHeaderBytes: 4096, Traffic: traffic,
		MoveCaller: func() bool { requests++; return requests == 2 },
	})
	c := dialFront(t, front)
	br := bufio.NewReader(c)
	for _, moved := range []bool{false, true} {
		send(c, "GET /x HTTP/1.1\r\nHost: s\r\n\r\n")
		answer, err := http.ReadResponse(br, nil)
		is.NoErr(err)
		data, err := io.ReadAll(answer.Body)
		is.NoErr(err)
		is.Equal(string(data), body)
		is.Equal(answer.Close, moved)
	}
	_, err := br.ReadByte()
	is.Equal(err, io.EOF)
	received, sent := traffic.Bytes()
	is.True(received > int64(2*len(body)))
	is.True(sent > int64(2*len(body)))
}
