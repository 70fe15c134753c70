package keelsteer_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelproxy"
	"github.com/greengagekeel/greengagekeel/keelsteer"
	"github.com/matryer/is"
)

// engineOfOnlyEndpoint returns the running engine of an instance that owns one endpoint, to
// which it sends all requests. answer is called for each, before the body is written.
func engineOfOnlyEndpoint(t *testing.T, answer func(w http.ResponseWriter)) *keelsteer.Engine {
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(keelproxy.HeaderRequestID, r.Header.Get(keelproxy.HeaderRequestID))
		answer(w)
		_, _ = io.WriteString(w, "bytes")
	}))
	t.Cleanup(endpoint.Close)
	w := newWorld(t)
	w.idle = []string{"b", "c"}
	w.weights = []keel.DomainWeight{{Domain: "near", Weight: 1}}
	w.endpoint = netip.MustParseAddrPort(endpoint.Listener.Addr().String())
	return w.runningEngine("a")
}

// runAtOnlyEndpoint runs a request and reads its answer.
func runAtOnlyEndpoint(ctx context.Context, e *keelsteer.Engine, id string) error {
	return runAtOnlyEndpointWithin(ctx, e, id, time.Minute)
}

// runAtOnlyEndpointWithin does so with a time limit.
func runAtOnlyEndpointWithin(ctx context.Context, e *keelsteer.Engine, id string, limit time.Duration) error {
	a, err := e.RunRequest(ctx, &keelproxy.Request{ID: id, Service: "s0", Host: "s0", Method: "GET", URI: "/", Timeout: limit})
	if err != nil {
		return err
	}
	if _, err := io.ReadAll(a.Body); err != nil {
		return err
	}
	return a.Body.Close()
}

// The only endpoint of an owner says in an answer that it leaves, or turns a request away
// for a time. It gets no further requests: they are refused as not run, at once. It
// gets them again once the time is over.
func TestOwnerHeedsEndpoint(t *testing.T) {
	for _, tt := range []struct {
		name   string
		status int
		field  string
		value  string
		// resumes is whether the endpoint gets requests again.
		resumes bool
	}{
		{"leaves", http.StatusOK, keelproxy.HeaderLeaving, "1", false},
		{"turns requests away for long", http.StatusServiceUnavailable, "Retry-After", "3600", false},
		{"turns requests away for a time", http.StatusServiceUnavailable, "Retry-After", "0.3", true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var requests atomic.Int64
			e := engineOfOnlyEndpoint(t, func(w http.ResponseWriter) {
				if requests.Add(1) == 1 {
					w.Header().Set(tt.field, tt.value)
					w.WriteHeader(tt.status)
				}
			})
			i := 0
			run := func() error {
				i++
				return runAtOnlyEndpoint(t.Context(), e, fmt.Sprint("r", i))
			}
			for requests.Load() == 0 { // refused until the engine runs
				_ = run()
			}
			start := time.Now()
			for requests.Load() == 1 && (tt.resumes || time.Since(start) < time.Second) {
				if err := run(); err != nil {
					is.Equal(keel.VerdictOf(err), keel.NotRun)
				}
			}
			is.True(tt.resumes == (requests.Load() > 1))
			is.True(!tt.resumes || time.Since(start) > 250*time.Millisecond)
		})
	}
}
