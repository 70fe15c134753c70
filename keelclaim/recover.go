package keelclaim

import (
	"context"

	"github.com/sourcegraph/conc"

	keel "github.com/greengagekeel/greengagekeel"
)

// loopRefill reads the claims that this holder lost from the other holders.
func (s *Service) loopRefill(ctx context.Context) {
	ticker := s.cfg.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		for s.refill() && ctx.Err() == nil {
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// refill reads one page from each holder that is not read completely. It
// reports whether a page contained claims, so that the next one can be read at
// once.
func (s *Service) refill() bool {
	s.mu.Lock()
	wanted := s.holder.Refills(s.cfg.Clock.Now())
	s.mu.Unlock()
	var wg conc.WaitGroup
	reads := make([]*refillRead, 0, len(wanted))
	for name, m := range wanted {
		r := &refillRead{service: s, from: name, message: m}
		reads = append(reads, r)
		wg.Go(r.run)
	}
	wg.Wait()
	progress := false
	for _, r := range reads {
		progress = progress || r.progress
	}
	return progress
}

// refillRead reads one page from one holder.
type refillRead struct {
	service  *Service
	from     keel.InstanceName
	message  Refill
	progress bool
}

func (r *refillRead) run() {
	s := r.service
	reply, err := s.exchange(r.from, Message{Refill: &r.message})
	if err != nil {
		s.cfg.Log.WithError(err).WithField("holder", r.from).Debug("refill from holder failed")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holder.Refilled(s.cfg.Clock.Now(), r.from, r.message.After, reply)
	r.progress = reply.Page != nil && len(reply.Page.Records) > 0
}

// loopHello queries the incarnation numbers of the holders of this failure
// domain, which tickets name.
func (s *Service) loopHello(ctx context.Context) {
	ticker := s.cfg.Clock.NewTicker(helloInterval)
	defer ticker.Stop()
	for {
		s.sendHellos()
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

func (s *Service) sendHellos() {
	sets := InForce(s.cfg.Holders(s.cfg.Self.Domain), s.cfg.Clock.Now(), s.maxRetention())
	var wg conc.WaitGroup
	for _, name := range allHolders(sets) {
		if name == s.cfg.Self.Name {
			continue
		}
		call := &helloCall{service: s, to: name}
		wg.Go(call.run)
	}
	wg.Wait()
}

// helloCall asks one holder for its incarnation number.
type helloCall struct {
	service *Service
	to      keel.InstanceName
}

func (c *helloCall) run() {
	if _, err := c.service.exchange(c.to, Message{Hello: &Hello{}}); err != nil {
		c.service.cfg.Log.WithError(err).WithField("holder", c.to).Debug("hello to holder failed")
	}
}

// Leave hands the claims over before a planned stop: this instance stops
// voting, sends all its claims to the other holders and delivers the
// outstanding messages. If ctx ends first, it returns the error of ctx.
func (s *Service) Leave(ctx context.Context) error {
	s.mu.Lock()
	s.holder.Leave()
	sets := s.holder.Sets()
	s.mu.Unlock()
	for _, name := range allHolders(sets) {
		if name != s.cfg.Self.Name {
			s.push(ctx, name)
		}
	}
	return s.flush(ctx)
}

// push sends all claims to one holder. A holder that can't be reached reads
// them from the others when it needs them.
func (s *Service) push(ctx context.Context, to keel.InstanceName) {
	after := uint64(0)
	for ctx.Err() == nil {
		s.mu.Lock()
		page := s.holder.page(s.cfg.Clock.Now(), after)
		s.mu.Unlock()
		if _, err := s.exchange(to, Message{Push: &Push{Records: page.Records}}); err != nil {
			s.cfg.Log.WithError(err).WithField("holder", to).Warn("claims were not handed over")
			return
		}
		if page.Last {
			return
		}
		after = page.Next
	}
}

// flush waits until every outcome and release has been delivered.
func (s *Service) flush(ctx context.Context) error {
	ticker := s.cfg.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for s.undelivered.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.Chan():
		}
	}
	return nil
}
