package keelsteer

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keeladmit"
	"github.com/greengagekeel/greengagekeel/keelguard"
	"github.com/greengagekeel/greengagekeel/keelproxy"
)

// dispatchedRequest is one request at an endpoint, from its first byte to the
// end of its answer.
type dispatchedRequest struct {
	e      *Engine
	ctx    context.Context
	pool   *pool
	target keelproxy.Target
	fp     keelguard.ID
	start  time.Time
	// hasBody is whether the request has a body, which its caller may send slowly.
	hasBody bool
}

// failed ends a request that got no complete answer and reports the failure to
// the guard.
func (x *dispatchedRequest) failed(err error) {
	refusal := keelproxy.AsRefusal(err)
	outcome := keeladmit.OutcomeFailed
	switch {
	case x.ctx.Err() != nil, callersFault(refusal.Reason):
		outcome = x.abortedOutcome()
		x.e.cfg.Guard.Abandoned(x.fp, x.target.ID)
	case refusal.Verdict == keel.MayHaveRun:
		x.broken()
		return
	default:
		x.e.cfg.Guard.Abandoned(x.fp, x.target.ID)
	}
	x.end(outcome)
}

// broken ends a request whose connection the endpoint broke off.
func (x *dispatchedRequest) broken() {
	x.e.cfg.Guard.ConnectionBroke(x.fp, x.target.ID)
	x.probe()
	x.end(keeladmit.OutcomeFailed)
}

// stallFactor is the multiple of the mean service time after which a request that was
// aborted counts as a failure of the endpoint.
const stallFactor = 5

// abortedOutcome returns the outcome of a request that was aborted by its deadline, or
// by its caller, before its answer ended. That is no evidence against the endpoint
// unless answers normally take much less time and no body had to arrive from the
// caller.
func (x *dispatchedRequest) abortedOutcome() keeladmit.Outcome {
	if !x.hasBody && time.Since(x.start) > stallFactor*x.pool.serviceTime() {
		return keeladmit.OutcomeFailed
	}
	return keeladmit.OutcomeCancelled
}

// callersFault reports whether a request failed because of its caller. Such a
// failure is no evidence against the endpoint.
func callersFault(reason keel.Reason) bool {
	switch reason {
	case keel.ReasonRequestTimeout, keel.ReasonCallerGone, keel.ReasonBadRequest, keel.ReasonTooLarge, keel.ReasonOverload:
		return true
	default:
		return false
	}
}

// probe opens a new connection to the endpoint, reports the result to the
// guard, and sends the evidence to the other instances before the caller gets
// its answer.
func (x *dispatchedRequest) probe() {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), probeTimeout)
	defer cancel()
	err := x.e.client.Probe(ctx, x.target)
	x.e.cfg.Guard.Probed(x.target.ID, err == nil)
	x.e.cfg.Guard.Share(ctx)
}

// end releases the slot. It is called once: by failed if there is no answer,
// otherwise when the body of the answer is closed.
func (x *dispatchedRequest) end(o keeladmit.Outcome) {
	now := time.Now()
	x.pool.release(x.target.ID, o, now.Sub(x.start))
	x.e.recordDrained(now, x.pool, x.target.ID)
}

// observedBody is the body of the answer of an endpoint. Closing it ends the
// request.
type observedBody struct {
	io.ReadCloser
	dispatchedRequest
	// err is the error that broke off the answer, and ctxErr that of the context at
	// this time. The context of a forwarded request ends when the failure is passed on.
	err, ctxErr error
	// shed is whether the endpoint turned the request away.
	shed bool
	once sync.Once
}

// Read records an error that broke off the answer.
func (b *observedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !keelproxy.CleanEnd(err) && b.err == nil {
		b.err, b.ctxErr = err, b.ctx.Err()
	}
	return n, err
}

// Close closes the body and releases the slot. Further calls have no effect:
// the server closes the body of an answer to HEAD twice.
func (b *observedBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.endAnswer)
	return err
}

func (b *observedBody) answeredOutcome() keeladmit.Outcome {
	if b.shed {
		return keeladmit.OutcomeShed
	}
	return keeladmit.OutcomeOK
}

// turnedAway reports whether the status of an answer means that the endpoint takes no
// requests now.
func turnedAway(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

func (b *observedBody) endAnswer() {
	switch {
	case b.err != nil && b.ctxErr == nil:
		b.broken()
	case b.err != nil:
		outcome := keeladmit.OutcomeCancelled
		if b.ctxErr == context.DeadlineExceeded { // a caller that leaves may have read slowly
			outcome = b.abortedOutcome()
		}
		b.e.cfg.Guard.Abandoned(b.fp, b.target.ID)
		b.end(outcome)
	default:
		b.e.cfg.Guard.Answered(b.fp, b.target.ID)
		b.end(b.answeredOutcome())
	}
}
