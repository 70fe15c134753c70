package keelsteer_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelproxy"
	"github.com/greengagekeel/greengagekeel/keelsteer"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
)

// failingEndpoint is an endpoint that begins an answer and then closes the
// connection, or keeps it open without sending the rest. If it is silent, it does not
// begin the answer.
type failingEndpoint struct {
	net.Listener
	stalls, silent bool
	// sheds makes it answer every request with 503.
	sheds    bool
	requests atomic.Int64
	// leave ends the request that is received next, if it is set.
	leave atomic.Pointer[context.CancelFunc]
}

// newFailingEndpoint returns an endpoint that accepts connections once its engine runs.
func newFailingEndpoint(t *testing.T) *failingEndpoint {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return &failingEndpoint{Listener: ln}
}

// engine starts the endpoint and returns the engine of an instance of which it is the
// only endpoint. Another failure domain has farSlots slots.
func (f *failingEndpoint) engine(t *testing.T, farSlots int) *keelsteer.Engine {
	go f.run()
	w := newWorld(t)
	w.idle, w.farSlots = []string{"b", "c"}, farSlots
	w.weights = []keel.DomainWeight{{Domain: "near", Weight: 1}}
	w.endpoint = f.Addr().(*net.TCPAddr).AddrPort()
	return w.runningEngine("a")
}

func (f *failingEndpoint) run() {
	for {
		c, err := f.Accept()
		if err != nil {
			return
		}
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err == nil {
			f.requests.Add(1)
			if leave := f.leave.Load(); leave != nil {
				time.AfterFunc(patience, *leave)
			}
		}
		if err == nil && f.sheds {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nKeel-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get(keelproxy.HeaderRequestID))
		}
		if err == nil && !f.silent && !f.sheds {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nKeel-Request-Id: %s\r\nContent-Length: 50\r\n\r\npart", r.Header.Get(keelproxy.HeaderRequestID))
		}
		if !f.stalls {
			_ = c.Close()
		}
	}
}

// failTimeout is the time limit of requests whose answer may stall. It leaves much more
// time at the endpoint than an answer is expected to take, also if the request is sent
// late.
const failTimeout = time.Second

// failAt runs a request that fails at the endpoint, or is refused as not run. If it
// cancels, its context ends between the failure and the end of the answer, as it does
// when another instance forwarded the request.
func failAt(is *is.I, e *keelsteer.Engine, id string, cancels bool) {
	is.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	a, err := e.RunRequest(ctx, &keelproxy.Request{
		ID: id, Service: "s0", Host: "s0", Method: "GET", URI: "/" + id, Timeout: failTimeout,
	})
	if err != nil {
		is.Equal(keel.VerdictOf(err), keel.NotRun)
		return
	}
	_, err = io.ReadAll(a.Body)
	is.True(err != nil)
	if cancels {
		cancel()
	}
	_ = a.Body.Close()
}

// patience is how long a caller waits for an answer after the endpoint has received the
// request. It is much longer than the answer is expected to take.
const patience = 300 * time.Millisecond

// leaveAt runs a request that the endpoint does not answer, and whose caller leaves long
// before the deadline, or that is refused as not run.
func (f *failingEndpoint) leaveAt(is *is.I, e *keelsteer.Engine, id string) {
	is.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f.leave.Store(&cancel)
	_, err := e.RunRequest(ctx, &keelproxy.Request{ID: id, Service: "s0", Host: "s0", Method: "GET", URI: "/" + id, Timeout: time.Minute})
	is.True(err != nil)
}

// runningEngine returns the engine of an instance, which runs until the test ends.
func (w *world) runningEngine(name keel.InstanceName) *keelsteer.Engine {
	e, _ := w.engine(name)
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { _ = e.Run(ctx) })
	w.t.Cleanup(func() { cancel(); group.Wait() })
	return e
}

// The only endpoint of a failure domain breaks off every answer, or stalls. If
// another domain has slots, the endpoint soon gets no more requests, which are
// refused as not run instead of failing. If not, it goes on getting them.
func TestOnlyEndpointFails(t *testing.T) {
	const requests = 20
	for _, tt := range []struct {
		name     string
		stalls   bool
		cancels  bool
		farSlots int
		sent     int64
	}{
		{"breaks off", false, false, 4, 10},
		{"breaks off behind another instance", false, true, 4, 10},
		{"stalls", true, false, 4, 10},
		{"stalls behind another instance", true, true, 4, 10},
		{"breaks off, no slots elsewhere", false, false, 0, requests},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFailingEndpoint(t)
			f.stalls = tt.stalls
			e := f.engine(t, tt.farSlots)
			for i := 0; f.requests.Load() == 0; i++ { // until the instance owns the endpoint
				failAt(is, e, fmt.Sprint("first-", i), tt.cancels)
			}
			for i := range requests - 1 {
				failAt(is, e, fmt.Sprint("request-", i), tt.cancels)
			}
			is.Equal(f.requests.Load(), tt.sent)
		})
	}
}

// The only endpoint of a failure domain turns every request away. As long as another domain has
// slots, the endpoint soon gets no more requests, so that they go there. If not, it goes on
// getting them: it may be full.
func TestOnlyEndpointSheds(t *testing.T) {
	const requests = 20
	for farSlots, sent := range map[int]int64{4: 10, 0: requests} {
		t.Run(fmt.Sprintf("%d slots elsewhere", farSlots), func(t *testing.T) {
			is := is.New(t)
			f := newFailingEndpoint(t)
			f.sheds = true
			e := f.engine(t, farSlots)
			send := func(id string) {
				a, err := e.RunRequest(t.Context(), &keelproxy.Request{ID: id, Service: "s0", Host: "s0", Method: "GET", URI: "/" + id, Timeout: failTimeout})
				if err != nil {
					is.Equal(keel.VerdictOf(err), keel.NotRun)
					return
				}
				is.Equal(a.Status, http.StatusServiceUnavailable)
				_ = a.Body.Close()
			}
			for i := 0; f.requests.Load() == 0; i++ { // until the instance owns the endpoint
				send(fmt.Sprint("first-", i))
			}
			for i := range requests - 1 {
				send(fmt.Sprint("request-", i))
			}
			is.Equal(f.requests.Load(), sent)
		})
	}
}

// The only endpoint of a failure domain answers nothing, and callers leave before the
// deadline. As long as another domain has slots, the endpoint soon gets no more requests.
func TestOnlyEndpointIsSilent(t *testing.T) {
	const requests = 20
	is := is.New(t)
	f := newFailingEndpoint(t)
	f.stalls, f.silent = true, true
	e := f.engine(t, 4)
	for i := 0; f.requests.Load() == 0; i++ { // until the instance owns the endpoint
		f.leaveAt(is, e, fmt.Sprint("first-", i))
	}
	for i := range requests - 1 {
		f.leaveAt(is, e, fmt.Sprint("request-", i))
	}
	is.Equal(f.requests.Load(), int64(10))
}

// An owner has lost its links to its endpoints, to which connections are refused. As long as another
// domain has slots, it soon tries no more, so that requests go there.
func TestOwnerReachesNoEndpoint(t *testing.T) {
	const requests, owned = 30, 1
	is := is.New(t)
	f := newFailingEndpoint(t)
	_ = f.Close()
	e := f.engine(t, 4)
	tried := 0
	for i := 0; i < requests || tried == 0; i++ { // the first ones come before the instance owns the endpoint
		_, err := e.RunRequest(t.Context(), &keelproxy.Request{ID: fmt.Sprint(i), Service: "s0", Host: "s0", Method: "GET", URI: "/", Timeout: failTimeout})
		is.Equal(keel.VerdictOf(err), keel.NotRun)
		if keelproxy.AsRefusal(err).Reason == keel.ReasonEndpointFailed {
			tried++
		}
	}
	const ejectAfter = 5
	is.True(tried <= 2*ejectAfter*owned)
}
