package keelproxy_test

import (
	"bytes"
	"context"
	"io"
	"net/netip"
	"runtime"
	"strings"
	"sync"
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
