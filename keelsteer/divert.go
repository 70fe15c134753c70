package keelsteer

import (
	"context"
	"slices"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelproxy"
	"github.com/greengagekeel/greengagekeel/keelroute"
)

// runChosen runs a request in the failure domain that the share vector chose.
// If that domain has granted no credit or has no endpoint, the request is
// diverted to another domain, as far as the cap on shift allows.
func (e *Engine) runChosen(ctx context.Context, p *plan, sel *keel.Selector, r *keelproxy.Request, src keelroute.Source, domain keel.DomainName, body *trackedBody) (*keelproxy.Answer, error) {
	answer, err := e.runIn(ctx, p, sel, r, src, domain)
	if err == nil || body.wasRead() || !isDivertible(err) {
		return answer, err
	}
	other, ok := e.alternativeDomain(p, sel, src, domain)
	if !ok || !e.mayDivert(src) {
		return nil, err
	}
	return e.runIn(ctx, p, sel, r, src, other)
}

// isDivertible reports whether a request was refused before it reached an
// endpoint because its failure domain has no credit or no endpoint for it.
func isDivertible(err error) bool {
	refusal := keelproxy.AsRefusal(err)
	if refusal.Verdict != keel.NotRun {
		return false
	}
	return refusal.Reason == keel.ReasonNoCredit || refusal.Reason == keel.ReasonNoEndpoint
}

// mayDivert reports whether the cap on shift allows one more diverted request,
// and counts it.
func (e *Engine) mayDivert(src keelroute.Source) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.shares.Divert(time.Now(), src)
}

// alternativeDomain returns the failure domain, other than exclude, that a
// refused request is diverted to: the own domain if it has an endpoint,
// otherwise the nearest domain that has granted credit.
func (e *Engine) alternativeDomain(p *plan, sel *keel.Selector, src keelroute.Source, exclude keel.DomainName) (keel.DomainName, bool) {
	if own := e.cfg.Self.Domain; exclude != own && len(p.owners[sel.Name]) > 0 {
		return own, true
	}
	best := keel.DomainName("")
	for _, d := range p.snapshot.Declarations.Domains {
		if d.Name == exclude || !e.canSend(p, sel.Service, d.Name) {
			continue
		}
		if best == "" || p.roundTrip(src.Region, d.Region) < p.roundTrip(src.Region, p.regions[best]) {
			best = d.Name
		}
	}
	return best, best != ""
}

// canSend reports whether a request may be sent to another failure domain: it
// must be reachable, not drained, and have granted a credit.
func (e *Engine) canSend(p *plan, service keel.ServiceName, domain keel.DomainName) bool {
	if domain == e.cfg.Self.Domain || !p.reachable(domain) || p.hasDrainLabel(keel.TargetDomain, string(domain), nil) {
		return false
	}
	return e.credits.remaining(time.Now(), domain, service) > 0
}

// overflow returns the failure domain to which a waiting request should be
// sent, if the queue delay and the round trip there cost less than the wait
// here. To keep the check cheap it compares only one other domain, drawn at
// random. A request from another failure domain, or one that was forwarded more
// than once, stays here.
func (e *Engine) overflow(p *plan, sel *keel.Selector, r *keelproxy.Request) (keel.DomainName, bool) {
	now := time.Now()
	pl := p.pools[sel.Service]
	if r.Hops > 1 || r.Via != "" && r.Via != e.cfg.Self.Domain || pl.capacity(now, sel.Service).Free > 0 {
		return "", false
	}
	others := e.overflowCandidates(p, sel.Service)
	if len(others) == 0 {
		return "", false
	}
	other := others[e.random()%uint64(len(others))]
	here := keelroute.OverflowOption{Delay: pl.delay(now, sel.Class)}
	there := keelroute.OverflowOption{
		RoundTrip: p.roundTrip(e.cfg.Self.Region, p.regions[other]),
		Delay:     capacityOf(p.view.domain(other).Capacities, sel.Service).QueueDelay.Std(),
		LinkUse:   e.links.utilisation(now, p.regions[other]),
	}
	if !keelroute.Overflows(here, there, pl.serviceTime()) {
		return "", false
	}
	return other, e.mayOverflow(now, p, sel, r)
}

// overflowCandidates returns the other failure domains that have a free slot of
// a service and have granted credit for it.
func (e *Engine) overflowCandidates(p *plan, service keel.ServiceName) []keel.DomainName {
	var names []keel.DomainName
	for i := range p.view.Domains {
		d := &p.view.Domains[i]
		if capacityOf(d.Capacities, service).Free > 0 && e.canSend(p, service, d.Name) {
			names = append(names, d.Name)
		}
	}
	slices.Sort(names)
	return names
}

// mayOverflow reports whether the cap on shift allows one more overflowing
// request, and counts it.
func (e *Engine) mayOverflow(now time.Time, p *plan, sel *keel.Selector, r *keelproxy.Request) bool {
	src := keelroute.Source{Selector: sel.Name, Region: r.Source}
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, known := e.demand[src]; !known {
		e.startSource(now, p, sel, src)
	}
	return e.shares.DivertOptional(now, src)
}

// runOverflow sends a request for which no slot is free here to another failure
// domain, if overflow finds one. It returns false if the request must wait
// here.
func (e *Engine) runOverflow(ctx context.Context, p *plan, sel *keel.Selector, r *keelproxy.Request) (answer *keelproxy.Answer, sent bool, err error) {
	other, ok := e.overflow(p, sel, r)
	if !ok {
		return nil, false, nil
	}
	body := trackBody(r)
	answer, err = e.runRemote(ctx, p, sel, r, other)
	if err != nil && !body.wasRead() && keel.VerdictOf(err) == keel.NotRun {
		return nil, false, nil
	}
	return answer, true, err
}

func (p *pool) delay(now time.Time, c keel.Class) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.Delay(now, c)
}

func (p *pool) serviceTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.ServiceTime()
}

func (c *creditState) remaining(now time.Time, domain keel.DomainName, service keel.ServiceName) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wallet.Left(now, domain, service)
}
