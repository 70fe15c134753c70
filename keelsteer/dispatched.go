package keelsteer

import (
	"context"
	"io"
	"sync"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keeladmit"
	"github.com/greengagekeel/greengagekeel/keelguard"
	"github.com/greengagekeel/greengagekeel/keelproxy"
)

// dispatched is one request at an endpoint, from its first byte to the end of
// its answer.
type dispatched struct {
	e      *Engine
	ctx    context.Context
	pool   *pool
	target keelproxy.Target
	fp     keelguard.ID
	start  time.Time
}

// failed ends a request that got no answer.
func (x *dispatched) failed(err error) {
	refusal := keelproxy.AsRefusal(err)
	outcome := keeladmit.OutcomeFailed
	switch {
	case x.ctx.Err() != nil, callersFault(refusal.Reason):
		outcome = keeladmit.OutcomeCancelled
		x.e.cfg.Guard.Abandoned(x.fp, x.target.ID)
	case refusal.Verdict == keel.MayHaveRun:
		x.e.cfg.Guard.Died(x.fp, x.target.ID)
		x.probe()
	default:
		x.e.cfg.Guard.Abandoned(x.fp, x.target.ID)
	}
	x.end(outcome)
}

// callersFault reports whether a request failed because of what its caller sent
// or did not send, which says nothing about the endpoint.
func callersFault(reason keel.Reason) bool {
	switch reason {
	case keel.ReasonRequestTimeout, keel.ReasonCallerGone, keel.ReasonBadRequest:
		return true
	default:
		return false
	}
}

// probe tells the guard whether the endpoint takes a new connection, and shares
// the evidence before the caller is answered.
func (x *dispatched) probe() {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), probeTimeout)
	defer cancel()
	err := x.e.client.Probe(ctx, x.target)
	x.e.cfg.Guard.Confirmed(x.target.ID, err == nil)
	x.e.cfg.Guard.Share(ctx)
}

// end gives the slot back. It is called once: by failed for a request without an
// answer, and else when the answer's body is closed.
func (x *dispatched) end(o keeladmit.Outcome) {
	now := time.Now()
	x.pool.release(x.target.ID, o, now.Sub(x.start))
	x.e.noteEnded(now, x.pool, x.target.ID)
}

// observedBody is the body of an endpoint's answer. It ends the request when it
// is closed.
type observedBody struct {
	io.ReadCloser
	dispatched
	err  error
	once sync.Once
}

// Read notes whether the answer broke off.
func (b *observedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !keelproxy.CleanEnd(err) {
		b.err = err
	}
	return n, err
}

// Close closes the body and gives the slot back. Further calls do nothing more:
// the server closes the body of an answer to HEAD twice.
func (b *observedBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.endAnswer)
	return err
}

func (b *observedBody) endAnswer() {
	switch {
	case b.err != nil && b.ctx.Err() == nil:
		b.failed(keel.Refuse(keel.MayHaveRun, keel.ReasonEndpointFailed, 0, "%v", b.err))
	case b.err != nil:
		b.e.cfg.Guard.Abandoned(b.fp, b.target.ID)
		b.end(keeladmit.OutcomeCancelled)
	default:
		b.e.cfg.Guard.Ended(b.fp, b.target.ID)
		b.end(keeladmit.OutcomeOK)
	}
}
