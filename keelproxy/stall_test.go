package keelproxy_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelproxy"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

const bodyIdle = 30 * time.Second

// serveWithFakeClock serves a runner on a caller port whose timeouts use a fake
// clock.
func serveWithFakeClock(t *testing.T, runner keelproxy.Runner) (*keelproxy.Front, net.Addr, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	front := keelproxy.NewFront(keelproxy.FrontConfig{
		Runner: runner, MaxHeaderBytes: 4096, BodyIdle: bodyIdle, IdleTimeout: time.Minute, Clock: clock,
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() { cancel(); _ = ln.Close() })
	go func() { _ = front.Serve(ln) }()
	go func() { _ = front.Run(ctx) }()
	return front, ln.Addr(), clock
}

// silentEndpoint starts an endpoint that reads requests and never answers. The
// channel receives a value when the first byte of a connection arrives.
func silentEndpoint(t *testing.T) (netip.AddrPort, <-chan struct{}) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	got := make(chan struct{}, 16)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if _, err := c.Read(make([]byte, 1)); err == nil {
					got <- struct{}{}
				}
				_, _ = io.Copy(io.Discard, c)
			}()
		}
	}()
	return ln.Addr().(*net.TCPAddr).AddrPort(), got
}

// TestStalledRequest sends the beginning of a request and then nothing. The caller
// must be answered with the status 408 and the verdict that matches what the
// endpoint received, and the connection must be closed.
func TestStalledRequest(t *testing.T) {
	part := strings.Repeat("x", 20_000)
	tests := []struct {
		name, begin string
		reaches     bool // a byte reaches the endpoint
		verdict     keel.Verdict
	}{
		{"header", "GET /x HTTP/1.1\r\nHost: s\r\nX-", false, keel.NotRun},
		{"short body", "POST /x HTTP/1.1\r\nHost: s\r\nContent-Length: 100\r\n\r\n", false, keel.NotRun},
		{"long body", "POST /x HTTP/1.1\r\nHost: s\r\nContent-Length: 100000\r\n\r\n", false, keel.NotRun},
		{"expect", "POST /x HTTP/1.1\r\nHost: s\r\nExpect: 100-continue\r\nContent-Length: 100\r\n\r\n", false, keel.NotRun},
		{"first chunk", "POST /x HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\n\r\n", false, keel.NotRun},
		{"middle of a body", "POST /x HTTP/1.1\r\nHost: s\r\nContent-Length: 100000\r\n\r\n" + part, true, keel.MayHaveRun},
		{"middle of a chunk", "POST /x HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\n\r\nffff\r\n" + part, true, keel.MayHaveRun},
	}
	for _, tt := range tests {
		addr, got := silentEndpoint(t)
		for name, runner := range runners(t, addr) {
			t.Run(tt.name+"/"+name, func(t *testing.T) {
				is := is.New(t)
				front, caller, clock := serveWithFakeClock(t, deadlineRunner{runner})
				c, err := net.Dial("tcp", caller.String())
				is.NoErr(err)
				defer func() { _ = c.Close() }()
				send(c, tt.begin)
				if tt.reaches {
					<-got
				}
				answer := advanceUntilAnswer(t, c, clock)
				is.Equal(answer.StatusCode, http.StatusRequestTimeout)
				is.Equal(answer.Header.Get(keelproxy.HeaderVerdict), tt.verdict.String())
				is.Equal(front.InFlight(), int64(0))
				_, err = c.Read(make([]byte, 1))
				is.True(err != nil) // the connection is closed
			})
		}
	}
}

// advance moves the clock by d in steps that are too short to count as a pause of
// the process.
func advance(clock *clockwork.FakeClock, d time.Duration) {
	for ; d > 0; d -= time.Second {
		clock.Advance(time.Second)
	}
}

// advanceUntilAnswer advances the clock until an answer arrives, and returns it.
func advanceUntilAnswer(t *testing.T, c net.Conn, clock *clockwork.FakeClock) *http.Response {
	t.Helper()
	answers := make(chan *http.Response, 1)
	go func() {
		defer close(answers)
		br := bufio.NewReader(c)
		for {
			resp, err := http.ReadResponse(br, nil)
			if err != nil {
				return
			}
			_, _ = io.ReadAll(resp.Body)
			if resp.StatusCode != http.StatusContinue {
				answers <- resp
				return
			}
		}
	}()
	for {
		select {
		case resp, ok := <-answers:
			if !ok {
				t.Fatal("the connection ended without an answer")
			}
			return resp
		case <-time.After(time.Millisecond):
			clock.Advance(time.Second)
		}
	}
}

// byteRunner reads a body byte by byte, sends each byte to received, and answers
// when the body is complete.
type byteRunner struct{ received chan byte }

func (r byteRunner) RunRequest(_ context.Context, req *keelproxy.Request) (*keelproxy.Answer, error) {
	for {
		var b [1]byte
		n, err := req.Body.Read(b[:])
		if n > 0 {
			r.received <- b[0]
		}
		if keelproxy.CleanEnd(err) {
			return &keelproxy.Answer{Status: http.StatusOK, Body: http.NoBody}, nil
		}
		if err != nil {
			return nil, keel.Refuse(keel.NotRun, keelproxy.BodyReason(err), 0, "%v", err)
		}
	}
}

// TestSlowRequest uploads a body for far longer than BodyIdle, with pauses between
// bytes that are just below it. The request must succeed.
func TestSlowRequest(t *testing.T) {
	is := is.New(t)
	runner := byteRunner{received: make(chan byte)}
	_, caller, clock := serveWithFakeClock(t, runner)
	c, err := net.Dial("tcp", caller.String())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	send(c, "POST /x HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\n\r\n")
	for range 20 {
		send(c, "1\r\nx\r\n")
		is.Equal(<-runner.received, byte('x'))
		advance(clock, bodyIdle-time.Second)
	}
	send(c, "0\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
}

// TestWaitingRequest delays a request for longer than BodyIdle without reading its
// body. This must not count as a stalled caller.
func TestWaitingRequest(t *testing.T) {
	is := is.New(t)
	runner := waitingRunner{entered: make(chan struct{}), proceed: make(chan struct{})}
	_, caller, clock := serveWithFakeClock(t, runner)
	c, err := net.Dial("tcp", caller.String())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	send(c, "POST /x HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\n\r\n")
	<-runner.entered
	for range 20 {
		advance(clock, bodyIdle-time.Second)
	}
	close(runner.proceed)
	send(c, "1\r\nx\r\n0\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
}

// waitingRunner reads the body and answers once proceed is closed.
type waitingRunner struct{ entered, proceed chan struct{} }

func (r waitingRunner) RunRequest(_ context.Context, req *keelproxy.Request) (*keelproxy.Answer, error) {
	close(r.entered)
	<-r.proceed
	if _, err := io.ReadAll(req.Body); err != nil {
		return nil, err
	}
	return &keelproxy.Answer{Status: http.StatusOK, Body: http.NoBody}, nil
}

// closedCallerRunner reads the body only after the request was cancelled, and sends
// the error to readErr.
type closedCallerRunner struct {
	entered chan struct{}
	readErr chan error
}

func (r closedCallerRunner) RunRequest(ctx context.Context, req *keelproxy.Request) (*keelproxy.Answer, error) {
	close(r.entered)
	<-ctx.Done()
	keelproxy.Interrupt(req.Body)
	_, err := io.ReadAll(req.Body)
	r.readErr <- err
	return nil, keel.Refuse(keel.NotRun, keel.ReasonBadRequest, 0, "%v", err)
}

// TestCutBodyOfClosedCaller has a caller that closes its side of the connection
// within a body. The body must end as cut, also if the monitor notices the closing
// before the body is read.
func TestCutBodyOfClosedCaller(t *testing.T) {
	is := is.New(t)
	runner := closedCallerRunner{entered: make(chan struct{}), readErr: make(chan error, 1)}
	_, caller, clock := serveWithFakeClock(t, runner)
	c, err := net.Dial("tcp", caller.String())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	send(c, "POST /x HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nx")
	<-runner.entered
	is.NoErr(c.(*net.TCPConn).CloseWrite())
	resp := advanceUntilAnswer(t, c, clock)
	is.Equal(resp.StatusCode, http.StatusBadRequest)
	is.True(errors.Is(<-runner.readErr, io.ErrUnexpectedEOF))
}

// endlessRunner returns an endless answer to a request with a short deadline.
type endlessRunner struct{}

func (endlessRunner) RunRequest(ctx context.Context, _ *keelproxy.Request) (*keelproxy.Answer, error) {
	_, _ = keelproxy.WithDeadline(ctx, time.Now().Add(100*time.Millisecond))
	return &keelproxy.Answer{Status: http.StatusOK, ContentLength: keelproxy.LengthUnknown, Body: endlessBody{}}, nil
}

type endlessBody struct{}

func (endlessBody) Read(p []byte) (int, error) { return len(p), nil }

func (endlessBody) Close() error { return nil }

// TestUnreadAnswer has a caller that does not read its answer. The request must end
// after its deadline and be reported as broken.
func TestUnreadAnswer(t *testing.T) {
	is := is.New(t)
	ended := make(chan keelproxy.Result, 1)
	front := keelproxy.NewFront(keelproxy.FrontConfig{
		Runner: endlessRunner{}, MaxHeaderBytes: 4096, Report: func(r keelproxy.Result) { ended <- r },
	})
	go func() { _ = front.Run(t.Context()) }()
	c := dialFront(t, front)
	send(c, "GET /x HTTP/1.1\r\nHost: s\r\n\r\n")
	is.True((<-ended).Broken)
	is.Equal(front.InFlight(), int64(0))
}

// TestCutRequest has callers that close their side of the connection within a
// body. The verdict must be MayHaveRun, since the endpoint received a part.
func TestCutRequest(t *testing.T) {
	part := strings.Repeat("x", 20_000)
	for _, begin := range []string{"Content-Length: 100000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\nffff\r\n"} {
		addr, got := silentEndpoint(t)
		for name, runner := range runners(t, addr) {
			t.Run(begin[:7]+"/"+name, func(t *testing.T) {
				is := is.New(t)
				front, caller, _ := serveWithFakeClock(t, deadlineRunner{runner})
				c, err := net.Dial("tcp", caller.String())
				is.NoErr(err)
				defer func() { _ = c.Close() }()
				send(c, "POST /x HTTP/1.1\r\nHost: s\r\n"+begin+part)
				<-got
				is.NoErr(c.(*net.TCPConn).CloseWrite())
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				is.NoErr(err)
				is.Equal(resp.Header.Get(keelproxy.HeaderVerdict), keel.MayHaveRun.String())
				is.Equal(front.InFlight(), int64(0))
			})
		}
	}
}
