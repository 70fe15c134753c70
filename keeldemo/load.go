package keeldemo

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelproxy"
	"github.com/greengagekeel/greengagekeel/keelstandin"
	"github.com/greengagekeel/greengagekeel/keelsteer"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"
)

// Load of a demonstration. Bytes are the sizes of bodies, delays the times that
// endpoints wait before they answer.
const (
	callerCount      = 16
	requestInterval  = 8 * time.Millisecond
	maxSends         = 8
	uploadBytes      = 256 << 10
	scoreBytes       = 200
	galleryBytes     = 2000
	galleryDelay     = "40ms"
	archiveBytes     = 50_000
	archiveDelay     = "5ms"
	requestTimeout   = 30 * time.Second
	progressInterval = 200 * time.Millisecond
)

// job is one request to be sent until it has an outcome.
type job struct {
	number  int
	service keel.ServiceName
	method  string
	uri     string
	body    []byte
	chunked bool
	// keyed says that the request carries an idempotency key and must not run
	// twice.
	keyed       bool
	answerBytes int64
}

func (j *job) token() string { return "request-" + strconv.Itoa(j.number) }

// makeJob returns the request with that number. The four services alternate. crash
// makes the endpoint of a score request crash.
func makeJob(n int, crash bool) job {
	token := "request-" + strconv.Itoa(n)
	switch n % 4 {
	case 0:
		return job{number: n, service: "gallery", method: http.MethodGet, answerBytes: galleryBytes, uri: fmt.Sprintf("/gallery/%s?bytes=%d&delay=%s", token, galleryBytes, galleryDelay)}
	case 1:
		j := job{number: n, service: "score", method: http.MethodPost, keyed: true, uri: "/score/" + token, body: randomBody(n, scoreBytes)}
		if crash {
			j.uri += "/" + crashMark
		}
		return j
	case 2:
		return job{number: n, service: "entry", method: http.MethodPost, uri: "/entry/" + token, body: randomBody(n, uploadBytes), chunked: n%8 == 2}
	default:
		return job{number: n, service: "archive", method: http.MethodGet, answerBytes: archiveBytes, uri: fmt.Sprintf("/archive/%s?bytes=%d&delay=%s", token, archiveBytes, archiveDelay)}
	}
}

func randomBody(seed, size int) []byte {
	rng := rand.New(rand.NewPCG(uint64(seed), 0))
	b := make([]byte, size)
	for i := range b {
		b[i] = byte(rng.Uint32())
	}
	return b
}

// sendRequests sends all requests, starts the events in between and waits for the
// end of all of them.
func (d *demo) sendRequests(ctx context.Context) error {
	c := &caller{
		http:    callerClients(),
		entries: d.system.callerAddrs(),
		cached:  make(map[keel.ServiceName]cachedLookup),
		tally:   d.tally,
	}
	eventGroup := pool.New().WithErrors()
	workers := pool.New().WithMaxGoroutines(callerCount)
	var progress conc.WaitGroup
	progressCtx, stopProgress := context.WithCancel(ctx)
	if d.cfg.Progress != nil {
		p := progressLine{w: d.cfg.Progress, done: &c.done, total: d.cfg.Requests}
		progress.Go(func() { p.run(progressCtx) })
	}
	for n := range d.cfg.Requests {
		crash := false
		switch n {
		case int(drainFraction * float64(d.cfg.Requests)):
			eventGroup.Go(func() error { return d.drainGalleryEndpoint(ctx) })
		case int(changeFraction * float64(d.cfg.Requests)):
			eventGroup.Go(func() error { return d.halveGalleryCap(ctx) })
		case nextScoreRequest(int(crashFraction * float64(d.cfg.Requests))):
			crash = true
		}
		j := makeJob(n, crash)
		workers.Go(func() { c.run(ctx, j) })
		time.Sleep(requestInterval)
	}
	workers.Wait()
	err := eventGroup.Wait()
	closeClients(c.http)
	stopProgress()
	progress.Wait()
	return err
}

// callerClients returns clients with source addresses in different client blocks
// of the loopback network, so that share vectors distribute them.
func callerClients() []*http.Client {
	clients := make([]*http.Client, callerCount)
	for i := range clients {
		dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, byte(i+1), 1)}}
		transport := &http.Transport{DialContext: dialer.DialContext}
		clients[i] = &http.Client{Timeout: requestTimeout, Transport: transport}
	}
	return clients
}

func closeClients(clients []*http.Client) {
	for _, c := range clients {
		c.CloseIdleConnections()
	}
}

// nextScoreRequest returns the number of the first score request from n on.
func nextScoreRequest(n int) int {
	for n%4 != 1 {
		n++
	}
	return n
}

func (s *system) callerAddrs() []netip.AddrPort {
	var out []netip.AddrPort
	for _, in := range s.Instances {
		out = append(out, in.Addresses().Caller)
	}
	return out
}

// progressLine shows how many requests have ended.
type progressLine struct {
	w     io.Writer
	done  *atomic.Int64
	total int
}

func (p progressLine) run(ctx context.Context) {
	for ctx.Err() == nil {
		_, _ = fmt.Fprintf(p.w, "\r%d of %d requests", p.done.Load(), p.total)
		select {
		case <-ctx.Done():
		case <-time.After(progressInterval):
		}
	}
	_, _ = fmt.Fprintf(p.w, "\r%d of %d requests\n", p.done.Load(), p.total)
}

// caller looks up instances, sends requests and checks the answers.
type caller struct {
	// http has one client for each block of caller addresses.
	http    []*http.Client
	entries []netip.AddrPort
	tally   *tally
	done    atomic.Int64

	mu     sync.Mutex
	cached map[keel.ServiceName]cachedLookup
}

type cachedLookup struct {
	answer  *keelsteer.LookupAnswer
	expires time.Time
}

// run sends one request until it is answered, must not be sent again, or has been
// sent maxSends times. Only a request that did not run, may run twice or has a key
// is sent again.
func (c *caller) run(ctx context.Context, j job) {
	defer c.done.Add(1)
	start := time.Now()
	var last outcome
	for send := range maxSends {
		last = c.send(ctx, j, send)
		if last.kind == answered || last.kind == wrong || !mayResend(j, last) {
			break
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(last.retryAfter):
		}
	}
	c.tally.add(j, last, time.Since(start))
}

func mayResend(j job, o outcome) bool {
	switch o.kind {
	case notRun:
		return o.retryAfter > 0
	case lost, mayHaveRun:
		return j.keyed || j.method == http.MethodGet
	default:
		return false
	}
}

// lookUp returns the instances to send to. The first send uses the cached answer
// while it is valid; a resend looks up again.
func (c *caller) lookUp(ctx context.Context, service keel.ServiceName, send int) ([]netip.AddrPort, error) {
	c.mu.Lock()
	hit, ok := c.cached[service]
	c.mu.Unlock()
	if !ok || time.Now().After(hit.expires) || send > 0 {
		entry := c.entries[rand.IntN(len(c.entries))]
		a, err := keelsteer.LookUp(ctx, entry, url.Values{"service": {string(service)}})
		if err != nil {
			return nil, err
		}
		hit = cachedLookup{answer: a, expires: time.Now().Add(a.ExpiresIn.Std())}
		c.mu.Lock()
		c.cached[service] = hit
		c.mu.Unlock()
	}
	var out []netip.AddrPort
	for _, in := range hit.answer.Instances {
		out = append(out, in.Address)
	}
	return out, nil
}

// resendPause is the pause before a resend, unless a refusal has a Retry-After
// header.
const resendPause = 50 * time.Millisecond

func (c *caller) send(ctx context.Context, j job, send int) outcome {
	addrs, err := c.lookUp(ctx, j.service, send)
	if err != nil {
		return outcome{kind: notRun, retryAfter: resendPause, detail: err.Error()}
	}
	req, err := newRequest(ctx, j, addrs[send%len(addrs)])
	if err != nil {
		return outcome{kind: lost, detail: err.Error()}
	}
	resp, err := c.http[j.number/4%len(c.http)].Do(req)
	if err != nil {
		return outcome{kind: lost, retryAfter: resendPause, detail: err.Error()}
	}
	defer func() { _ = resp.Body.Close() }()
	if v := resp.Header.Get(keelproxy.HeaderVerdict); v != "" {
		return classifyRefusal(v, resp)
	}
	return checkAnswer(j, resp)
}

func newRequest(ctx context.Context, j job, to netip.AddrPort) (*http.Request, error) {
	var body io.Reader
	if j.body != nil {
		body = bytes.NewReader(j.body)
	}
	if j.chunked {
		body = struct{ io.Reader }{body} // hides the length, so that the client sends chunks
	}
	req, err := http.NewRequestWithContext(ctx, j.method, "http://"+to.String()+j.uri, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set(keelproxy.HeaderService, string(j.service))
	req.Header.Set(keelstandin.HeaderToken, j.token())
	if j.keyed {
		req.Header.Set(keelproxy.HeaderKey, "key-"+j.token())
	}
	return req, nil
}

// classifyRefusal returns the outcome of a send that an instance refused. An
// unknown verdict counts as may have run.
func classifyRefusal(verdict string, resp *http.Response) outcome {
	o := outcome{kind: mayHaveRun, retryAfter: resendPause}
	if verdict == keel.NotRun.String() {
		o.kind = notRun
	}
	if verdict == keel.Ran.String() {
		o.kind = ran
	}
	if s, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		o.retryAfter = min(time.Duration(s)*time.Second, time.Second)
	}
	detail, _ := io.ReadAll(resp.Body) // a partial text is good enough for a detail
	o.detail = string(detail)
	return o
}

// checkAnswer compares an answer with the one that a stand-in endpoint sends for
// this request. [keelstandin.CheckBody] wraps only read errors, which count as
// lost; a body that differs counts as wrong.
func checkAnswer(j job, resp *http.Response) outcome {
	o := outcome{kind: answered, domain: keel.DomainName(resp.Header.Get(keelproxy.HeaderServedBy))}
	if got := resp.Header.Get(keelstandin.HeaderToken); got != j.token() {
		return outcome{kind: wrong, detail: fmt.Sprintf("token %q in the answer to %q, status %d", got, j.token(), resp.StatusCode)}
	}
	if want := keelstandin.Checksum(j.body); resp.Header.Get(keelstandin.HeaderChecksum) != want {
		return outcome{kind: wrong, detail: "checksum of the request's body differs"}
	}
	if err := keelstandin.CheckBody(resp.Body, j.token(), j.answerBytes); err != nil {
		if _, short := err.(interface{ Unwrap() error }); short {
			return outcome{kind: lost, retryAfter: resendPause, detail: err.Error()}
		}
		return outcome{kind: wrong, detail: err.Error()}
	}
	return o
}
