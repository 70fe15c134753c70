package keelroute_test

import (
	"math"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keeladmit"
	"github.com/greengagekeel/greengagekeel/keelroute"
)

// silentAfter is the age of a report at which a domain counts as lost.
const silentAfter = time.Second

// policy is the steering under test: shares, credits and targets as the system
// combines them.
type policy struct {
	ownershipMode     ownership
	cap               keel.ShiftCap
	entries           [domains * entriesPerDomain]*keelroute.Shares
	wallets           [domains]*keeladmit.Wallet
	grantors          [domains]*keeladmit.Grantor
	reports           [regions][domains][]poolReport
	lost              [regions][domains]bool
	closedDomains     [regions][domains][]bool
	arrivals          [regions][]float64           // arrivals in this tick
	arrivalRate       [regions][]keelroute.Average // arrivals per second
	poolUse           [domains][]poolUse
	creditAttempts    [domains][domains][]float64 // credits requested in this tick, granted or not
	creditRate        [domains][domains][]keelroute.Average
	staleDeclarations bool
	ticks             int
	vectorHistory     map[int][]assignment
	settling          [regions][]*keelroute.Settling
}

// poolUse is the smoothed use of a pool, as measured by its owner.
type poolUse struct {
	bySource [regions]keelroute.Average
	delay    keelroute.Average
}

const smoothingTau = 2 * time.Second

func newPolicy(dep deployment, own ownership, c keel.ShiftCap) *policy {
	n := len(dep.services)
	p := &policy{ownershipMode: own, cap: c, vectorHistory: map[int][]assignment{}}
	for r := range regions {
		p.arrivals[r] = make([]float64, n)
		for range n {
			p.settling[r] = append(p.settling[r], keelroute.NewSettling(keelroute.SettlingConfig{}))
			p.arrivalRate[r] = append(p.arrivalRate[r], keelroute.NewAverage(smoothingTau))
		}
		for d := range domains {
			p.reports[r][d], p.closedDomains[r][d] = make([]poolReport, n), make([]bool, n)
		}
	}
	for d := range domains {
		p.poolUse[d] = make([]poolUse, n)
		for svc := range n {
			for r := range regions {
				p.poolUse[d][svc].bySource[r] = keelroute.NewAverage(smoothingTau)
			}
			p.poolUse[d][svc].delay = keelroute.NewAverage(smoothingTau)
		}
		p.wallets[d] = keeladmit.NewWallet(member(d))
		p.grantors[d] = keeladmit.NewGrantor(keeladmit.GrantorConfig{Self: member(d)})
		for to := range domains {
			p.creditAttempts[d][to] = make([]float64, n)
			for range n {
				p.creditRate[d][to] = append(p.creditRate[d][to], keelroute.NewAverage(smoothingTau))
			}
		}
	}
	for i := range p.entries {
		p.entries[i] = p.newShares(dep, epoch, true)
	}
	return p
}

func member(d int) keel.InstanceName { return keel.InstanceName("owner-" + string(domainName(d))) }

func (p *policy) newShares(dep deployment, now time.Time, first bool) *keelroute.Shares {
	sh := keelroute.NewShares(keelroute.SharesConfig{Self: "entry", FirstStart: first})
	for _, w := range dep.services {
		sh.SetCap(now, keel.SelectorName(w.name), p.cap)
	}
	return sh
}

func (p *policy) picker() keel.Picker  { return keelroute.PowerOfTwo{} }
func (p *policy) ownership() ownership { return p.ownershipMode }
func (p *policy) budgets() bool        { return true }

func sourceOf(s *sim, r *request) keelroute.Source { return source(s, r.source, r.svc) }

func source(s *sim, region, svc int) keelroute.Source {
	return keelroute.Source{Selector: keel.SelectorName(s.dep.services[svc].name), Region: regionName(region)}
}

func domainIndex(d keel.DomainName) int { return int(d[1] - '0') }

func (p *policy) route(s *sim, r *request) int {
	p.arrivals[r.source][r.svc]++
	src, sh := sourceOf(s, r), p.entries[r.entry]
	if !sh.HasVector(src) {
		p.mergePeerDigest(s, r.entry, src)
		p.setTarget(s, r.entry, r.source, r.svc)
	}
	name, ok := sh.Pick(s.clock(), src, r.key)
	if !ok {
		return -1
	}
	dest := domainIndex(name)
	if other := p.overflowDomain(s, r, dest); other != dest && sh.DivertOptional(s.clock(), src) {
		if p.admit(s, r, other) {
			return other
		}
	}
	if p.admit(s, r, dest) {
		return dest
	}
	if dest = p.leastDelayed(s, r); dest < 0 || !p.admit(s, r, dest) || !sh.Divert(s.clock(), src) {
		p.ended(s, r)
		return -1
	}
	return dest
}

// overflowDomain returns a random other domain if the request should overflow
// there, and dest otherwise.
func (p *policy) overflowDomain(s *sim, r *request, dest int) int {
	other := (dest + 1 + s.rnd.IntN(domains-1)) % domains
	if s.rnd.IntN(2) == 0 {
		other = dest ^ 1 // the other domain of the region
	}
	from := r.entry / entriesPerDomain
	k := p.reports[regionOf(from)][other][r.svc]
	if p.lost[regionOf(from)][other] || k.slots == 0 {
		return dest
	}
	if regionOf(other) != regionOf(from) && p.wallets[from].Left(s.clock(), domainName(other), s.dep.services[r.svc].name) == 0 {
		return dest
	}
	here := p.option(s, from, dest, r.svc)
	if regionOf(dest) == regionOf(from) && !s.lost[dest] {
		// Within a region the owner, at most a millisecond away, decides with the
		// current delay of its queue.
		here.Delay = s.pools[dest][r.svc].queues[0].Delay(s.clock(), s.dep.services[r.svc].class)
	}
	if keelroute.Overflows(here, p.option(s, from, other, r.svc), s.dep.services[r.svc].time) {
		return other
	}
	return dest
}

func (p *policy) option(s *sim, from, to, svc int) keelroute.OverflowOption {
	o := keelroute.OverflowOption{Delay: p.reports[regionOf(from)][to][svc].currentDelay}
	if regionOf(from) != regionOf(to) {
		o.RoundTrip = s.dep.regionTrip
		o.LinkUse = s.links[regionOf(to)][regionOf(from)].bytes / s.dep.linkBytes
	}
	return o
}

// admit takes a credit for a request that leaves its region.
func (p *policy) admit(s *sim, r *request, dest int) bool {
	from := r.entry / entriesPerDomain
	if regionOf(from) == regionOf(dest) {
		return true
	}
	r.grantor, r.remote = p.wallets[from].Take(s.clock(), domainName(dest), s.dep.services[r.svc].name)
	p.creditAttempts[from][dest][r.svc]++
	if !r.remote {
		return false
	}
	r.dest = dest
	return true
}

func (p *policy) ended(s *sim, r *request) {
	if r.endpoint.Name != "" {
		p.settling[r.source][r.svc].Observe(s.clock(), domainName(r.dest), r.work)
	}
	if !r.remote {
		return
	}
	r.remote = false
	from := r.entry / entriesPerDomain
	p.wallets[from].Release(domainName(r.dest), s.dep.services[r.svc].name, r.grantor)
}

// leastDelayed returns the domain of the entry's region with the shortest delay,
// or -1 if none is available.
func (p *policy) leastDelayed(_ *sim, r *request) int {
	region := regionOf(r.entry / entriesPerDomain)
	best, least := -1, time.Duration(math.MaxInt64)
	for d := 2 * region; d < 2*region+2; d++ {
		if k := &p.reports[region][d][r.svc]; !p.lost[region][d] && k.slots > 0 && k.delay < least {
			best, least = d, k.delay
		}
	}
	return best
}

// mergePeerDigest merges the digest of an entry that has a vector for src, as
// the exchange of digests between instances does.
func (p *policy) mergePeerDigest(s *sim, entry int, src keelroute.Source) {
	for i, sh := range p.entries {
		if i != entry && sh.HasVector(src) {
			p.entries[entry].Merge(s.clock(), sh.Digest())
			return
		}
	}
}

func (p *policy) tick(s *sim) {
	p.observe(s)
	p.deliverReports(s)
	for r := range regions {
		for svc := range p.arrivalRate[r] {
			p.arrivalRate[r][svc].Observe(s.clock(), p.arrivals[r][svc]/tickEvery.Seconds())
			p.arrivals[r][svc] = 0
		}
	}
	for e := range p.entries {
		if !s.lost[e/entriesPerDomain] && (p.ticks+e)%4 == 0 {
			p.setTargets(s, e)
		}
	}
	if p.ticks%2 == 0 {
		p.exchangeCredits(s)
	}
	p.ticks++
	p.checkCap(s)
}

func (p *policy) observe(s *sim) {
	for d := range domains {
		for svc := range s.dep.services {
			rep := &s.pools[d][svc].report
			o := &p.poolUse[d][svc]
			for r, n := range rep.bySource {
				o.bySource[r].Observe(s.clock(), float64(n))
				rep.smoothed[r] = o.bySource[r].Value()
			}
			o.delay.Observe(s.clock(), rep.delay.Seconds())
			rep.currentDelay = rep.delay
			rep.delay = time.Duration(o.delay.Value() * float64(time.Second))
		}
	}
}

// deliverReports delivers the pools' reports to every reachable region, and
// updates the availability of domains there.
func (p *policy) deliverReports(s *sim) {
	for o := range regions {
		for d := range domains {
			for svc := range s.dep.services {
				if !s.lost[d] && !s.partitioned[regionOf(d)][o] {
					p.reports[o][d][svc] = s.pools[d][svc].report
				}
			}
			p.updateAvailability(s, o, d)
		}
	}
}

func (p *policy) updateAvailability(s *sim, o, d int) {
	silent := s.now-p.reports[o][d][0].at > silentAfter
	for e := 2 * o * entriesPerDomain; e < 2*(o+1)*entriesPerDomain; e++ {
		switch {
		case silent && !p.lost[o][d]:
			p.entries[e].MarkLost(s.clock(), domainName(d))
		case !silent && p.lost[o][d]:
			p.entries[e].MarkReturned(s.clock(), domainName(d))
		}
		for svc, w := range s.dep.services {
			if empty := p.reports[o][d][svc].slots == 0; empty != p.closedDomains[o][d][svc] {
				if empty {
					p.entries[e].CloseDomain(s.clock(), keel.SelectorName(w.name), domainName(d))
				} else {
					p.entries[e].OpenDomain(s.clock(), keel.SelectorName(w.name), domainName(d))
				}
			}
		}
	}
	p.lost[o][d] = silent
	for svc := range s.dep.services {
		p.closedDomains[o][d][svc] = p.reports[o][d][svc].slots == 0
	}
}

func (p *policy) setTargets(s *sim, e int) {
	own := regionOf(e / entriesPerDomain)
	for r := range regions {
		for svc := range s.dep.services {
			if r == own || p.entries[e].HasVector(source(s, r, svc)) {
				p.setTarget(s, e, r, svc)
			}
		}
	}
}

func (p *policy) setTarget(s *sim, e, region, svc int) {
	o := regionOf(e / entriesPerDomain)
	w := s.dep.services[svc]
	in := keelroute.TargetInput{
		Region: regionName(o), Demand: p.arrivalRate[region][svc].Value() * w.time.Seconds(),
		ServiceTime: w.time, Stale: p.staleDeclarations, Previous: p.entries[e].Vector(source(s, region, svc)),
	}
	for d := range domains {
		k := &p.reports[o][d][svc]
		l := keelroute.DomainLoad{
			Domain: domainName(d), Region: regionName(regionOf(d)), Slots: float64(k.slots),
			QueueDelay: k.delay, ReportAge: s.now - k.at, Drain: p.lost[o][d],
			Unsettled: p.settling[region][svc].Unsettled(s.clock(), domainName(d)),
		}
		for r, n := range k.smoothed {
			if r != region {
				l.UsedByOthers += n
			}
		}
		if regionOf(d) != o {
			l.RoundTrip = s.dep.regionTrip
			l.LinkUse = s.links[regionOf(d)][o].bytes / s.dep.linkBytes
		}
		in.Domains = append(in.Domains, l)
	}
	if target := keelroute.Targets(in); target != nil {
		p.entries[e].SetTarget(s.clock(), source(s, region, svc), target)
	}
	before := map[keel.DomainName]float64{}
	for _, w := range in.Previous {
		before[w.Domain] = w.Weight
	}
	for _, w := range p.entries[e].Vector(source(s, region, svc)) {
		if w.Weight > before[w.Domain] {
			p.settling[region][svc].RecordGrowth(s.clock(), w.Domain)
		}
	}
}

// exchangeCredits exchanges wants and grants between domains of different
// regions.
func (p *policy) exchangeCredits(s *sim) {
	for to := range domains {
		if s.lost[to] {
			continue
		}
		for svc, w := range s.dep.services {
			k := &s.pools[to][svc].report
			p.grantors[to].SetSpare(w.name, keeladmit.SpareSlots(keeladmit.SpareInput{
				Slots: k.slots, OwnDemand: k.smoothed[regionOf(to)], ServiceTime: w.time, RoundTrip: s.dep.regionTrip,
			}))
			for from := range domains {
				if regionOf(from) != regionOf(to) && !s.lost[from] && !s.partitioned[regionOf(from)][regionOf(to)] {
					creditRate := &p.creditRate[from][to][svc]
					creditRate.Observe(s.clock(), p.creditAttempts[from][to][svc]/(2*tickEvery).Seconds())
					p.creditAttempts[from][to][svc] = 0
					want := keeladmit.WantSlots(creditRate.Value(), w.time, s.dep.regionTrip)
					p.grantors[to].SetWant(s.clock(), keeladmit.Want{Domain: domainName(from), Service: w.name, Slots: want},
						[]keel.InstanceName{member(from)})
				}
			}
			p.deliverGrants(s, to, svc)
		}
	}
}

func (p *policy) deliverGrants(s *sim, to, svc int) {
	for _, g := range p.grantors[to].IssueGrants(s.clock(), s.dep.services[svc].name) {
		from := domainIndex(g.Domain)
		if !s.lost[from] && !s.partitioned[regionOf(from)][regionOf(to)] {
			p.wallets[from].Receive(s.clock(), domainName(to), g)
		}
	}
}
