package keelsteer

import (
	"context"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keeladmit"
	"github.com/greengagekeel/greengagekeel/keelguard"
	"github.com/greengagekeel/greengagekeel/keelproxy"
	"github.com/sirupsen/logrus"
)

// runForwarded runs a request that another instance forwarded here, at an
// endpoint that this instance owns or otherwise at another owner in the failure
// domain.
func (e *Engine) runForwarded(ctx context.Context, p *plan, r *keelproxy.Request) (*keelproxy.Answer, error) {
	sel := p.byName[r.Selector]
	if sel == nil {
		return nil, keel.Refuse(keel.NotRun, keel.ReasonNoSelector, 0, "selector %q is not in force at instance %q", r.Selector, e.cfg.Self.Name)
	}
	if refusal := e.refuseOutlasting(r); refusal != nil {
		return nil, refusal
	}
	done := e.countForeign(sel.Service, r.Via)
	answer, err := e.runHere(ctx, p, sel, r)
	if err != nil {
		done()
		return nil, err
	}
	answer.Body = onClose(answer.Body, done)
	if from := p.regions[r.Via]; from != "" && from != e.cfg.Self.Region {
		paced := &pacedBody{r: answer.Body, ctx: ctx, links: &e.links, to: from, selector: sel.Name}
		answer.Body = &pacedAnswer{pacedBody: paced, Closer: answer.Body}
	}
	return answer, nil
}

// countForeign counts a request from another failure domain as running here
// until the returned function is called.
func (e *Engine) countForeign(service keel.ServiceName, via keel.DomainName) func() {
	if via == "" || via == e.cfg.Self.Domain {
		return func() {}
	}
	e.credits.addForeign(service, 1)
	return func() { e.credits.addForeign(service, -1) }
}

// runHere runs a forwarded request at an owned endpoint. If this instance owns
// none for the selector, the request is forwarded to an owner, but at most once
// more.
func (e *Engine) runHere(ctx context.Context, p *plan, sel *keel.Selector, r *keelproxy.Request) (*keelproxy.Answer, error) {
	if p.ownsAny(e.cfg.Self.Name, sel.Name) || r.Hops > 1 {
		return e.runOwned(ctx, p, sel, r)
	}
	return e.runDomain(ctx, p, sel, r)
}

func (p *plan) ownsAny(self keel.InstanceName, sel keel.SelectorName) bool {
	for _, o := range p.owners[sel] {
		if o.instance.Name == self {
			return true
		}
	}
	return false
}

// runDomain runs a request in the own failure domain, at an instance with
// little load that owns matching endpoints.
func (e *Engine) runDomain(ctx context.Context, p *plan, sel *keel.Selector, r *keelproxy.Request) (*keelproxy.Answer, error) {
	o, ok := e.chooseOwner(p, sel)
	if !ok {
		return nil, keel.Refuse(keel.NotRun, keel.ReasonNoEndpoint, planPeriod, "no endpoint in failure domain %q that matches selector %q takes new requests", e.cfg.Self.Domain, sel.Name)
	}
	if o.instance.Name == e.cfg.Self.Name {
		return e.runOwned(ctx, p, sel, r)
	}
	return e.send(ctx, o.instance, r)
}

// send forwards a request to another instance and counts it until its answer
// ends.
func (e *Engine) send(ctx context.Context, to keel.Instance, r *keelproxy.Request) (*keelproxy.Answer, error) {
	e.countForwarded(to.Name, 1)
	r.Via = e.cfg.Self.Domain
	answer, err := e.forward.Forward(ctx, to.Peer, r)
	if err != nil {
		e.countForwarded(to.Name, -1)
		return nil, err
	}
	answer.Body = onClose(answer.Body, func() { e.countForwarded(to.Name, -1) })
	return answer, nil
}

func (e *Engine) countForwarded(to keel.InstanceName, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.forwarded[to] += n
	if e.forwarded[to] == 0 {
		delete(e.forwarded, to)
	}
}

// chooseOwner returns the owner that gets a request. This instance is preferred
// while it has a free slot, since that saves a hop. Otherwise two owners are
// drawn at random, weighted by their slots, and the less utilised one is
// chosen.
func (e *Engine) chooseOwner(p *plan, sel *keel.Selector) (owner, bool) {
	list := p.owners[sel.Name]
	if len(list) == 0 {
		return owner{}, false
	}
	if len(list) == 1 {
		return list[0], true
	}
	for _, o := range list {
		if o.instance.Name == e.cfg.Self.Name && p.pools[sel.Service].capacity(time.Now(), sel.Service).Free > 0 {
			return o, true
		}
	}
	a, b := e.drawOwner(list), e.drawOwner(list)
	if e.ownerUtilisation(p, sel.Service, b) < e.ownerUtilisation(p, sel.Service, a) {
		return b, true
	}
	return a, true
}

// drawOwner draws an owner at random, weighted by slots.
func (e *Engine) drawOwner(list []owner) owner {
	total := 0
	for _, o := range list {
		total += o.slots
	}
	at := int(e.random() % uint64(max(total, 1)))
	for _, o := range list {
		if at -= o.slots; at < 0 {
			return o
		}
	}
	return list[len(list)-1]
}

// ownerUtilisation returns the part of the slots of an owner that is in use,
// plus its queue delay in seconds. Requests that this instance has forwarded to
// the owner count even if the last report of the owner does not include them.
func (e *Engine) ownerUtilisation(p *plan, service keel.ServiceName, o owner) float64 {
	if o.instance.Name == e.cfg.Self.Name {
		capacity := p.pools[service].capacity(time.Now(), service)
		return slotUtilisation(capacity, 0)
	}
	e.mu.Lock()
	sent := e.forwarded[o.instance.Name]
	e.mu.Unlock()
	reported := ServiceCapacity{Slots: o.slots, Free: o.slots}
	if d := p.view.domain(e.cfg.Self.Domain); d != nil {
		if m := d.member(o.instance.Name); m != nil {
			reported = capacityOf(m.Capacities, service)
		}
	}
	return slotUtilisation(reported, sent)
}

// slotUtilisation returns the part of the slots in use, plus the queue delay in
// seconds. At least sent slots count as in use.
func slotUtilisation(capacity ServiceCapacity, sent int) float64 {
	if capacity.Slots == 0 {
		return 1 + float64(sent)
	}
	busy := max(capacity.Slots-capacity.Free, sent)
	wait := capacity.QueueDelay.Std().Seconds()
	return float64(busy)/float64(capacity.Slots) + wait
}

// runOwned waits for a slot of an owned endpoint and dispatches the request
// there, unless runOverflow sends it to another failure domain. If the verdict
// of a failure allows it, the request is retried at another endpoint.
func (e *Engine) runOwned(ctx context.Context, p *plan, sel *keel.Selector, r *keelproxy.Request) (*keelproxy.Answer, error) {
	pl := p.pools[sel.Service]
	if pl == nil {
		return nil, keel.Refuse(keel.NotRun, keel.ReasonUnknownService, 0, "service %q is not declared", sel.Service)
	}
	if answer, sent, err := e.runOverflow(ctx, p, sel, r); sent {
		return answer, err
	}
	body := trackBody(r)
	item := keeladmit.Item{Class: sel.Class, Deadline: r.Deadline, Labels: sel.Endpoints, Selector: sel.Name}
	var last *keel.Refusal
	for attempt := 1; ; attempt++ {
		retry, err := e.checkGuard(ctx, r, &item)
		if err != nil {
			return nil, keelproxy.AsRefusal(err).AfterAttempt(last)
		}
		if item.Avoid != "" && !pl.hasOther(item.Avoid) {
			e.cfg.Guard.NotDispatched(keelguard.ID(r.Fingerprint))
			return nil, avoidedRefusal(sel, item.Avoid).AfterAttempt(last)
		}
		t, refusal := pl.acquire(ctx, item)
		if refusal != nil {
			e.cfg.Guard.NotDispatched(keelguard.ID(r.Fingerprint))
			return nil, refusal.AfterAttempt(last)
		}
		answer, err := e.dispatch(ctx, pl, t, r)
		if err == nil {
			return answer, nil
		}
		refusal = keelproxy.AsRefusal(err)
		last = refusal.AfterAttempt(last)
		if attempt == maxAttempts || !retry || !pl.hasOther(t.ID.Name) || !e.mayRetry(ctx, r, refusal, body.wasRead()) {
			return nil, last
		}
		item.Avoid = t.ID.Name
		r.NewConnection = true
	}
}

func avoidedRefusal(sel *keel.Selector, name keel.EndpointName) *keel.Refusal {
	return keel.Refuse(keel.NotRun, keel.ReasonNoEndpoint, planPeriod,
		"the only endpoint for selector %q here is %q, which must not run this request again", sel.Name, name)
}

// checkGuard checks with the guard whether the request may be dispatched and
// sets the endpoint to avoid in item. It reports whether the request may be
// dispatched again if it fails.
func (e *Engine) checkGuard(ctx context.Context, r *keelproxy.Request, item *keeladmit.Item) (retry bool, err error) {
	fp := keelguard.ID(r.Fingerprint)
	d := e.cfg.Guard.Check(fp)
	if d.AskHome {
		if err := e.cfg.Guard.Permit(ctx, fp); err != nil {
			return false, err
		}
		d.Allow = true
	}
	if !d.Allow && d.Refuse != nil {
		return false, d.Refuse
	}
	for _, id := range d.AvoidEndpoints {
		item.Avoid = id.Name
	}
	return !d.NoRetry, nil
}

// dispatch sends the request to an endpoint whose slot it holds. The slot is
// released when the answer ends.
func (e *Engine) dispatch(ctx context.Context, pl *pool, t keelproxy.Target, r *keelproxy.Request) (*keelproxy.Answer, error) {
	x := &observedBody{dispatchedRequest: dispatchedRequest{
		e: e, ctx: ctx, pool: pl, target: t, fp: keelguard.ID(r.Fingerprint), start: time.Now(), hasBody: r.HasBody(),
	}}
	if !r.HasBody() && r.CallerLeft() {
		e.cfg.Guard.NotDispatched(x.fp)
		x.end(keeladmit.OutcomeCancelled)
		return nil, keel.Refuse(keel.NotRun, keel.ReasonCallerGone, 0, "the caller left before the request was sent to endpoint %s", t.ID)
	}
	e.cfg.Guard.Dispatched(x.fp, t.ID)
	answer, err := e.client.Dispatch(ctx, t, r)
	if err != nil {
		x.failed(err)
		return nil, err
	}
	if pl.heed(time.Now(), x.start, t, answer.Notice) {
		e.cfg.Log.WithFields(logrus.Fields{
			"endpoint": t.ID.String(), "request": r.ID, "leaving": answer.Notice.Leaving, "pause_ms": answer.Notice.RetryAfter.Milliseconds(),
			"limited": answer.Notice.Limited, "per_second": answer.Notice.RateLimit,
		}).Info("endpoint wants no or fewer requests")
	}
	x.ReadCloser, x.shed = answer.Body, turnedAway(answer.Status)
	answer.Body = x
	return answer, nil
}
