package keelproxy_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/greengagekeel/greengagekeel/keelproxy"
	"github.com/matryer/is"
)

// At the limit of connections an idle one to an endpoint is closed for another endpoint, and a
// request is refused as not run while all are in use.
func TestMaxOpen(t *testing.T) {
	is := is.New(t)
	answers := func(r *http.Request, w io.Writer) bool {
		send(w, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeel-Request-Id: "+r.Header.Get("Keel-Request-Id")+"\r\n\r\nok")
		return true
	}
	client := keelproxy.NewEndpointClient(keelproxy.ClientConfig{MaxOpen: 2})
	defer client.Close()
	request := func(i int) (*keelproxy.Answer, error) {
		r := &keelproxy.Request{ID: fmt.Sprint(i), Method: "GET", URI: "/", Host: "s", Deadline: time.Now().Add(10 * time.Second)}
		return client.Dispatch(t.Context(), keelproxy.Target{Address: rawEndpoint(t, answers)}, r)
	}
	for i := range 5 { // each at another endpoint, whose connection becomes idle
		a, err := request(i)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, a.Body)
		is.NoErr(err)
		is.NoErr(a.Body.Close())
	}
	for i := range 2 {
		_, err := request(10 + i)
		is.NoErr(err)
	}
	_, err := request(20)
	refusal := keelproxy.AsRefusal(err)
	is.Equal(refusal.Verdict.String(), "not_run")
	is.Equal(refusal.Reason.Status(), http.StatusServiceUnavailable)
}
