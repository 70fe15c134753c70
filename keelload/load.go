package keelload

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelproxy"
	"github.com/greengagekeel/greengagekeel/keelstandin"
	"github.com/greengagekeel/greengagekeel/keelsteer"
	"github.com/sourcegraph/conc/pool"
)

// Config configures a [Load].
type Config struct {
	Spec Spec
	// Entries lists the caller ports of the instances that answer look-ups.
	Entries []netip.AddrPort
	// Direct sends every request to Entries, without a look-up.
	Direct bool
}

// Load sends the requests of a [Spec] and tallies how they end.
type Load struct {
	cfg    Config
	client *http.Client
	record record

	mu      sync.Mutex
	next    int                     // number of the next request
	cached  *keelsteer.LookupAnswer // last look-up answer, valid until expires
	expires time.Time
}

// Bounds of the pause before a resend; a Retry-After header in between is
// followed.
const (
	resendPause    = 50 * time.Millisecond
	maxResendPause = time.Second
)

// New returns a load that sends nothing before [Load.Run].
func New(cfg Config) *Load {
	cfg.Spec.setDefaults()
	return &Load{
		cfg: cfg,
		client: &http.Client{
			Timeout:   cfg.Spec.Timeout,
			Transport: &http.Transport{MaxIdleConnsPerHost: cfg.Spec.Callers},
		},
	}
}

// Run sends requests until all are sent, stop is closed or ctx ends, and waits
// for those in flight.
func (l *Load) Run(ctx context.Context, stop <-chan struct{}) {
	defer l.client.CloseIdleConnections()
	l.record.mu.Lock()
	l.record.tally.noteAnswer(time.Now())
	l.record.mu.Unlock()
	callers := pool.New()
	for range l.cfg.Spec.Callers {
		callers.Go(func() { l.runCaller(ctx, stop) })
	}
	callers.Wait()
}

func (l *Load) runCaller(ctx context.Context, stop <-chan struct{}) {
	for ctx.Err() == nil {
		select {
		case <-stop:
			return
		default:
		}
		n, ok := l.takeNumber()
		if !ok {
			return
		}
		l.runRequest(ctx, l.cfg.Spec.request(n))
	}
}

// takeNumber returns the number of the next request, and false if all requests of
// the spec have been started.
func (l *Load) takeNumber() (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cfg.Spec.Requests > 0 && l.next >= l.cfg.Spec.Requests {
		return 0, false
	}
	l.next++
	return l.next - 1, true
}

// Tally returns the counts so far.
func (l *Load) Tally() Tally {
	l.record.mu.Lock()
	defer l.record.mu.Unlock()
	t := l.record.tally
	t.Details = slices.Clone(t.Details)
	return t
}

// Verify compares the outcomes that callers received with the runs that the
// endpoints counted. It returns one text for each contradiction.
func (l *Load) Verify(counts []keelstandin.Counts) []string {
	byKey, byToken := map[string]int{}, map[string]int{}
	for _, c := range counts {
		for k, n := range c.ByKey {
			byKey[k] += n
		}
		for k, n := range c.ByToken {
			byToken[k] += n
		}
	}
	l.record.mu.Lock()
	defer l.record.mu.Unlock()
	var bad []string
	for _, token := range l.record.notRunTokens {
		if n := byToken[token]; n > 0 {
			bad = append(bad, "send "+token+" was refused as not run, but ran "+strconv.Itoa(n)+" times")
		}
	}
	for _, token := range l.record.singleRunTokens {
		if n := byToken[token]; n > 1 {
			bad = append(bad, "send "+token+" ran "+strconv.Itoa(n)+" times")
		}
	}
	for _, key := range l.record.notRunKeys {
		if n := byKey[key]; n > 0 {
			bad = append(bad, "key "+key+" was always refused as not run, but ran "+strconv.Itoa(n)+" times")
		}
	}
	for _, key := range l.record.keys {
		if n := byKey[key]; n > 1 {
			bad = append(bad, "key "+key+" ran "+strconv.Itoa(n)+" times")
		}
	}
	return bad
}

// runRequest sends a request until it is answered, must not be sent again, or
// has been sent as often as the spec allows.
func (l *Load) runRequest(ctx context.Context, r *request) {
	start := time.Now()
	allNotRun := true
	var o outcome
	if err := l.takeTicket(ctx, r); err != nil {
		o = outcome{kind: notRun, detail: err.Error()}
		l.record.addSend("", false, o)
		l.record.addRequest("", o, true, 0, start)
		return
	}
	for send := range r.spec.Sends {
		o = l.send(ctx, r, send)
		allNotRun = allNotRun && o.kind == notRun
		token := r.token(send)
		if r.spec.Keyed {
			token = ""
		}
		l.record.addSend(token, !r.idempotent(), o)
		if !mayResend(r, o) || !pause(ctx, o.retryAfter) {
			break
		}
	}
	now := time.Now()
	l.record.addRequest(r.key(), o, allNotRun, now.Sub(start), now)
}

// takeTicket fetches the request's idempotency key by a look-up, if the spec
// takes keys from look-ups.
func (l *Load) takeTicket(ctx context.Context, r *request) error {
	if !r.spec.Tickets {
		return nil
	}
	a, err := l.lookUp(ctx)
	if err == nil {
		r.ticket = a.Ticket
	}
	return err
}

func mayResend(r *request, o outcome) bool {
	switch o.kind {
	case notRun:
		return true
	case lost, mayHaveRun, failed:
		return r.idempotent()
	default:
		return false
	}
}

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(min(max(d, resendPause), maxResendPause)):
		return true
	}
}

func (l *Load) send(ctx context.Context, r *request, send int) outcome {
	addrs, err := l.instances(ctx, send > 0)
	if err != nil {
		return outcome{kind: notRun, detail: err.Error()}
	}
	req, err := r.newHTTPRequest(ctx, addrs[send%len(addrs)], send)
	if err != nil {
		return outcome{kind: lost, detail: err.Error()}
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return classifySendError(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if verdict := resp.Header.Get(keelproxy.HeaderVerdict); verdict != "" {
		return classifyRefusal(verdict, resp)
	}
	return checkAnswer(r, send, resp)
}

// classifySendError returns the outcome of a send that got no answer. If no
// connection could be opened, nothing was sent and the request can't have run.
func classifySendError(err error) outcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return outcome{kind: notRun, detail: err.Error()}
	}
	return outcome{kind: lost, detail: err.Error()}
}

// instances returns the addresses to send to. It uses the cached look-up answer
// while that is valid, and looks up again otherwise or if refresh is set.
func (l *Load) instances(ctx context.Context, refresh bool) ([]netip.AddrPort, error) {
	if l.cfg.Direct {
		return l.cfg.Entries, nil
	}
	l.mu.Lock()
	cached := l.cached
	if refresh || time.Now().After(l.expires) {
		cached = nil
	}
	l.mu.Unlock()
	if cached == nil {
		var err error
		if cached, err = l.lookUp(ctx); err != nil {
			return nil, err
		}
	}
	out := make([]netip.AddrPort, len(cached.Instances))
	for i, in := range cached.Instances {
		out[i] = in.Address
	}
	return out, nil
}

// lookUp asks the entry instances in random order until one answers, and caches
// the answer.
func (l *Load) lookUp(ctx context.Context) (*keelsteer.LookupAnswer, error) {
	q := url.Values{"service": {string(l.cfg.Spec.Service)}, "path": {l.cfg.Spec.Path}, "method": {l.cfg.Spec.Method}}
	err := errors.New("no entries are configured")
	for _, i := range rand.Perm(len(l.cfg.Entries)) {
		var a *keelsteer.LookupAnswer
		if a, err = keelsteer.LookUp(ctx, l.cfg.Entries[i], q); err != nil {
			continue
		}
		l.mu.Lock()
		l.cached, l.expires = a, time.Now().Add(a.ExpiresIn.Std())
		l.mu.Unlock()
		return a, nil
	}
	return nil, err
}

// classifyRefusal returns the outcome of a send that an instance refused. An
// unknown verdict counts as may have run.
func classifyRefusal(verdict string, resp *http.Response) outcome {
	o := outcome{kind: mayHaveRun}
	switch verdict {
	case keel.NotRun.String():
		o.kind = notRun
	case keel.Ran.String():
		o.kind = ran
	}
	if s, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		o.retryAfter = time.Duration(s) * time.Second
	}
	detail, _ := io.ReadAll(resp.Body) // a partial text is good enough for a detail
	o.detail = string(detail)
	return o
}

// checkAnswer compares an answer with the one that a stand-in endpoint sends for
// this request.
func checkAnswer(r *request, send int, resp *http.Response) outcome {
	token := r.token(send)
	if got := resp.Header.Get(keelstandin.HeaderToken); got != token {
		return outcome{kind: wrong, detail: "answer to " + token + " has status " + resp.Status + " and token " + strconv.Quote(got)}
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return outcome{kind: failed, detail: token + ": " + resp.Status}
	}
	if resp.Header.Get(keelstandin.HeaderChecksum) != keelstandin.Checksum(r.body) {
		return outcome{kind: wrong, detail: "the endpoint received another body than that of " + token}
	}
	if r.spec.Method == http.MethodHead {
		return outcome{kind: answered, domain: keel.DomainName(resp.Header.Get(keelproxy.HeaderServedBy))}
	}
	body := &errorTrackingReader{Reader: resp.Body}
	err := keelstandin.CheckBody(body, token, r.spec.AnswerBytes)
	switch {
	case err == nil:
		return outcome{kind: answered, domain: keel.DomainName(resp.Header.Get(keelproxy.HeaderServedBy))}
	case body.readFailed:
		return outcome{kind: lost, detail: err.Error()}
	default:
		return outcome{kind: wrong, detail: err.Error()}
	}
}

// errorTrackingReader records whether reading failed. It distinguishes a body that
// broke off visibly, which counts as lost, from one that is wrong but ends as if
// it were whole.
type errorTrackingReader struct {
	io.Reader
	readFailed bool
}

// Read implements [io.Reader].
func (r *errorTrackingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		r.readFailed = true
	}
	return n, err
}
