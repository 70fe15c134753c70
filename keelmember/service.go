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

// ErrSuperseded reports that a later incarnation of this instance is alive.
var ErrSuperseded = errors.New("a later incarnation of this instance is alive")

// Config is the configuration of a [Service].
type Config struct {
	Self keel.Instance
	// Join lists peer addresses of other instances. The own one may be among
	// them.
	Join      []netip.AddrPort
	Transport keel.Transport
	Clock     clockwork.Clock
	Log       *logrus.Entry
	// Local returns what the instance tells about itself. It must not wait.
	Local func() Local
	// OnVersion is called with every sign of life of a peer that has the
	// version of the declarations which this instance has, or a higher one. It
	// must not wait, and may be nil.
	OnVersion func(peer netip.AddrPort, v keel.Version, sameDomain bool)
	// Seed makes the random choices.
	Seed uint64
}

// Service keeps up the membership of an instance.
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

// New returns a service, which sends nothing before [Service.Run].
func New(cfg Config) *Service {
	core := NewCore(CoreConfig{Self: cfg.Self, Join: cfg.Join, Seed: cfg.Seed}, cfg.Clock.Now())
	s := &Service{cfg: cfg, core: core, wake: make(chan struct{}, 1)}
	s.view.Store(core.View())
	return s
}

// View returns what is known at present.
func (s *Service) View() *View { return s.view.Load() }

// Notify tells the service that what Config.Local returns has changed in a way
// that others wait for, such as the version in force.
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
	s.do(ctx, out)
	return next
}

// Leave announces that the instance will stop. It returns after the
// announcement was sent.
func (s *Service) Leave(ctx context.Context) error {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.tick(ctx)
	return ctx.Err()
}

// HandleMessage takes [keel.KindHello], [keel.KindHeartbeat] and
// [keel.KindDigest].
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
	s.do(ctx, out)
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
		return nil, errors.Errorf("message kind %d is not one of membership", e.Kind)
	}
	if err := keel.DecodeCBOR(e.Body, body); err != nil {
		return nil, err
	}
	return body, nil
}

// do carries out the actions of the core. A message that can't be sent counts
// as lost.
func (s *Service) do(ctx context.Context, out Actions) {
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

// Dump is the membership's part of the state dump.
type Dump struct {
	View *View `json:"view"`
	// StalenessSeconds is the time since a working majority was heard, or -1
	// if none ever was.
	StalenessSeconds float64 `json:"staleness_seconds"`
	Sent             uint64  `json:"messages_sent"`
	SentBytes        uint64  `json:"bytes_sent"`
	SendErrors       uint64  `json:"send_errors"`
	Received         uint64  `json:"messages_received"`
	Refused          uint64  `json:"messages_refused"`
}

// Dump returns the membership's part of the state dump.
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
