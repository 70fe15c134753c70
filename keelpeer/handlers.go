package keelpeer

import (
	"context"
	"maps"
	"runtime/debug"
	"sync"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/sirupsen/logrus"
)

// handlers dispatches messages by kind, and streams.
type handlers struct {
	mu      sync.RWMutex
	byKind  map[keel.MessageKind]keel.Handler
	streams keel.StreamHandler
	log     logrus.FieldLogger
}

func newHandlers(byKind map[keel.MessageKind]keel.Handler, streams keel.StreamHandler, log logrus.FieldLogger) *handlers {
	h := &handlers{byKind: map[keel.MessageKind]keel.Handler{}, streams: streams, log: log}
	maps.Copy(h.byKind, byKind)
	return h
}

// Register sets the handler for a kind of messages.
func (h *handlers) Register(kind keel.MessageKind, handler keel.Handler) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.byKind[kind] = handler
}

// SetStreams sets the handler for streams that peers open.
func (h *handlers) SetStreams(streams keel.StreamHandler) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.streams = streams
}

// errPanicked is returned for a handler that panicked. How much of its work was
// done is unknown.
var errPanicked = errors.New("handler panicked")

// handle calls the handler of a message. A panic fails only this call.
func (h *handlers) handle(ctx context.Context, e keel.Envelope) (answer keel.Envelope, err error) {
	defer h.recover(e, func() { err = errPanicked })
	h.mu.RLock()
	handler := h.byKind[e.Kind]
	h.mu.RUnlock()
	if handler == nil {
		return keel.Envelope{}, errors.Errorf("no handler for messages of kind %d", e.Kind)
	}
	return handler.HandleMessage(ctx, e)
}

// handleStream calls the handler of a stream. A panic cancels only that stream.
func (h *handlers) handleStream(e keel.Envelope, s keel.Stream) {
	defer h.recover(e, s.Cancel)
	h.mu.RLock()
	streams := h.streams
	h.mu.RUnlock()
	if streams == nil {
		s.Cancel()
		return
	}
	streams.HandleStream(s.Context(), e, s)
}

// recover logs the panic of a handler, if there was one, and calls cleanUp. It
// must be deferred directly.
func (h *handlers) recover(e keel.Envelope, cleanUp func()) {
	cause := recover()
	if cause == nil {
		return
	}
	h.log.WithFields(logrus.Fields{
		"peer":  e.From,
		"kind":  e.Kind,
		"stack": string(debug.Stack()),
	}).Errorf("handler panicked: %v", cause)
	cleanUp()
}
