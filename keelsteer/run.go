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

// RunRequest runs a request that came from a caller or from another instance.
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

// prepare fills in what the declarations say of a request.
func (e *Engine) prepare(p *plan, sel *keel.Selector, r *keelproxy.Request) {
	if r.Timeout <= 0 {
		r.Timeout = sel.Deadline.Std()
	}
	r.Selector = sel.Name
	if r.Begun.IsZero() {
		r.Begun = time.Now()
	}
	r.Deadline = r.Begun.Add(r.Timeout)
	_, r.Source = p.lookup.Source(r.Caller)
	r.Fingerprint = uint64(keelguard.Fingerprint(r.Service, r.Method, r.URI, r.Key, uint64(r.ContentLength)))
}

func (e *Engine) runClass(ctx context.Context, p *plan, sel *keel.Selector, r *keelproxy.Request) (*keelproxy.Answer, error) {
	if sel.AtMostOnce() {
		return e.runKeyed(ctx, p, sel, r)
	}
	return e.runShared(ctx, p, sel, r)
}

// runShared offers the request to the failure domain that the share vector of
// its source chooses, and again if the verdict allows it.
func (e *Engine) runShared(ctx context.Context, p *plan, sel *keel.Selector, r *keelproxy.Request) (*keelproxy.Answer, error) {
	src := keelroute.Source{Selector: sel.Name, Region: r.Source}
	body := trackBody(r)
	var failed error
	for try := 1; ; try++ {
		domain, refusal := e.pick(p, sel, src, r, try)
		if refusal != nil {
			return nil, outcome(failed, refusal)
		}
		answer, err := e.runChosen(ctx, p, sel, r, src, domain, body)
		if err == nil {
			return answer, nil
		}
		failed = outcome(failed, err)
		if try == maxTries || !e.mayRetry(ctx, r, err, body.touched()) {
			return nil, failed
		}
		r.Fresh = true
	}
}

// outcome returns the error to report for a request that was tried again. One
// that may have run once is not reported as not run because a later try did not.
func outcome(before, err error) error {
	if before != nil && keel.VerdictOf(before) != keel.NotRun && keel.VerdictOf(err) == keel.NotRun {
		return before
	}
	return err
}

// pick returns the failure domain for a request. Callers of one block fall into
// the same part of the share vector at every instance, so that a caller whom a
// look-up sent here is served here.
func (e *Engine) pick(p *plan, sel *keel.Selector, src keelroute.Source, r *keelproxy.Request, try int) (keel.DomainName, *keel.Refusal) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if try == 1 {
		e.retry.Request()
	}
	if _, known := e.demand[src]; !known {
		e.startSource(now, p, sel, src)
	}
	domain, ok := e.shares.Pick(now, src, keellookup.BlockKey(r.Caller))
	if !ok {
		return "", e.noDomain(now, p, src)
	}
	return domain, nil
}

// mayRetry reports whether a request that failed may be offered again: it has
// not run or does no harm if it runs twice, its body is still whole, and the
// retry budget allows it.
func (e *Engine) mayRetry(ctx context.Context, r *keelproxy.Request, err error, bodyTouched bool) bool {
	refusal := keelproxy.AsRefusal(err)
	if ctx.Err() != nil || bodyTouched || !helps(refusal.Reason) {
		return false
	}
	if refusal.Verdict != keel.NotRun && !r.Safe() {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.retry.Retry()
}

// helps reports whether a request that was refused for this reason may fare
// better at another endpoint. Queues that are full and failure domains that grant
// no credit are not asked again.
func helps(reason keel.Reason) bool {
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
	l, start := e.countDemand(src, domain)
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
	e.observe(time.Now(), sel.Service, domain, start)
	answer.Body = &demandBody{ReadCloser: answer.Body, e: e, load: l}
	return answer, nil
}

// countDemand counts a request of a source at a domain, until endDemand is
// called with the load that it returns, and returns the present time.
func (e *Engine) countDemand(src keelroute.Source, domain keel.DomainName) (*load, time.Time) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.demand[src][domain]
	if l == nil {
		l = newLoad()
		l.last = now
		e.demand[src][domain] = l
	}
	l.now++
	l.begun++
	return l, now
}

func (e *Engine) endDemand(l *load) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l.now--
}

// demandBody is the body of an answer whose request is counted until it is
// closed.
type demandBody struct {
	io.ReadCloser
	e    *Engine
	load *load
	once sync.Once
}

// Close closes the body and takes the request off.
func (b *demandBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.end)
	return err
}

func (b *demandBody) end() { b.e.endDemand(b.load) }
