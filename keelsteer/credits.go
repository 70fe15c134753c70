package keelsteer

import (
	"context"
	"slices"
	"sync"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keeladmit"
	"github.com/greengagekeel/greengagekeel/keelroute"
)

// creditPeriod is the interval between two exchanges of wants and grants.
const creditPeriod = 500 * time.Millisecond

// creditMessage carries the wants of one instance to the instances of another
// failure domain, or the grants of one of those back. Domain is the failure
// domain of the sender.
type creditMessage struct {
	Domain keel.DomainName   `cbor:"1,keyasint"`
	Wants  []keeladmit.Want  `cbor:"2,keyasint,omitempty"`
	Grants []keeladmit.Grant `cbor:"3,keyasint,omitempty"`
}

// Check reports the faults of the message.
func (m *creditMessage) Check() keel.Faults {
	fs := keel.CheckName("domain", m.Domain)
	for i := range m.Wants {
		fs.Under("wants", m.Wants[i].Check())
	}
	for i := range m.Grants {
		fs.Under("grants", m.Grants[i].Check())
	}
	return fs
}

// creditState holds the credits that this instance has granted and received. It
// is safe for use by several goroutines.
type creditState struct {
	mu      *sync.Mutex
	wallet  *keeladmit.Wallet
	grantor *keeladmit.Grantor
	// wants holds the last want of each instance of another domain.
	wants map[wantKey]wantEntry
	// ownDemand holds, per service, the mean number of requests of the own
	// domain that run or wait here.
	ownDemand map[keel.ServiceName]*keelroute.Average
	// foreignInFlight counts, per service, the requests of other domains that
	// run here.
	foreignInFlight map[keel.ServiceName]int
}

type wantKey struct {
	from    keel.InstanceName
	service keel.ServiceName
}

// wantEntry is a want and the time at which it was received.
type wantEntry struct {
	domain keel.DomainName
	slots  int
	at     time.Time
}

func newCreditState(self keel.InstanceName) creditState {
	return creditState{
		mu:              &sync.Mutex{},
		wallet:          keeladmit.NewWallet(self),
		grantor:         keeladmit.NewGrantor(keeladmit.GrantorConfig{Self: self}),
		wants:           make(map[wantKey]wantEntry),
		ownDemand:       make(map[keel.ServiceName]*keelroute.Average),
		foreignInFlight: make(map[keel.ServiceName]int),
	}
}

func (c *creditState) take(now time.Time, domain keel.DomainName, service keel.ServiceName) (keel.InstanceName, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wallet.Take(now, domain, service)
}

func (c *creditState) release(domain keel.DomainName, service keel.ServiceName, grantor keel.InstanceName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wallet.Release(domain, service, grantor)
}

// receive stores the wants and grants of a message from another instance.
func (c *creditState) receive(now time.Time, from keel.InstanceName, m *creditMessage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range m.Wants {
		c.wants[wantKey{from, w.Service}] = wantEntry{domain: m.Domain, slots: w.Slots, at: now}
	}
	for _, g := range m.Grants {
		c.wallet.Receive(now, m.Domain, g)
	}
}

// wantTTL is how long a want is valid unless it is renewed.
const wantTTL = 3 * time.Second

// domainService is the key of the total want or the request rate of one failure
// domain for one service.
type domainService struct {
	domain  keel.DomainName
	service keel.ServiceName
}

// totalWant is the sum of the wants of a failure domain and the instances that
// sent them. Only these instances get a part of the grant, so that a small
// grant is not divided into parts of zero slots.
type totalWant struct {
	slots   int
	members []keel.InstanceName
}

// totalWants returns the sums of the wants and removes those that have expired.
// The caller holds mu.
func (c *creditState) totalWants(now time.Time) map[domainService]totalWant {
	sums := make(map[domainService]totalWant)
	for k, w := range c.wants {
		if now.Sub(w.at) > wantTTL {
			delete(c.wants, k)
			continue
		}
		if w.slots == 0 {
			continue
		}
		key := domainService{w.domain, k.service}
		sum := sums[key]
		sum.slots += w.slots
		sum.members = append(sum.members, k.from)
		sums[key] = sum
	}
	for _, sum := range sums {
		slices.Sort(sum.members)
	}
	return sums
}

// addForeign adds n to the number of requests of other domains that run here.
func (c *creditState) addForeign(service keel.ServiceName, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.foreignInFlight[service] += n
}

func (l loop) runCredits() {
	ticker := time.NewTicker(creditPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case now := <-ticker.C:
			l.e.sendWants(l.ctx, now)
			l.e.sendGrants(l.ctx, now)
		}
	}
}

// sendWants sends the instances of each other domain the number of slots that
// this instance asks for there.
func (e *Engine) sendWants(ctx context.Context, now time.Time) {
	p := e.plan.Load()
	for domain, wants := range e.wants(p) {
		message := &creditMessage{Domain: e.cfg.Self.Domain, Wants: wants}
		e.sendCredits(ctx, p, domain, message)
	}
	_ = now
}

// wants returns the slots to ask for, by failure domain.
func (e *Engine) wants(p *plan) map[keel.DomainName][]keeladmit.Want {
	rates := make(map[domainService]float64)
	e.mu.Lock()
	for src := range e.demand {
		sel := p.byName[src.Selector]
		if sel == nil {
			continue
		}
		total := e.totalStartRate(src)
		for _, w := range e.shares.Vector(src) {
			if w.Domain == e.cfg.Self.Domain || w.Weight <= 0 {
				continue
			}
			rates[domainService{w.Domain, sel.Service}] += w.Weight * total
		}
	}
	e.mu.Unlock()
	e.addOverflowWants(p, rates)
	out := make(map[keel.DomainName][]keeladmit.Want)
	for k, rate := range rates {
		roundTrip := p.roundTrip(e.cfg.Self.Region, p.regions[k.domain])
		// The extra slot allows the first request while the rate is still 0.
		slots := 1 + keeladmit.WantSlots(rate, e.meanServiceTime(p, k.service), roundTrip)
		want := keeladmit.Want{Domain: e.cfg.Self.Domain, Service: k.service, Slots: slots}
		out[k.domain] = append(out[k.domain], want)
	}
	return out
}

// addOverflowWants adds a want of one slot for each service with waiting
// requests in every other domain that has a free slot. Without it no request
// could overflow to a domain that gets no traffic yet.
func (e *Engine) addOverflowWants(p *plan, rates map[domainService]float64) {
	for service, pl := range p.pools {
		if pl.waiting() == 0 {
			continue
		}
		for i := range p.view.Domains {
			d := &p.view.Domains[i]
			if d.Name != e.cfg.Self.Domain && capacityOf(d.Capacities, service).Free > 0 {
				rates[domainService{d.Name, service}] += 0 // adds the key; wants asks for one slot at a rate of 0
			}
		}
	}
}

// meanServiceTime returns how long a request of a service holds a slot,
// measured at the endpoints that this instance owns. It is 0 if there is no
// pool.
func (e *Engine) meanServiceTime(p *plan, service keel.ServiceName) time.Duration {
	if pl := p.pools[service]; pl != nil {
		return pl.serviceTime()
	}
	return 0
}

// totalStartRate returns how many requests of a source start per second. The
// caller holds mu.
func (e *Engine) totalStartRate(src keelroute.Source) float64 {
	total := 0.0
	for _, l := range e.demand[src] {
		total += l.startRate.Value()
	}
	return total
}

// totalDemand returns the mean number of requests of a source in flight. The
// caller holds mu.
func (e *Engine) totalDemand(src keelroute.Source) float64 {
	total := 0.0
	for _, l := range e.demand[src] {
		total += l.meanInFlight.Value()
	}
	return total
}

// demandAt returns the number of requests of a source in flight in a failure
// domain, the larger of the current and the mean one. The caller holds mu.
func (e *Engine) demandAt(src keelroute.Source, domain keel.DomainName) float64 {
	if l := e.demand[src][domain]; l != nil {
		return max(l.meanInFlight.Value(), float64(l.inFlight))
	}
	return 0
}

// sendGrants grants other domains slots of the endpoints that this instance
// owns, according to their wants.
func (e *Engine) sendGrants(ctx context.Context, now time.Time) {
	p := e.plan.Load()
	messages := make(map[keel.DomainName]*creditMessage)
	e.credits.mu.Lock()
	maxRoundTrip := make(map[keel.ServiceName]time.Duration)
	for k, sum := range e.credits.totalWants(now) {
		want := keeladmit.Want{Domain: k.domain, Service: k.service, Slots: sum.slots}
		e.credits.grantor.SetWant(now, want, sum.members)
		maxRoundTrip[k.service] = max(maxRoundTrip[k.service], p.roundTrip(e.cfg.Self.Region, p.regions[k.domain]))
	}
	for service, pl := range p.pools {
		e.credits.grantor.SetSpare(service, e.spareSlots(now, service, pl, maxRoundTrip[service]))
		for _, g := range e.credits.grantor.IssueGrants(now, service) {
			if messages[g.Domain] == nil {
				messages[g.Domain] = &creditMessage{Domain: e.cfg.Self.Domain}
			}
			messages[g.Domain].Grants = append(messages[g.Domain].Grants, g)
		}
	}
	e.credits.mu.Unlock()
	for domain, message := range messages {
		e.sendCredits(ctx, p, domain, message)
	}
}

// spareSlots updates the mean demand of the own domain and returns how many
// requests of other domains may run here at once. The caller holds the mutex of
// the credits.
func (e *Engine) spareSlots(now time.Time, service keel.ServiceName, pl *pool, maxRoundTrip time.Duration) int {
	capacity := pl.capacity(now, service)
	ownDemand := e.credits.ownDemand[service]
	if ownDemand == nil {
		average := keelroute.NewAverage(demandWindow)
		ownDemand = &average
		e.credits.ownDemand[service] = ownDemand
	}
	busy := capacity.Slots - capacity.Free + pl.waiting() - e.credits.foreignInFlight[service]
	ownDemand.Observe(now, float64(max(0, busy)))
	if e.leaving.Load() {
		return 0
	}
	return keeladmit.SpareSlots(keeladmit.SpareInput{
		Slots:       capacity.Slots,
		OwnDemand:   ownDemand.Value(),
		ServiceTime: pl.serviceTime(),
		RoundTrip:   maxRoundTrip,
	})
}

// sendCredits sends a message to every instance of a failure domain.
func (e *Engine) sendCredits(ctx context.Context, p *plan, domain keel.DomainName, message *creditMessage) {
	d := p.view.domain(domain)
	if d == nil {
		return
	}
	body, err := keel.EncodeCBOR(message)
	if err != nil {
		e.cfg.Log.WithError(err).Error("credit message not encoded")
		return
	}
	for _, m := range d.Members {
		if err := e.cfg.Transport.Send(ctx, m.Instance.Peer, keel.Envelope{Kind: keel.KindCredit, Body: body}); err != nil {
			e.cfg.Log.WithError(err).WithField("to", m.Instance.Name).Debug("credit message not sent")
		}
	}
}
