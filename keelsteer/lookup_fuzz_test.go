package keelsteer_test

import (
	"encoding/json"
	"testing"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelsteer"
	"github.com/valyala/fasthttp"
)

// FuzzLookup checks that every query string gets either an answer with
// instances or a refusal as not run, in valid JSON.
func FuzzLookup(f *testing.F) {
	for _, query := range []string{
		"service=s0", "service=s0&path=/a&method=POST", "service=", "service=none", "service=s0&service=s1",
		"service=%00", "path=%zz&service=s0", "service=s0&path=no-slash", "&&==", "service=s0&method=",
	} {
		f.Add(query)
	}
	e, _ := newWorld(f).engine("a")
	f.Fuzz(func(t *testing.T, query string) {
		var fctx fasthttp.RequestCtx
		fctx.Request.SetRequestURI("/v1/lookup")
		fctx.URI().SetQueryString(query)
		e.HandleLookup(&fctx)
		body := fctx.Response.Body()
		if fctx.Response.StatusCode() == fasthttp.StatusOK {
			var a keelsteer.LookupAnswer
			if err := json.Unmarshal(body, &a); err != nil || len(a.Check()) > 0 {
				t.Fatalf("answer %q to %q: %v, %v", body, query, err, a.Check())
			}
			return
		}
		var r keel.Refusal
		if err := json.Unmarshal(body, &r); err != nil || r.Verdict != keel.NotRun {
			t.Fatalf("refusal %q of %q: %v", body, query, err)
		}
	})
}
