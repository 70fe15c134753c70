package keeloperate_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keeloperate"
	"github.com/greengagekeel/greengagekeel/keelsteer"
	"github.com/matryer/is"
)

// answering starts a server that answers each request on a connection with the same bytes, and
// then may close it. It sends the number of the connection for each request.
func answering(t *testing.T, answer string, closes bool) (netip.AddrPort, <-chan int) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	conns := make(chan int, 10)
	go func() {
		for n := 1; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				br := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					conns <- n
					_, _ = io.WriteString(c, answer)
					if closes {
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().(*net.TCPAddr).AddrPort(), conns
}

// An operator's call and a look-up of the command line get an answer with a malformed header.
// It is neither a result nor a refusal: the outcome of the call is unknown. Its connection is
// not used again.
func TestMalformedAnswerToCommand(t *testing.T) {
	const outcome = `{"id":"c","status":"accepted","version":1}`
	const problem = `{"error":"refused","verdict":"not_run"}`
	const lookup = `{"service":"s","instances":[{"name":"a","domain":"d","address":"127.0.0.1:1"}],"expires_in":"1s","expires_at":"2026-01-01T00:00:00Z","ticket":"t"}`
	calls := map[string]func(netip.AddrPort) error{
		"submit": func(addr netip.AddrPort) error {
			_, err := (&keeloperate.Client{Address: addr}).Submit(t.Context(), keel.Change{ID: "c"})
			return err
		},
		"dump": func(addr netip.AddrPort) error {
			_, err := (&keeloperate.Client{Address: addr}).Dump(t.Context())
			return err
		},
		"look-up": func(addr netip.AddrPort) error {
			_, err := keelsteer.LookUp(t.Context(), addr, url.Values{"service": {"s"}})
			return err
		},
	}
	for _, tt := range []struct{ name, start, body string }{
		{"valid", "HTTP/1.1 200 OK\r\n", ""},
		{"status 000", "HTTP/1.1 000 Oops\r\n", ""},
		{"status 007", "HTTP/1.1 007 Oops\r\n", ""},
		{"status 600 with a refusal", "HTTP/1.1 600 Oops\r\n", problem},
		{"version 2.0", "HTTP/2.0 200 OK\r\n", ""},
		{"blank in a field's name", "HTTP/1.1 200 OK\r\nX Other: 1\r\n", ""},
		{"blank after a field's name", "HTTP/1.1 200 OK\r\nX-Other : 1\r\n", ""},
		{"control byte in a field's name", "HTTP/1.1 200 OK\r\nX-\x01Other: 1\r\n", ""},
		{"control byte in a value", "HTTP/1.1 200 OK\r\nX-Other: 1\x01\r\n", ""},
		{"line feed before a field's name", "HTTP/1.1 200 OK\r\n\nX-Other: 1\r\n", ""},
		{"longer than the body", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n", ""},
		{"no body", "HTTP/1.1 600 Oops\r\nX Other: 1\r\n", "none"},
	} {
		for name, call := range calls {
			t.Run(tt.name+"/"+name, func(t *testing.T) {
				is := is.New(t)
				body := map[string]string{"submit": outcome, "dump": "{}", "look-up": lookup}[name]
				switch tt.body {
				case "":
				case "none":
					body = ""
				default:
					body = tt.body
				}
				answer := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", tt.start, len(body), body)
				closes := strings.Contains(tt.start, "\n\n") // the body has no length then
				addr, conns := answering(t, answer, closes)
				for i := range 2 {
					err := call(addr)
					if tt.name == "valid" {
						is.NoErr(err)
						continue
					}
					is.True(err != nil)
					var refused *keeloperate.ProblemError
					is.True(!errors.As(err, &refused))
					is.Equal(<-conns, i+1)
				}
			})
		}
	}
}
