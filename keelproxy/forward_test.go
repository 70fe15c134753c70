package keelproxy_test

import (
	"bytes"
	"context"
	"io"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelproxy"
)

// refusingStream is a stream to an instance that refuses without reading the
// body. The refusal arrives after sending has failed.
type refusingStream struct {
	refusal  io.Reader
	failed   chan struct{}
	canceled chan struct{}
	fail     sync.Once
	cancel   sync.Once
}

func (s *refusingStream) Write([]byte) (int, error) {
	s.fail.Do(func() { close(s.failed) })
	return 0, errors.New("the other side reads no more")
}

func (s *refusingStream) Read(p []byte) (int, error) {
	<-s.failed
	for range 100 {
		runtime.Gosched() // lets the sender handle its failure
	}
	select {
	case <-s.canceled:
		return 0, errors.New("stream was cancelled")
	default:
		return s.refusal.Read(p)
	}
}

func (s *refusingStream) CloseWrite() error {
	_, err := s.Write(nil)
	return err
}

func (s *refusingStream) Cancel() { s.cancel.Do(func() { close(s.canceled) }) }

func (s *refusingStream) Context() context.Context { return context.Background() }

// refusingTransport opens streams to an instance that refuses everything.
type refusingTransport struct{ keel.Transport }

func (refusingTransport) Open(context.Context, netip.AddrPort, keel.Envelope) (keel.Stream, error) {
	head := struct {
		Refusal *keel.Refusal `cbor:"1,keyasint"`
	}{keel.Refuse(keel.NotRun, keel.ReasonNoEndpoint, time.Second, "none here")}
	body, err := keel.EncodeCBOR(&head)
	return &refusingStream{
		refusal: bytes.NewReader(body), failed: make(chan struct{}), canceled: make(chan struct{}),
	}, err
}

// TestEarlyRefusal forwards requests to an instance that refuses without reading
// the body. The failure to send the body must not hide the refusal, so the verdict
// must reach the caller each time.
func TestEarlyRefusal(t *testing.T) {
	tests := []struct {
		name, method, body string
	}{
		{"upload", "POST", "bytes"},
		{"no body", "GET", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := keelproxy.Forwarder{Transport: refusingTransport{}}
			for range 1000 {
				r := &keelproxy.Request{
					ID: "r", Service: "s", Method: tt.method, URI: "/", ContentLength: int64(len(tt.body)),
					Deadline: time.Now().Add(time.Minute),
				}
				if tt.body != "" {
					r.Body = strings.NewReader(tt.body)
				}
				_, err := f.Forward(t.Context(), netip.MustParseAddrPort("127.0.0.1:1"), r)
				refusal := keelproxy.AsRefusal(err)
				is.Equal(refusal.Verdict, keel.NotRun)
				is.Equal(refusal.Reason, keel.ReasonNoEndpoint)
			}
		})
	}
}

// refusedStream is a stream on which the refusal arrives before the body is sent.
type refusedStream struct{ refusingStream }

func (s *refusedStream) Write(p []byte) (int, error) { return len(p), nil }
func (s *refusedStream) Read(p []byte) (int, error)  { return s.refusal.Read(p) }

type refusedTransport struct{ refusingTransport }

func (tr refusedTransport) Open(ctx context.Context, to netip.AddrPort, e keel.Envelope) (keel.Stream, error) {
	s, err := tr.refusingTransport.Open(ctx, to, e)
	if err != nil {
		return nil, err
	}
	return &refusedStream{refusingStream{refusal: s.(*refusingStream).refusal, failed: make(chan struct{}), canceled: make(chan struct{})}}, nil
}

// reusableBody is a body that is sent again if it was not read, as a retry does.
type reusableBody struct {
	marked, reused atomic.Bool
	readAfterReuse atomic.Bool
}

func (b *reusableBody) MarkRead() { b.marked.Store(true) }

func (b *reusableBody) Read([]byte) (int, error) {
	b.marked.Store(true)
	if b.reused.Load() {
		b.readAfterReuse.Store(true)
	}
	return 0, io.EOF
}

// A request whose refusal arrives before its body was read may be sent again with
// the same body. The sender of the first attempt must not read it as well: the
// second attempt would lack what it took.
func TestRefusedRequestLeavesBodyToRetry(t *testing.T) {
	is := is.New(t)
	reused := 0
	for range 2000 {
		b := &reusableBody{}
		f := keelproxy.Forwarder{Transport: refusedTransport{}}
		_, err := f.Forward(t.Context(), netip.MustParseAddrPort("127.0.0.1:1"), &keelproxy.Request{
			ID: "id", Method: "POST", URI: "/x", ContentLength: 4, Body: b, Deadline: time.Now().Add(time.Minute),
		})
		is.Equal(keel.VerdictOf(err), keel.NotRun)
		b.reused.Store(true)
		if b.marked.Load() {
			continue // read before Forward returned, so that it is not sent again
		}
		reused++
		for range 10 {
			runtime.Gosched()
		}
		is.True(!b.readAfterReuse.Load())
	}
	t.Logf("%d of 2000 bodies were left unread", reused)
}

// hangingTransport opens streams to an instance that does not answer.
type hangingTransport struct{ keel.Transport }

func (hangingTransport) Open(context.Context, netip.AddrPort, keel.Envelope) (keel.Stream, error) {
	return &hangingStream{refusingStream{canceled: make(chan struct{})}}, nil
}

type hangingStream struct{ refusingStream }

func (s *hangingStream) CloseWrite() error { return nil }

func (s *hangingStream) Read([]byte) (int, error) {
	<-s.canceled
	return 0, errors.New("stream was cancelled")
}

// The caller of a forwarded request leaves. Once Forward has returned, the request
// belongs to its sender again, which may replace its body for another attempt: the race
// detector reports if what watches the context still reads it.
func TestForwardReleasesRequest(t *testing.T) {
	is := is.New(t)
	for range 100 {
		ctx, cancel := context.WithCancel(t.Context())
		r := &keelproxy.Request{ID: "id", Method: "GET", URI: "/x", Deadline: time.Now().Add(time.Minute)}
		time.AfterFunc(time.Millisecond, cancel)
		f := keelproxy.Forwarder{Transport: hangingTransport{}}
		_, err := f.Forward(ctx, netip.MustParseAddrPort("127.0.0.1:1"), r)
		is.Equal(keel.VerdictOf(err), keel.MayHaveRun)
		r.Body = strings.NewReader("body of another attempt")
	}
}
