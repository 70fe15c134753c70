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

// creditPeriod is how often wants and grants are exchanged.
const creditPeriod = 500 * time.Millisecond

// creditNote carries the wants of one instance to the instances of another
// failure domain, or the grants of one of them back.
type creditNote struct {
	Domain keel.DomainName   `cbor:"1,keyasint"`
	Wants  []keeladmit.Want  `cbor:"2,keyasint,omitempty"`
	Grants []keeladmit.Grant `cbor:"3,keyasint,omitempty"`
}

// Check reports the faults of the note.
func (n *creditNote) Check() keel.Faults {
	fs := keel.CheckName("domain", n.Domain)
	for i := range n.Wants {
		fs.Under("wants", n.Wants[i].Check())
	}
	for i := range n.Grants {
		fs.Under("grants", n.Grants[i].Check())
	}
	return fs
}

// creditBook holds what this instance granted and was granted. It is safe for
// use by several goroutines.
type creditBook struct {
	mu      *sync.Mutex
	wallet  *keeladmit.Wallet
	grantor *keeladmit.Grantor
	// wanted holds what each instance of another domain asked for last.
	wanted map[wantKey]wantEntry
	// home holds the mean number of requests of the own domain per service.
	home map[keel.ServiceName]*keelroute.Average
	// foreign counts the requests of other domains that run here.
	foreign map[keel.ServiceName]int
}

type wantKey struct {
	from    keel.InstanceName
	service keel.ServiceName
}

type wantEntry struct {
	domain keel.DomainName
	slots  int
	at     time.Time
}

func newCreditBook(self keel.InstanceName) creditBook {
	return creditBook{
		mu:      &sync.Mutex{},
		wallet:  keeladmit.NewWallet(self),
		grantor: keeladmit.NewGrantor(keeladmit.GrantorConfig{Self: self}),
		wanted:  make(map[wantKey]wantEntry),
		home:    make(map[keel.ServiceName]*keelroute.Average),
		foreign: make(map[keel.ServiceName]int),
	}
}

func (b *creditBook) take(now time.Time, domain keel.DomainName, service keel.ServiceName) (keel.InstanceName, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.wallet.Take(now, domain, service)
}

func (b *creditBook) release(domain keel.DomainName, service keel.ServiceName, grantor keel.InstanceName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.wallet.Release(domain, service, grantor)
}

// receive takes a note of another instance.
func (b *creditBook) receive(now time.Time, from keel.InstanceName, n *creditNote) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, w := range n.Wants {
		b.wanted[wantKey{from, w.Service}] = wantEntry{domain: n.Domain, slots: w.Slots, at: now}
	}
	for _, g := range n.Grants {
		b.wallet.Receive(now, n.Domain, g)
	}
}

// wantTTL is how long a want counts that is not renewed.
const wantTTL = 3 * time.Second

// domainWant is what the instances of a domain together want of a service.
type domainWant struct {
	domain  keel.DomainName
	service keel.ServiceName
}

// wanters is the sum of wants and the instances that have them. Only these get
// a part of a grant, so that small grants are not cut to nothing.
type wanters struct {
	slots   int
	members []keel.InstanceName
}

func (b *creditBook) sums(now time.Time) map[domainWant]wanters {
	sums := make(map[domainWant]wanters)
	for k, w := range b.wanted {
		if now.Sub(w.at) > wantTTL {
			delete(b.wanted, k)
			continue
		}
		if w.slots == 0 {
			continue
		}
		of := domainWant{w.domain, k.service}
		sum := sums[of]
		sum.slots += w.slots
		sum.members = append(sum.members, k.from)
		sums[of] = sum
	}
	for _, sum := range sums {
		slices.Sort(sum.members)
	}
	return sums
}

// count adds to the requests of other domains that run here.
func (b *creditBook) count(service keel.ServiceName, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.foreign[service] += n
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

// sendWants tells the instances of other domains how much room this instance
// would like to have there.
func (e *Engine) sendWants(ctx context.Context, now time.Time) {
	p := e.plan.Load()
	for domain, wants := range e.wants(p) {
		note := &creditNote{Domain: e.cfg.Self.Domain, Wants: wants}
		e.notify(ctx, p, domain, note)
	}
	_ = now
}

func (e *Engine) wants(p *plan) map[keel.DomainName][]keeladmit.Want {
	rates := make(map[domainWant]float64)
	e.mu.Lock()
	for src := range e.demand {
		sel := p.byName[src.Selector]
		if sel == nil {
			continue
		}
		total := e.totalRate(src)
		for _, w := range e.shares.Vector(src) {
			if w.Domain == e.cfg.Self.Domain || w.Weight <= 0 {
				continue
			}
			rates[domainWant{w.Domain, sel.Service}] += w.Weight * total
		}
	}
	e.mu.Unlock()
	e.addOverflow(p, rates)
	out := make(map[keel.DomainName][]keeladmit.Want)
	for k, rate := range rates {
		way := p.roundTrip(e.cfg.Self.Region, p.regions[k.domain])
		// One slot more lets a stream of requests begin.
		slots := 1 + keeladmit.WantSlots(rate, e.meanTime(p, k.service), way)
		want := keeladmit.Want{Domain: e.cfg.Self.Domain, Service: k.service, Slots: slots}
		out[k.domain] = append(out[k.domain], want)
	}
	return out
}

// addOverflow asks for a little room in other domains for the services that
// wait here, so that a request can be sent on.
func (e *Engine) addOverflow(p *plan, rates map[domainWant]float64) {
	for service, pl := range p.pools {
		if pl.waiting() == 0 {
			continue
		}
		for i := range p.view.Domains {
			d := &p.view.Domains[i]
			if d.Name != e.cfg.Self.Domain && roomOf(d.Rooms, service).Free > 0 {
				rates[domainWant{d.Name, service}] += 0
			}
		}
	}
}

// meanTime is how long a request of a service holds a slot, as far as this
// instance can tell.
func (e *Engine) meanTime(p *plan, service keel.ServiceName) time.Duration {
	if pl := p.pools[service]; pl != nil {
		return pl.serviceTime()
	}
	return 0
}

func (e *Engine) totalRate(src keelroute.Source) float64 {
	total := 0.0
	for _, l := range e.demand[src] {
		total += l.rate.Value()
	}
	return total
}

func (e *Engine) totalDemand(src keelroute.Source) float64 {
	total := 0.0
	for _, l := range e.demand[src] {
		total += l.average.Value()
	}
	return total
}

func (e *Engine) demandAt(src keelroute.Source, domain keel.DomainName) float64 {
	if l := e.demand[src][domain]; l != nil {
		return max(l.average.Value(), float64(l.now))
	}
	return 0
}

// sendGrants grants the wants of other domains out of the room of the endpoints
// that this instance owns.
func (e *Engine) sendGrants(ctx context.Context, now time.Time) {
	p := e.plan.Load()
	notes := make(map[keel.DomainName]*creditNote)
	e.credits.mu.Lock()
	farthest := make(map[keel.ServiceName]time.Duration)
	for k, sum := range e.credits.sums(now) {
		want := keeladmit.Want{Domain: k.domain, Service: k.service, Slots: sum.slots}
		e.credits.grantor.SetWant(now, want, sum.members)
		farthest[k.service] = max(farthest[k.service], p.roundTrip(e.cfg.Self.Region, p.regions[k.domain]))
	}
	for service, pl := range p.pools {
		e.credits.grantor.SetSpare(service, e.spare(now, service, pl, farthest[service]))
		for _, g := range e.credits.grantor.Grants(now, service) {
			if notes[g.Domain] == nil {
				notes[g.Domain] = &creditNote{Domain: e.cfg.Self.Domain}
			}
			notes[g.Domain].Grants = append(notes[g.Domain].Grants, g)
		}
	}
	e.credits.mu.Unlock()
	for domain, note := range notes {
		e.notify(ctx, p, domain, note)
	}
}

// spare returns how many requests of other domains may be under way here. The
// caller holds the lock of the credits.
func (e *Engine) spare(now time.Time, service keel.ServiceName, pl *pool, farthest time.Duration) int {
	room := pl.room(now, service)
	home := e.credits.home[service]
	if home == nil {
		average := keelroute.NewAverage(demandOver)
		home = &average
		e.credits.home[service] = home
	}
	busy := room.Slots - room.Free + pl.waiting() - e.credits.foreign[service]
	home.Observe(now, float64(max(0, busy)))
	if e.leaving.Load() {
		return 0
	}
	return keeladmit.SpareSlots(keeladmit.SpareInput{
		Slots:       room.Slots,
		Home:        home.Value(),
		ServiceTime: pl.serviceTime(),
		RoundTrip:   farthest,
	})
}

func (e *Engine) notify(ctx context.Context, p *plan, domain keel.DomainName, note *creditNote) {
	d := p.view.domain(domain)
	if d == nil {
		return
	}
	body, err := keel.EncodeCBOR(note)
	if err != nil {
		e.cfg.Log.WithError(err).Error("credit note not encoded")
		return
	}
	for _, m := range d.Members {
		if err := e.cfg.Transport.Send(ctx, m.Instance.Peer, keel.Envelope{Kind: keel.KindCredit, Body: body}); err != nil {
			e.cfg.Log.WithError(err).WithField("to", m.Instance.Name).Debug("credit note not sent")
		}
	}
}
