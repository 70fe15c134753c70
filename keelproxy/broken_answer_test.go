package keelproxy_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelproxy"
	"github.com/matryer/is"
)

// expectRefused checks that an endpoint's answer to a request is refused, here and behind
// another instance, as one to a request that may have run, and that the endpoint's
// connection is not used again although the endpoint keeps it open.
func expectRefused(t *testing.T, answer string) {
	t.Helper()
	var mu sync.Mutex
	requests := map[string]int{} // by connection
	for via, runner := range runners(t, rawEndpoint(t, func(r *http.Request, w io.Writer) bool {
		mu.Lock()
		defer mu.Unlock()
		requests[w.(net.Conn).RemoteAddr().String()]++
		text := answer
		if r.Header.Get(keelproxy.HeaderRequestID) == "id-2" {
			text = strings.ReplaceAll(okHeader, "id-1", "id-2") + "Content-Length: 5\r\n\r\nright"
		}
		send(w, text)
		return true
	})) {
		t.Run(via, func(t *testing.T) {
			is := is.New(t)
			a, err := runner.RunRequest(t.Context(), newGetRequest())
			if err == nil {
				body, _ := io.ReadAll(a.Body)
				_ = a.Body.Close()
				t.Errorf("status %d, body %q, fields %q", a.Status, body, a.Header)
			} else {
				is.Equal(keel.VerdictOf(err), keel.MayHaveRun)
				is.Equal(keelproxy.AsRefusal(err).Reason, keel.ReasonEndpointFailed)
			}
			r := newGetRequest()
			r.ID = "id-2"
			a, err = runner.RunRequest(t.Context(), r)
			is.NoErr(err)
			body, err := io.ReadAll(a.Body)
			is.NoErr(err)
			is.Equal(string(body), "right")
			is.NoErr(a.Body.Close())
		})
	}
	for conn, n := range requests {
		if n > 1 {
			t.Errorf("connection %s carried %d requests", conn, n)
		}
	}
}

// An endpoint sends an answer whose first line is no status line of HTTP/1, such as one
// with the status 000, which fasthttp reports as 200.
func TestMalformedStatusLine(t *testing.T) {
	const rest = "\r\nKeel-Request-Id: id-1\r\nContent-Length: 5\r\n\r\nwrong"
	for name, line := range map[string]string{
		"status 000":                 "HTTP/1.1 000 Oops",
		"status 000, no reason":      "HTTP/1.1 000",
		"status 001":                 "HTTP/1.1 001 Oops",
		"status 099":                 "HTTP/1.1 099 Oops",
		"status 600":                 "HTTP/1.1 600 Oops",
		"status 999":                 "HTTP/1.1 999 Oops",
		"status with a sign":         "HTTP/1.1 +20 OK",
		"status with two digits":     "HTTP/1.1 20 OK",
		"status with four digits":    "HTTP/1.1 2000 OK",
		"no status":                  "HTTP/1.1 OK",
		"two spaces":                 "HTTP/1.1  200 OK",
		"tab before the status":      "HTTP/1.1\t200 OK",
		"tab after the status":       "HTTP/1.1 200\tOK",
		"version 0.9":                "HTTP/0.9 200 OK",
		"version 2.0":                "HTTP/2.0 200 OK",
		"version without minor":      "HTTP/1 200 OK",
		"version with two digits":    "HTTP/1.10 200 OK",
		"lower case":                 "http/1.1 200 OK",
		"other protocol":             "ICY 200 OK",
		"control byte in the reason": "HTTP/1.1 200 O\x01K",
		"NUL in the reason":          "HTTP/1.1 200 O\x00K",
		"CR in the reason":           "HTTP/1.1 200 O\rK",
		"DEL in the reason":          "HTTP/1.1 200 O\x7fK",
		"line feed alone":            "HTTP/1.1 200 OK\nX-Other: 1",
		"empty line before it":       "\r\nHTTP/1.1 200 OK",
		"space before it":            " HTTP/1.1 200 OK",
	} {
		t.Run(name, func(t *testing.T) { expectRefused(t, line+rest) })
	}
}
