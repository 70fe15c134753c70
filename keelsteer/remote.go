package keelsteer

import (
	"context"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelproxy"
)

// runRemote runs a request in another failure domain. It takes a credit of that
// domain and, between regions, limits the request body to the byte budget of the
// link. The answer is limited by the instance that sends it; see runForwarded.
func (e *Engine) runRemote(ctx context.Context, p *plan, sel *keel.Selector, r *keelproxy.Request, domain keel.DomainName) (*keelproxy.Answer, error) {
	to, release, refusal := e.takeCredit(p, sel.Service, domain)
	if refusal != nil {
		return nil, refusal
	}
	body := r.Body
	region := p.regions[domain]
	if region != e.cfg.Self.Region && r.Body != nil {
		r.Body = &pacedBody{r: r.Body, ctx: ctx, links: &e.links, to: region, selector: sel.Name}
	}
	answer, err := e.send(ctx, to, r)
	if err != nil {
		release()
		r.Body = body // the next attempt may use another link or none
		return nil, err
	}
	answer.Body = onClose(answer.Body, release)
	return answer, nil
}

// takeCredit takes a credit for one request. It returns the instance that
// granted it and a function that releases the credit.
func (e *Engine) takeCredit(p *plan, service keel.ServiceName, domain keel.DomainName) (keel.Instance, func(), *keel.Refusal) {
	grantor, ok := e.credits.take(time.Now(), domain, service)
	if !ok {
		return keel.Instance{}, nil, keel.Refuse(keel.NotRun, keel.ReasonNoCredit, creditPeriod,
			"no credit left from failure domain %q for service %q", domain, service)
	}
	release := func() { e.credits.release(domain, service, grantor) }
	d := p.view.domain(domain)
	if d == nil || d.member(grantor) == nil {
		release()
		return keel.Instance{}, nil, keel.Refuse(keel.NotRun, keel.ReasonPeerFailed, creditPeriod,
			"instance %q of failure domain %q is not known", grantor, domain)
	}
	return d.member(grantor).Instance, release, nil
}
