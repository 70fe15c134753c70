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

// pool admits requests of one service to the endpoints that this instance owns.
// It is safe for use by several goroutines.
type pool struct {
	mu      sync.Mutex
	queue   *keeladmit.Queue
	waiters map[uint64]chan admission
	targets map[keel.EndpointID]keelproxy.Target
	// ejector compares only the endpoints of this pool, since latencies differ
	// between services.
	ejector *keelroute.Ejector
	// notices holds what endpoints said in their answers about the requests they want.
	notices map[keel.EndpointID]*endpointNotice
	nextID  uint64
}

// admission is the result of waiting in the queue: an endpoint with a free
// slot, or a refusal.
type admission struct {
	target  keelproxy.Target
	refusal *keel.Refusal
}

func newPool(cfg keeladmit.QueueConfig) *pool {
	return &pool{
		queue:   keeladmit.NewQueue(cfg),
		waiters: make(map[uint64]chan admission),
		targets: make(map[keel.EndpointID]keelproxy.Target),
		ejector: keelroute.NewEjector(keelroute.EjectorConfig{}),
		notices: make(map[keel.EndpointID]*endpointNotice),
	}
}

// acquire waits for a slot, which the caller must release with release.
func (p *pool) acquire(ctx context.Context, item keeladmit.Item) (keelproxy.Target, *keel.Refusal) {
	p.mu.Lock()
	p.nextID++
	item.ID = p.nextID
	d := p.queue.Offer(time.Now(), item)
	switch d.Action {
	case keeladmit.ActionStart:
		t := p.targets[d.Endpoint]
		p.mu.Unlock()
		return t, nil
	case keeladmit.ActionRefuse:
		p.mu.Unlock()
		return keelproxy.Target{}, d.Refusal
	}
	ready := make(chan admission, 1)
	p.waiters[item.ID] = ready
	p.mu.Unlock()
	select {
	case s := <-ready:
		return s.target, s.refusal
	case <-ctx.Done():
		return p.cancelWait(ctx, item.ID, ready)
	}
}

// cancelWait removes a waiting request from the queue. If the request was
// admitted in the meantime, its slot is released.
func (p *pool) cancelWait(ctx context.Context, id uint64, ready chan admission) (keelproxy.Target, *keel.Refusal) {
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
		default: // no admission was sent, so that there is no slot to release
		}
	}
	return keelproxy.Target{}, contextRefusal(ctx, "the request ended while it waited for a slot")
}

// contextRefusal returns the refusal for a request whose context has ended.
func contextRefusal(ctx context.Context, detail string) *keel.Refusal {
	reason := keel.ReasonCallerGone
	if ctx.Err() == context.DeadlineExceeded {
		reason = keel.ReasonDeadline
	}
	return keel.Refuse(keel.NotRun, reason, 0, "%s", detail)
}

// release releases a slot and reports the outcome of the request.
func (p *pool) release(id keel.EndpointID, o keeladmit.Outcome, latency time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.queue.Done(now, id, o, latency)
	switch o {
	case keeladmit.OutcomeCancelled:
	case keeladmit.OutcomeShed:
		p.ejector.ObserveShed(now, id)
	default:
		p.ejector.Observe(now, id, o == keeladmit.OutcomeOK, latency)
	}
	if o != keeladmit.OutcomeCancelled {
		p.queue.Eject(id, p.blockedUntil(id))
	}
	p.startNext(now)
}

// startNext admits waiting requests while slots are free. The caller holds mu.
func (p *pool) startNext(now time.Time) {
	for {
		s, ok := p.queue.StartNext(now)
		if !ok {
			return
		}
		p.notify(s.ID, admission{target: p.targets[s.Endpoint]})
	}
}

// notify sends an admission to a waiting request. The caller holds mu.
func (p *pool) notify(id uint64, a admission) {
	if ready := p.waiters[id]; ready != nil {
		delete(p.waiters, id)
		ready <- a
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
		p.notify(r.ID, admission{refusal: r.Refusal})
	}
	p.startNext(now)
}

// ownedEndpoint is an endpoint that this instance owns. If drain is set, it
// takes no new requests.
type ownedEndpoint struct {
	state  keeladmit.EndpointState
	target keelproxy.Target
	drain  bool
}

// setEndpoints replaces the endpoints of the pool. A removed endpoint stays in
// targets until its last request ends. alternative is whether endpoints outside the
// pool can serve its requests.
func (p *pool) setEndpoints(now time.Time, list []ownedEndpoint, alternative bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ejector.SetAlternative(now, alternative)
	p.expireNotices(now)
	kept := make(map[keel.EndpointID]bool, len(list))
	for _, o := range list {
		kept[o.state.ID] = true
		if _, known := p.targets[o.state.ID]; !known {
			p.ejector.Add(o.state.ID)
		}
		p.targets[o.state.ID] = o.target
		o.state.EjectedUntil = p.blockedUntil(o.state.ID)
		p.queue.SetEndpoint(now, o.state)
		p.applyLimit(now, o.state.ID)
		if o.drain || p.isLeaving(o.state.ID) {
			p.queue.Drain(o.state.ID)
		}
	}
	for id := range p.targets {
		if kept[id] {
			continue
		}
		p.queue.Remove(id)
		p.ejector.Remove(id)
		if p.queue.InFlight(id) == 0 {
			delete(p.targets, id)
		}
	}
	p.startNext(now)
}

// capacity returns the slots, the free slots and the queue delay of the pool.
func (p *pool) capacity(now time.Time, service keel.ServiceName) ServiceCapacity {
	p.mu.Lock()
	defer p.mu.Unlock()
	slots, free := p.queue.Slots(now)
	return ServiceCapacity{
		Service:    service,
		Slots:      slots,
		Free:       free,
		QueueDelay: keel.Duration(p.queue.Delay(now, keel.ClassLive)),
	}
}

// EndpointLoad is the load of one owned endpoint.
type EndpointLoad struct {
	ID       keel.EndpointID `json:"id"`
	Address  string          `json:"address"`
	InFlight int             `json:"in_flight"`
	// Usable is how many requests may currently run there at once.
	Usable int `json:"usable"`
	// EjectedUntil is the end of the last ejection. It is zero if the endpoint
	// was never ejected.
	EjectedUntil time.Time `json:"ejected_until,omitzero"`
}

func (p *pool) endpointLoads() []EndpointLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]EndpointLoad, 0, len(p.targets))
	for id, t := range p.targets {
		out = append(out, EndpointLoad{
			ID: id, Address: t.Address.String(), InFlight: p.queue.InFlight(id),
			Usable: p.queue.Usable(time.Now(), id), EjectedUntil: p.ejector.Until(id),
		})
	}
	return out
}

func (p *pool) inFlight(id keel.EndpointID) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.InFlight(id)
}

// hasOther reports whether the pool has an endpoint with a name other than
// exclude.
func (p *pool) hasOther(exclude keel.EndpointName) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.targets {
		if id.Name != exclude {
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
