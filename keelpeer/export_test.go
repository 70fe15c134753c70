package keelpeer

import (
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelchart"
)

// Step is what a watch asks for.
type Step = step

// Steps that tests expect.
const (
	StepProbe   = stepProbe
	StepReplace = stepReplace
)

// Watch gives tests the watch of a connection.
type Watch struct{ watch watch }

// NewWatch returns the watch of a new connection.
func NewWatch() *Watch { return &Watch{newWatch()} }

// Observe takes the counts at a time in milliseconds.
func (w *Watch) Observe(at int, sent, received uint64, busy bool) Step {
	now := time.Unix(0, 0).Add(time.Duration(at) * time.Millisecond)
	return w.watch.observe(now, packetCounts{sent: sent, received: received}, busy)
}

// State returns the state.
func (w *Watch) State() keelchart.State { return w.watch.machine.State() }

// Replaced tells the watch of a fresh connection.
func (w *Watch) Replaced() bool { return w.watch.replaced() }

// DecodeReply decodes the answer to a call.
func DecodeReply(data []byte) (keel.Envelope, error) {
	var r reply
	if err := keel.DecodeCBOR(data, &r); err != nil {
		return keel.Envelope{}, err
	}
	return r.result()
}

// StartWhileLocked starts a goroutine while the lock of the peers is held, as
// when a connection ends in another goroutine.
func (t *Transport) StartWhileLocked(f func()) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.start(f)
}
