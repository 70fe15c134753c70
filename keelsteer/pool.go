package keelsteer

import (
	"context"
	"sync"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keeladmit"
	"github.com/greengagekeel/greengagekeel/keelproxy"
	"github.com/greengagekeel/greengagekeel/keelroute"
)

// pool admits the requests of one service to the endpoints that this instance
// owns. It is safe for use by several goroutines.
type pool struct {
	mu      sync.Mutex
	queue   *keeladmit.Queue
	waiters map[uint64]chan slot
	targets map[keel.EndpointID]keelproxy.Target
	// eject compares the endpoints of this pool only, since those of other
	// services take other times.
	eject  *keelroute.Ejector
	nextID uint64
}

// slot is the right to run one request at an endpoint, or a refusal.
type slot struct {
	target  keelproxy.Target
	refusal *keel.Refusal
}

func newPool(cfg keeladmit.QueueConfig) *pool {
	return &pool{
		queue:   keeladmit.NewQueue(cfg),
		waiters: make(map[uint64]chan slot),
		targets: make(map[keel.EndpointID]keelproxy.Target),
		eject:   keelroute.NewEjector(keelroute.EjectorConfig{}),
	}
}

// acquire waits for a slot. The slot must be given back with release.
func (p *pool) acquire(ctx context.Context, it keeladmit.Item) (keelproxy.Target, *keel.Refusal) {
	p.mu.Lock()
	p.nextID++
	it.ID = p.nextID
	d := p.queue.Offer(time.Now(), it)
	switch d.Action {
	case keeladmit.ActionStart:
		t := p.targets[d.Endpoint]
		p.mu.Unlock()
		return t, nil
	case keeladmit.ActionRefuse:
		p.mu.Unlock()
		return keelproxy.Target{}, d.Refusal
	}
	ready := make(chan slot, 1)
	p.waiters[it.ID] = ready
	p.mu.Unlock()
	select {
	case s := <-ready:
		return s.target, s.refusal
	case <-ctx.Done():
		return p.giveUp(ctx, it.ID, ready)
	}
}

// giveUp takes back a request that waits. A slot that it got meanwhile is
// given back.
func (p *pool) giveUp(ctx context.Context, id uint64, ready chan slot) (keelproxy.Target, *keel.Refusal) {
	p.mu.Lock()
	waiting := p.queue.Cancel(time.Now(), id)
	delete(p.waiters, id)
	p.mu.Unlock()
	if !waiting {
		select {
		case s := <-ready:
			if s.refusal == nil {
				p.release(s.target.ID, keeladmit.OutcomeCancelled, 0)
			}
		default: // the queue had refused it, and nobody was told
		}
	}
	return keelproxy.Target{}, endedRefusal(ctx, "the request waited for a slot")
}

func endedRefusal(ctx context.Context, detail string) *keel.Refusal {
	reason := keel.ReasonCallerGone
	if ctx.Err() == context.DeadlineExceeded {
		reason = keel.ReasonDeadline
	}
	return keel.Refuse(keel.NotRun, reason, 0, "%s", detail)
}

// release gives a slot back.
func (p *pool) release(id keel.EndpointID, o keeladmit.Outcome, latency time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.queue.Done(now, id, o, latency)
	if o != keeladmit.OutcomeCancelled {
		p.eject.Observe(now, id, o == keeladmit.OutcomeOK, latency)
	}
	p.startWaiting(now)
}

// startWaiting tells the requests that may start now. The caller holds mu.
func (p *pool) startWaiting(now time.Time) {
	for {
		s, ok := p.queue.Next(now)
		if !ok {
			return
		}
		p.tell(s.ID, slot{target: p.targets[s.Endpoint]})
	}
}

func (p *pool) tell(id uint64, s slot) {
	if ready := p.waiters[id]; ready != nil {
		delete(p.waiters, id)
		ready <- s
	}
}

// expire refuses the requests that have waited too long.
func (p *pool) expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiters) == 0 {
		return
	}
	for _, r := range p.queue.Expire(now) {
		p.tell(r.ID, slot{refusal: r.Refusal})
	}
	p.startWaiting(now)
}

// owned is one endpoint that this instance owns.
type owned struct {
	state  keeladmit.EndpointState
	target keelproxy.Target
	drain  bool
}

// set makes list the endpoints of the pool.
func (p *pool) set(now time.Time, list []owned) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := make(map[keel.EndpointID]bool, len(list))
	for _, o := range list {
		kept[o.state.ID] = true
		if _, known := p.targets[o.state.ID]; !known {
			p.eject.Add(o.state.ID)
		}
		p.targets[o.state.ID] = o.target
		o.state.EjectedUntil = p.eject.Until(o.state.ID)
		p.queue.SetEndpoint(now, o.state)
		if o.drain {
			p.queue.Drain(o.state.ID)
		}
	}
	for id := range p.targets {
		if kept[id] {
			continue
		}
		p.queue.Remove(id)
		p.eject.Remove(id)
		if p.queue.InFlight(id) == 0 {
			delete(p.targets, id)
		}
	}
	p.startWaiting(now)
}

// room returns how much the pool can take.
func (p *pool) room(now time.Time, service keel.ServiceName) Room {
	p.mu.Lock()
	defer p.mu.Unlock()
	slots, free := p.queue.Slots(now)
	return Room{
		Service:    service,
		Slots:      slots,
		Free:       free,
		QueueDelay: keel.Duration(p.queue.Delay(now, keel.ClassLive)),
	}
}

// EndpointLoad is what the pool knows of one endpoint.
type EndpointLoad struct {
	ID       keel.EndpointID `json:"id"`
	Address  string          `json:"address"`
	InFlight int             `json:"in_flight"`
	// Usable is how many requests may run there at once now.
	Usable int `json:"usable"`
	// EjectedUntil is the end of the last ejection, zero if there was none.
	EjectedUntil time.Time `json:"ejected_until,omitzero"`
}

func (p *pool) loads() []EndpointLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]EndpointLoad, 0, len(p.targets))
	for id, t := range p.targets {
		out = append(out, EndpointLoad{
			ID: id, Address: t.Address.String(), InFlight: p.queue.InFlight(id),
			Usable: p.queue.Usable(time.Now(), id), EjectedUntil: p.eject.Until(id),
		})
	}
	return out
}

func (p *pool) inFlight(id keel.EndpointID) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.InFlight(id)
}

// hasOther reports whether the pool has an endpoint besides one. The empty name
// stands for none.
func (p *pool) hasOther(than keel.EndpointName) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.targets {
		if id.Name != than {
			return true
		}
	}
	return false
}

func (p *pool) waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.waiters)
}
