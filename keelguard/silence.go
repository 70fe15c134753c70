package keelguard

import "time"

// ConnID identifies a connection within one process.
type ConnID uint64

// Peer names what a connection leads to: an endpoint or an instance.
type Peer string

// ActionType is what is to be done with a connection or a peer.
type ActionType uint8

// Types of actions.
const (
	// ActionProbe asks for a fresh connection to Peer, whose outcome is told
	// by [Silence.Probed].
	ActionProbe ActionType = iota + 1
	// ActionRetire asks to close Conn at once. Its safe requests run again
	// elsewhere; the others may have run.
	ActionRetire
)

// Action is one thing that [Silence] wants done.
type Action struct {
	Type ActionType
	Peer Peer
	Conn ConnID
}

// SilenceConfig sets the time limits of a [Silence].
type SilenceConfig struct {
	// Limit is how long a connection may stand still while something is
	// expected of it, before a fresh connection is tried.
	Limit time.Duration
}

// Silence follows the progress of connections. It is not safe for use by
// several goroutines.
type Silence struct{ cfg SilenceConfig }

// NewSilence returns a table without connections.
func NewSilence(cfg SilenceConfig) *Silence { return &Silence{cfg: cfg} }

// Opened notes a new connection.
func (s *Silence) Opened(_ time.Time, _ ConnID, _ Peer, _ time.Time) {}

// Progress notes that bytes went through the connection in either direction.
func (s *Silence) Progress(_ time.Time, _ ConnID) {}

// Waiting notes how many more bytes the other side owes at least; 0 means that
// nothing is expected.
func (s *Silence) Waiting(_ time.Time, _ ConnID, _ int) {}

// Closed forgets a connection.
func (s *Silence) Closed(_ ConnID) {}

// Probed tells whether a fresh connection to the peer worked.
func (s *Silence) Probed(_ time.Time, _ Peer, _ bool) {}

// Check returns what is to be done now.
func (s *Silence) Check(_ time.Time) []Action { return nil }
