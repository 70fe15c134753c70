package keelpeer

import (
	_ "embed"
	"time"

	"github.com/greengagekeel/greengagekeel/keelchart"
)

// States and events of a connection, as in link.json.
const (
	stateTrusted keelchart.State = "trusted"
	stateProbed  keelchart.State = "probed"
	stateDoubted keelchart.State = "doubted"
	stateRetired keelchart.State = "retired"

	eventProgress keelchart.Event = "progress"
	eventQuiet    keelchart.Event = "quiet"
	eventReplaced keelchart.Event = "replaced"
)

// quietTime is how long a connection may leave sent packets without any packet
// from the other side. It is spent twice: before a probe and after it.
const quietTime = 500 * time.Millisecond

// busyProbeInterval is how long a connection with calls or streams in flight may
// be without a packet from the other side before it is probed.
const busyProbeInterval = time.Second

//go:embed link.json
var linkChart []byte

var linkStates = keelchart.MustParse(linkChart)

// packetCounts is how many packets a connection has sent and received.
type packetCounts struct {
	sent, received uint64
}

// step is what a watch asks for.
type step int

const (
	stepNone step = iota
	// stepProbe asks for a packet that the other side has to acknowledge.
	stepProbe
	// stepReplace asks for a fresh connection beside this one.
	stepReplace
)

// watch decides whether a connection has gone silent. It is a pure state
// machine and not safe for use by several goroutines.
type watch struct {
	machine  keelchart.Machine
	last     packetCounts
	lastTime time.Time
	waiting  bool
	waitFrom time.Time
}

func newWatch() watch { return watch{machine: keelchart.NewMachine(linkStates)} }

// fire moves the machine. The chart has an edge for every event.
func (w *watch) fire(e keelchart.Event) keelchart.State {
	state, _ := w.machine.Fire(e)
	return state
}

// observe takes the counts of a connection, and whether something is in flight
// on it, and says what to do.
func (w *watch) observe(now time.Time, n packetCounts, busy bool) step {
	switch {
	case n.received != w.last.received:
		w.last, w.lastTime, w.waiting = n, now, false
		w.fire(eventProgress)
		return stepNone
	case !w.waiting && busy && now.Sub(w.lastTime) >= busyProbeInterval:
		return w.suspect(now)
	case !w.waiting && n.sent == w.last.sent:
		return stepNone
	case !w.waiting:
		w.waiting, w.waitFrom = true, now
		return stepNone
	case now.Sub(w.waitFrom) < quietTime:
		return stepNone
	}
	w.waitFrom = now
	switch w.fire(eventQuiet) {
	case stateProbed:
		return stepProbe
	case stateDoubted:
		return stepReplace
	default:
		return stepNone
	}
}

// suspect starts the wait for a packet from the other side now.
func (w *watch) suspect(now time.Time) step {
	if w.machine.State() != stateTrusted {
		return stepNone
	}
	w.waiting, w.waitFrom = true, now
	w.fire(eventQuiet)
	return stepProbe
}

// replaced tells the watch that a fresh connection works, and returns whether
// this one has to be retired.
func (w *watch) replaced() bool {
	return w.fire(eventReplaced) == stateRetired
}

// usable reports whether new work may go on the connection.
func (w *watch) usable() bool {
	state := w.machine.State()
	return state == stateTrusted || state == stateProbed
}
