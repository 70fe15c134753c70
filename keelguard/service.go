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

// Config holds what a [Service] needs.
type Config struct {
	Self      keel.Instance
	Transport keel.Transport
	// Resolve returns the peer address of an instance.
	Resolve func(keel.InstanceName) (netip.AddrPort, bool)
	// Peers returns the instances that evidence is shared with.
	Peers func() []keel.InstanceName
	// Homes returns the instances among which the home of a fingerprint is
	// chosen. All instances that share evidence must have the same ones; those
	// registered in the declarations are fit.
	Homes func() []keel.InstanceName
	// Live returns the other instances that are live and can be reached as far
	// as is known. The first live one of a fingerprint's homes gives its
	// permissions. Nil means that all homes are live.
	Live func() map[keel.InstanceName]bool
	// Lifted returns the fingerprints that operators have lifted by label.
	Lifted func() []string
	Clock  clockwork.Clock
	Log    *logrus.Entry
	// Poison bounds the evidence. Self, Start and Started are filled in; zero
	// limits get defaults.
	Poison PoisonConfig
}

// Defaults and intervals of the service.
const (
	defaultMaxEntries = 4096
	defaultRetention  = 15 * time.Minute
	defaultPermitTime = time.Minute
	tickInterval      = time.Second
	gossipInterval    = 5 * time.Second
	// shareTimeout is how long the answer to a caller may be held back until
	// the other instances know of a crash.
	shareTimeout = 250 * time.Millisecond
	// permitTimeout is how long a suspect waits for the answer of its home.
	permitTimeout = time.Second
)

// Service shares the evidence against poison requests between instances. It is
// safe for use by several goroutines.
type Service struct {
	cfg    Config
	mu     sync.Mutex
	poison *Poison
	// permits holds the fingerprints with a permission that is in use here, and
	// the homes that gave them. asking counts the questions for one under way.
	permits map[ID]keel.InstanceName
	asking  map[ID]int
	// given holds the instances that use the permissions of this home.
	given    map[ID]keel.InstanceName
	recalled recalled
	// wanted says that a permission was refused until others have told theirs.
	wanted  bool
	lifted  map[string]bool
	refused uint64
	// news asks for evidence to be passed on at once.
	news chan struct{}
}

// New returns a service. It shares nothing before [Service.Run].
func New(cfg Config) *Service {
	cfg.Poison.Self = cfg.Self.Name
	cfg.Poison.Start = cfg.Self.Incarnation
	cfg.Poison.Started = cfg.Clock.Now()
	setDefault(&cfg.Poison.MaxEntries, defaultMaxEntries)
	setDefault(&cfg.Poison.Retention, defaultRetention)
	setDefault(&cfg.Poison.PermitTime, defaultPermitTime)
	return &Service{
		cfg: cfg, poison: NewPoison(cfg.Poison),
		permits: map[ID]keel.InstanceName{}, asking: map[ID]int{},
		given:    map[ID]keel.InstanceName{},
		recalled: recalled{told: map[keel.InstanceName]bool{}, lost: map[keel.InstanceName]bool{}},
		lifted:   map[string]bool{}, news: make(chan struct{}, 1),
	}
}

func setDefault[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}

// Run owns the service's goroutines until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	var wg conc.WaitGroup
	wg.Go(func() { s.loopTick(ctx) })
	wg.Go(func() { s.loopGossip(ctx) })
	wg.Wait()
	return nil
}

// loopTick forgets old evidence, follows the labels of operators and learns of
// permissions that this instance does not remember.
func (s *Service) loopTick(ctx context.Context) {
	ticker := s.cfg.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		s.tick()
		s.recallIfWanted(ctx)
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
			s.cfg.Log.WithError(err).Warn("label lifts no poison request")
			continue
		}
		s.poison.Lift(now, id)
		s.cfg.Log.WithField("fingerprint", id).Info("poison request lifted by label")
	}
}

// loopGossip passes new evidence on at once, and repeats all of it for instances
// that missed it.
func (s *Service) loopGossip(ctx context.Context) {
	ticker := s.cfg.Clock.NewTicker(gossipInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		case <-s.news:
		}
		s.Share(ctx)
	}
}

// Share tells all evidence to the other instances and waits until they have it,
// for at most 250 ms. It is called after [Service.Died] and before the caller
// is answered, so that a resend meets the evidence wherever it goes.
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
			t := &tell{service: s, ctx: ctx, to: to, message: Message{Evidence: batch}}
			wg.Go(t.run)
		}
	}
	wg.Wait()
}

// tell is one message to one instance.
type tell struct {
	service *Service
	ctx     context.Context
	to      keel.InstanceName
	message Message
}

func (t *tell) run() {
	if _, err := t.service.exchange(t.ctx, t.to, t.message); err != nil {
		t.service.cfg.Log.WithError(err).WithField("instance", t.to).Debug("evidence was not shared")
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
		return Reply{}, errors.Wrapf(err, "tell instance %q", to)
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
		return keel.Envelope{}, errors.Wrapf(err, "guard message of %q", e.From)
	}
	body, err := keel.EncodeCBOR(s.handle(e.From, m))
	return keel.Envelope{Kind: keel.KindGuard, From: s.cfg.Self.Name, Body: body}, err
}

func (s *Service) handle(from keel.InstanceName, m Message) Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock.Now()
	if s.poison.Merge(now, m.Evidence) {
		s.passOn()
	}
	var reply Reply
	if m.Return != nil {
		s.poison.Return(*m.Return)
	}
	if m.Permit != nil {
		reply.Permitted = s.permit(now, from, *m.Permit)
		reply.Evidence = s.poison.EvidenceOf(now, *m.Permit)
	}
	if m.AskInUse {
		reply.InUse, reply.Evidence = s.inUse(now, m.About)
	}
	return reply
}

func (s *Service) passOn() {
	select {
	case s.news <- struct{}{}:
	default:
	}
}

// Before decides about a request by what this instance knows. A decision with
// AskHome set allows nothing yet.
func (s *Service) Before(fp ID) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.poison.Known(fp) {
		return Decision{Allow: true}
	}
	d := s.poison.Before(s.cfg.Clock.Now(), fp)
	if d.Refuse != nil && !d.AskHome {
		s.refused++
	}
	return d
}

// Admit decides about a request that is about to be dispatched, and asks the
// home of its fingerprint for a permission if it needs one. A request without
// evidence against it costs no message.
func (s *Service) Admit(ctx context.Context, fp ID) Decision {
	d := s.Before(fp)
	if !d.AskHome {
		return d
	}
	home, ok := s.home(fp)
	if !ok {
		return d
	}
	reply, err := s.exchange(ctx, home, s.askPermit(fp))
	if err != nil {
		reply = Reply{}
	}
	return s.admitted(fp, home, reply)
}

func (s *Service) askPermit(fp ID) Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asking[fp]++
	return Message{Evidence: s.poison.EvidenceOf(s.cfg.Clock.Now(), fp), Permit: &fp}
}

// Permit is [Service.Admit] for a request whose decision from [Service.Before]
// has AskHome set. It returns the refusal, or nil if the request may run.
func (s *Service) Permit(ctx context.Context, fp ID) error {
	if d := s.Admit(ctx, fp); !d.Allow {
		return d.Refuse
	}
	return nil
}

func (s *Service) admitted(fp ID, home keel.InstanceName, reply Reply) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.asking[fp]--; s.asking[fp] <= 0 {
		delete(s.asking, fp)
	}
	now := s.cfg.Clock.Now()
	s.poison.Merge(now, reply.Evidence)
	d := s.poison.Before(now, fp)
	if d.AskHome && reply.Permitted {
		d.Allow, d.Refuse = true, nil
		s.permits[fp] = home
	}
	return d
}

// Started notes that a request was sent to an endpoint. Exactly one of Ended,
// Abandoned and Died follows.
func (s *Service) Started(fp ID, endpoint keel.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.poison.Started(time.Time{}, fp, endpoint)
}

// Ended notes that the endpoint gave its whole answer.
func (s *Service) Ended(fp ID, endpoint keel.EndpointID) {
	if s.ended(fp, endpoint) {
		s.giveBack(fp)
	}
}

// ended reports whether a permission is to be given back.
func (s *Service) ended(fp ID, endpoint keel.EndpointID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.poison.Ended(fp, endpoint) {
		s.passOn()
	}
	_, used := s.permits[fp]
	return used
}

// Abandoned notes that the request was given up while its connection was well.
func (s *Service) Abandoned(fp ID, endpoint keel.EndpointID) {
	s.update(func(now time.Time) { s.poison.Abandoned(now, fp, endpoint) })
	s.giveBack(fp)
}

// NotStarted notes that an admitted request was not sent to any endpoint.
func (s *Service) NotStarted(fp ID) { s.giveBack(fp) }

// Died notes that the connection to an endpoint broke with the request in
// flight.
func (s *Service) Died(fp ID, endpoint keel.EndpointID) {
	s.update(func(now time.Time) {
		s.poison.Died(now, fp, endpoint)
		delete(s.permits, fp)
	})
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
