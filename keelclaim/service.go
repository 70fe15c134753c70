package keelclaim

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	mathrand "math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	keel "github.com/greengagekeel/greengagekeel"
)

// Config holds what a [Service] needs.
type Config struct {
	Self      keel.Instance
	Transport keel.Transport
	// Resolve returns the peer address of an instance.
	Resolve func(keel.InstanceName) (netip.AddrPort, bool)
	// Holders returns the current set of holders of a failure domain, and the
	// former ones that were in force within the retention.
	Holders func(keel.DomainName) []Set
	// Domains returns the declared failure domains.
	Domains func() []keel.DomainName
	// FormerDomains returns the sets of failure domains that were declared
	// within the retention, without the current one. It may be nil.
	FormerDomains func() [][]keel.DomainName
	// Live returns the instances that are known to be live. It may be nil.
	Live func() map[keel.InstanceName]bool
	// BarrierLifted reports whether an operator has lifted the barrier of this
	// instance's failure domain by the label [keel.LabelClaimBarrierLift]. It
	// may be nil.
	BarrierLifted func() bool
	Clock         clockwork.Clock
	Log           *logrus.Entry
	// Secret signs tickets and hides keys. All instances have the same.
	Secret []byte
	// Retention is how long a key is remembered after its last use.
	Retention time.Duration
	// ClockSlack is how far the clocks of two instances may be apart. Zero
	// means [DefaultClockSlack].
	ClockSlack time.Duration
	// MaxAnswerBytes bounds one recorded answer.
	MaxAnswerBytes int
	// MaxTotalBytes bounds all claims and recorded answers of a holder.
	MaxTotalBytes int
	// Seed makes the waits between tries reproducible.
	Seed uint64
}

// DefaultClockSlack is how far the clocks of two instances may be apart.
const DefaultClockSlack = 2 * time.Second

// Intervals of the service's own work.
const (
	tickInterval  = 200 * time.Millisecond
	helloInterval = 2 * time.Second
	callTimeout   = 2 * time.Second
)

// Service claims keys and holds claims. It is safe for use by several
// goroutines.
type Service struct {
	cfg     Config
	counter atomic.Uint64
	// undelivered counts the messages that are sent until they arrive.
	undelivered atomic.Int64
	// ctx ends with Run.
	ctx    context.Context
	cancel context.CancelFunc

	mu     sync.Mutex
	holder *Holder
	phase  Phase
	rng    *mathrand.Rand
	// starts holds the latest known start of each holder.
	starts map[keel.InstanceName]uint64
	outbox []*delivery
	closed bool
	// homeDomains and formerHomes are the present and former possible homes.
	homeDomains []keel.DomainName
	formerHomes []formerHomes
	wg          conc.WaitGroup
}

// New returns a service. It takes part in claims once [Service.Run] runs.
func New(cfg Config) *Service {
	if cfg.ClockSlack == 0 {
		cfg.ClockSlack = DefaultClockSlack
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Service{
		cfg:    cfg,
		ctx:    ctx,
		cancel: cancel,
		holder: NewHolder(HolderConfig{
			Self:           cfg.Self.Name,
			Incarnation:    cfg.Self.Incarnation,
			Started:        cfg.Clock.Now(),
			Retention:      cfg.Retention,
			ClockSlack:     cfg.ClockSlack,
			MaxAnswerBytes: cfg.MaxAnswerBytes,
			MaxTotalBytes:  cfg.MaxTotalBytes,
		}),
		rng:    mathrand.New(mathrand.NewPCG(cfg.Seed, cfg.Self.Incarnation)),
		starts: map[keel.InstanceName]uint64{cfg.Self.Name: cfg.Self.Incarnation},
	}
}

// Run owns the service's goroutines until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	var wg conc.WaitGroup
	loops := []func(context.Context){s.loopTick, s.loopRefill, s.loopHello}
	for _, loop := range loops {
		wg.Go(func() { loop(ctx) })
	}
	<-ctx.Done()
	s.cancel()
	wg.Wait()
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.wg.Wait()
	return nil
}

// goRun starts f as a goroutine that Run waits for. It reports whether the
// service still runs.
func (s *Service) goRun(f func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.wg.Go(f)
	return true
}

// loopTick follows the declarations, forgets what is too old and sends again
// what did not arrive.
func (s *Service) loopTick(ctx context.Context) {
	ticker := s.cfg.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		s.tick()
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

func (s *Service) tick() {
	now := s.cfg.Clock.Now()
	s.noteHomes(now)
	sets := InForce(s.cfg.Holders(s.cfg.Self.Domain), now, s.memory())
	lifted := s.cfg.BarrierLifted != nil && s.cfg.BarrierLifted()
	s.mu.Lock()
	s.holder.SetHolders(now, sets)
	s.holder.LiftBarrier(lifted)
	s.holder.Expire(now)
	old, phase := s.phase, s.holder.Phase(now)
	s.phase = phase
	due := s.takeDue(now)
	s.mu.Unlock()
	if old != phase {
		s.cfg.Log.WithFields(logrus.Fields{"from": old, "to": phase}).Info("claim holder changed its phase")
	}
	for _, d := range due {
		s.goRun(d.run)
	}
}

// memory is how long a claim may be remembered anywhere.
func (s *Service) memory() time.Duration { return s.cfg.Retention + 2*s.cfg.ClockSlack }

// HandleMessage implements [keel.Handler] for [keel.KindClaim].
func (s *Service) HandleMessage(_ context.Context, e keel.Envelope) (keel.Envelope, error) {
	var m Message
	if err := keel.DecodeCBOR(e.Body, &m); err != nil {
		return keel.Envelope{}, errors.Wrapf(err, "claim message of %q", e.From)
	}
	if a, ok := m.attempt(); ok && a.Instance != e.From {
		return keel.Envelope{}, errors.Errorf("instance %q speaks for an attempt of %q", e.From, a.Instance)
	}
	body, err := keel.EncodeCBOR(s.handle(e.From, m))
	return keel.Envelope{Kind: keel.KindClaim, From: s.cfg.Self.Name, Body: body}, err
}

// handle lets the holder answer a message of an instance, which may be this
// one.
func (s *Service) handle(from keel.InstanceName, m Message) Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock.Now()
	reply := s.holder.Handle(now, from, m)
	if m.Ask != nil && m.Ask.Ticket == nil {
		former := append(reply.Vote.Former, s.formerSets(now, m.Ask.Key)...)
		reply.Vote.Former = former[:min(len(former), maxFormerSets)]
	}
	return reply
}

// exchange sends a message to a holder and returns its reply.
func (s *Service) exchange(to keel.InstanceName, m Message) (Reply, error) {
	if to == s.cfg.Self.Name {
		return s.handle(to, m), nil
	}
	addr, ok := s.cfg.Resolve(to)
	if !ok {
		return Reply{}, errors.Errorf("instance %q has no known address", to)
	}
	body, err := keel.EncodeCBOR(m)
	if err != nil {
		return Reply{}, err
	}
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	e, err := s.cfg.Transport.Call(ctx, addr, keel.Envelope{Kind: keel.KindClaim, From: s.cfg.Self.Name, Body: body})
	if err != nil {
		return Reply{}, errors.Wrapf(err, "ask holder %q", to)
	}
	var reply Reply
	if err := keel.DecodeCBOR(e.Body, &reply); err != nil {
		return Reply{}, errors.Wrapf(err, "reply of holder %q", to)
	}
	s.mu.Lock()
	s.starts[to] = max(s.starts[to], reply.Incarnation)
	s.mu.Unlock()
	return reply, nil
}

// NewTicket returns a new key. Its home is this instance's failure domain, or
// another one if no majority of the holders there is known to be live.
func (s *Service) NewTicket(now time.Time) string {
	t := Ticket{Home: s.ticketHome(now), IssuedAt: now}
	// Read never fails: the runtime ends the process instead.
	_, _ = rand.Read(t.Random[:])
	holders := members(InForce(s.cfg.Holders(t.Home), now, s.memory()))
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range holders[:min(len(holders), maxTicketTags)] {
		if start, ok := s.starts[name]; ok {
			t.Starts = append(t.Starts, TagOf(name, start))
		}
	}
	return t.Sign(s.cfg.Secret)
}

func (s *Service) nextAttempt() Attempt {
	return Attempt{
		Instance:    s.cfg.Self.Name,
		Incarnation: s.cfg.Self.Incarnation,
		Counter:     s.counter.Add(1),
	}
}

func (s *Service) random() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Uint64()
}

// ParseKey returns the ticket that a key is, or false for an opaque key. A
// forged or malformed ticket gives a [*keel.Refusal].
func (s *Service) ParseKey(key string) (Ticket, bool, error) {
	if !IsTicket(key) {
		return Ticket{}, false, nil
	}
	t, err := ParseTicket(s.cfg.Secret, key)
	if err != nil {
		return t, true, keel.Refuse(keel.NotRun, keel.ReasonBadRequest, 0, "idempotency key: %v", err)
	}
	return t, true, nil
}

// HomeOf returns the failure domain that claims the request's key now.
func (s *Service) HomeOf(r Request) (keel.DomainName, bool) {
	if t, ok, err := s.ParseKey(r.Key); ok {
		return t.Home, err == nil
	}
	return HomeOf(IDOf(s.cfg.Secret, r), s.eligible())
}

// seedOf draws a position that is stable for a key, such that copies of answers
// spread over the holders.
func seedOf(key KeyID) uint64 { return binary.BigEndian.Uint64(key[:8]) }
