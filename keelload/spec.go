package keelload

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelproxy"
	"github.com/greengagekeel/greengagekeel/keelstandin"
)

// Spec describes the requests of a load. The zero values of Method, Path, Callers,
// Sends and Timeout mean GET, "/", 4, 8 and 20 seconds.
type Spec struct {
	// Name is the prefix of the requests' tokens and keys. Two loads on the same
	// endpoints need different names.
	Name    string
	Service keel.ServiceName
	Method  string
	Path    string
	// AnswerBytes is the size of the answers, RequestBytes that of the bodies
	// sent.
	AnswerBytes  int64
	RequestBytes int
	// Chunked sends bodies in chunked encoding, without a Content-Length.
	Chunked bool
	// Pace is the time over which a body is sent; zero sends it without pauses.
	Pace time.Duration
	// Delay is the time that the endpoint waits before it answers.
	Delay time.Duration
	// Keyed gives each request an idempotency key, so that it runs at most once.
	Keyed bool
	// Tickets uses the tickets of look-up answers as keys. It requires Keyed.
	Tickets bool
	// Requests is the number of requests to send; 0 means until the load is
	// stopped.
	Requests int
	// Callers is the number of concurrent callers, each with one request in flight.
	Callers int
	// Sends is the highest number of sends of one request.
	Sends int
	// Timeout bounds one send.
	Timeout time.Duration
}

// Defaults of a [Spec].
const (
	defaultCallers = 4
	defaultSends   = 8
	defaultTimeout = 20 * time.Second
)

func (s *Spec) setDefaults() {
	if s.Method == "" {
		s.Method = http.MethodGet
	}
	if s.Path == "" {
		s.Path = "/"
	}
	if s.Callers == 0 {
		s.Callers = defaultCallers
	}
	if s.Sends == 0 {
		s.Sends = defaultSends
	}
	if s.Timeout == 0 {
		s.Timeout = defaultTimeout
	}
}

// request is one request of a load.
type request struct {
	spec   *Spec
	number int
	body   []byte
	// ticket is the key from a look-up, empty if the request makes its own.
	ticket string
}

func (s *Spec) request(n int) *request {
	r := &request{spec: s, number: n}
	if s.RequestBytes > 0 {
		r.body = randomBytes(uint64(n), s.RequestBytes)
	}
	return r
}

func randomBytes(seed uint64, n int) []byte {
	rng := rand.New(rand.NewPCG(seed, 0))
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(rng.Uint32())
	}
	return b
}

// key returns the key of the request, empty if it has none.
func (r *request) key() string {
	if !r.spec.Keyed {
		return ""
	}
	if r.ticket != "" {
		return r.ticket
	}
	return fmt.Sprintf("%s-key-%d", r.spec.Name, r.number)
}

// token identifies one send of the request. With a key all sends have the same
// token, since a recorded answer repeats the token of the send that ran.
func (r *request) token(send int) string {
	if r.spec.Keyed {
		return fmt.Sprintf("%s-%d", r.spec.Name, r.number)
	}
	return fmt.Sprintf("%s-%d-%d", r.spec.Name, r.number, send)
}

// idempotent reports whether the request may be sent again even if it may have
// run.
func (r *request) idempotent() bool {
	return r.spec.Keyed || r.spec.Method == http.MethodGet || r.spec.Method == http.MethodHead
}

// newHTTPRequest returns the HTTP request of one send to an instance.
func (r *request) newHTTPRequest(ctx context.Context, to netip.AddrPort, send int) (*http.Request, error) {
	q := url.Values{"bytes": {strconv.FormatInt(r.spec.AnswerBytes, 10)}}
	if r.spec.Delay > 0 {
		q.Set("delay", r.spec.Delay.String())
	}
	u := url.URL{Scheme: "http", Host: to.String(), Path: r.spec.Path, RawQuery: q.Encode()}
	req, err := http.NewRequestWithContext(ctx, r.spec.Method, u.String(), r.bodyReader())
	if err != nil {
		return nil, err
	}
	if r.body != nil && !r.spec.Chunked {
		req.ContentLength = int64(len(r.body))
	}
	req.Header.Set(keelproxy.HeaderService, string(r.spec.Service))
	req.Header.Set(keelstandin.HeaderToken, r.token(send))
	if key := r.key(); key != "" {
		req.Header.Set(keelproxy.HeaderKey, key)
	}
	return req, nil
}

// bodyReader returns the body of one send. Its type hides the length from the
// HTTP client.
func (r *request) bodyReader() io.Reader {
	switch {
	case r.body == nil:
		// The HTTP client itself resends a request without a body when a reused
		// connection closes before the answer. Both sends would have the same
		// token, and a refusal of the second would count for the first, which may
		// have run. A body of unknown length prevents that.
		return struct{ io.Reader }{bytes.NewReader(nil)}
	case r.spec.Pace > 0:
		return &pacedReader{body: bytes.NewReader(r.body), pause: r.spec.Pace / paceSteps, step: len(r.body)/paceSteps + 1}
	default:
		return struct{ io.Reader }{bytes.NewReader(r.body)}
	}
}

// paceSteps is the number of parts in which a paced body is sent.
const paceSteps = 20

// pacedReader pauses before each part of the body.
type pacedReader struct {
	body  io.Reader
	pause time.Duration
	step  int
}

// Read implements [io.Reader].
func (r *pacedReader) Read(p []byte) (int, error) {
	time.Sleep(r.pause)
	return r.body.Read(p[:min(len(p), r.step)])
}
