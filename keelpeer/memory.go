package keelpeer

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
)

// HubConfig is the configuration of a [MemoryHub].
type HubConfig struct {
	// Seed is the seed of the random numbers that decide on losses.
	Seed uint64
	// Clock measures delays; nil means real time.
	Clock clockwork.Clock
	// Log receives panics of handlers; nil means the standard logger.
	Log logrus.FieldLogger
}

// MemoryHub connects transports in memory. Faults are set separately for each
// direction between two addresses.
type MemoryHub struct {
	clock clockwork.Clock
	log   logrus.FieldLogger

	mu      sync.Mutex
	random  *rand.Rand
	members map[netip.AddrPort]*MemoryTransport
	routes  map[route]*routeFaults
}

// route is the direction from one address to another.
type route struct{ from, to netip.AddrPort }

// routeFaults holds the faults of one direction.
type routeFaults struct {
	delay time.Duration
	loss  float64
	cut   bool
	// healed is closed when Heal ends the cut.
	healed chan struct{}
}

// NewMemoryHub returns a hub without members.
func NewMemoryHub(cfg HubConfig) *MemoryHub {
	if cfg.Clock == nil {
		cfg.Clock = clockwork.NewRealClock()
	}
	if cfg.Log == nil {
		cfg.Log = logrus.StandardLogger()
	}
	return &MemoryHub{
		clock:   cfg.Clock,
		log:     cfg.Log,
		random:  rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		members: map[netip.AddrPort]*MemoryTransport{},
		routes:  map[route]*routeFaults{},
	}
}

// Join adds a member and returns its transport. It replaces a former member at
// the same address.
func (h *MemoryHub) Join(name keel.InstanceName, addr netip.AddrPort) *MemoryTransport {
	t := &MemoryTransport{handlers: newHandlers(nil, nil, h.log), hub: h, name: name, addr: addr}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	h.mu.Lock()
	defer h.mu.Unlock()
	h.members[addr] = t
	return t
}

// Cut cuts both directions between a and b, see [MemoryHub.CutOneWay].
func (h *MemoryHub) Cut(a, b netip.AddrPort) {
	h.CutOneWay(a, b)
	h.CutOneWay(b, a)
}

// CutOneWay silently drops messages, calls, answers and new streams from one
// address to another until [MemoryHub.Heal]. Writes to open streams in that
// direction block until then.
func (h *MemoryHub) CutOneWay(from, to netip.AddrPort) {
	h.editRoute(from, to, func(s *routeFaults) {
		if !s.cut {
			s.cut, s.healed = true, make(chan struct{})
		}
	})
}

// Heal ends the cuts between a and b in both directions.
func (h *MemoryHub) Heal(a, b netip.AddrPort) {
	for _, r := range []route{{a, b}, {b, a}} {
		h.editRoute(r.from, r.to, func(s *routeFaults) {
			if s.cut {
				s.cut = false
				close(s.healed)
			}
		})
	}
}

// SetDelay delays messages, calls, answers and new streams from one address to
// another, but not the bytes of open streams.
func (h *MemoryHub) SetDelay(from, to netip.AddrPort, d time.Duration) {
	h.editRoute(from, to, func(s *routeFaults) { s.delay = d })
}

// SetLoss drops messages, calls, answers and new streams from one address to
// another with a probability from 0 to 1, but no bytes of open streams.
func (h *MemoryHub) SetLoss(from, to netip.AddrPort, probability float64) {
	h.editRoute(from, to, func(s *routeFaults) { s.loss = probability })
}

func (h *MemoryHub) editRoute(from, to netip.AddrPort, edit func(*routeFaults)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := route{from, to}
	if h.routes[r] == nil {
		h.routes[r] = &routeFaults{}
	}
	edit(h.routes[r])
}

// delivery is the receiver of one message and the faults that apply to it.
type delivery struct {
	member *MemoryTransport
	delay  time.Duration
	lost   bool
	// healed is nil unless the route is cut.
	healed chan struct{}
}

func (h *MemoryHub) delivery(from, to netip.AddrPort) delivery {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := delivery{member: h.members[to]}
	s := h.routes[route{from, to}]
	if s == nil {
		return p
	}
	p.delay = s.delay
	p.lost = s.loss > 0 && h.random.Float64() < s.loss
	if s.cut {
		p.lost, p.healed = true, s.healed
	}
	return p
}

// MemoryTransport is one member of a [MemoryHub]. It implements
// [keel.Transport].
type MemoryTransport struct {
	*handlers
	hub    *MemoryHub
	name   keel.InstanceName
	addr   netip.AddrPort
	ctx    context.Context
	cancel context.CancelFunc

	mu     sync.Mutex
	closed bool
	group  conc.WaitGroup
}

var _ keel.Transport = (*MemoryTransport)(nil)

// Addr returns the address of the member.
func (t *MemoryTransport) Addr() netip.AddrPort { return t.addr }

// Run waits until ctx ends or [MemoryTransport.Close] is called. It then leaves
// the hub and returns once the member's handlers have returned.
func (t *MemoryTransport) Run(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-t.ctx.Done():
	}
	t.hub.leave(t)
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.cancel()
	t.group.Wait()
	return nil
}

// Close stops the member, which makes Run return.
func (t *MemoryTransport) Close() { t.cancel() }

func (h *MemoryHub) leave(t *MemoryTransport) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.members[t.addr] == t {
		delete(h.members, t.addr)
	}
}

func (t *MemoryTransport) start(f func()) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.group.Go(f)
	return true
}

// Send implements [keel.Transport].
func (t *MemoryTransport) Send(_ context.Context, to netip.AddrPort, e keel.Envelope) error {
	if t.ctx.Err() != nil {
		return ErrClosed
	}
	p := t.hub.delivery(t.addr, to)
	if p.lost || p.member == nil {
		return nil
	}
	p.member.start(func() { p.member.runMessage(p.delay, t.outgoing(e)) })
	return nil
}

// outgoing returns a copy of e with the sender set.
func (t *MemoryTransport) outgoing(e keel.Envelope) keel.Envelope {
	e.From = t.name
	e.Body = append([]byte(nil), e.Body...)
	return e
}

func (t *MemoryTransport) runMessage(delay time.Duration, e keel.Envelope) {
	if t.wait(t.ctx, delay) {
		_, _ = t.handle(t.ctx, e)
	}
}

func (t *MemoryTransport) wait(ctx context.Context, delay time.Duration) bool {
	if delay <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-t.hub.clock.After(delay):
		return true
	}
}

// callResult is the result of a call.
type callResult struct {
	envelope keel.Envelope
	err      error
}

// Call implements [keel.Transport] with the errors of [Transport.Call].
func (t *MemoryTransport) Call(ctx context.Context, to netip.AddrPort, e keel.Envelope) (keel.Envelope, error) {
	p := t.hub.delivery(t.addr, to)
	if err := t.checkReachable(ctx, to, p); err != nil {
		return keel.Envelope{}, err
	}
	answers := make(chan callResult, 1)
	callCtx, stop := mergeContexts(p.member.ctx, ctx)
	defer stop()
	if !p.member.start(func() { p.member.runCall(callCtx, p.delay, t.addr, t.outgoing(e), answers) }) {
		return keel.Envelope{}, unreachableError(to, ErrClosed)
	}
	select {
	case r := <-answers:
		return r.envelope, r.err
	case <-callCtx.Done():
		return keel.Envelope{}, errors.Wrapf(errors.Join(ErrOutcomeUnknown, callCtx.Err()), "call %s", to)
	}
}

// checkReachable returns an error if a member cannot be reached. If the
// delivery is lost, it waits for the end of ctx first.
func (t *MemoryTransport) checkReachable(ctx context.Context, to netip.AddrPort, p delivery) error {
	switch {
	case t.ctx.Err() != nil:
		return ErrClosed
	case p.lost:
		<-ctx.Done()
		return unreachableError(to, ctx.Err())
	case p.member == nil:
		return unreachableError(to, errors.New("no such member"))
	default:
		return nil
	}
}

func (t *MemoryTransport) runCall(ctx context.Context, delay time.Duration, from netip.AddrPort, e keel.Envelope, answers chan<- callResult) {
	if !t.wait(ctx, delay) {
		return
	}
	answer, err := t.handle(ctx, e)
	if errors.Is(err, errPanicked) {
		answers <- callResult{err: ErrOutcomeUnknown}
		return
	}
	back := t.hub.delivery(t.addr, from)
	if back.lost || !t.wait(ctx, back.delay) {
		return
	}
	answer, err = newReply(answer, err).result()
	if err == nil {
		answer = t.outgoing(answer)
	}
	answers <- callResult{answer, err}
}

// mergeContexts returns a context that ends with either a or b.
func mergeContexts(a, b context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(a)
	stop := context.AfterFunc(b, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}
