package keelendpoint

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
)

// Member is another live instance of the failure domain.
type Member struct {
	Name keel.InstanceName
	Peer netip.AddrPort
}

// ServiceConfig configures a [Service].
type ServiceConfig struct {
	Directory Config
	Transport keel.Transport
	// Members returns the other live instances of the failure domain.
	Members func() []Member
	// Changed is called, without locks held, after the merged view may have
	// changed. It may be nil.
	Changed func()
	Log     *logrus.Entry
}

// Periods of a [Service].
const (
	tickPeriod  = 250 * time.Millisecond
	briefPeriod = time.Second
	pushTimeout = time.Second
	// briefFanOut is how many instances are told the numbers of the sets each
	// time, so that the cost does not grow with the domain.
	briefFanOut = 3
)

// Service keeps a [Directory] in step with the other instances of the failure
// domain. It is safe for use by several goroutines.
type Service struct {
	cfg  ServiceConfig
	push chan struct{}

	mu  sync.Mutex
	dir *Directory
}

// NewService returns a service that does nothing until [Service.Run].
func NewService(cfg ServiceConfig) *Service {
	if cfg.Changed == nil {
		cfg.Changed = func() {}
	}
	return &Service{cfg: cfg, dir: New(cfg.Directory), push: make(chan struct{}, 1)}
}

// Announce takes an announcement of an endpoint to this instance.
func (s *Service) Announce(a keel.Announcement) keel.Faults {
	s.mu.Lock()
	changed, fs := s.dir.Announce(time.Now(), a)
	s.mu.Unlock()
	if !changed {
		return fs
	}
	s.cfg.Log.WithFields(logrus.Fields{
		"endpoint": a.ID().String(), "state": a.State, "address": a.Address.String(),
	}).Info("endpoint announced")
	s.changed()
	return nil
}

func (s *Service) changed() {
	select {
	case s.push <- struct{}{}:
	default: // a push is due already
	}
	s.cfg.Changed()
}

// Entries returns the merged view of the failure domain's endpoints.
func (s *Service) Entries() []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dir.Entries(time.Now())
}

// Run keeps the directory in step until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	tick := time.NewTicker(tickPeriod)
	defer tick.Stop()
	brief := time.NewTicker(briefPeriod)
	defer brief.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			s.tick()
		case <-brief.C:
			s.send(ctx, true)
		case <-s.push:
			s.send(ctx, false)
		}
	}
}

func (s *Service) tick() {
	live := make(map[keel.InstanceName]bool)
	for _, m := range s.cfg.Members() {
		live[m.Name] = true
	}
	s.mu.Lock()
	dropped := s.dir.Tick(time.Now(), func(n keel.InstanceName) bool { return live[n] })
	s.mu.Unlock()
	for _, id := range dropped {
		s.cfg.Log.WithField("endpoint", id.String()).Warn("endpoint has not renewed its announcement")
	}
	if len(dropped) > 0 {
		s.changed()
	}
}

func (s *Service) send(ctx context.Context, brief bool) {
	s.mu.Lock()
	set := s.dir.Own(time.Now(), brief)
	s.mu.Unlock()
	body, err := keel.EncodeCBOR(&set)
	if err != nil {
		s.cfg.Log.WithError(err).Error("endpoints not sent to the failure domain")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	var group conc.WaitGroup
	for _, m := range s.receivers(brief) {
		p := pusher{service: s, ctx: ctx, member: m, envelope: keel.Envelope{Kind: keel.KindAnnounce, Body: body}}
		group.Go(p.run)
	}
	group.Wait()
}

// receivers returns all other instances of the domain, or a few drawn ones.
func (s *Service) receivers(brief bool) []Member {
	members := s.cfg.Members()
	if !brief || len(members) <= briefFanOut {
		return members
	}
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members[:briefFanOut]
}

// pusher sends one set to one instance.
type pusher struct {
	service  *Service
	ctx      context.Context
	member   Member
	envelope keel.Envelope
}

func (p pusher) run() {
	if err := p.service.cfg.Transport.Send(p.ctx, p.member.Peer, p.envelope); err != nil {
		p.service.cfg.Log.WithError(err).WithField("to", p.member.Name).Debug("endpoints not sent")
	}
}

// HandleMessage takes the set of another registrar, or answers a fetch of this
// one's with its whole set. It implements [keel.Handler] for
// [keel.KindAnnounce].
func (s *Service) HandleMessage(ctx context.Context, e keel.Envelope) (keel.Envelope, error) {
	var set Set
	if err := keel.DecodeCBOR(e.Body, &set); err != nil {
		return keel.Envelope{}, errors.Wrapf(err, "endpoints from instance %q", e.From)
	}
	if set.AskNumbers {
		return s.numbers()
	}
	if set.Registrar == s.cfg.Directory.Self {
		return s.whole()
	}
	s.mu.Lock()
	ask := s.dir.Merge(time.Now(), set)
	s.mu.Unlock()
	if ask {
		return keel.Envelope{}, s.repair(ctx, e.From)
	}
	if !set.Brief {
		s.cfg.Changed()
	}
	return keel.Envelope{}, nil
}

// numbers answers with the numbers of all sets.
func (s *Service) numbers() (keel.Envelope, error) {
	s.mu.Lock()
	set := s.dir.Own(time.Now(), true)
	set.Numbers = s.dir.Numbers()
	s.mu.Unlock()
	body, err := keel.EncodeCBOR(&set)
	return keel.Envelope{Kind: keel.KindAnnounce, Body: body}, err
}

// repair asks an instance for the numbers of its sets, and the registrars of
// newer ones for these.
func (s *Service) repair(ctx context.Context, from keel.InstanceName) error {
	answer, err := s.call(ctx, from, &Set{Registrar: from, Brief: true, AskNumbers: true})
	if err != nil {
		return err
	}
	s.mu.Lock()
	missing := s.dir.Missing(answer.Numbers)
	s.mu.Unlock()
	for _, registrar := range missing {
		set, err := s.call(ctx, registrar, &Set{Registrar: registrar, Brief: true})
		if err != nil {
			return err
		}
		s.mu.Lock()
		s.dir.Merge(time.Now(), *set)
		s.mu.Unlock()
		s.cfg.Changed()
	}
	return nil
}

func (s *Service) whole() (keel.Envelope, error) {
	s.mu.Lock()
	set := s.dir.Own(time.Now(), false)
	s.mu.Unlock()
	body, err := keel.EncodeCBOR(&set)
	return keel.Envelope{Kind: keel.KindAnnounce, Body: body}, err
}

// call sends a question to an instance of the domain and returns the answer.
func (s *Service) call(ctx context.Context, to keel.InstanceName, question *Set) (*Set, error) {
	body, err := keel.EncodeCBOR(question)
	if err != nil {
		return nil, err
	}
	for _, m := range s.cfg.Members() {
		if m.Name != to {
			continue
		}
		e, err := s.cfg.Transport.Call(ctx, m.Peer, keel.Envelope{Kind: keel.KindAnnounce, Body: body})
		if err != nil {
			return nil, errors.Wrapf(err, "ask instance %q for its endpoints", to)
		}
		answer := &Set{}
		return answer, keel.DecodeCBOR(e.Body, answer)
	}
	return nil, errors.Errorf("instance %q is not a live instance of this failure domain", to)
}
