package keelproxy_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/fxamacker/cbor/v2"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelpeer"
	"github.com/greengagekeel/greengagekeel/keelproxy"
	"github.com/matryer/is"
)

// An endpoint sends an earlier answer once more before the answer to the next
// request on a kept connection. The next caller does not get it, whether it lacks
// an id or has that of the request, which its caller has sent again.
func TestEarlierAnswerRepeated(t *testing.T) {
	for _, tt := range []struct {
		name, repeated string
		ids            [2]string
	}{
		{"without an id", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong", [2]string{"id-1", "id-2"}},
		{"with the id of the earlier request", okHeader + "Content-Length: 5\r\n\r\nwrong", [2]string{"id-1", "id-2"}},
		{"with the id of the request", okHeader + "Content-Length: 5\r\n\r\nwrong", [2]string{"id-1", "id-1"}},
	} {
		var mu sync.Mutex
		requests := map[string]int{} // by connection
		for name, runner := range runners(t, rawEndpoint(t, func(r *http.Request, w io.Writer) bool {
			mu.Lock()
			defer mu.Unlock()
			conn := w.(interface{ RemoteAddr() net.Addr }).RemoteAddr().String()
			requests[conn]++
			if requests[conn] > 1 {
				send(w, tt.repeated)
			}
			send(w, strings.ReplaceAll(okHeader, "id-1", r.Header.Get(keelproxy.HeaderRequestID))+"Content-Length: 5\r\n\r\nright")
			return true
		})) {
			t.Run(tt.name+"/"+name, func(t *testing.T) {
				is := is.New(t)
				for _, id := range tt.ids {
					r := newGetRequest()
					r.ID = id
					a, err := runner.RunRequest(t.Context(), r)
					is.NoErr(err)
					body, err := io.ReadAll(a.Body)
					is.NoErr(err)
					is.Equal(string(body), "right")
					is.NoErr(a.Body.Close())
				}
			})
		}
	}
}

// The error of an answer that breaks off quotes neither bytes of the connection nor
// the address of the endpoint, here and behind another instance.
func TestBrokenAnswerIsNotQuoted(t *testing.T) {
	const chunked = okHeader + "Transfer-Encoding: chunked\r\n\r\n"
	for name, answer := range map[string]string{
		"status line":       "HTTP/1.1 200 secret",
		"field":             okHeader + "X-Other: secret",
		"other id":          "HTTP/1.1 200 OK\r\nKeel-Request-Id: secret\r\nContent-Length: 50\r\n\r\nsecret",
		"body":              okHeader + "Content-Length: 50\r\n\r\nsecret",
		"chunk size":        chunked + "secret\r\n",
		"chunk":             chunked + "50\r\nsecret",
		"trailer":           chunked + "0\r\nX-secret: secret",
		"malformed trailer": chunked + "0\r\nsecret\r\n\r\n",
		"nothing":           "",
	} {
		for via, runner := range runners(t, rawEndpoint(t, func(_ *http.Request, w io.Writer) bool {
			send(w, answer)
			return false
		})) {
			t.Run(name+"/"+via, func(t *testing.T) {
				a, err := runner.RunRequest(t.Context(), newGetRequest())
				if err == nil {
					_, err = io.ReadAll(a.Body)
					_ = a.Body.Close()
				}
				if err == nil {
					t.Fatal("no error")
				}
				for _, unwanted := range []string{"secret", "127.0.0.1", "contents"} {
					if strings.Contains(err.Error(), unwanted) {
						t.Errorf("%q contains %q", err, unwanted)
					}
				}
			})
		}
	}
}

// An endpoint closes the connection after each possible number of bytes of its answer.
// Only the whole answer ends without an error, here and behind another instance.
func TestAnswerCutAtEachByte(t *testing.T) {
	for framing, answer := range map[string]string{
		"length":  okHeader + "Content-Length: 5\r\n\r\nbytes",
		"chunked": okHeader + "Transfer-Encoding: chunked\r\n\r\n5\r\nbytes\r\n0\r\n\r\n",
		"no body": okHeader + "Content-Length: 0\r\n\r\n",
	} {
		var size atomic.Int64
		for via, runner := range runners(t, rawEndpoint(t, func(_ *http.Request, w io.Writer) bool {
			send(w, answer[:size.Load()])
			return false
		})) {
			t.Run(framing+"/"+via, func(t *testing.T) {
				for n := range len(answer) + 1 {
					size.Store(int64(n))
					a, err := runner.RunRequest(t.Context(), newGetRequest())
					if err == nil {
						_, err = io.ReadAll(a.Body)
						_ = a.Body.Close()
					}
					if (err == nil) != (n == len(answer)) {
						t.Errorf("error %v after %q", err, answer[:n])
					}
				}
			})
		}
	}
}

// A forwarded answer ends after each possible number of bytes that another instance
// sends. Only the whole answer ends without an error.
func TestForwardedAnswerCutAtEachByte(t *testing.T) {
	is := is.New(t)
	var whole []byte
	for _, part := range []any{
		struct {
			Status        int   `cbor:"2,keyasint"`
			ContentLength int64 `cbor:"4,keyasint"`
		}{200, 5},
		struct {
			Data []byte `cbor:"1,keyasint"`
		}{[]byte("bytes")},
		struct {
			Last bool `cbor:"2,keyasint"`
		}{true},
	} {
		b, err := cbor.Marshal(part)
		is.NoErr(err)
		whole = append(whole, b...)
	}
	for n := range len(whole) + 1 {
		f := keelproxy.Forwarder{Transport: brokenPeer{answer: string(whole[:n])}}
		a, err := f.Forward(t.Context(), netip.MustParseAddrPort("127.0.0.1:1"), newGetRequest())
		if err == nil {
			_, err = io.ReadAll(a.Body)
			_ = a.Body.Close()
		}
		if (err == nil) != (n == len(whole)) {
			t.Errorf("error %v after %d of %d bytes", err, n, len(whole))
		}
	}
}

// brokenPeer opens streams on which another instance sends bytes that are no
// answer and then ends.
type brokenPeer struct {
	keel.Transport
	answer string
}

func (p brokenPeer) Open(context.Context, netip.AddrPort, keel.Envelope) (keel.Stream, error) {
	return &refusedStream{refusingStream{refusal: strings.NewReader(p.answer), failed: make(chan struct{}), canceled: make(chan struct{})}}, nil
}

// An instance whose answer to a forwarded request is malformed or breaks off is not
// quoted either.
func TestBrokenPeerIsNotQuoted(t *testing.T) {
	text := "\x66secret" // a text string in CBOR
	for name, answer := range map[string]string{
		"nothing": "", "no CBOR": "secret\xff\xff", "other type": text, "cut": "\xa2\x02\x19", "other key": "\xa1" + text + text,
		"wrong field": "\xa1\x02" + text, "key twice": "\xa2" + text + text + text + text, "no status": "\xa0",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := keelproxy.Forwarder{Transport: brokenPeer{answer: answer}}
			_, err := f.Forward(t.Context(), netip.MustParseAddrPort("127.0.0.1:1"), newGetRequest())
			is.Equal(keel.VerdictOf(err), keel.MayHaveRun)
			is.True(!strings.Contains(err.Error(), "secret"))
			is.True(!strings.Contains(err.Error(), "127.0.0.1"))
		})
	}
}

// An instance that can't be reached is not named by its address, which the error of
// the transport contains.
func TestUnreachablePeerAddressIsNotQuoted(t *testing.T) {
	is := is.New(t)
	hub := keelpeer.NewMemoryHub(keelpeer.HubConfig{})
	f := keelproxy.Forwarder{Transport: hub.Join("a", netip.MustParseAddrPort("127.0.0.1:1"))}
	_, err := f.Forward(t.Context(), netip.MustParseAddrPort("127.0.0.1:2"), newGetRequest())
	is.Equal(keel.VerdictOf(err), keel.NotRun)
	is.True(!strings.Contains(err.Error(), "127.0.0.1"))
}
