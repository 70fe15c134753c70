package keelproxy_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/greengagekeel/greengagekeel/keelbudget"
	"github.com/greengagekeel/greengagekeel/keelproxy"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

// runnerFunc is a runner made of a function.
type runnerFunc func(ctx context.Context, r *keelproxy.Request) (*keelproxy.Answer, error)

func (f runnerFunc) RunRequest(ctx context.Context, r *keelproxy.Request) (*keelproxy.Answer, error) {
	return f(ctx, r)
}

func textAnswer(text string) *keelproxy.Answer {
	return &keelproxy.Answer{Status: http.StatusOK, ContentLength: int64(len(text)), Body: io.NopCloser(strings.NewReader(text))}
}

// readingRunner reads the body of each request and answers with its length and the number of
// header fields.
func readingRunner(_ context.Context, r *keelproxy.Request) (*keelproxy.Answer, error) {
	n := int64(0)
	if r.Body != nil {
		var err error
		if n, err = io.Copy(io.Discard, r.Body); err != nil {
			return nil, keelproxy.BodyRefusal(err)
		}
	}
	return textAnswer(fmt.Sprintf("%d bytes, %d fields", n, len(r.Header))), nil
}

var testLimits = keelproxy.Limits{HeaderBytes: 16 << 10, BodyBytes: 100_000, HeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute}

func shortLines(n int) string { return strings.Repeat("a:\r\n", n) }

// A request of the largest legal size is served, whatever its form, and a larger one refused
// with a status that says what is too large.
func TestLimitsInForce(t *testing.T) {
	const get, post = "GET /x HTTP/1.1\r\nHost: s\r\n", "POST /x HTTP/1.1\r\nHost: s\r\n"
	linesThatFit := (testLimits.HeaderBytes - len(get) - len("\r\n")) / len("a:\r\n")
	oneByteChunks := func(n int) string {
		return post + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", n) + "0\r\n\r\n"
	}
	body := func(n int) string { return strings.Repeat("x", n) }
	tests := []struct{ name, request, want string }{
		{"largest header", get + shortLines(linesThatFit) + "\r\n", "200 OK"},
		{"larger header", get + shortLines(linesThatFit+1) + "\r\n", "413 "},
		{"header without an end", get + shortLines(3*linesThatFit), "413 "},
		{"largest body", post + "Content-Length: 100000\r\n\r\n" + body(100_000), "100000 bytes"},
		{"larger body", post + "Content-Length: 100001\r\n\r\n", "413 "},
		{"largest body in one chunk", post + "Transfer-Encoding: chunked\r\n\r\n186a0\r\n" + body(100_000) + "\r\n0\r\n\r\n", "100000 bytes"},
		{"larger body in one chunk", post + "Transfer-Encoding: chunked\r\n\r\n186a1\r\n" + body(100_001) + "\r\n0\r\n\r\n", "413 "},
		{"largest body in small chunks", oneByteChunks(100_000), "100000 bytes"},
		{"larger body in small chunks", oneByteChunks(100_001), "413 "},
		{"extension without an end", post + "Transfer-Encoding: chunked\r\n\r\n1;" + body(20_000), "400 "},
		{"extensions", post + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1;"+body(1000)+"\r\nx\r\n", 50), "400 "},
		{"trailer", post + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n" + shortLines(1000) + "\r\n", "1 bytes"},
		{"larger trailer", post + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n" + shortLines(5000) + "\r\n", "400 "},
	}
	front := keelproxy.NewFront(keelproxy.FrontConfig{
		Runner: runnerFunc(readingRunner), MaxHeaderBytes: 4096, Limits: func() keelproxy.Limits { return testLimits },
		Budget: keelbudget.New(keelbudget.Config{Bytes: 20 << 20, Connections: 10}),
	})
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := dialFront(t, front)
			go func() { _, _ = io.WriteString(c, tt.request) }()
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.NoErr(err)
			text, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.True(strings.Contains(resp.Status+" "+string(text), tt.want)) // see the field want
		})
	}
}

// A header whose bytes keep coming, one at a time, is refused when its time is over.
func TestTricklingHeader(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	front := keelproxy.NewFront(keelproxy.FrontConfig{
		Runner: runnerFunc(readingRunner), MaxHeaderBytes: 4096, BodyIdle: bodyIdle, Clock: clock, Limits: func() keelproxy.Limits { return testLimits },
	})
	go func() { _ = front.Run(t.Context()) }()
	c := dialFront(t, front)
	send(c, "GET /x HTTP/1.1\r\nHost: s\r\n")
	end := make(chan struct{})
	go func() {
		defer close(end)
		for {
			if _, err := io.WriteString(c, "a:\r\n"); err != nil {
				return
			}
			clock.Advance(500 * time.Millisecond)
			time.Sleep(time.Millisecond)
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusRequestTimeout)
	_ = c.Close()
	<-end
}

// A header that is larger than the first buffer, and requests that follow it on the connection
// without waiting for its answer, are each answered once.
func TestPipelinedRequests(t *testing.T) {
	is := is.New(t)
	front := keelproxy.NewFront(keelproxy.FrontConfig{Runner: runnerFunc(readingRunner), MaxHeaderBytes: 32 << 10})
	c := dialFront(t, front)
	var text bytes.Buffer
	var want []string
	for i := range 20 {
		text.WriteString("POST /x HTTP/1.1\r\nHost: s\r\n" + shortLines(i*250))
		if i%2 == 0 {
			fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n%s", i, strings.Repeat("x", i))
		} else {
			text.WriteString("Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", i) + "0\r\n\r\n")
		}
		want = append(want, fmt.Sprintf("%d bytes, %d fields", i, i*250))
	}
	go func() { _, _ = c.Write(text.Bytes()) }()
	br := bufio.NewReader(c)
	for _, w := range want {
		resp, err := http.ReadResponse(br, nil)
		is.NoErr(err)
		got, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(string(got), w)
	}
}
