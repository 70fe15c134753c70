package keelguard

import (
	"context"
	"net/netip"
	"slices"
	"sync"
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
	// Peers returns the instances that evidence is shared with.
	Peers func() []keel.InstanceName
	// Homes returns the instances among which the home of a fingerprint is
	// chosen. All instances that share evidence must use the same ones, for
	// instance those registered in the declarations.
	Homes func() []keel.InstanceName
	// Live returns the other instances that are live and can be reached as far
	// as is known. The first live one of a fingerprint's homes gives its
	// permits. Nil means that all homes are live.
	Live func() map[keel.InstanceName]bool
	// Lifted returns the fingerprints that operators have lifted by label.
	Lifted func() []string
	Clock  clockwork.Clock
	Log    *logrus.Entry
	// Poison configures the detector. Self, Incarnation and Started are filled
	// in; zero limits are replaced by defaults.
	Poison PoisonConfig
}

// Defaults, intervals and timeouts of the service.
const (
	defaultMaxEntries = 4096
	defaultRetention  = 15 * time.Minute
	defaultPermitTime = time.Minute
	tickInterval      = time.Second
	gossipInterval    = 5 * time.Second
	// shareTimeout is how long a response may be delayed until the other
	// instances have received the evidence of a crash. It limits every call
	// except a request for a permit.
	shareTimeout = 250 * time.Millisecond
	// permitTimeout is how long a suspect request waits for the reply of its
	// home.
	permitTimeout = time.Second
)

// Service shares the evidence against poison requests between instances. It is
// safe for concurrent use.
type Service struct {
	cfg    Config
	mu     sync.Mutex
	poison *PoisonDetector
	// usedPermits holds the fingerprints whose permits are in use here, and the
	// homes that gave them. pendingPermits counts the outstanding requests for
	// a permit.
	usedPermits    map[ID]keel.InstanceName
	pendingPermits map[ID]int
	// permitUsers holds the instances that use the permits which this home
	// gave.
	permitUsers   map[ID]keel.InstanceName
	permitReports permitReports
	// recallNeeded says that a permit was refused because other instances have
	// not reported their permits in use.
	recallNeeded bool
	lifted       map[string]bool
	refusals     uint64
	// shareNow triggers a share before the next gossip interval.
	shareNow chan struct{}
}

// New returns a service. It shares nothing before [Service.Run].
func New(cfg Config) *Service {
	cfg.Poison.Self = cfg.Self.Name
	cfg.Poison.Incarnation = cfg.Self.Incarnation
	cfg.Poison.Started = cfg.Clock.Now()
	setDefault(&cfg.Poison.MaxEntries, defaultMaxEntries)
	setDefault(&cfg.Poison.Retention, defaultRetention)
	setDefault(&cfg.Poison.PermitTime, defaultPermitTime)
	return &Service{
		cfg: cfg, poison: NewPoisonDetector(cfg.Poison),
		usedPermits: map[ID]keel.InstanceName{}, pendingPermits: map[ID]int{},
		permitUsers:   map[ID]keel.InstanceName{},
		permitReports: permitReports{reported: map[keel.InstanceName]bool{}, lost: map[keel.InstanceName]bool{}},
		lifted:        map[string]bool{}, shareNow: make(chan struct{}, 1),
	}
}

func setDefault[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}

// Run runs the service's loops until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	var wg conc.WaitGroup
	wg.Go(func() { s.loopTick(ctx) })
	wg.Go(func() { s.loopGossip(ctx) })
	wg.Wait()
	return nil
}

// loopTick expires old evidence, applies the labels of operators, asks for the
// permits in use if that is needed, and ends permits that are not used.
func (s *Service) loopTick(ctx context.Context) {
	ticker := s.cfg.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		s.tick()
		s.recallIfNeeded(ctx)
		s.Reclaim(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

func (s *Service) tick() {
	var lifted []string
	if s.cfg.Lifted != nil {
		lifted = s.cfg.Lifted()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock.Now()
	s.poison.Expire(now)
	known := s.lifted
	s.lifted = map[string]bool{}
	for _, text := range lifted {
		s.lifted[text] = true
		if known[text] {
			continue
		}
		id, err := ParseID(text)
		if err != nil {
			s.cfg.Log.WithError(err).Warn("poison lift label is not a fingerprint")
			continue
		}
		s.poison.ClearBefore(now, id)
		s.cfg.Log.WithField("fingerprint", id).Info("poison request lifted by label")
	}
}

// loopGossip shares new evidence at once, and repeats all of it periodically
// for instances that did not receive it.
func (s *Service) loopGossip(ctx context.Context) {
	ticker := s.cfg.Clock.NewTicker(gossipInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		case <-s.shareNow:
		}
		s.Share(ctx)
	}
}

// Share sends all evidence to the other instances and waits until they have
// received it, for at most shareTimeout. It is to be called after
// [Service.ConnectionBroke] and before the caller is answered, so that a resend
// is checked against the evidence at whatever instance it arrives.
func (s *Service) Share(ctx context.Context) {
	s.mu.Lock()
	evidence := s.poison.Evidence(s.cfg.Clock.Now())
	s.mu.Unlock()
	if len(evidence) == 0 {
		return
	}
	var wg conc.WaitGroup
	for batch := range slices.Chunk(evidence, maxEvidence) {
		for _, to := range s.cfg.Peers() {
			if to == s.cfg.Self.Name {
				continue
			}
			call := &shareCall{service: s, ctx: ctx, to: to, message: Message{Evidence: batch}}
			wg.Go(call.run)
		}
	}
	wg.Wait()
}

// shareCall sends one message to one instance.
type shareCall struct {
	service *Service
	ctx     context.Context
	to      keel.InstanceName
	message Message
}

func (c *shareCall) run() {
	if _, err := c.service.exchange(c.ctx, c.to, c.message); err != nil {
		c.service.cfg.Log.WithError(err).WithField("instance", c.to).Debug("evidence was not shared")
	}
}

func (s *Service) exchange(ctx context.Context, to keel.InstanceName, m Message) (Reply, error) {
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
	timeout := shareTimeout
	if m.Permit != nil {
		timeout = permitTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	e, err := s.cfg.Transport.Call(ctx, addr, keel.Envelope{Kind: keel.KindGuard, From: s.cfg.Self.Name, Body: body})
	if err != nil {
		return Reply{}, errors.Wrapf(err, "call instance %q", to)
	}
	var reply Reply
	if err := keel.DecodeCBOR(e.Body, &reply); err != nil {
		return Reply{}, errors.Wrapf(err, "reply of instance %q", to)
	}
	return reply, nil
}

// HandleMessage implements [keel.Handler] for [keel.KindGuard].
func (s *Service) HandleMessage(_ context.Context, e keel.Envelope) (keel.Envelope, error) {
	var m Message
	if err := keel.DecodeCBOR(e.Body, &m); err != nil {
		return keel.Envelope{}, errors.Wrapf(err, "guard message of instance %q", e.From)
	}
	body, err := keel.EncodeCBOR(s.handle(e.From, m))
	return keel.Envelope{Kind: keel.KindGuard, From: s.cfg.Self.Name, Body: body}, err
}

func (s *Service) handle(from keel.InstanceName, m Message) Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock.Now()
	if s.poison.Merge(now, m.Evidence) {
		s.triggerShare()
	}
	var reply Reply
	if m.Return != nil {
		s.poison.ReturnPermit(*m.Return)
	}
	if m.Permit != nil {
		reply.Permitted = s.grantPermit(now, from, *m.Permit)
		reply.Evidence = s.poison.EvidenceOf(now, *m.Permit)
	}
	if m.AskInUse {
		reply.InUse, reply.Evidence = s.inUse(now, m.About)
	}
	return reply
}

func (s *Service) triggerShare() {
	select {
	case s.shareNow <- struct{}{}:
	default:
	}
}

// Check decides whether a request may be dispatched by the evidence of this
// instance only. A decision with AskHome set does not allow the request yet.
func (s *Service) Check(fp ID) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.poison.HasEvidence(fp) {
		return Decision{Allow: true}
	}
	d := s.poison.Check(s.cfg.Clock.Now(), fp)
	if d.Refuse != nil && !d.AskHome {
		s.refusals++
	}
	return d
}

// Admit decides whether a request may be dispatched, and asks the home of its
// fingerprint for a permit if it needs one. A request without evidence against
// it needs no message.
func (s *Service) Admit(ctx context.Context, fp ID) Decision {
	d := s.Check(fp)
	if !d.AskHome {
		return d
	}
	home, ok := s.home(fp)
	if !ok {
		return d
	}
	reply, err := s.exchange(ctx, home, s.permitRequest(fp))
	if err != nil {
		reply = Reply{}
	}
	return s.applyPermitReply(fp, home, reply)
}

func (s *Service) permitRequest(fp ID) Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingPermits[fp]++
	return Message{Evidence: s.poison.EvidenceOf(s.cfg.Clock.Now(), fp), Permit: &fp}
}

// Permit is [Service.Admit] for a request whose decision from [Service.Check]
// has AskHome set. It returns the refusal, or nil if the request may be
// dispatched.
func (s *Service) Permit(ctx context.Context, fp ID) error {
	if d := s.Admit(ctx, fp); !d.Allow {
		return d.Refuse
	}
	return nil
}

func (s *Service) applyPermitReply(fp ID, home keel.InstanceName, reply Reply) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pendingPermits[fp]--; s.pendingPermits[fp] <= 0 {
		delete(s.pendingPermits, fp)
	}
	now := s.cfg.Clock.Now()
	s.poison.Merge(now, reply.Evidence)
	d := s.poison.Check(now, fp)
	if d.AskHome && reply.Permitted {
		d.Allow, d.Refuse = true, nil
		s.usedPermits[fp] = home
	}
	return d
}

// Dispatched records that a request was sent to an endpoint. Exactly one of
// Answered, Abandoned and ConnectionBroke must follow.
func (s *Service) Dispatched(fp ID, endpoint keel.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.poison.Dispatched(time.Time{}, fp, endpoint)
}

// Answered records that the endpoint gave a whole answer.
func (s *Service) Answered(fp ID, endpoint keel.EndpointID) {
	if s.recordAnswered(fp, endpoint) {
		s.returnPermit(fp)
	}
}

// recordAnswered records the answer, and reports whether there is a permit to
// return.
func (s *Service) recordAnswered(fp ID, endpoint keel.EndpointID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.poison.Answered(fp, endpoint) {
		s.triggerShare()
	}
	_, used := s.usedPermits[fp]
	return used
}

// Abandoned records that the request was cancelled while its connection worked.
func (s *Service) Abandoned(fp ID, endpoint keel.EndpointID) {
	s.withLock(func(now time.Time) { s.poison.Abandoned(now, fp, endpoint) })
	s.returnPermit(fp)
}

// NotDispatched records that an admitted request was not sent to any endpoint.
func (s *Service) NotDispatched(fp ID) { s.returnPermit(fp) }

// ConnectionBroke records that the connection to an endpoint broke with the
// request in flight. The caller must then probe the endpoint with a fresh
// connection, pass the result to [Service.Probed] and call [Service.Share].
func (s *Service) ConnectionBroke(fp ID, endpoint keel.EndpointID) {
	s.withLock(func(now time.Time) {
		s.poison.ConnectionBroke(now, fp, endpoint)
		delete(s.usedPermits, fp)
	})
}

// Probed records whether a fresh connection to the endpoint worked.
func (s *Service) Probed(endpoint keel.EndpointID, ok bool) {
	s.withLock(func(now time.Time) { s.poison.Probed(now, endpoint, ok) })
}

func (s *Service) withLock(f func(now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.cfg.Clock.Now())
}
