package keelload_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/greengagekeel/greengagekeel/keelload"
	"github.com/greengagekeel/greengagekeel/keelstandin"
	"github.com/matryer/is"
)

const answerBytes = 1000

// testExchange is one request at a test server that can answer wrongly.
type testExchange struct {
	w     http.ResponseWriter
	r     *http.Request
	token string
	body  []byte
}

// header sets the headers that show that the answer belongs to this request.
func (x *testExchange) header() http.Header {
	h := x.w.Header()
	h.Set(keelstandin.HeaderToken, x.token)
	h.Set(keelstandin.HeaderChecksum, keelstandin.Checksum(x.body))
	h.Set("Keel-Served-By", "d")
	return h
}

// send writes the first n bytes of the body for a token.
func (x *testExchange) send(token string, n int64) {
	_, _ = io.Copy(x.w, keelstandin.NewBody(token, n)) // the caller checks what arrives
}

// cut closes the connection in the middle of the answer.
func (x *testExchange) cut() { panic(http.ErrAbortHandler) }

// refuse answers like an instance that refuses the request.
func (x *testExchange) refuse(verdict string, status int) {
	x.w.Header().Set("Keel-Verdict", verdict)
	x.w.WriteHeader(status)
}

// correctAnswer answers like a stand-in endpoint without faults.
func correctAnswer(x *testExchange) {
	x.header()
	x.send(x.token, answerBytes)
}

// startServer starts a server that answers each request by calling script.
func startServer(t *testing.T, script func(*testExchange)) netip.AddrPort {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body) // a cut body has another checksum
		script(&testExchange{w, r, r.Header.Get(keelstandin.HeaderToken), body})
	}))
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// runOne runs a load of one request and returns it after its end.
func runOne(t *testing.T, spec keelload.Spec, script func(*testExchange)) *keelload.Load {
	t.Helper()
	spec.Name, spec.Service, spec.Requests, spec.Callers = "l", "pages", 1, 1
	spec.AnswerBytes = answerBytes
	if spec.Sends == 0 {
		spec.Sends = 1
	}
	l := keelload.New(keelload.Config{Spec: spec, Entries: []netip.AddrPort{startServer(t, script)}, Direct: true})
	l.Run(t.Context(), nil)
	return l
}

// TestTally checks that each fault of an answer is counted as the right kind of
// outcome.
func TestTally(t *testing.T) {
	post := keelload.Spec{Method: http.MethodPost, RequestBytes: 5000}
	for _, tt := range []struct {
		name   string
		spec   keelload.Spec
		script func(*testExchange)
		want   keelload.Tally
	}{
		{"correct", keelload.Spec{}, correctAnswer, keelload.Tally{Answered: 1}},
		{"correct for an upload", post, correctAnswer, keelload.Tally{Answered: 1}},
		{"correct for a chunked upload", keelload.Spec{Method: http.MethodPost, RequestBytes: 5000, Chunked: true}, correctAnswer, keelload.Tally{Answered: 1}},
		{"correct for HEAD", keelload.Spec{Method: http.MethodHead}, func(x *testExchange) { x.header() }, keelload.Tally{Answered: 1}},
		{"other token", keelload.Spec{}, func(x *testExchange) {
			x.header().Set(keelstandin.HeaderToken, "l-7-0")
			x.send(x.token, answerBytes)
		}, keelload.Tally{Wrong: 1}},
		{"no token", keelload.Spec{}, func(x *testExchange) {
			x.header().Del(keelstandin.HeaderToken)
			x.send(x.token, answerBytes)
		}, keelload.Tally{Wrong: 1}},
		{"other token for HEAD", keelload.Spec{Method: http.MethodHead}, func(x *testExchange) {
			x.header().Set(keelstandin.HeaderToken, "l-7-0")
		}, keelload.Tally{Wrong: 1}},
		{"body for another token", keelload.Spec{}, func(x *testExchange) {
			x.header()
			x.send("l-7-0", answerBytes)
		}, keelload.Tally{Wrong: 1}},
		{"wrong last byte", keelload.Spec{}, func(x *testExchange) {
			x.header()
			x.send(x.token, answerBytes-1)
			_, _ = io.WriteString(x.w, "#")
		}, keelload.Tally{Wrong: 1}},
		{"short body that ends without an error", keelload.Spec{}, func(x *testExchange) {
			x.header()
			x.send(x.token, answerBytes-1)
		}, keelload.Tally{Wrong: 1}},
		{"long body", keelload.Spec{}, func(x *testExchange) {
			x.header()
			x.send(x.token, answerBytes+1)
		}, keelload.Tally{Wrong: 1}},
		{"checksum of another upload", post, func(x *testExchange) {
			x.header().Set(keelstandin.HeaderChecksum, keelstandin.Checksum([]byte("other")))
			x.send(x.token, answerBytes)
		}, keelload.Tally{Wrong: 1}},
		{"upload truncated in transit", post, func(x *testExchange) {
			x.body = x.body[:4999]
			correctAnswer(x)
		}, keelload.Tally{Wrong: 1}},
		{"body of fixed length cut", keelload.Spec{}, func(x *testExchange) {
			x.header().Set("Content-Length", fmt.Sprint(answerBytes))
			x.send(x.token, answerBytes/2)
			x.cut()
		}, keelload.Tally{Lost: 1}},
		{"chunked body cut", keelload.Spec{}, func(x *testExchange) {
			x.header()
			x.send(x.token, answerBytes)
			_ = http.NewResponseController(x.w).Flush() // the last chunk is missing
			x.cut()
		}, keelload.Tally{Lost: 1}},
		{"no answer", keelload.Spec{}, (*testExchange).cut, keelload.Tally{Lost: 1}},
		{"error status of the endpoint", keelload.Spec{}, func(x *testExchange) {
			x.header()
			x.w.WriteHeader(http.StatusTeapot)
		}, keelload.Tally{Failed: 1}},
		{"error status without a token", keelload.Spec{}, func(x *testExchange) { x.w.WriteHeader(http.StatusBadGateway) }, keelload.Tally{Wrong: 1}},
		{"refused as not run", keelload.Spec{}, func(x *testExchange) { x.refuse("not_run", 503) }, keelload.Tally{NotRun: 1}},
		{"refused as run", keelload.Spec{}, func(x *testExchange) { x.refuse("ran", 409) }, keelload.Tally{Ran: 1}},
		{"refused as may have run", keelload.Spec{}, func(x *testExchange) { x.refuse("may_have_run", 502) }, keelload.Tally{MayHaveRun: 1}},
		{"refused with an unknown verdict", keelload.Spec{}, func(x *testExchange) { x.refuse("surely", 502) }, keelload.Tally{MayHaveRun: 1}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got := runOne(t, tt.spec, tt.script).Tally()
			is.Equal(got.Requests, 1)
			is.Equal(got.Sends, 1)
			is.Equal(len(got.Details) > 0, tt.want.Answered == 0)
			counts := keelload.Tally{
				Answered: got.Answered, NotRun: got.NotRun, MayHaveRun: got.MayHaveRun, Ran: got.Ran,
				Failed: got.Failed, Lost: got.Lost, Wrong: got.Wrong,
			}
			is.Equal(counts, tt.want)
		})
	}
}

// TestVerify checks that [keelload.Load.Verify] finds the contradictions between
// the outcomes of sends and the runs that endpoints counted.
func TestVerify(t *testing.T) {
	refuse := func(x *testExchange) { x.refuse("not_run", 503) }
	cut := (*testExchange).cut
	post := keelload.Spec{Method: http.MethodPost, Sends: 2}
	keyed := keelload.Spec{Method: http.MethodPost, Sends: 2, Keyed: true}
	for _, tt := range []struct {
		name   string
		spec   keelload.Spec
		script func(*testExchange)
		// tokens and keys ran at two endpoints alternately.
		tokens, keys []string
		want         string
	}{
		{"read ran once", keelload.Spec{}, correctAnswer, []string{"l-0-0"}, nil, ""},
		{"read ran twice", keelload.Spec{}, correctAnswer, []string{"l-0-0", "l-0-0"}, nil, ""},
		{"refused read ran", keelload.Spec{}, refuse, []string{"l-0-0"}, nil, "send l-0-0 was refused as not run, but ran 1 times"},
		{"refused send ran", post, refuse, []string{"l-0-1"}, nil, "send l-0-1 was refused as not run, but ran 1 times"},
		{"lost post ran", post, cut, []string{"l-0-0"}, nil, ""},
		{"post ran twice", post, correctAnswer, []string{"l-0-0", "l-0-0"}, nil, "send l-0-0 ran 2 times"},
		{"key ran once", keyed, correctAnswer, nil, []string{"l-key-0"}, ""},
		{"key ran twice", keyed, correctAnswer, nil, []string{"l-key-0", "l-key-0"}, "key l-key-0 ran 2 times"},
		{"lost key ran twice", keyed, cut, nil, []string{"l-key-0", "l-key-0"}, "key l-key-0 ran 2 times"},
		{"refused key ran", keyed, refuse, nil, []string{"l-key-0"}, "key l-key-0 was always refused as not run, but ran 1 times"},
		{"key refused after a loss ran", keyed, lostFirst(), nil, []string{"l-key-0"}, ""},
		{"nothing ran", keyed, refuse, nil, nil, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := runOne(t, tt.spec, tt.script)
			counts := make([]keelstandin.Counts, 2)
			for i := range counts {
				counts[i] = keelstandin.Counts{ByKey: map[string]int{}, ByToken: map[string]int{}}
			}
			for i, token := range tt.tokens {
				counts[i%2].ByToken[token]++
			}
			for i, key := range tt.keys {
				counts[i%2].ByKey[key]++
			}
			is.Equal(strings.Join(l.Verify(counts), "\n"), tt.want)
		})
	}
}

// lostFirst returns a script that cuts the first send and refuses the others as
// not run.
func lostFirst() func(*testExchange) {
	first := true
	return func(x *testExchange) {
		if first {
			first = false
			x.cut()
		}
		x.refuse("not_run", 503)
	}
}

// TestResends checks which requests a caller sends again.
func TestResends(t *testing.T) {
	refuse := func(x *testExchange) { x.refuse("not_run", 503) }
	for _, tt := range []struct {
		name   string
		spec   keelload.Spec
		script func(*testExchange)
		sends  int
	}{
		{"refused post", keelload.Spec{Method: http.MethodPost}, refuse, 3},
		{"lost post", keelload.Spec{Method: http.MethodPost}, (*testExchange).cut, 1},
		{"lost read", keelload.Spec{}, (*testExchange).cut, 3},
		{"lost key", keelload.Spec{Method: http.MethodPost, Keyed: true}, (*testExchange).cut, 3},
		{"wrong read", keelload.Spec{}, func(x *testExchange) { x.send("other", answerBytes) }, 1},
		{"answered read", keelload.Spec{}, correctAnswer, 1},
		{"ran", keelload.Spec{Method: http.MethodPost, Keyed: true}, func(x *testExchange) { x.refuse("ran", 409) }, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tt.spec.Sends = 3
			is.Equal(runOne(t, tt.spec, tt.script).Tally().Sends, tt.sends)
		})
	}
}
