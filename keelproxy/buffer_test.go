package keelproxy_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/greengagekeel/greengagekeel/keelbudget"
	"github.com/greengagekeel/greengagekeel/keelproxy"
	"github.com/matryer/is"
)

// However a request ends, what was charged for it is returned once its connection is closed,
// and but for a connection's own part before.
func TestChargesAreReturned(t *testing.T) {
	const post = "POST /x HTTP/1.1\r\nHost: s\r\nContent-Length: 50000\r\n\r\n"
	part := strings.Repeat("x", 20_000)
	buffering := runnerFunc(func(ctx context.Context, r *keelproxy.Request) (*keelproxy.Answer, error) {
		ctx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		if r.Body == nil {
			return textAnswer("ok"), nil
		}
		if _, _, err := r.BufferBody(ctx, 100_000); err != nil {
			return nil, keelproxy.BodyRefusal(err)
		}
		return textAnswer("ok"), nil
	})
	panics := runnerFunc(func(context.Context, *keelproxy.Request) (*keelproxy.Answer, error) { panic("a fault of the program") })
	tests := []struct {
		name   string
		runner keelproxy.Runner
		send   string
		leave  func(c net.Conn) // instead of waiting for the end
	}{
		{"answered", buffering, post + part + part + part[:10_000], nil},
		{"many fields", buffering, "GET /x HTTP/1.1\r\nHost: s\r\n" + shortLines(3000) + "\r\n", nil},
		{"malformed", buffering, "GET\r\n\r\n", nil},
		{"too large", buffering, "GET /x HTTP/1.1\r\n" + shortLines(20_000), nil},
		{"deadline in the body", buffering, post + part, nil},
		{"panic", panics, "GET /x HTTP/1.1\r\nHost: s\r\n" + shortLines(3000) + "\r\n", nil},
		{"caller leaves", buffering, post + part, func(c net.Conn) { _ = c.Close() }},
		{"reset", buffering, post + part, func(c net.Conn) {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}},
		{"cut header", buffering, "GET /x HTTP/1.1\r\nHost: s\r\n" + shortLines(3000), func(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			budget := keelbudget.New(keelbudget.Config{Bytes: 20 << 20, Connections: 10})
			front := keelproxy.NewFront(keelproxy.FrontConfig{Runner: tt.runner, MaxHeaderBytes: 16 << 10, Budget: budget})
			go func() { _ = front.Run(t.Context()) }()
			c := dialFront(t, front)
			go func() {
				_, _ = io.WriteString(c, tt.send)
				if tt.leave != nil {
					tt.leave(c)
				}
			}()
			if tt.leave == nil {
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
				}
				_ = c.Close()
			}
			for budget.Usage().Connections > 0 {
				time.Sleep(time.Millisecond)
			}
			is.Equal(budget.Usage().Held, int64(0))
			is.Equal(front.InFlight(), int64(0))
		})
	}
}

// A request for which there is no room is refused as not run, a caller that stops in the middle
// of its request gives way to it, and one with an ordinary request always finds room.
func TestSilentUploadGivesWay(t *testing.T) {
	is := is.New(t)
	buffering := runnerFunc(func(ctx context.Context, r *keelproxy.Request) (*keelproxy.Answer, error) {
		if r.Body != nil {
			if _, _, err := r.BufferBody(ctx, 1<<20); err != nil {
				return nil, keelproxy.BodyRefusal(err)
			}
		}
		return textAnswer("ok"), nil
	})
	budget := keelbudget.New(keelbudget.Config{Bytes: 2 << 20, Connections: 100})
	front := keelproxy.NewFront(keelproxy.FrontConfig{Runner: buffering, MaxHeaderBytes: 4096, Budget: budget})
	go func() { _ = front.Run(t.Context()) }()
	const size = 400_000
	head := fmt.Sprintf("POST /x HTTP/1.1\r\nHost: s\r\nContent-Length: %d\r\n\r\n", size)
	silent := dialFront(t, front)
	send(silent, head+strings.Repeat("x", size-1))
	for budget.Usage().Held < size {
		time.Sleep(time.Millisecond)
	}
	for range 20 {
		c := dialFront(t, front)
		go func() { _, _ = io.WriteString(c, head+strings.Repeat("x", size)) }()
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		if resp.StatusCode != http.StatusOK {
			is.Equal(resp.Header.Get(keelproxy.HeaderVerdict), "not_run")
			is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
			is.Equal(resp.Header.Get("Retry-After"), "1")
		}
		ordinary := dialFront(t, front)
		send(ordinary, "GET /x HTTP/1.1\r\nHost: s\r\n\r\n")
		resp, err = http.ReadResponse(bufio.NewReader(ordinary), nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
	}
}
