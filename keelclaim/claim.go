package keelclaim

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	keel "github.com/greengagekeel/greengagekeel"
)

// Claim asks for the right to dispatch r, or for the answer that an earlier
// request with the same key got. It returns when the claim is decided, at
// r.Deadline or when ctx ends. The error is a [*keel.Refusal]. Its verdict
// not_run refers to r itself: r was not dispatched, whatever became of earlier
// requests with the key.
func (s *Service) Claim(ctx context.Context, r Request) (*Grant, error) {
	now := s.cfg.Clock.Now()
	cfg, err := s.claimantConfig(now, r)
	if err != nil {
		return nil, err
	}
	run := &claimRun{
		service:  s,
		claimant: NewClaimant(cfg),
		cfg:      cfg,
		started:  now,
		events:   make(chan claimEvent),
		done:     make(chan struct{}),
	}
	defer close(run.done)
	return run.run(ctx)
}

// claimantConfig checks the request and finds the holders of its key.
func (s *Service) claimantConfig(now time.Time, r Request) (ClaimantConfig, error) {
	cfg := ClaimantConfig{
		BodyHash:     r.BodyHash,
		SetRetention: s.maxRetention(),
		Deadline:     r.Deadline,
		NextAttempt:  s.nextAttempt,
		Random:       s.randomUint64,
	}
	if err := r.Check().Err(); err != nil {
		return cfg, keel.Refuse(keel.NotRun, keel.ReasonBadRequest, 0, "%v", err)
	}
	if limit := s.cfg.Retention / 2; r.Deadline.Sub(now) > limit {
		return cfg, keel.Refuse(keel.NotRun, keel.ReasonBadRequest, 0,
			"the deadline of a request with a key may be at most %s ahead, half the retention of claims", limit)
	}
	cfg.Key = KeyIDOf(s.cfg.Secret, r)
	homes, err := s.homesOf(cfg.Key, r, &cfg)
	if err != nil {
		return cfg, err
	}
	for _, home := range homes {
		cfg.Sets = append(cfg.Sets, InForce(s.cfg.Holders(home), now, s.maxRetention())...)
	}
	cfg.Sets = slices.DeleteFunc(cfg.Sets, func(set Set) bool { return len(set.Holders) == 0 })
	cfg.HomeLost = func(sets []Set) bool { return s.cfg.Live != nil && !haveLiveMajorities(sets, s.cfg.Live()) }
	if len(cfg.Sets) == 0 {
		return cfg, keel.Refuse(keel.NotRun, keel.ReasonClaimHome, 0,
			"no home of the key has registered instances; possible homes are %q", homes)
	}
	return cfg, nil
}

// homesOf returns the failure domains that may hold claims of the key: its
// home, and the homes that it had under earlier declarations. It also sets
// cfg.Ticket if the key is a ticket.
func (s *Service) homesOf(id KeyID, r Request, cfg *ClaimantConfig) ([]keel.DomainName, error) {
	t, isTicket, err := s.ParseKey(r.Key)
	if err != nil {
		return nil, err
	}
	if isTicket {
		cfg.Ticket = &TicketFacts{IssuedAt: t.IssuedAt, Incarnations: t.Incarnations}
		return []keel.DomainName{t.Home}, nil
	}
	var homes []keel.DomainName
	for _, domains := range s.homeSets(s.cfg.Clock.Now()) {
		if home, ok := HomeOf(id, domains); ok && !slices.Contains(homes, home) {
			homes = append(homes, home)
		}
	}
	return homes, nil
}

// claimRun carries out the actions of one claimant.
type claimRun struct {
	service  *Service
	claimant *Claimant
	cfg      ClaimantConfig
	started  time.Time
	events   chan claimEvent
	// localReplies holds replies of this instance's own holder that are not
	// handled yet.
	localReplies []claimEvent
	done         chan struct{}
}

// claimEvent is the reply to one message to a holder, or the failure to get
// one.
type claimEvent struct {
	attempt Attempt
	holder  keel.InstanceName
	reply   Reply
	err     error
}

func (c *claimRun) run(ctx context.Context) (*Grant, error) {
	clock := c.service.cfg.Clock
	actions := c.claimant.Start(clock.Now())
	armed := c.claimant.Timer()
	timer := clock.NewTimer(armed.Sub(clock.Now()))
	defer timer.Stop()
	for {
		for _, a := range actions {
			if g, err := c.execute(a); g != nil || err != nil {
				return g, err
			}
		}
		if actions = c.handleLocalReplies(); actions != nil {
			continue
		}
		if at := c.claimant.Timer(); at != armed {
			armed = at
			timer.Stop()
			timer.Reset(at.Sub(clock.Now()))
		}
		actions = c.waitEvent(ctx, timer.Chan())
	}
}

// waitEvent waits for the next event and returns the actions that follow from
// it.
func (c *claimRun) waitEvent(ctx context.Context, timer <-chan time.Time) []ClaimAction {
	clock := c.service.cfg.Clock
	select {
	case e := <-c.events:
		return c.handleEvent(e)
	case <-timer:
		return c.claimant.Tick(clock.Now())
	case <-c.service.ctx.Done():
		return c.claimant.Cancel(keel.ReasonLeaving)
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return c.claimant.Cancel(keel.ReasonDeadline)
		}
		return c.claimant.Cancel(keel.ReasonCallerGone)
	}
}

func (c *claimRun) handleEvent(e claimEvent) []ClaimAction {
	now := c.service.cfg.Clock.Now()
	if e.err != nil {
		return c.claimant.Failed(now, e.attempt, e.holder)
	}
	return c.claimant.Replied(now, e.attempt, e.holder, e.reply)
}

func (c *claimRun) handleLocalReplies() []ClaimAction {
	var actions []ClaimAction
	for _, e := range c.localReplies {
		actions = append(actions, c.handleEvent(e)...)
	}
	c.localReplies = nil
	return actions
}

func (c *claimRun) execute(a ClaimAction) (*Grant, error) {
	switch a.Type {
	case ClaimSend:
		c.send(a)
	case ClaimRelease:
		c.service.deliver(a.To, a.Message, nil)
	case ClaimDispatch:
		return c.newGrant(a.Attempt, nil), nil
	case ClaimAnswer:
		return c.newGrant(a.Attempt, a.Answer), nil
	case ClaimRefuse:
		return nil, a.Refusal
	}
	return nil, nil
}

// send sends to the other holders first, since the reply of this instance's own
// holder is available at once.
func (c *claimRun) send(a ClaimAction) {
	self := c.service.cfg.Self.Name
	for _, to := range a.To {
		if to == self {
			continue
		}
		call := &claimCall{run: c, to: to, message: a.Message, attempt: a.Attempt}
		if !c.service.startGoroutine(call.send) {
			c.localReplies = append(c.localReplies, claimEvent{attempt: a.Attempt, holder: to, err: context.Canceled})
		}
	}
	if slices.Contains(a.To, self) {
		reply := c.service.handle(self, a.Message)
		c.localReplies = append(c.localReplies, claimEvent{attempt: a.Attempt, holder: self, reply: reply})
	}
}

// claimCall is one message to one holder.
type claimCall struct {
	run     *claimRun
	to      keel.InstanceName
	message Message
	attempt Attempt
}

func (c *claimCall) send() {
	reply, err := c.run.service.exchange(c.to, c.message)
	select {
	case c.run.events <- claimEvent{attempt: c.attempt, holder: c.to, reply: reply, err: err}:
	case <-c.run.done:
	}
}

func (c *claimRun) newGrant(attempt Attempt, answer *Answer) *Grant {
	c.cfg.Sets = c.claimant.Sets()
	return &Grant{service: c.service, cfg: c.cfg, attempt: attempt, started: c.started, answer: answer}
}
