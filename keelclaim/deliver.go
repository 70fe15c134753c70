package keelclaim

import (
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// delivery is a message that is sent to a holder repeatedly until it is
// delivered.
type delivery struct {
	service *Service
	to      keel.InstanceName
	message Message
	// acks receives the holder's name once the message is delivered. It may be
	// nil; otherwise it is buffered for every delivery that uses it, so that a
	// send never blocks.
	acks    chan<- keel.InstanceName
	started time.Time
	tries   int
	nextTry time.Time
}

// Limits of repeated deliveries.
const (
	minRedelivery = 200 * time.Millisecond
	maxRedelivery = 10 * time.Second
	// maxOutbox limits the messages that wait for another try. The oldest is
	// dropped for a new one.
	maxOutbox = 16_384
)

// deliver sends m to each holder until it is delivered or the retention has
// passed.
func (s *Service) deliver(to []keel.InstanceName, m Message, acks chan<- keel.InstanceName) {
	now := s.cfg.Clock.Now()
	for _, name := range to {
		d := &delivery{service: s, to: name, message: m, acks: acks, started: now}
		s.undelivered.Add(1)
		if name == s.cfg.Self.Name {
			d.run()
			continue
		}
		s.startGoroutine(d.run)
	}
}

func (d *delivery) run() {
	if _, err := d.service.exchange(d.to, d.message); err != nil {
		d.service.redeliver(d)
		return
	}
	d.service.undelivered.Add(-1)
	if d.acks != nil {
		d.acks <- d.to
	}
}

// redeliver queues a message that was not delivered for another try.
func (s *Service) redeliver(d *delivery) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock.Now()
	if now.Sub(d.started) > s.cfg.Retention {
		s.undelivered.Add(-1)
		return
	}
	d.nextTry = now.Add(backoff(minRedelivery, maxRedelivery, d.tries))
	d.tries++
	if len(s.outbox) >= maxOutbox {
		s.outbox = s.outbox[1:]
		s.undelivered.Add(-1)
	}
	s.outbox = append(s.outbox, d)
}

// takeDue removes the messages whose next try is due from the outbox. The
// caller holds s.mu.
func (s *Service) takeDue(now time.Time) []*delivery {
	var due []*delivery
	kept := s.outbox[:0]
	for _, d := range s.outbox {
		if now.Before(d.nextTry) {
			kept = append(kept, d)
		} else {
			due = append(due, d)
		}
	}
	clear(s.outbox[len(kept):])
	s.outbox = kept
	return due
}
