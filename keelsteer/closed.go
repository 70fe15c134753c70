package keelsteer

import (
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelroute"
)

// closeDelay is how long a failure domain must have had no endpoint for a
// selector before its traffic moves away. It is longer than a change of
// endpoint owners takes, so that traffic does not move away and back during
// one.
const closeDelay = 4 * time.Second

// selectorDomain is the key of the state of one selector in one failure domain.
type selectorDomain struct {
	selector keel.SelectorName
	domain   keel.DomainName
}

// closedDomains records, per selector, the failure domains that have had no
// endpoint for longer than closeDelay.
type closedDomains struct {
	// lastOpen is when the domain last had an endpoint. A domain that never had
	// one counts from its first check.
	lastOpen map[selectorDomain]time.Time
	closed   map[selectorDomain]bool
}

func newClosedDomains() closedDomains {
	return closedDomains{lastOpen: make(map[selectorDomain]time.Time), closed: make(map[selectorDomain]bool)}
}

// updateClosedDomains reports to the share vectors which failure domains have
// no endpoint for a selector. The caller holds mu.
func (e *Engine) updateClosedDomains(now time.Time, p *plan) {
	for name, sel := range p.byName {
		for domain := range p.regions {
			e.updateClosedDomain(now, selectorDomain{name, domain}, e.hasEndpoint(p, sel, domain))
		}
	}
}

func (e *Engine) updateClosedDomain(now time.Time, key selectorDomain, open bool) {
	if _, known := e.closedDomains.lastOpen[key]; open || !known {
		e.closedDomains.lastOpen[key] = now
	}
	closed := now.Sub(e.closedDomains.lastOpen[key]) > closeDelay
	if closed == e.closedDomains.closed[key] {
		return
	}
	if closed {
		e.closedDomains.closed[key] = true
		e.shares.CloseDomain(now, key.selector, key.domain)
		return
	}
	delete(e.closedDomains.closed, key)
	e.shares.OpenDomain(now, key.selector, key.domain)
}

// hasEndpoint reports whether a failure domain has an endpoint for a selector that
// is not ejected. Other domains report only the slots of a service, not which
// selectors their endpoints match. An unreachable domain counts as having one:
// updateLostDomains handles it as lost, not as closed.
func (e *Engine) hasEndpoint(p *plan, sel *keel.Selector, domain keel.DomainName) bool {
	if domain == e.cfg.Self.Domain {
		capacity, _, _ := e.domainCapacity(p, sel.Service, domain)
		return len(p.owners[sel.Name]) > 0 && capacity.Slots > 0
	}
	return !p.reachable(domain) || capacityOf(p.view.domain(domain).Capacities, sel.Service).Slots > 0
}

// noDomainRefusal returns the refusal for a request for which the share vector
// has no usable failure domain. The caller holds mu.
func (e *Engine) noDomainRefusal(now time.Time, p *plan, src keelroute.Source) *keel.Refusal {
	for domain := range p.regions {
		if !e.lostDomains[domain] && !e.closedDomains.closed[selectorDomain{src.Selector, domain}] {
			return e.shares.Refusal(now, src)
		}
	}
	return keel.Refuse(keel.NotRun, keel.ReasonNoEndpoint, planPeriod,
		"no reachable failure domain has an endpoint for selector %q", src.Selector)
}
