package keelsteer

import (
	"context"
	"io"
	"sync"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelguard"
	"github.com/greengagekeel/greengagekeel/keellookup"
	"github.com/greengagekeel/greengagekeel/keelproxy"
	"github.com/greengagekeel/greengagekeel/keelroute"
)

// RunRequest runs a request from a caller or from another instance.
func (e *Engine) RunRequest(ctx context.Context, r *keelproxy.Request) (*keelproxy.Answer, error) {
	p := e.plan.Load()
	if r.Hops > 0 {
		return e.runForwarded(ctx, p, r)
	}
	sel, refusal := p.selectorOf(r)
	if refusal != nil {
		return nil, refusal
	}
	e.prepare(p, sel, r)
	if refusal := e.refuseOutlasting(r); refusal != nil {
		return nil, refusal
	}
	ctx, cancel := keelproxy.WithDeadline(ctx, r.Deadline)
	answer, err := e.runClass(ctx, p, sel, r)
	if cancel == nil {
		return answer, err
	}
	if err != nil {
		cancel()
		return nil, err
	}
	answer.Body = onClose(answer.Body, cancel)
	return answer, nil
}

// prepare sets the selector, the deadline, the source region and the
// fingerprint of a request.
func (e *Engine) prepare(p *plan, sel *keel.Selector, r *keelproxy.Request) {
	if r.Timeout <= 0 {
		r.Timeout = sel.Deadline.Std()
	}
	r.Selector = sel.Name
	if r.ReceivedAt.IsZero() {
		r.ReceivedAt = time.Now()
	}
	r.Deadline = r.ReceivedAt.Add(r.Timeout)
	_, r.Source = p.lookup.Source(r.Caller)
	r.Fingerprint = uint64(keelguard.Fingerprint(r.Service, r.Method, r.URI, r.Key, uint64(r.ContentLength)))
}

func (e *Engine) runClass(ctx context.Context, p *plan, sel *keel.Selector, r *keelproxy.Request) (*keelproxy.Answer, error) {
	if sel.AtMostOnce() {
		return e.runKeyed(ctx, p, sel, r)
	}
	if r.HasBody() {
		if err := r.HoldStream(); err != nil {
			return nil, keelproxy.BodyRefusal(err)
		}
	}
	return e.runShared(ctx, p, sel, r)
}

// runShared runs the request in the failure domain that the share vector of its
// source chooses, and retries it if the verdict allows.
func (e *Engine) runShared(ctx context.Context, p *plan, sel *keel.Selector, r *keelproxy.Request) (*keelproxy.Answer, error) {
	src := keelroute.Source{Selector: sel.Name, Region: r.Source}
	body := trackBody(r)
	var last *keel.Refusal
	for attempt := 1; ; attempt++ {
		domain, refusal := e.pickDomain(p, sel, src, r, attempt)
		if refusal != nil {
			return nil, refusal.AfterAttempt(last)
		}
		answer, err := e.runChosen(ctx, p, sel, r, src, domain, body)
		if err == nil {
			return answer, nil
		}
		refusal = keelproxy.AsRefusal(err)
		last = refusal.AfterAttempt(last)
		if attempt == maxAttempts || !e.mayRetry(ctx, r, refusal, body.wasRead()) {
			return nil, last
		}
		r.NewConnection = true
	}
}

// pickDomain returns the failure domain for a request. Callers of one block map
// to the same part of the share vector at every instance, so that a caller that
// a look-up directed here is served in this domain.
func (e *Engine) pickDomain(p *plan, sel *keel.Selector, src keelroute.Source, r *keelproxy.Request, attempt int) (keel.DomainName, *keel.Refusal) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if attempt == 1 {
		e.retry.Request()
	}
	if _, known := e.demand[src]; !known {
		e.startSource(now, p, sel, src)
	}
	domain, ok := e.shares.Pick(now, src, keellookup.BlockKey(r.Caller))
	if !ok {
		return "", e.noDomainRefusal(now, p, src)
	}
	return domain, nil
}

// mayRetry reports whether a failed request may be retried: it has not run or
// is safe to run twice, its body was not read, and the retry budget allows it.
func (e *Engine) mayRetry(ctx context.Context, r *keelproxy.Request, refusal *keel.Refusal, bodyRead bool) bool {
	if ctx.Err() != nil || bodyRead || !retryMayHelp(refusal.Reason) {
		return false
	}
	if refusal.Verdict != keel.NotRun && !r.Safe() {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.retry.Retry()
}

// retryMayHelp reports whether a request refused for this reason may succeed at
// another endpoint. Full queues and missing credit are not retried.
func retryMayHelp(reason keel.Reason) bool {
	switch reason {
	case keel.ReasonEndpointFailed, keel.ReasonPeerFailed, keel.ReasonNoEndpoint, keel.ReasonLeaving:
		return true
	default:
		return false
	}
}

// runIn runs a request in one failure domain and counts it there until its
// answer ends.
func (e *Engine) runIn(ctx context.Context, p *plan, sel *keel.Selector, r *keelproxy.Request, src keelroute.Source, domain keel.DomainName) (*keelproxy.Answer, error) {
	l, begunAt := e.beginDemand(src, domain)
	var (
		answer *keelproxy.Answer
		err    error
	)
	if domain == e.cfg.Self.Domain {
		answer, err = e.runDomain(ctx, p, sel, r)
	} else {
		answer, err = e.runRemote(ctx, p, sel, r, domain)
	}
	if err != nil {
		e.endDemand(l)
		return nil, err
	}
	e.observeLatency(time.Now(), sel.Service, domain, begunAt)
	answer.Body = &demandBody{ReadCloser: answer.Body, e: e, load: l}
	return answer, nil
}

// beginDemand counts a request of a source in a failure domain until endDemand
// is called with the returned load. It also returns the current time.
func (e *Engine) beginDemand(src keelroute.Source, domain keel.DomainName) (*load, time.Time) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.demand[src][domain]
	if l == nil {
		l = newLoad()
		l.lastRate = now
		e.demand[src][domain] = l
	}
	l.inFlight++
	l.started++
	return l, now
}

func (e *Engine) endDemand(l *load) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l.inFlight--
}

// demandBody is the body of an answer. Its request counts as demand until the
// body is closed.
type demandBody struct {
	io.ReadCloser
	e    *Engine
	load *load
	once sync.Once
}

// Close closes the body and ends the demand of the request.
func (b *demandBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.end)
	return err
}

func (b *demandBody) end() { b.e.endDemand(b.load) }
