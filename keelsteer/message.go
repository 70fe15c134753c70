package keelsteer

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
)

// Kinds returns the kinds of messages that [Engine.HandleMessage] accepts.
func (e *Engine) Kinds() []keel.MessageKind {
	return []keel.MessageKind{keel.KindCredit, keel.KindShares, keel.KindHandOver}
}

// HandleMessage handles the messages of the engines of other instances. It
// implements [keel.Handler] for the kinds of [Engine.Kinds].
func (e *Engine) HandleMessage(_ context.Context, env keel.Envelope) (keel.Envelope, error) {
	now := time.Now()
	switch env.Kind {
	case keel.KindCredit:
		return keel.Envelope{}, e.receiveCredit(now, env)
	case keel.KindShares:
		return keel.Envelope{}, e.receiveShares(now, env)
	case keel.KindHandOver:
		return keel.Envelope{}, e.receiveHandOver(now, env)
	default:
		return keel.Envelope{}, errors.Errorf("message kind %d is not handled by the engine", env.Kind)
	}
}

func (e *Engine) receiveCredit(now time.Time, env keel.Envelope) error {
	var message creditMessage
	if err := keel.DecodeCBOR(env.Body, &message); err != nil {
		return err
	}
	e.credits.receive(now, env.From, &message)
	return nil
}
