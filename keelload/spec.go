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

// Spec says what requests to send.
type Spec struct {
	// Name starts the tokens of the requests. Two loads on the same endpoints
	// need different names.
	Name    string
	Service keel.ServiceName
	Method  string
	Path    string
	// AnswerBytes is the size of the answers, RequestBytes that of the bodies
	// sent.
	AnswerBytes  int64
	RequestBytes int
	// Chunked hides the length of the bodies sent.
	Chunked bool
	// Pace is the time that sending a body takes; zero means no pauses.
	Pace time.Duration
	// Delay is how long an endpoint takes for a request.
	Delay time.Duration
	// Keyed gives each request a key, so that it runs at most once.
	Keyed bool
	// Tickets takes the keys from look-ups.
	Tickets bool
	// Requests is how many requests to send; 0 means until the load is stopped.
	Requests int
	// Callers is how many requests are under way at once.
	Callers int
	// Sends is how often a request is sent at most.
	Sends int
	// Timeout limits one send.
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
	// ticket is the key if it came from a look-up.
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

// token names one send of the request. With a key all sends have the same
// token, since a recorded answer carries that of the send that ran.
func (r *request) token(send int) string {
	if r.spec.Keyed {
		return fmt.Sprintf("%s-%d", r.spec.Name, r.number)
	}
	return fmt.Sprintf("%s-%d-%d", r.spec.Name, r.number, send)
}

// resendable reports whether the request may be sent again although it may have
// run.
func (r *request) resendable() bool {
	return r.spec.Keyed || r.spec.Method == http.MethodGet || r.spec.Method == http.MethodHead
}

func (r *request) http(ctx context.Context, to netip.AddrPort, send int) (*http.Request, error) {
	q := url.Values{"bytes": {strconv.FormatInt(r.spec.AnswerBytes, 10)}}
	if r.spec.Delay > 0 {
		q.Set("delay", r.spec.Delay.String())
	}
	u := url.URL{Scheme: "http", Host: to.String(), Path: r.spec.Path, RawQuery: q.Encode()}
	req, err := http.NewRequestWithContext(ctx, r.spec.Method, u.String(), r.reader())
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

func (r *request) reader() io.Reader {
	switch {
	case r.body == nil:
		// A request without a body may be sent twice by the HTTP client itself,
		// when a used connection closes without an answer. Both would carry one
		// token, and the refusal of the second would be taken for the first's.
		return struct{ io.Reader }{bytes.NewReader(nil)}
	case r.spec.Pace > 0:
		return &pacedReader{body: bytes.NewReader(r.body), pause: r.spec.Pace / paceSteps, step: len(r.body)/paceSteps + 1}
	default:
		return struct{ io.Reader }{bytes.NewReader(r.body)}
	}
}

// paceSteps is in how many parts a paced body is sent.
const paceSteps = 20

// pacedReader pauses before each part.
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
