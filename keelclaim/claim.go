package keelclaim

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	keel "github.com/greengagekeel/greengagekeel"
)

// Claim asks for the right to dispatch r, or for the answer that an earlier
// request with its key got. It returns when the claim is decided, at r.Deadline
// or when ctx ends. The error is a [*keel.Refusal], whose verdict not_run
// speaks of r itself: r was not dispatched.
func (s *Service) Claim(ctx context.Context, r Request) (*Grant, error) {
	now := s.cfg.Clock.Now()
	cfg, err := s.plan(now, r)
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
	return run.wait(ctx)
}

// plan checks the request and finds the holders of its key.
func (s *Service) plan(now time.Time, r Request) (ClaimantConfig, error) {
	cfg := ClaimantConfig{
		BodyHash:    r.BodyHash,
		Memory:      s.memory(),
		Deadline:    r.Deadline,
		NextAttempt: s.nextAttempt,
		Random:      s.random,
	}
	if err := r.Check().Err(); err != nil {
		return cfg, keel.Refuse(keel.NotRun, keel.ReasonBadRequest, 0, "%v", err)
	}
	if limit := s.cfg.Retention / 2; r.Deadline.Sub(now) > limit {
		return cfg, keel.Refuse(keel.NotRun, keel.ReasonBadRequest, 0,
			"the deadline of a request with a key lies at most %s ahead, half the time for which keys are remembered", limit)
	}
	cfg.Key = IDOf(s.cfg.Secret, r)
	homes, err := s.homes(cfg.Key, r, &cfg)
	if err != nil {
		return cfg, err
	}
	for _, home := range homes {
		cfg.Sets = append(cfg.Sets, InForce(s.cfg.Holders(home), now, s.memory())...)
	}
	cfg.Sets = slices.DeleteFunc(cfg.Sets, func(set Set) bool { return len(set.Holders) == 0 })
	cfg.HomeLost = func(sets []Set) bool { return s.cfg.Live != nil && !majorities(sets, s.cfg.Live()) }
	if len(cfg.Sets) == 0 {
		return cfg, keel.Refuse(keel.NotRun, keel.ReasonClaimHome, 0,
			"no home of the key has registered instances; possible homes are %q", homes)
	}
	return cfg, nil
}

// homes returns the failure domains that may know the key: its home, and the
// homes that it had under earlier declarations.
func (s *Service) homes(id KeyID, r Request, cfg *ClaimantConfig) ([]keel.DomainName, error) {
	t, isTicket, err := s.ParseKey(r.Key)
	if err != nil {
		return nil, err
	}
	if isTicket {
		cfg.Ticket = &TicketFacts{IssuedAt: t.IssuedAt, Starts: t.Starts}
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
	// local holds replies of this instance's own holder.
	local []claimEvent
	done  chan struct{}
}

// claimEvent is what came of one message to a holder.
type claimEvent struct {
	attempt Attempt
	from    keel.InstanceName
	reply   Reply
	err     error
}

func (c *claimRun) wait(ctx context.Context) (*Grant, error) {
	clock := c.service.cfg.Clock
	actions := c.claimant.Start(clock.Now())
	armed := c.claimant.Timer()
	timer := clock.NewTimer(armed.Sub(clock.Now()))
	defer timer.Stop()
	for {
		for _, a := range actions {
			if g, err := c.act(a); g != nil || err != nil {
				return g, err
			}
		}
		if actions = c.takeLocal(); actions != nil {
			continue
		}
		if at := c.claimant.Timer(); at != armed {
			armed = at
			timer.Stop()
			timer.Reset(at.Sub(clock.Now()))
		}
		actions = c.next(ctx, timer.Chan())
	}
}

// next waits for the next event and returns what the claimant makes of it.
func (c *claimRun) next(ctx context.Context, timer <-chan time.Time) []ClaimAction {
	clock := c.service.cfg.Clock
	select {
	case e := <-c.events:
		return c.take(e)
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

func (c *claimRun) take(e claimEvent) []ClaimAction {
	now := c.service.cfg.Clock.Now()
	if e.err != nil {
		return c.claimant.Failed(now, e.attempt, e.from)
	}
	return c.claimant.Replied(now, e.attempt, e.from, e.reply)
}

func (c *claimRun) takeLocal() []ClaimAction {
	var actions []ClaimAction
	for _, e := range c.local {
		actions = append(actions, c.take(e)...)
	}
	c.local = nil
	return actions
}

func (c *claimRun) act(a ClaimAction) (*Grant, error) {
	switch a.Type {
	case ClaimSend:
		c.send(a)
	case ClaimRelease:
		c.service.deliver(a.To, a.Message, nil)
	case ClaimDispatch:
		return c.grant(a.Attempt, nil), nil
	case ClaimAnswer:
		return c.grant(a.Attempt, a.Answer), nil
	case ClaimRefuse:
		return nil, a.Refusal
	}
	return nil, nil
}

// send asks the other holders before this instance's own one, whose reply is
// there at once.
func (c *claimRun) send(a ClaimAction) {
	self := c.service.cfg.Self.Name
	for _, to := range a.To {
		if to == self {
			continue
		}
		call := &claimCall{run: c, to: to, message: a.Message, attempt: a.Attempt}
		if !c.service.goRun(call.runCall) {
			c.local = append(c.local, claimEvent{attempt: a.Attempt, from: to, err: context.Canceled})
		}
	}
	if slices.Contains(a.To, self) {
		reply := c.service.handle(self, a.Message)
		c.local = append(c.local, claimEvent{attempt: a.Attempt, from: self, reply: reply})
	}
}

// claimCall is one message to one holder.
type claimCall struct {
	run     *claimRun
	to      keel.InstanceName
	message Message
	attempt Attempt
}

func (c *claimCall) runCall() {
	reply, err := c.run.service.exchange(c.to, c.message)
	select {
	case c.run.events <- claimEvent{attempt: c.attempt, from: c.to, reply: reply, err: err}:
	case <-c.run.done:
	}
}

func (c *claimRun) grant(attempt Attempt, answer *Answer) *Grant {
	c.cfg.Sets = c.claimant.Sets()
	return &Grant{service: c.service, cfg: c.cfg, attempt: attempt, started: c.started, answer: answer}
}
