package keelsteer

import (
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelroute"
)

// closeAfter is how long a failure domain must have had no endpoint for a
// selector before its traffic moves away. It is longer than a change of owners
// takes, so that traffic does not move there and back.
const closeAfter = 4 * time.Second

// closure is a failure domain as seen by the traffic of one selector.
type closure struct {
	selector keel.SelectorName
	domain   keel.DomainName
}

// closures notes where selectors have endpoints.
type closures struct {
	// seen is when there was an endpoint last.
	seen   map[closure]time.Time
	closed map[closure]bool
}

func newClosures() closures {
	return closures{seen: make(map[closure]time.Time), closed: make(map[closure]bool)}
}

// setClosed tells the share vectors which failure domains have no endpoint for
// a selector. The caller holds mu.
func (e *Engine) setClosed(now time.Time, p *plan) {
	for name, sel := range p.byName {
		for domain := range p.regions {
			e.setClosure(now, closure{name, domain}, e.hasEndpoint(p, sel, domain))
		}
	}
}

func (e *Engine) setClosure(now time.Time, c closure, open bool) {
	if _, known := e.closures.seen[c]; open || !known {
		e.closures.seen[c] = now
	}
	closed := now.Sub(e.closures.seen[c]) > closeAfter
	if closed == e.closures.closed[c] {
		return
	}
	if closed {
		e.closures.closed[c] = true
		e.shares.Close(now, c.selector, c.domain)
		return
	}
	delete(e.closures.closed, c)
	e.shares.Open(now, c.selector, c.domain)
}

// hasEndpoint reports whether a failure domain has an endpoint for a selector,
// as far as is known. Of other domains only the slots of the service are known.
// One that can't be reached is lost, not closed.
func (e *Engine) hasEndpoint(p *plan, sel *keel.Selector, domain keel.DomainName) bool {
	if domain == e.cfg.Self.Domain {
		return len(p.owners[sel.Name]) > 0
	}
	return !p.reachable(domain) || roomOf(p.view.domain(domain).Rooms, sel.Service).Slots > 0
}

// noDomain returns the refusal for a request that the shares have no domain for.
// The caller holds mu.
func (e *Engine) noDomain(now time.Time, p *plan, src keelroute.Source) *keel.Refusal {
	for domain := range p.regions {
		if !e.lost[domain] && !e.closures.closed[closure{src.Selector, domain}] {
			return e.shares.Refusal(now, src)
		}
	}
	return keel.Refuse(keel.NotRun, keel.ReasonNoEndpoint, planPeriod,
		"no failure domain that can be reached has an endpoint for selector %q", src.Selector)
}
