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
	// Changed is called, without locks held, after a possible change of the
	// merged view. It may be nil.
	Changed func()
	Log     *logrus.Entry
}

// Periods and limits of a [Service].
const (
	tickPeriod    = 250 * time.Millisecond
	summaryPeriod = time.Second
	sendTimeout   = time.Second
	// summaryFanOut is the number of instances that each summary is sent to. It
	// is constant, so that the cost per instance does not grow with the size of
	// the domain.
	summaryFanOut = 3
)

// Service synchronises a [Directory] with the other instances of the failure
// domain. It is safe for use by several goroutines.
type Service struct {
	cfg     ServiceConfig
	sendDue chan struct{}

	mu  sync.Mutex
	dir *Directory
}

// NewService returns a service. It exchanges sets only while [Service.Run]
// runs.
func NewService(cfg ServiceConfig) *Service {
	if cfg.Changed == nil {
		cfg.Changed = func() {}
	}
	return &Service{cfg: cfg, dir: New(cfg.Directory), sendDue: make(chan struct{}, 1)}
}

// Announce applies an announcement that an endpoint sent to this instance. It
// returns the faults of a refused announcement.
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
	s.notifyChanged()
	return nil
}

// notifyChanged schedules sending the own set and calls Changed.
func (s *Service) notifyChanged() {
	select {
	case s.sendDue <- struct{}{}:
	default: // already pending
	}
	s.cfg.Changed()
}

// Entries returns the merged view of the failure domain's endpoints.
func (s *Service) Entries() []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dir.Entries(time.Now())
}

// Run exchanges sets with the other instances until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	tick := time.NewTicker(tickPeriod)
	defer tick.Stop()
	summaryTick := time.NewTicker(summaryPeriod)
	defer summaryTick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			s.expire()
		case <-summaryTick.C:
			s.send(ctx, true)
		case <-s.sendDue:
			s.send(ctx, false)
		}
	}
}

// expire removes expired endpoints and sets.
func (s *Service) expire() {
	live := make(map[keel.InstanceName]bool)
	for _, m := range s.cfg.Members() {
		live[m.Name] = true
	}
	s.mu.Lock()
	expired := s.dir.Expire(time.Now(), func(n keel.InstanceName) bool { return live[n] })
	s.mu.Unlock()
	for _, id := range expired {
		s.cfg.Log.WithField("endpoint", id.String()).Warn("endpoint expired without renewal")
	}
	if len(expired) > 0 {
		s.notifyChanged()
	}
}

// send sends the set of this registrar to all other instances, or its summary
// to a few of them.
func (s *Service) send(ctx context.Context, summary bool) {
	s.mu.Lock()
	set := s.dir.OwnSet(time.Now(), summary)
	s.mu.Unlock()
	body, err := keel.EncodeCBOR(&set)
	if err != nil {
		s.cfg.Log.WithError(err).Error("endpoint set not encoded")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	var group conc.WaitGroup
	for _, m := range s.recipients(summary) {
		sender := setSender{service: s, ctx: ctx, member: m, envelope: keel.Envelope{Kind: keel.KindAnnounce, Body: body}}
		group.Go(sender.run)
	}
	group.Wait()
}

// recipients returns all other instances of the domain, or, for a summary, a
// few drawn at random.
func (s *Service) recipients(summary bool) []Member {
	members := s.cfg.Members()
	if !summary || len(members) <= summaryFanOut {
		return members
	}
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members[:summaryFanOut]
}

// setSender sends a set to one instance.
type setSender struct {
	service  *Service
	ctx      context.Context
	member   Member
	envelope keel.Envelope
}

func (s setSender) run() {
	if err := s.service.cfg.Transport.Send(s.ctx, s.member.Peer, s.envelope); err != nil {
		s.service.cfg.Log.WithError(err).WithField("to", s.member.Name).Debug("endpoint set not sent")
	}
}

// HandleMessage handles the messages of other instances: it merges their sets,
// and answers requests for the versions of all sets or for this registrar's
// set. It implements [keel.Handler] for [keel.KindAnnounce].
func (s *Service) HandleMessage(ctx context.Context, e keel.Envelope) (keel.Envelope, error) {
	var set Set
	if err := keel.DecodeCBOR(e.Body, &set); err != nil {
		return keel.Envelope{}, errors.Wrapf(err, "decode endpoint set from instance %q", e.From)
	}
	if set.AskVersions {
		return s.versionsAnswer()
	}
	if set.Registrar == s.cfg.Directory.Self { // a request for this registrar's set
		return s.ownSetAnswer()
	}
	s.mu.Lock()
	differs := s.dir.Merge(time.Now(), set)
	s.mu.Unlock()
	if differs {
		return keel.Envelope{}, s.repair(ctx, e.From)
	}
	if !set.Summary {
		s.cfg.Changed()
	}
	return keel.Envelope{}, nil
}

// versionsAnswer returns an answer with the versions of all sets.
func (s *Service) versionsAnswer() (keel.Envelope, error) {
	s.mu.Lock()
	set := s.dir.OwnSet(time.Now(), true)
	set.Versions = s.dir.Versions()
	s.mu.Unlock()
	body, err := keel.EncodeCBOR(&set)
	return keel.Envelope{Kind: keel.KindAnnounce, Body: body}, err
}

// repair requests the set versions of an instance and then each newer set from
// its registrar.
func (s *Service) repair(ctx context.Context, from keel.InstanceName) error {
	answer, err := s.call(ctx, from, &Set{Registrar: from, Summary: true, AskVersions: true})
	if err != nil {
		return err
	}
	s.mu.Lock()
	outdated := s.dir.Outdated(answer.Versions)
	s.mu.Unlock()
	for _, registrar := range outdated {
		set, err := s.call(ctx, registrar, &Set{Registrar: registrar, Summary: true})
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

// ownSetAnswer returns an answer with the set of this registrar.
func (s *Service) ownSetAnswer() (keel.Envelope, error) {
	s.mu.Lock()
	set := s.dir.OwnSet(time.Now(), false)
	s.mu.Unlock()
	body, err := keel.EncodeCBOR(&set)
	return keel.Envelope{Kind: keel.KindAnnounce, Body: body}, err
}

// call sends a request to an instance of the domain and returns its answer.
func (s *Service) call(ctx context.Context, to keel.InstanceName, request *Set) (*Set, error) {
	body, err := keel.EncodeCBOR(request)
	if err != nil {
		return nil, err
	}
	for _, m := range s.cfg.Members() {
		if m.Name != to {
			continue
		}
		e, err := s.cfg.Transport.Call(ctx, m.Peer, keel.Envelope{Kind: keel.KindAnnounce, Body: body})
		if err != nil {
			return nil, errors.Wrapf(err, "request endpoint sets from instance %q", to)
		}
		answer := &Set{}
		if err := keel.DecodeCBOR(e.Body, answer); err != nil {
			return nil, errors.Wrapf(err, "decode endpoint sets from instance %q", to)
		}
		return answer, nil
	}
	return nil, errors.Errorf("instance %q is not a live instance of this failure domain", to)
}
