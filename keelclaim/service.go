package keelclaim

import (
	"context"
	"crypto/rand"
	"net/netip"
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
	// Holders returns the current set of holders of a failure domain, and the
	// former ones that were in force within the retention.
	Holders func(keel.DomainName) []Set
	// Domains returns the declared failure domains.
	Domains func() []keel.DomainName
	// FormerDomains returns the sets of failure domains that were declared
	// within the retention, without the current one. It may be nil.
	FormerDomains func() [][]keel.DomainName
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
	// MaxAnswerBytes bounds one recorded answer.
	MaxAnswerBytes int
	// MaxTotalBytes bounds all claims and recorded answers of a holder.
	MaxTotalBytes int
	// Seed makes the waits between tries reproducible.
	Seed uint64
}

// Service claims keys and holds claims. It is safe for use by several
// goroutines.
type Service struct{ cfg Config }

// New returns a service. It does nothing before [Service.Run].
func New(cfg Config) *Service { return &Service{cfg: cfg} }

// Run owns the service's goroutines until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// Claim asks for the right to dispatch r. The error is a [*keel.Refusal].
func (s *Service) Claim(_ context.Context, r Request) (*Grant, error) {
	if err := r.Check().Err(); err != nil {
		return nil, keel.Refuse(keel.NotRun, keel.ReasonBadRequest, 0, "%v", err)
	}
	return nil, keel.Refuse(keel.NotRun, keel.ReasonClaimHome, time.Second, "no holder was asked")
}

// HandleMessage implements [keel.Handler] for [keel.KindClaim].
func (s *Service) HandleMessage(_ context.Context, e keel.Envelope) (keel.Envelope, error) {
	return keel.Envelope{Kind: e.Kind, From: s.cfg.Self.Name}, nil
}

// Dump returns the state of the service for operators.
func (s *Service) Dump() any { return struct{}{} }

// NewTicket returns a new key whose home is this instance's failure domain.
func (s *Service) NewTicket(now time.Time) string {
	t := Ticket{Home: s.cfg.Self.Domain, IssuedAt: now}
	// Read never fails: the runtime ends the process instead.
	_, _ = rand.Read(t.Random[:])
	return t.Sign(s.cfg.Secret)
}

// Leave hands the claims over to the other holders before a planned stop.
func (s *Service) Leave(_ context.Context) error { return nil }

// Grant is the right to dispatch one request, or the recorded answer of an
// earlier one.
type Grant struct{ answer *Answer }

// Answer returns the recorded answer, if the key has run already.
func (g *Grant) Answer() (*Answer, bool) { return g.answer, g.answer != nil }

// Usable reports whether the request may still be dispatched. It is asked right
// before the first byte leaves for an endpoint.
func (g *Grant) Usable() bool { return g.answer == nil }

// Settle records that the request ran, with its whole answer.
func (g *Grant) Settle(_ context.Context, _ Answer) {}

// SettleUnknown records that the request may have run.
func (g *Grant) SettleUnknown(_ context.Context) {}

// Release gives the claim back. It is allowed only if no byte of the request
// has left for an endpoint and none will.
func (g *Grant) Release(_ context.Context) {}
