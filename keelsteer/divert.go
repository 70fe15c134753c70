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
// If that domain grants no credit or has no endpoint, the request goes to
// another one, as far as the cap on shift allows.
func (e *Engine) runChosen(ctx context.Context, p *plan, sel *keel.Selector, r *keelproxy.Request, src keelroute.Source, domain keel.DomainName, body *trackedBody) (*keelproxy.Answer, error) {
	answer, err := e.runIn(ctx, p, sel, r, src, domain)
	if err == nil || body.touched() || !diverts(err) {
		return answer, err
	}
	other, ok := e.otherDomain(p, sel, src, domain)
	if !ok || !e.mayDivert(src) {
		return nil, err
	}
	return e.runIn(ctx, p, sel, r, src, other)
}

// diverts reports whether a request was refused because its failure domain can
// take none, so that it was offered to no endpoint.
func diverts(err error) bool {
	refusal := keelproxy.AsRefusal(err)
	if refusal.Verdict != keel.NotRun {
		return false
	}
	return refusal.Reason == keel.ReasonNoCredit || refusal.Reason == keel.ReasonNoEndpoint
}

func (e *Engine) mayDivert(src keelroute.Source) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.shares.Divert(time.Now(), src)
}

// otherDomain returns the nearest failure domain, besides one, that can take a
// request now: the own one with an endpoint, or one that has granted credit.
func (e *Engine) otherDomain(p *plan, sel *keel.Selector, src keelroute.Source, than keel.DomainName) (keel.DomainName, bool) {
	if own := e.cfg.Self.Domain; than != own && len(p.owners[sel.Name]) > 0 {
		return own, true
	}
	best := keel.DomainName("")
	for _, d := range p.snapshot.Declarations.Domains {
		if d.Name == than || !e.canSend(p, sel.Service, d.Name) {
			continue
		}
		if best == "" || p.roundTrip(src.Region, d.Region) < p.roundTrip(src.Region, p.regions[best]) {
			best = d.Name
		}
	}
	return best, best != ""
}

// canSend reports whether a request may be sent to another failure domain now.
func (e *Engine) canSend(p *plan, service keel.ServiceName, domain keel.DomainName) bool {
	if domain == e.cfg.Self.Domain || !p.reachable(domain) || p.drained(keel.TargetDomain, string(domain), nil) {
		return false
	}
	return e.credits.left(time.Now(), domain, service) > 0
}

// overflow returns the failure domain that a request is better sent to than to
// wait here: where the wait and the way together cost less. Only one other
// domain is weighed, which the request's number chooses.
func (e *Engine) overflow(p *plan, sel *keel.Selector, r *keelproxy.Request) (keel.DomainName, bool) {
	now := time.Now()
	pl := p.pools[sel.Service]
	if r.Hops > 1 || r.Via != "" && r.Via != e.cfg.Self.Domain || pl.room(now, sel.Service).Free > 0 {
		return "", false
	}
	others := e.openDomains(p, sel.Service)
	if len(others) == 0 {
		return "", false
	}
	other := others[e.random()%uint64(len(others))]
	here := keelroute.OverflowOption{Delay: pl.delay(now, sel.Class)}
	there := keelroute.OverflowOption{
		RoundTrip: p.roundTrip(e.cfg.Self.Region, p.regions[other]),
		Delay:     roomOf(p.view.domain(other).Rooms, sel.Service).QueueDelay.Std(),
		LinkUse:   e.links.use(now, p.regions[other]),
	}
	if !keelroute.Overflows(here, there, pl.serviceTime()) {
		return "", false
	}
	return other, e.mayOverflow(now, p, sel, r)
}

// openDomains returns the other failure domains that have a free slot of a
// service and have granted credit for it.
func (e *Engine) openDomains(p *plan, service keel.ServiceName) []keel.DomainName {
	var names []keel.DomainName
	for i := range p.view.Domains {
		d := &p.view.Domains[i]
		if roomOf(d.Rooms, service).Free > 0 && e.canSend(p, service, d.Name) {
			names = append(names, d.Name)
		}
	}
	slices.Sort(names)
	return names
}

func (e *Engine) mayOverflow(now time.Time, p *plan, sel *keel.Selector, r *keelproxy.Request) bool {
	src := keelroute.Source{Selector: sel.Name, Region: r.Source}
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, known := e.demand[src]; !known {
		e.startSource(now, p, sel, src)
	}
	return e.shares.DivertOptional(now, src)
}

// runOverflow sends a request from the owner of a pool that has a standing
// queue to another failure domain, if that is better. It returns false if the
// request must wait here.
func (e *Engine) runOverflow(ctx context.Context, p *plan, sel *keel.Selector, r *keelproxy.Request) (answer *keelproxy.Answer, sent bool, err error) {
	other, ok := e.overflow(p, sel, r)
	if !ok {
		return nil, false, nil
	}
	body := trackBody(r)
	answer, err = e.runRemote(ctx, p, sel, r, other)
	if err != nil && !body.touched() && keel.VerdictOf(err) == keel.NotRun {
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

func (b *creditBook) left(now time.Time, domain keel.DomainName, service keel.ServiceName) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.wallet.Left(now, domain, service)
}
