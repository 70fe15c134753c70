package keelclaim

import (
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// delivery is a message that is sent to a holder until it arrives.
type delivery struct {
	service *Service
	to      keel.InstanceName
	message Message
	// acks gets the holder's name when the message has arrived. It may be nil;
	// else it has room for every delivery that uses it.
	acks    chan<- keel.InstanceName
	started time.Time
	tries   int
	next    time.Time
}

// Limits on repeated deliveries.
const (
	firstRedelivery = 200 * time.Millisecond
	lastRedelivery  = 10 * time.Second
	maxOutbox       = 16_384
)

// deliver sends m to each holder until it arrives or the retention has passed.
func (s *Service) deliver(to []keel.InstanceName, m Message, acks chan<- keel.InstanceName) {
	now := s.cfg.Clock.Now()
	for _, name := range to {
		d := &delivery{service: s, to: name, message: m, acks: acks, started: now}
		s.undelivered.Add(1)
		if name == s.cfg.Self.Name {
			d.run()
			continue
		}
		s.goRun(d.run)
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

// redeliver keeps a message that did not arrive for another try.
func (s *Service) redeliver(d *delivery) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock.Now()
	if now.Sub(d.started) > s.cfg.Retention {
		s.undelivered.Add(-1)
		return
	}
	d.next = now.Add(doubled(firstRedelivery, lastRedelivery, d.tries))
	d.tries++
	if len(s.outbox) >= maxOutbox {
		s.outbox = s.outbox[1:]
		s.undelivered.Add(-1)
	}
	s.outbox = append(s.outbox, d)
}

// takeDue removes the messages whose next try is due.
func (s *Service) takeDue(now time.Time) []*delivery {
	var due []*delivery
	kept := s.outbox[:0]
	for _, d := range s.outbox {
		if now.Before(d.next) {
			kept = append(kept, d)
		} else {
			due = append(due, d)
		}
	}
	clear(s.outbox[len(kept):])
	s.outbox = kept
	return due
}
