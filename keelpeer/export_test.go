package keelpeer

import (
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelchart"
)

// Step is the action that a watch requires.
type Step = step

// Steps that tests expect.
const (
	StepProbe   = stepProbe
	StepReplace = stepReplace
)

// Watch gives tests access to the watch of a connection.
type Watch struct{ watch watch }

// NewWatch returns the watch of a new connection.
func NewWatch() *Watch { return &Watch{newWatch()} }

// Observe passes packet counts at a time in milliseconds.
func (w *Watch) Observe(at int, sent, received uint64, busy bool) Step {
	now := time.Unix(0, 0).Add(time.Duration(at) * time.Millisecond)
	return w.watch.observe(now, packetCounts{sent: sent, received: received}, busy)
}

// State returns the current state.
func (w *Watch) State() keelchart.State { return w.watch.machine.State() }

// Replace records that another connection was opened, and reports whether this
// one must be closed.
func (w *Watch) Replace() bool { return w.watch.replace() }

// DecodeReply decodes the answer to a call.
func DecodeReply(data []byte) (keel.Envelope, error) {
	var r reply
	if err := keel.DecodeCBOR(data, &r); err != nil {
		return keel.Envelope{}, err
	}
	return r.result()
}

// StartWhileLocked starts a goroutine with Transport.mu held, as remove does in
// another goroutine when a connection ends.
func (t *Transport) StartWhileLocked(f func()) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.start(f)
}
