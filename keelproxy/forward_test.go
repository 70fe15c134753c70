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

// deafStream is a stream to an instance that reads nothing and refuses. The
// refusal arrives after sending has failed.
type deafStream struct {
	refusal  io.Reader
	failed   chan struct{}
	canceled chan struct{}
	fail     sync.Once
	cancel   sync.Once
}

func (s *deafStream) Write([]byte) (int, error) {
	s.fail.Do(func() { close(s.failed) })
	return 0, errors.New("the other side reads no more")
}

func (s *deafStream) Read(p []byte) (int, error) {
	<-s.failed
	for range 100 {
		runtime.Gosched() // lets the sender act on its failure
	}
	select {
	case <-s.canceled:
		return 0, errors.New("stream was cancelled")
	default:
		return s.refusal.Read(p)
	}
}

func (s *deafStream) CloseWrite() error {
	_, err := s.Write(nil)
	return err
}

func (s *deafStream) Cancel() { s.cancel.Do(func() { close(s.canceled) }) }

func (s *deafStream) Context() context.Context { return context.Background() }

// deafTransport opens streams to an instance that refuses everything.
type deafTransport struct{ keel.Transport }

func (deafTransport) Open(context.Context, netip.AddrPort, keel.Envelope) (keel.Stream, error) {
	head := struct {
		Refusal *keel.Refusal `cbor:"1,keyasint"`
	}{keel.Refuse(keel.NotRun, keel.ReasonNoEndpoint, time.Second, "none here")}
	body, err := keel.EncodeCBOR(&head)
	return &deafStream{
		refusal: bytes.NewReader(body), failed: make(chan struct{}), canceled: make(chan struct{}),
	}, err
}

// TestEarlyRefusal forwards requests to an instance that refuses without reading
// them. Its verdict reaches the caller each time.
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
			f := keelproxy.Forwarder{Transport: deafTransport{}}
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
