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

// Config configures a [Service].
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
	// Secret signs tickets and keys the hash of [KeyIDOf]. It must be the same
	// at all instances.
	Secret []byte
	// Retention is how long a claim is kept after its last use.
	Retention time.Duration
	// ClockSlack is the largest difference between the clocks of two instances.
	// Zero means [DefaultClockSlack].
	ClockSlack time.Duration
	// MaxAnswerBytes limits the size of one recorded answer.
	MaxAnswerBytes int
	// MaxTotalBytes limits the size of all claims and recorded answers of the
	// holder.
	MaxTotalBytes int
	// Seed seeds the random pauses between rounds, which makes them
	// reproducible.
	Seed uint64
}

// DefaultClockSlack is the default of [Config.ClockSlack].
const DefaultClockSlack = 2 * time.Second

// Intervals and timeouts of the service.
const (
	tickInterval  = 200 * time.Millisecond
	helloInterval = 2 * time.Second
	callTimeout   = 2 * time.Second
)

// Service claims keys, and holds the claims of its failure domain. It is safe
// for concurrent use.
type Service struct {
	cfg     Config
	counter atomic.Uint64
	// undelivered counts the messages of deliver that have not been delivered
	// yet.
	undelivered atomic.Int64
	// ctx ends with the context of Run.
	ctx    context.Context
	cancel context.CancelFunc

	mu     sync.Mutex
	holder *Holder
	phase  Phase
	rng    *mathrand.Rand
	// incarnations holds the highest known incarnation number of each holder.
	incarnations map[keel.InstanceName]uint64
	outbox       []*delivery
	closed       bool
	// homeDomains and formerHomes are the current and former possible homes.
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
		rng:          mathrand.New(mathrand.NewPCG(cfg.Seed, cfg.Self.Incarnation)),
		incarnations: map[keel.InstanceName]uint64{cfg.Self.Name: cfg.Self.Incarnation},
	}
}

// Run runs the service's loops until ctx ends, and waits for all of its
// goroutines.
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

// startGoroutine starts f as a goroutine that Run waits for. It reports whether
// the service is still running.
func (s *Service) startGoroutine(f func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.wg.Go(f)
	return true
}

// loopTick applies changes of the declarations, expires claims and retries
// deliveries.
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
	sets := InForce(s.cfg.Holders(s.cfg.Self.Domain), now, s.maxRetention())
	s.updateHomes(now) // after the holders, so that it is not older than they are
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
		s.startGoroutine(d.run)
	}
}

// maxRetention is how long any holder may keep a claim after its last use.
func (s *Service) maxRetention() time.Duration { return s.cfg.Retention + 2*s.cfg.ClockSlack }

// HandleMessage implements [keel.Handler] for [keel.KindClaim].
func (s *Service) HandleMessage(_ context.Context, e keel.Envelope) (keel.Envelope, error) {
	var m Message
	if err := keel.DecodeCBOR(e.Body, &m); err != nil {
		return keel.Envelope{}, errors.Wrapf(err, "claim message of instance %q", e.From)
	}
	if a, ok := m.attempt(); ok && a.Instance != e.From {
		return keel.Envelope{}, errors.Errorf("instance %q sent a message for an attempt of instance %q", e.From, a.Instance)
	}
	body, err := keel.EncodeCBOR(s.handle(e.From, m))
	return keel.Envelope{Kind: keel.KindClaim, From: s.cfg.Self.Name, Body: body}, err
}

// handle passes a message of an instance, possibly of this one, to the holder.
func (s *Service) handle(from keel.InstanceName, m Message) Reply {
	now := s.cfg.Clock.Now()
	if m.VoteRequest != nil {
		s.updateHomes(now) // the vote reports the former homes of the key
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := s.holder.Handle(now, from, m)
	if m.VoteRequest != nil && m.VoteRequest.Ticket == nil {
		former := append(reply.Vote.Former, s.formerSets(now, m.VoteRequest.Key)...)
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
		return Reply{}, errors.Wrapf(err, "call holder %q", to)
	}
	var reply Reply
	if err := keel.DecodeCBOR(e.Body, &reply); err != nil {
		return Reply{}, errors.Wrapf(err, "reply of holder %q", to)
	}
	s.mu.Lock()
	s.incarnations[to] = max(s.incarnations[to], reply.Incarnation)
	s.mu.Unlock()
	return reply, nil
}

// NewTicket returns a new key. Its home is this instance's failure domain, or
// another one if that has no majority of live holders.
func (s *Service) NewTicket(now time.Time) string {
	t := Ticket{Home: s.ticketHome(now), IssuedAt: now}
	// Read never returns an error: the runtime ends the process instead.
	_, _ = rand.Read(t.Random[:])
	holders := allHolders(InForce(s.cfg.Holders(t.Home), now, s.maxRetention()))
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range holders[:min(len(holders), maxTicketIncarnations)] {
		if incarnation, ok := s.incarnations[name]; ok {
			t.Incarnations = append(t.Incarnations, IncarnationTagOf(name, incarnation))
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

func (s *Service) randomUint64() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Uint64()
}

// ParseKey returns the ticket that a key encodes, or false for an opaque key.
// The error for a forged or malformed ticket is a [*keel.Refusal].
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

// HomeOf returns the current home of the request's key.
func (s *Service) HomeOf(r Request) (keel.DomainName, bool) {
	if t, ok, err := s.ParseKey(r.Key); ok {
		return t.Home, err == nil
	}
	return HomeOf(KeyIDOf(s.cfg.Secret, r), s.possibleHomes())
}

// keyPosition returns a number that is stable for a key and spreads the copies
// of answers over the holders.
func keyPosition(key KeyID) uint64 { return binary.BigEndian.Uint64(key[:8]) }
