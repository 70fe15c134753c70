package keelmember

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
)

// ErrSuperseded means that a later incarnation of this instance is alive.
var ErrSuperseded = errors.New("a later incarnation of this instance is alive")

// Config is the configuration of a [Service].
type Config struct {
	Self keel.Instance
	// Join lists the peer addresses of seeds. The instance's own address may be
	// among them.
	Join      []netip.AddrPort
	Transport keel.Transport
	Clock     clockwork.Clock
	Log       *logrus.Entry
	// Local returns the current state of the instance. It must not block.
	Local func() Local
	// OnVersion is called for each message from a peer whose version of the
	// declarations is at least that of this instance. It must not block, and
	// may be nil.
	OnVersion func(peer netip.AddrPort, v keel.Version, sameDomain bool)
	// Seed is the seed of the random number generator.
	Seed uint64
}

// Service maintains the membership of an instance.
type Service struct {
	cfg   Config
	view  atomic.Pointer[View]
	wake  chan struct{}
	stats serviceStats

	mu      sync.Mutex
	core    *Core
	leaving bool
}

type serviceStats struct {
	sent, sentBytes, sendErrors, received, refused atomic.Uint64
}

// New returns a service. It sends nothing before [Service.Run].
func New(cfg Config) *Service {
	core := NewCore(CoreConfig{Self: cfg.Self, Join: cfg.Join, Seed: cfg.Seed}, cfg.Clock.Now())
	s := &Service{cfg: cfg, core: core, wake: make(chan struct{}, 1)}
	s.view.Store(core.View())
	return s
}

// View returns the latest view.
func (s *Service) View() *View { return s.view.Load() }

// Notify makes the service read Config.Local at once, after a change that other
// instances need without delay, such as a new version in force.
func (s *Service) Notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run sends heartbeats and digests until ctx ends, and returns nil then. It
// returns [ErrSuperseded] once a later incarnation of the instance is known.
func (s *Service) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		next := s.tick(ctx)
		if s.View().Superseded {
			return ErrSuperseded
		}
		s.sleep(ctx, next.Sub(s.cfg.Clock.Now()))
	}
	return nil
}

func (s *Service) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := s.cfg.Clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-s.wake:
	case <-t.Chan():
	}
}

func (s *Service) tick(ctx context.Context) time.Time {
	local := s.cfg.Local()
	s.mu.Lock()
	local.Leaving = local.Leaving || s.leaving
	out := s.core.Tick(s.cfg.Clock.Now(), local)
	s.view.Store(s.core.View())
	next := s.core.Next()
	s.mu.Unlock()
	s.perform(ctx, out)
	return next
}

// Leave announces to other instances that this one will stop. It returns after
// the announcement was sent, with the error of ctx. Messages that can't be sent
// are only counted and logged.
func (s *Service) Leave(ctx context.Context) error {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.tick(ctx)
	return ctx.Err()
}

// HandleMessage handles messages of the kinds [keel.KindHello],
// [keel.KindHeartbeat] and [keel.KindDigest].
func (s *Service) HandleMessage(ctx context.Context, e keel.Envelope) (keel.Envelope, error) {
	body, err := decode(e)
	if err != nil {
		s.stats.refused.Add(1)
		return keel.Envelope{}, err
	}
	s.stats.received.Add(1)
	s.mu.Lock()
	out := s.core.Receive(s.cfg.Clock.Now(), e.From, body)
	s.view.Store(s.core.View())
	s.mu.Unlock()
	s.perform(ctx, out)
	return keel.Envelope{}, nil
}

func decode(e keel.Envelope) (keel.Checker, error) {
	var body keel.Checker
	switch e.Kind {
	case keel.KindHeartbeat:
		body = &Heartbeat{}
	case keel.KindDigest:
		body = &Digest{}
	case keel.KindHello:
		body = &Hello{}
	default:
		return nil, errors.Errorf("membership does not handle messages of kind %d", e.Kind)
	}
	if err := keel.DecodeCBOR(e.Body, body); err != nil {
		return nil, err
	}
	return body, nil
}

// perform carries out the actions of the core. A message that can't be sent is
// treated as lost.
func (s *Service) perform(ctx context.Context, out Actions) {
	for _, m := range out.Sends {
		if err := s.send(ctx, m); err != nil {
			s.stats.sendErrors.Add(1)
			s.cfg.Log.WithError(err).WithField("peer", m.To.String()).Debug("membership message not sent")
		}
	}
	if s.cfg.OnVersion == nil {
		return
	}
	for _, v := range out.Versions {
		s.cfg.OnVersion(v.Peer, v.Version, v.SameDomain)
	}
}

func (s *Service) send(ctx context.Context, m Send) error {
	body, err := keel.EncodeCBOR(m.Body)
	if err != nil {
		return err
	}
	s.stats.sent.Add(1)
	s.stats.sentBytes.Add(uint64(len(body)))
	return s.cfg.Transport.Send(ctx, m.To, keel.Envelope{Kind: m.Kind, From: s.cfg.Self.Name, Body: body})
}

// Dump is the section of the state dump about membership.
type Dump struct {
	View *View `json:"view"`
	// StalenessSeconds is the time since the latest beacon of a voter with a
	// working majority, or -1 if none was received.
	StalenessSeconds float64 `json:"staleness_seconds"`
	Sent             uint64  `json:"messages_sent"`
	SentBytes        uint64  `json:"bytes_sent"`
	SendErrors       uint64  `json:"send_errors"`
	Received         uint64  `json:"messages_received"`
	Refused          uint64  `json:"messages_refused"`
}

// Dump returns a [Dump].
func (s *Service) Dump() any {
	v := s.View()
	stale := -1.0
	if d, ok := v.Staleness(s.cfg.Clock.Now()); ok {
		stale = d.Seconds()
	}
	return Dump{
		View: v, StalenessSeconds: stale,
		Sent: s.stats.sent.Load(), SentBytes: s.stats.sentBytes.Load(),
		SendErrors: s.stats.sendErrors.Load(),
		Received:   s.stats.received.Load(), Refused: s.stats.refused.Load(),
	}
}
