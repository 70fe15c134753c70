package keelquorum

import (
	"context"
	"net/netip"

	keel "github.com/greengagekeel/greengagekeel"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
)

// sendQueueSize is the number of messages queued for one instance. Further ones
// are dropped, as a network may do.
const sendQueueSize = 256

// sender sends messages in the background, so that a slow connection does not
// block the core's loop.
type sender struct {
	self      keel.InstanceName
	transport keel.Transport
	resolve   func(keel.InstanceName) (netip.AddrPort, bool)
	log       *logrus.Entry

	ctx    context.Context
	wg     *conc.WaitGroup
	queues map[keel.InstanceName]chan Message
}

func newSender(cfg Config) *sender {
	return &sender{
		self: cfg.Self, transport: cfg.Transport, resolve: cfg.Resolve, log: cfg.Log,
		queues: map[keel.InstanceName]chan Message{},
	}
}

// start sets the context and the wait group of the goroutines that send starts.
func (s *sender) start(ctx context.Context, wg *conc.WaitGroup) { s.ctx, s.wg = ctx, wg }

// send queues messages. Only the core's loop may call it.
func (s *sender) send(messages []Message) {
	for i := range messages {
		m := &messages[i]
		q := s.queues[m.To]
		if q == nil {
			q = make(chan Message, sendQueueSize)
			s.queues[m.To] = q
			to := m.To
			s.wg.Go(func() { s.loop(to, q) })
		}
		select {
		case q <- *m:
		default:
		}
	}
}

// loop delivers the messages to one instance in order.
func (s *sender) loop(to keel.InstanceName, q <-chan Message) {
	for {
		select {
		case <-s.ctx.Done():
			return
		case m := <-q:
			s.deliver(to, &m)
		}
	}
}

func (s *sender) deliver(to keel.InstanceName, m *Message) {
	addr, ok := s.resolve(to)
	if !ok {
		return
	}
	body, err := keel.EncodeCBOR(m)
	if err != nil {
		s.log.WithError(err).WithField("to", to).Error("cannot encode quorum message")
		return
	}
	e := keel.Envelope{Kind: keel.KindQuorum, From: s.self, Body: body}
	if err := s.transport.Send(s.ctx, addr, e); err != nil {
		s.log.WithError(err).WithField("to", to).Debug("quorum message not sent")
	}
}
