package keelsteer

import (
	"bytes"
	"context"
	"io"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelbudget"
	"github.com/greengagekeel/greengagekeel/keelclaim"
	"github.com/greengagekeel/greengagekeel/keelguard"
	"github.com/greengagekeel/greengagekeel/keelproxy"
	"github.com/zeebo/xxh3"
)

// settleTimeout limits the recording of an outcome, which continues if the
// caller disconnects.
const settleTimeout = 2 * time.Second

// runKeyed runs an at-most-once request: it claims the key of the request, runs
// the request, and records the outcome. If an answer is already recorded for
// the key, it returns that one.
func (e *Engine) runKeyed(ctx context.Context, p *plan, sel *keel.Selector, r *keelproxy.Request) (*keelproxy.Answer, error) {
	if r.Key == "" {
		return nil, keel.Refuse(keel.NotRun, keel.ReasonKeyMissing, 0,
			"selector %q runs requests at most once; header %s must hold a key", sel.Name, keelproxy.HeaderKey)
	}
	hash, refusal := bufferBody(ctx, r, e.cfg.MaxKeyedBytes)
	if refusal != nil {
		return nil, refusal
	}
	r.Fingerprint = uint64(keelguard.Fingerprint(r.Service, r.Method, r.URI, r.Key, hash))
	grant, err := e.cfg.Claims.Claim(ctx, keelclaim.Request{
		Service:  r.Service,
		Caller:   callerHash(r),
		Key:      r.Key,
		BodyHash: hash,
		Deadline: r.Deadline,
	})
	if err != nil {
		return nil, err
	}
	if recorded, ok := grant.Answer(); ok {
		return replay(recorded)
	}
	k := &keyedRun{e: e, ctx: ctx, grant: grant}
	return k.run(p, sel, r)
}

// callerHash returns a hash of the credential of the caller, so that different
// callers may use equal keys. It is empty without a credential.
func callerHash(r *keelproxy.Request) string {
	credential, ok := keelproxy.HeaderValue(r.Header, "Authorization")
	if !ok {
		return ""
	}
	return strconv.FormatUint(xxh3.HashString(credential), 16)
}

// bufferBody reads the body into memory, so that it can be sent again, and
// returns a hash of the method, the URI and the body. The hash does not depend
// on how the body was framed.
func bufferBody(ctx context.Context, r *keelproxy.Request, limit int) (uint64, *keel.Refusal) {
	h := xxh3.New()
	_, _ = h.WriteString(r.Method + " " + r.URI + " ") // a hash never fails to write
	if !r.HasBody() {
		return h.Sum64(), nil
	}
	if r.ContentLength > int64(limit) {
		return 0, tooLarge(limit)
	}
	body, whole, err := r.BufferBody(ctx, limit)
	if errors.Is(err, keelbudget.ErrNoRoom) {
		return 0, keelproxy.BodyRefusal(err)
	}
	if err != nil && ctx.Err() != nil && !errors.Is(err, io.ErrUnexpectedEOF) {
		return 0, contextRefusal(ctx, "the request ended before its body was received")
	}
	if err != nil {
		return 0, keel.Refuse(keel.NotRun, bodyRefusalReason(err), 0, "body of request %q: %v", r.ID, err)
	}
	if !whole {
		return 0, tooLarge(limit)
	}
	_, _ = h.Write(body)
	r.Body = bytes.NewReader(body)
	r.ContentLength = int64(len(body))
	return h.Sum64(), nil
}

// bodyRefusalReason returns the reason to refuse a request whose body could not
// be read. A truncated body counts as malformed.
func bodyRefusalReason(err error) keel.Reason {
	if reason := keelproxy.BodyReason(err); reason == keel.ReasonRequestTimeout {
		return reason
	}
	return keel.ReasonBadRequest
}

func tooLarge(limit int) *keel.Refusal {
	return keel.Refuse(keel.NotRun, keel.ReasonTooLarge, 0, "the body of an at-most-once request has more than %d bytes", limit)
}

// replay returns a recorded answer as an answer to the caller. One that is malformed was
// recorded by an instance of an earlier version, and is refused.
func replay(a *keelclaim.Answer) (*keelproxy.Answer, error) {
	out := &keelproxy.Answer{
		Status:        a.Status,
		ContentLength: int64(len(a.Body)),
		Body:          io.NopCloser(bytes.NewReader(a.Body)),
	}
	for _, f := range a.Header {
		out.Header = append(out.Header, keelproxy.Field{Name: f.Name, Value: f.Value})
	}
	if len(out.Check()) > 0 {
		return nil, keel.Refuse(keel.Ran, keel.ReasonDuplicate, 0, "a request with this key ran already; its recorded answer is malformed")
	}
	return out, nil
}

// keyedRun is the single run of a request whose key is claimed.
type keyedRun struct {
	e     *Engine
	ctx   context.Context
	grant *keelclaim.Grant
}

func (k *keyedRun) run(p *plan, sel *keel.Selector, r *keelproxy.Request) (*keelproxy.Answer, error) {
	if !k.grant.Usable() {
		k.grant.Release(k.settleContext())
		return nil, keel.Refuse(keel.NotRun, keel.ReasonClaimHome, time.Second, "the claim of the request's key expired before dispatch")
	}
	r.Claimed = true
	answer, err := k.e.runShared(k.ctx, p, sel, r)
	if err != nil {
		k.settleFailure(err)
		return nil, err
	}
	return k.record(answer)
}

// settleContext returns a context to record an outcome with. It outlives the
// request and ends after settleTimeout.
func (k *keyedRun) settleContext() context.Context {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(k.ctx), settleTimeout)
	context.AfterFunc(ctx, cancel)
	return ctx
}

// settleFailure releases the claim if the request has not run, and otherwise
// records that its outcome is unknown.
func (k *keyedRun) settleFailure(err error) {
	if keel.VerdictOf(err) == keel.NotRun {
		k.grant.Release(k.settleContext())
		return
	}
	k.grant.SettleUnknown(k.settleContext())
}

// record reads an answer of up to MaxAnswerBytes and records it before the
// caller gets it. Of a longer answer it records only that the request ran.
func (k *keyedRun) record(a *keelproxy.Answer) (*keelproxy.Answer, error) {
	limit := int64(k.e.cfg.MaxAnswerBytes)
	head, err := io.ReadAll(io.LimitReader(a.Body, limit+1))
	if err != nil {
		_ = a.Body.Close()
		k.grant.SettleUnknown(k.settleContext())
		return nil, keel.Refuse(keel.MayHaveRun, keel.ReasonEndpointFailed, 0, "answer of the endpoint is incomplete: %v", err)
	}
	if int64(len(head)) > limit {
		k.grant.SettleRan(k.settleContext())
		a.Body = &joinedAnswer{Reader: io.MultiReader(bytes.NewReader(head), a.Body), Closer: a.Body}
		return a, nil
	}
	err = a.Body.Close()
	recorded := keelclaim.Answer{Status: a.Status, Body: head}
	for _, f := range a.Header {
		recorded.Header = append(recorded.Header, keelclaim.HeaderField{Name: f.Name, Value: f.Value})
	}
	k.grant.Settle(k.settleContext(), recorded)
	a.Body = io.NopCloser(bytes.NewReader(head))
	a.ContentLength = int64(len(head))
	return a, err
}

// joinedAnswer is the body of an answer whose beginning was already read.
type joinedAnswer struct {
	io.Reader
	io.Closer
}
