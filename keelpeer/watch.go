package keelpeer

import (
	_ "embed"
	"time"

	"github.com/greengagekeel/greengagekeel/keelchart"
)

// States and events of a connection. Their values are the names in link.json,
// where a suspected connection is "doubted".
const (
	stateTrusted   keelchart.State = "trusted"
	stateProbed    keelchart.State = "probed"
	stateSuspected keelchart.State = "doubted"
	stateRetired   keelchart.State = "retired"

	eventProgress keelchart.Event = "progress"
	eventQuiet    keelchart.Event = "quiet"
	eventReplaced keelchart.Event = "replaced"
)

// silenceTimeout is how long a connection may receive no packet after it sent
// some. It applies twice: before a probe, and after it until the connection is
// replaced.
const silenceTimeout = 500 * time.Millisecond

// busyProbeInterval is how long a connection with calls or streams in flight
// may receive no packet before it is probed.
const busyProbeInterval = time.Second

//go:embed link.json
var linkChart []byte

var linkStates = keelchart.MustParse(linkChart)

// packetCounts is the number of packets that a connection has sent and
// received.
type packetCounts struct {
	sent, received uint64
}

// step is the action that a watch requires.
type step int

const (
	stepNone step = iota
	// stepProbe requires sending a packet that the peer must acknowledge.
	stepProbe
	// stepReplace requires opening another connection to the peer.
	stepReplace
)

// watch detects that a connection has gone silent. It does no input or output
// and is not safe for concurrent use.
type watch struct {
	machine        keelchart.Machine
	last           packetCounts
	lastTime       time.Time
	awaitingPacket bool
	awaitingSince  time.Time
}

func newWatch() watch { return watch{machine: keelchart.NewMachine(linkStates)} }

// fire applies an event. The chart defines a transition for every event in
// every state.
func (w *watch) fire(e keelchart.Event) keelchart.State {
	state, _ := w.machine.Fire(e)
	return state
}

// observe updates the watch with the packet counts of the connection, and
// whether something is in flight on it. It returns the required action.
func (w *watch) observe(now time.Time, n packetCounts, busy bool) step {
	switch {
	case n.received != w.last.received:
		w.last, w.lastTime, w.awaitingPacket = n, now, false
		w.fire(eventProgress)
		return stepNone
	case !w.awaitingPacket && busy && now.Sub(w.lastTime) >= busyProbeInterval:
		return w.startProbe(now)
	case !w.awaitingPacket && n.sent == w.last.sent:
		return stepNone
	case !w.awaitingPacket:
		w.awaitingPacket, w.awaitingSince = true, now
		return stepNone
	case now.Sub(w.awaitingSince) < silenceTimeout:
		return stepNone
	}
	w.awaitingSince = now
	switch w.fire(eventQuiet) {
	case stateProbed:
		return stepProbe
	case stateSuspected:
		return stepReplace
	default:
		return stepNone
	}
}

// startProbe starts a probe, unless the connection is probed or suspected
// already.
func (w *watch) startProbe(now time.Time) step {
	if w.machine.State() != stateTrusted {
		return stepNone
	}
	w.awaitingPacket, w.awaitingSince = true, now
	w.fire(eventQuiet)
	return stepProbe
}

// replace records that another connection to the peer was opened, and reports
// whether this one must be closed.
func (w *watch) replace() bool {
	return w.fire(eventReplaced) == stateRetired
}

// usable reports whether new messages, calls and streams may use the
// connection.
func (w *watch) usable() bool {
	state := w.machine.State()
	return state == stateTrusted || state == stateProbed
}
