package keelsteer

import (
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelroute"
)

// demandWindow is the time over which the demand of a source is averaged.
const demandWindow = 2 * time.Second

// startSource sets the first target of a new source. The caller holds mu.
func (e *Engine) startSource(now time.Time, p *plan, sel *keel.Selector, src keelroute.Source) {
	e.demand[src] = make(map[keel.DomainName]*load)
	e.shares.SetCap(now, sel.Name, sel.Cap)
	e.setTarget(now, p, sel, src)
}

// setShares updates the caps, the lost and closed domains, and the targets of
// all sources. The caller holds mu.
func (e *Engine) setShares(now time.Time, p *plan) {
	for name, sel := range p.byName {
		e.shares.SetCap(now, name, sel.Cap)
	}
	e.updateLostDomains(now, p)
	e.updateClosedDomains(now, p)
	for src, domains := range e.demand {
		for _, l := range domains {
			l.observe(now)
		}
		sel := p.byName[src.Selector]
		if sel == nil {
			continue
		}
		before := e.shares.Vector(src)
		e.setTarget(now, p, sel, src)
		e.recordWeightGrowth(now, sel.Service, before, e.shares.Vector(src))
	}
}

// updateLostDomains reports to the share vectors which domains are unreachable
// or labelled to drain. The caller holds mu.
func (e *Engine) updateLostDomains(now time.Time, p *plan) {
	for domain := range p.regions {
		lost := domain != e.cfg.Self.Domain && !p.reachable(domain)
		lost = lost || p.hasDrainLabel(keel.TargetDomain, string(domain), nil)
		if lost == e.lostDomains[domain] {
			continue
		}
		e.lostDomains[domain] = lost
		if lost {
			e.shares.MarkLost(now, domain)
		} else {
			e.shares.MarkReturned(now, domain)
		}
	}
}

func (p *plan) reachable(domain keel.DomainName) bool {
	d := p.view.domain(domain)
	return d != nil && d.Reachable()
}

// setTarget computes the target of a source and passes it to the share vectors.
// The caller holds mu.
func (e *Engine) setTarget(now time.Time, p *plan, sel *keel.Selector, src keelroute.Source) {
	in := keelroute.TargetInput{
		Region:      src.Region,
		Weights:     sel.Weights,
		Previous:    e.shares.Vector(src),
		Demand:      e.totalDemand(src),
		ServiceTime: e.serviceTime(sel.Service),
		Stale:       p.view.Stale,
	}
	for _, d := range p.snapshot.Declarations.Domains {
		in.Domains = append(in.Domains, e.domainLoad(now, p, sel, src, d))
	}
	target := keelroute.Targets(in)
	if target == nil {
		target = []keel.DomainWeight{{Domain: e.cfg.Self.Domain, Weight: 1}}
	}
	e.shares.SetTarget(now, src, target)
}

func (e *Engine) serviceTime(service keel.ServiceName) time.Duration {
	if pl := e.pools[service]; pl != nil {
		pl.mu.Lock()
		defer pl.mu.Unlock()
		return pl.queue.ServiceTime()
	}
	return 0
}

// domainLoad returns the state of a failure domain as input for the target of a
// source. The caller holds mu.
func (e *Engine) domainLoad(now time.Time, p *plan, sel *keel.Selector, src keelroute.Source, d keel.FailureDomain) keelroute.DomainLoad {
	in := keelroute.DomainLoad{
		Domain:    d.Name,
		Region:    d.Region,
		RoundTrip: p.roundTrip(src.Region, d.Region),
		Drain:     p.hasDrainLabel(keel.TargetDomain, string(d.Name), nil),
		Lost:      e.lostDomains[d.Name],
		ReportAge: maxDomainAge,
		LinkUse:   e.links.utilisation(now, d.Region),
		Unsettled: e.settlingFor(sel.Service).Unsettled(now, d.Name),
	}
	capacity, age, ok := e.domainCapacity(p, sel.Service, d.Name)
	if !ok {
		return in
	}
	in.Slots = float64(capacity.Slots)
	in.UsedByOthers = max(0, float64(capacity.Slots-capacity.Free)-e.demandAt(src, d.Name))
	in.QueueDelay = capacity.QueueDelay.Std()
	in.ReportAge = age
	return in
}

// domainCapacity returns the capacity of a domain for a service and the age of
// that information. The capacity of the own domain is the sum of the local pool
// and the reports of the other instances. It returns false if nothing is known
// of the domain.
func (e *Engine) domainCapacity(p *plan, service keel.ServiceName, domain keel.DomainName) (ServiceCapacity, time.Duration, bool) {
	d := p.view.domain(domain)
	if domain != e.cfg.Self.Domain {
		if d == nil {
			return ServiceCapacity{}, 0, false
		}
		return capacityOf(d.Capacities, service), d.Age.Std(), true
	}
	sum := ServiceCapacity{Service: service}
	if pl := e.pools[service]; pl != nil {
		sum = pl.capacity(time.Now(), service)
	}
	if d != nil {
		for _, m := range d.Members {
			if m.Instance.Name != e.cfg.Self.Name {
				sum = addCapacity(sum, capacityOf(m.Capacities, service))
			}
		}
	}
	return sum, 0, true
}

func addCapacity(a, b ServiceCapacity) ServiceCapacity {
	a.Slots += b.Slots
	a.Free += b.Free
	a.QueueDelay = max(a.QueueDelay, b.QueueDelay)
	return a
}

// intraRegionRoundTrip is the assumed round-trip time between failure domains
// of one region.
const intraRegionRoundTrip = time.Millisecond

// roundTrip returns the round-trip time between two regions.
func (p *plan) roundTrip(from, to keel.RegionName) time.Duration {
	if from == to {
		return intraRegionRoundTrip
	}
	for _, l := range p.snapshot.Declarations.Links {
		if l.From == from && l.To == to {
			return l.RoundTrip.Std()
		}
	}
	return defaultRoundTrip
}

// defaultRoundTrip is the assumed round-trip time between regions without a
// declared link.
const defaultRoundTrip = 100 * time.Millisecond
