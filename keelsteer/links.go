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

// linkState holds the byte budgets and the traffic of the links out of the
// region of this instance. It is safe for use by several goroutines.
type linkState struct {
	region keel.RegionName

	mu      sync.Mutex
	budgets map[keel.RegionName]*keeladmit.LinkBudget
	links   map[keel.RegionName]keel.Link
	// instances is the number of instances that share each budget.
	instances int
	sent      map[keel.RegionName]*sentBytes
}

// sentBytes measures the traffic to a region.
type sentBytes struct {
	// bytes counts the bytes sent since the time in since, total all bytes.
	bytes int
	total uint64
	since time.Time
	rate  keelroute.Average
}

func newLinkState(region keel.RegionName) linkState {
	return linkState{
		region:  region,
		budgets: make(map[keel.RegionName]*keeladmit.LinkBudget),
		links:   make(map[keel.RegionName]keel.Link),
		sent:    make(map[keel.RegionName]*sentBytes),
	}
}

// update applies the declared links and the link shares of the selectors. Every
// registered instance of the region may send, so each gets an equal part of the
// budget.
func (b *linkState) update(d *keel.Declarations) {
	b.mu.Lock()
	defer b.mu.Unlock()
	instances := instancesIn(d, b.region)
	seen := make(map[keel.RegionName]bool)
	for _, l := range d.Links {
		if l.From != b.region {
			continue
		}
		seen[l.To] = true
		if b.links[l.To] != l || b.instances != instances {
			b.links[l.To] = l
			b.budgets[l.To] = keeladmit.NewLinkBudget(keeladmit.LinkConfig{Link: l, Instances: instances})
		}
		for i := range d.Selectors {
			b.budgets[l.To].SetShare(d.Selectors[i].Name, d.Selectors[i].LinkSharePercent)
		}
	}
	b.instances = instances
	for to := range b.budgets {
		if !seen[to] {
			delete(b.budgets, to)
			delete(b.links, to)
		}
	}
}

// instancesIn returns the number of registered instances of a region, at least
// 1.
func instancesIn(d *keel.Declarations, region keel.RegionName) int {
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

// take requests budget for n bytes to a region. It returns the bytes granted
// and, if that is 0, how long to wait before the next call. Without a declared
// link there is no limit.
func (b *linkState) take(now time.Time, to keel.RegionName, sel keel.SelectorName, n int) (int, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.budgets[to]
	if budget == nil {
		return n, 0
	}
	granted, wait := budget.TakeFor(now, sel, n)
	s := b.sentBytesTo(now, to)
	s.bytes += granted
	s.total += uint64(granted)
	return granted, wait
}

// sentBytesTo returns the traffic to a region. The caller holds mu.
func (b *linkState) sentBytesTo(now time.Time, to keel.RegionName) *sentBytes {
	s := b.sent[to]
	if s == nil {
		s = &sentBytes{since: now, rate: keelroute.NewAverage(demandWindow)}
		b.sent[to] = s
	}
	return s
}

// LinkDump is the traffic on a link out of the region of this instance.
type LinkDump struct {
	To keel.RegionName `json:"to"`
	// Bytes is the number of bytes that this instance has sent over the link
	// since its start.
	Bytes uint64 `json:"bytes"`
	// Use is the part of the byte budget of this instance that is in use, from
	// 0 to 1.
	Use float64 `json:"use"`
}

// dump returns the traffic on each declared link, sorted by region.
func (b *linkState) dump(now time.Time) []LinkDump {
	b.mu.Lock()
	regions := slices.Sorted(maps.Keys(b.budgets))
	b.mu.Unlock()
	out := make([]LinkDump, 0, len(regions))
	for _, to := range regions {
		out = append(out, LinkDump{To: to, Bytes: b.totalSent(now, to), Use: b.utilisation(now, to)})
	}
	return out
}

func (b *linkState) totalSent(now time.Time, to keel.RegionName) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sentBytesTo(now, to).total
}

// utilisation returns the averaged part, from 0 to 1, of the byte budget of
// this instance to a region that is in use.
func (b *linkState) utilisation(now time.Time, to keel.RegionName) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.budgets[to]
	if budget == nil {
		return 0
	}
	s := b.sentBytesTo(now, to)
	if elapsed := now.Sub(s.since); elapsed >= minRateInterval {
		s.rate.Observe(now, float64(s.bytes)/elapsed.Seconds())
		s.bytes, s.since = 0, now
	}
	rate := budget.Rate(now)
	if rate <= 0 {
		return 1
	}
	return min(1, s.rate.Value()/rate)
}

// pacedBody limits the read rate of a body to the byte budget of a link.
// granted counts the bytes that were taken from the budget but not read yet.
type pacedBody struct {
	r        io.Reader
	ctx      context.Context
	links    *linkState
	to       keel.RegionName
	selector keel.SelectorName
	granted  int
}

// minBudgetWait is the minimum wait before an exhausted budget is tried again.
const minBudgetWait = time.Millisecond

// Read waits for budget if none is left, then reads at most the granted bytes.
func (b *pacedBody) Read(p []byte) (int, error) {
	for b.granted == 0 {
		n, wait := b.links.take(time.Now(), b.to, b.selector, len(p))
		b.granted = n
		if n > 0 {
			break
		}
		select {
		case <-b.ctx.Done():
			return 0, b.ctx.Err()
		case <-time.After(max(wait, minBudgetWait)):
		}
	}
	n, err := b.r.Read(p[:min(len(p), b.granted)])
	b.granted -= n
	return n, err
}

// MarkRead marks the body that is paced.
func (b *pacedBody) MarkRead() { keelproxy.MarkRead(b.r) }

// Interrupt aborts a Read in progress.
func (b *pacedBody) Interrupt() {
	keelproxy.Interrupt(b.r)
}

// pacedAnswer is the body of an answer, paced on Read.
type pacedAnswer struct {
	*pacedBody
	io.Closer
}
