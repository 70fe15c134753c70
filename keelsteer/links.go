package keelsteer

import (
	"context"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keeladmit"
	"github.com/greengagekeel/greengagekeel/keelproxy"
	"github.com/greengagekeel/greengagekeel/keelroute"
)

// linkBook holds the byte budgets of the links out of this instance's region.
// It is safe for use by several goroutines.
type linkBook struct {
	region keel.RegionName

	mu      sync.Mutex
	budgets map[keel.RegionName]*keeladmit.LinkBudget
	links   map[keel.RegionName]keel.Link
	senders int
	sent    map[keel.RegionName]*sentBytes
}

// sentBytes is what was sent to a region, as a rate.
type sentBytes struct {
	// bytes is what was sent since, total what was sent since the start.
	bytes int
	total uint64
	since time.Time
	rate  keelroute.Average
}

func newLinkBook(region keel.RegionName) linkBook {
	return linkBook{
		region:  region,
		budgets: make(map[keel.RegionName]*keeladmit.LinkBudget),
		links:   make(map[keel.RegionName]keel.Link),
		sent:    make(map[keel.RegionName]*sentBytes),
	}
}

// set takes the links, and the shares of the selectors in them, from the
// declarations. Every registered instance of the region may send, so that each
// has an equal part.
func (b *linkBook) set(d *keel.Declarations) {
	b.mu.Lock()
	defer b.mu.Unlock()
	senders := sendersOf(d, b.region)
	seen := make(map[keel.RegionName]bool)
	for _, l := range d.Links {
		if l.From != b.region {
			continue
		}
		seen[l.To] = true
		if b.links[l.To] != l || b.senders != senders {
			b.links[l.To] = l
			b.budgets[l.To] = keeladmit.NewLinkBudget(keeladmit.LinkConfig{Link: l, Instances: senders})
		}
		for i := range d.Selectors {
			b.budgets[l.To].SetShare(d.Selectors[i].Name, d.Selectors[i].LinkSharePercent)
		}
	}
	b.senders = senders
	for to := range b.budgets {
		if !seen[to] {
			delete(b.budgets, to)
			delete(b.links, to)
		}
	}
}

// sendersOf counts the registered instances of a region.
func sendersOf(d *keel.Declarations, region keel.RegionName) int {
	regions := make(map[keel.DomainName]keel.RegionName, len(d.Domains))
	for _, v := range d.Domains {
		regions[v.Name] = v.Region
	}
	n := 0
	for _, in := range d.Instances {
		if regions[in.Domain] == region {
			n++
		}
	}
	return max(n, 1)
}

// take asks to send n bytes to a region. Without a declared link there is no
// bound.
func (b *linkBook) take(now time.Time, to keel.RegionName, sel keel.SelectorName, n int) (int, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.budgets[to]
	if budget == nil {
		return n, 0
	}
	granted, wait := budget.TakeFor(now, sel, n)
	s := b.sentTo(now, to)
	s.bytes += granted
	s.total += uint64(granted)
	return granted, wait
}

// sentTo returns the count of bytes to a region. The caller holds mu.
func (b *linkBook) sentTo(now time.Time, to keel.RegionName) *sentBytes {
	s := b.sent[to]
	if s == nil {
		s = &sentBytes{since: now, rate: keelroute.NewAverage(demandOver)}
		b.sent[to] = s
	}
	return s
}

// LinkDump is the use of a link out of this instance's region.
type LinkDump struct {
	To keel.RegionName `json:"to"`
	// Bytes is what this instance has sent over the link since its start.
	Bytes uint64 `json:"bytes"`
	// Use is the part of this instance's byte budget that is used, from 0 to 1.
	Use float64 `json:"use"`
}

// dump returns the use of each declared link, in the order of regions.
func (b *linkBook) dump(now time.Time) []LinkDump {
	b.mu.Lock()
	regions := slices.Sorted(maps.Keys(b.budgets))
	b.mu.Unlock()
	out := make([]LinkDump, 0, len(regions))
	for _, to := range regions {
		out = append(out, LinkDump{To: to, Bytes: b.total(now, to), Use: b.use(now, to)})
	}
	return out
}

func (b *linkBook) total(now time.Time, to keel.RegionName) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sentTo(now, to).total
}

// use returns the part of this instance's byte budget to a region that is used,
// from 0 to 1, on an average over time.
func (b *linkBook) use(now time.Time, to keel.RegionName) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.budgets[to]
	if budget == nil {
		return 0
	}
	s := b.sentTo(now, to)
	if took := now.Sub(s.since); took >= shortestReading {
		s.rate.Observe(now, float64(s.bytes)/took.Seconds())
		s.bytes, s.since = 0, now
	}
	rate := budget.Rate(now)
	if rate <= 0 {
		return 1
	}
	return min(1, s.rate.Value()/rate)
}

// pacedBody reads a body no faster than the byte budget of a link allows.
type pacedBody struct {
	r        io.Reader
	ctx      context.Context
	book     *linkBook
	to       keel.RegionName
	selector keel.SelectorName
	rest     int
}

// shortestPause bounds how often a budget that is used up is asked again.
const shortestPause = time.Millisecond

// Read waits for the budget, then reads at most what it granted.
func (b *pacedBody) Read(p []byte) (int, error) {
	for b.rest == 0 {
		n, wait := b.book.take(time.Now(), b.to, b.selector, len(p))
		b.rest = n
		if n > 0 {
			break
		}
		select {
		case <-b.ctx.Done():
			return 0, b.ctx.Err()
		case <-time.After(max(wait, shortestPause)):
		}
	}
	n, err := b.r.Read(p[:min(len(p), b.rest)])
	b.rest -= n
	return n, err
}

// Interrupt ends a read that is under way.
func (b *pacedBody) Interrupt() {
	keelproxy.Interrupt(b.r)
}

// pacedAnswer is the paced body of an answer.
type pacedAnswer struct {
	*pacedBody
	io.Closer
}
