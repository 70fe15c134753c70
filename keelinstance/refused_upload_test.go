package keelinstance_test

import (
	"bytes"
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// TestRefusedUploadGetsItsAnswer sends uploads that are refused before their
// bodies have been read. The caller must receive the refusal: after a connection
// reset it can't tell whether the request ran.
func TestRefusedUploadGetsItsAnswer(t *testing.T) {
	is := is.New(t)
	s := newSystem(t)
	body := make([]byte, 5_000_000)
	for range 50 {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.instance.Addresses().Caller.String()+"/nowhere", struct{ io.Reader }{bytes.NewReader(body)})
		is.NoErr(err)
		req.ContentLength = int64(len(body))
		req.Header.Set("Keel-Service", "pages")
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		is.Equal(resp.Header.Get("Keel-Verdict"), "not_run")
		is.NoErr(resp.Body.Close())
	}
}
