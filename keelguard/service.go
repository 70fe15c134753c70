package keelguard

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	keel "github.com/greengagekeel/greengagekeel"
)

// Config holds what a [Service] needs.
type Config struct {
	Self      keel.Instance
	Transport keel.Transport
	// Resolve returns the peer address of an instance.
	Resolve func(keel.InstanceName) (netip.AddrPort, bool)
	// Peers returns the instances that evidence is shared with.
	Peers func() []keel.InstanceName
	// Homes returns the instances among which the home of a fingerprint is
	// chosen: those registered in this failure domain.
	Homes func() []keel.InstanceName
	// Lifted returns the fingerprints that operators have lifted by label.
	Lifted func() []string
	Clock  clockwork.Clock
	Log    *logrus.Entry
	Poison PoisonConfig
}

// Service shares the evidence against poison requests between instances. It is
// safe for use by several goroutines.
type Service struct {
	cfg    Config
	mu     sync.Mutex
	poison *Poison
}

// New returns a service. It shares nothing before [Service.Run].
func New(cfg Config) *Service {
	return &Service{cfg: cfg, poison: NewPoison(cfg.Poison)}
}

// Run owns the service's goroutines until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// Before decides about a request that is about to be dispatched.
func (s *Service) Before(fp ID) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.poison.Before(s.cfg.Clock.Now(), fp)
}

// Permit asks the fingerprint's home for the permission to risk one more
// endpoint. It returns a [*keel.Refusal] if there is none to be had.
func (s *Service) Permit(_ context.Context, _ ID) error { return nil }

// Started notes that a request was sent to an endpoint.
func (s *Service) Started(fp ID, endpoint keel.EndpointID) {
	s.update(func(now time.Time) { s.poison.Started(now, fp, endpoint) })
}

// Ended notes that a request got its answer or was refused by its endpoint.
func (s *Service) Ended(fp ID, endpoint keel.EndpointID) {
	s.update(func(now time.Time) { s.poison.Ended(now, fp, endpoint) })
}

// Died notes that the connection to an endpoint broke with the request in
// flight.
func (s *Service) Died(fp ID, endpoint keel.EndpointID) {
	s.update(func(now time.Time) { s.poison.Died(now, fp, endpoint) })
}

// Confirmed notes whether a fresh connection to the endpoint worked.
func (s *Service) Confirmed(endpoint keel.EndpointID, ok bool) {
	s.update(func(now time.Time) { s.poison.Confirmed(now, endpoint, ok) })
}

func (s *Service) update(f func(now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.cfg.Clock.Now())
}

// HandleMessage implements [keel.Handler] for [keel.KindGuard].
func (s *Service) HandleMessage(_ context.Context, e keel.Envelope) (keel.Envelope, error) {
	return keel.Envelope{Kind: e.Kind, From: s.cfg.Self.Name}, nil
}

// Dump returns the state of the service for operators.
func (s *Service) Dump() any { return struct{}{} }
