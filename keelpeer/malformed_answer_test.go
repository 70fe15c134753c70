package keelpeer_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelkey"
	"github.com/greengagekeel/greengagekeel/keelpeer"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
)

// Another instance answers a call over TCP with a header that is malformed. The call fails
// with an unknown outcome, and its connection is not used again.
func TestMalformedAnswerToCall(t *testing.T) {
	is := is.New(t)
	body, err := cbor.Marshal(struct {
		Envelope keel.Envelope `cbor:"1,keyasint"`
	}{keel.Envelope{Kind: kindEcho, Body: []byte("x")}})
	is.NoErr(err)
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	for _, tt := range []struct {
		name, header string
		valid        bool
	}{
		{"valid", "HTTP/1.1 200 OK\r\n" + length, true},
		{"status 000", "HTTP/1.1 000 Oops\r\n" + length, false},
		{"status 600", "HTTP/1.1 600 Oops\r\n" + length, false},
		{"version 2.0", "HTTP/2.0 200 OK\r\n" + length, false},
		{"blank in a field's name", "HTTP/1.1 200 OK\r\nX Other: 1\r\n" + length, false},
		{"line feed before a name", "HTTP/1.1 200 OK\r\n" + length + "\nX-Other: 1\r\n", false},
		{"length and chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + length, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			conns := make(chan int, 10)
			client, ln := newRawCallFixture(t)
			go func() {
				for n := 1; ; n++ {
					c, err := ln.Accept()
					if err != nil {
						return
					}
					t.Cleanup(func() { _ = c.Close() })
					go answerCalls(c, tt.header+"\r\n"+string(body), func() { conns <- n })
				}
			}()
			to := ln.Addr().(*net.TCPAddr).AddrPort()
			for i := range 2 {
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				got, err := client.Call(ctx, to, keel.Envelope{Kind: kindEcho})
				cancel()
				if tt.valid {
					is.NoErr(err)
					is.Equal(string(got.Body), "x")
					is.Equal(<-conns, 1)
					continue
				}
				is.True(errors.Is(err, keelpeer.ErrOutcomeUnknown))
				is.Equal(<-conns, i+1)
			}
		})
	}
}

// newRawCallFixture starts a client, and a listener for the connections of its calls.
func newRawCallFixture(t *testing.T) (*keelpeer.CallClient, net.Listener) {
	t.Helper()
	keys, err := keelkey.Ephemeral("a", "b")
	if err != nil {
		t.Fatal(err)
	}
	ln, err := tls.Listen("tcp", "127.0.0.1:0", keys["b"].ServerTLS())
	if err != nil {
		t.Fatal(err)
	}
	client := keelpeer.NewCallClient(keelpeer.CallClientConfig{Keys: keys["a"]})
	ctx, cancel := context.WithCancel(t.Context())
	var group conc.WaitGroup
	group.Go(func() { _ = client.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
		_ = ln.Close()
	})
	return client, ln
}

// answerCalls answers each call on a connection with the same bytes.
func answerCalls(c net.Conn, answer string, called func()) {
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		called()
		_, _ = io.Copy(c, strings.NewReader(answer))
	}
}
