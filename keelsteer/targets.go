package keelsteer

import (
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelroute"
)

// demandOver is the time over which the demand of a source is averaged.
const demandOver = 2 * time.Second

// startSource gives a source that was not seen before its first target. The
// caller holds mu.
func (e *Engine) startSource(now time.Time, p *plan, sel *keel.Selector, src keelroute.Source) {
	e.demand[src] = make(map[keel.DomainName]*load)
	e.shares.SetCap(now, sel.Name, sel.Cap)
	e.setTarget(now, p, sel, src)
}

// setShares brings caps, lost domains and targets up to date. The caller holds
// mu.
func (e *Engine) setShares(now time.Time, p *plan) {
	for name, sel := range p.byName {
		e.shares.SetCap(now, name, sel.Cap)
	}
	e.setLost(now, p)
	e.setClosed(now, p)
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
		e.noteGrowth(now, sel.Service, before, e.shares.Vector(src))
	}
}

// setLost tells the share vectors which domains can't be reached or are labelled
// to drain.
func (e *Engine) setLost(now time.Time, p *plan) {
	for domain := range p.regions {
		lost := domain != e.cfg.Self.Domain && !p.reachable(domain)
		lost = lost || p.drained(keel.TargetDomain, string(domain), nil)
		if lost == e.lost[domain] {
			continue
		}
		e.lost[domain] = lost
		if lost {
			e.shares.Lost(now, domain)
		} else {
			e.shares.Returned(now, domain)
		}
	}
}

func (p *plan) reachable(domain keel.DomainName) bool {
	d := p.view.domain(domain)
	return d != nil && d.Reachable()
}

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

func (e *Engine) domainLoad(now time.Time, p *plan, sel *keel.Selector, src keelroute.Source, d keel.FailureDomain) keelroute.DomainLoad {
	in := keelroute.DomainLoad{
		Domain:    d.Name,
		Region:    d.Region,
		RoundTrip: p.roundTrip(src.Region, d.Region),
		Drain:     p.drained(keel.TargetDomain, string(d.Name), nil),
		Lost:      e.lost[d.Name],
		ReportAge: silentAfter,
		LinkUse:   e.links.use(now, d.Region),
		Unsettled: e.settlingOf(sel.Service).Unsettled(now, d.Name),
	}
	room, age, ok := e.domainRoom(p, sel.Service, d.Name)
	if !ok {
		return in
	}
	in.Slots = float64(room.Slots)
	in.Others = max(0, float64(room.Slots-room.Free)-e.demandAt(src, d.Name))
	in.QueueDelay = room.QueueDelay.Std()
	in.ReportAge = age
	return in
}

// domainRoom adds up the room of a domain's instances. The own instance's room
// is known, that of the others as they told it.
func (e *Engine) domainRoom(p *plan, service keel.ServiceName, domain keel.DomainName) (Room, time.Duration, bool) {
	d := p.view.domain(domain)
	if domain != e.cfg.Self.Domain {
		if d == nil {
			return Room{}, 0, false
		}
		return roomOf(d.Rooms, service), d.Age.Std(), true
	}
	sum := Room{Service: service}
	if pl := e.pools[service]; pl != nil {
		sum = pl.room(time.Now(), service)
	}
	if d != nil {
		for _, m := range d.Members {
			if m.Instance.Name != e.cfg.Self.Name {
				sum = addRoom(sum, roomOf(m.Rooms, service))
			}
		}
	}
	return sum, 0, true
}

func addRoom(a, b Room) Room {
	a.Slots += b.Slots
	a.Free += b.Free
	a.QueueDelay = max(a.QueueDelay, b.QueueDelay)
	return a
}

// nearRoundTrip is the time there and back between failure domains of one
// region.
const nearRoundTrip = time.Millisecond

func (p *plan) roundTrip(from, to keel.RegionName) time.Duration {
	if from == to {
		return nearRoundTrip
	}
	for _, l := range p.snapshot.Declarations.Links {
		if l.From == from && l.To == to {
			return l.RoundTrip.Std()
		}
	}
	return defaultRoundTrip
}

// defaultRoundTrip is the time there and back between regions without a
// declared link.
const defaultRoundTrip = 100 * time.Millisecond
