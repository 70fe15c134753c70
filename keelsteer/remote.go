package keelsteer

import (
	"context"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelproxy"
)

// runRemote runs a request in another failure domain. It needs a credit of that
// domain, and room in the byte budget of the link there and back.
func (e *Engine) runRemote(ctx context.Context, p *plan, sel *keel.Selector, r *keelproxy.Request, domain keel.DomainName) (*keelproxy.Answer, error) {
	to, release, refusal := e.takeCredit(p, sel.Service, domain)
	if refusal != nil {
		return nil, refusal
	}
	body := r.Body
	region := p.regions[domain]
	if region != e.cfg.Self.Region && r.Body != nil {
		r.Body = &pacedBody{r: r.Body, ctx: ctx, book: &e.links, to: region, selector: sel.Name}
	}
	answer, err := e.send(ctx, to, r)
	if err != nil {
		release()
		r.Body = body // the next try may take another way
		return nil, err
	}
	answer.Body = onClose(answer.Body, release)
	return answer, nil
}

// takeCredit takes a credit for one request and returns the instance that
// granted it.
func (e *Engine) takeCredit(p *plan, service keel.ServiceName, domain keel.DomainName) (keel.Instance, func(), *keel.Refusal) {
	grantor, ok := e.credits.take(time.Now(), domain, service)
	if !ok {
		return keel.Instance{}, nil, keel.Refuse(keel.NotRun, keel.ReasonNoCredit, creditPeriod,
			"failure domain %q has granted no more room for service %q", domain, service)
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
