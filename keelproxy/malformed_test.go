package keelproxy_test

import (
	"io"
	"net"
	"strings"
	"testing"

	"github.com/greengagekeel/greengagekeel/keelproxy"
	"github.com/matryer/is"
)

// What is reported for the log about a request that can't be parsed holds none of
// its bytes, which may be a credential.
func TestMalformedRequestIsNotQuoted(t *testing.T) {
	const start = "POST /x HTTP/1.1\r\nHost: s\r\n"
	for name, text := range map[string]string{
		"request line": "secret\r\n\r\n",
		"field":        start + "Authorization secret\r\n\r\n",
		"length":       start + "Content-Length: secret\r\n\r\n",
		"cut header":   start + "Authorization: secret",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ended := make(chan keelproxy.Result, 1)
			front := keelproxy.NewFront(keelproxy.FrontConfig{
				Runner: endlessRunner{}, MaxHeaderBytes: 4096, Report: func(r keelproxy.Result) { ended <- r },
			})
			c := dialFront(t, front)
			send(c, text)
			is.NoErr(c.(*net.TCPConn).CloseWrite())
			answer, err := io.ReadAll(c)
			is.NoErr(err)
			is.True(strings.HasPrefix(string(answer), "HTTP/1.1 400 "))
			detail := (<-ended).Refusal.Detail
			is.True(!strings.Contains(detail, "secret"))
			is.True(!strings.Contains(detail, "127.0.0.1"))
		})
	}
}
