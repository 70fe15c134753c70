package keelguard

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

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
	// expected of it, before a fresh connection is tried. It is to be longer
	// than the one second that passes between keep-alive probes.
	Limit time.Duration
}

// Silence follows the progress of connections. When one stands still while a
// fresh one to the same peer works, something between the two ends has lost
// track of it, and most likely of all that are as old. Those are retired
// together, but for the ones that make progress.
//
// A Silence is not safe for use by several goroutines.
type Silence struct {
	cfg   SilenceConfig
	conns map[ConnID]*connState
	peers map[Peer]*peerState
}

type connState struct {
	peer     Peer
	openedAt time.Time
	progress time.Time
	// since is when the present wait began; zero if nothing is expected.
	since time.Time
}

// peerState is the state of the probes to one peer.
type peerState struct {
	conns int
	// probedAt is when the last probe was asked for, workedAt when a fresh
	// connection last worked.
	probedAt, workedAt time.Time
	probing            bool
}

// NewSilence returns a table without connections.
func NewSilence(cfg SilenceConfig) *Silence {
	return &Silence{cfg: cfg, conns: map[ConnID]*connState{}, peers: map[Peer]*peerState{}}
}

// Opened notes a new connection, which was opened at openedAt.
func (s *Silence) Opened(now time.Time, id ConnID, peer Peer, openedAt time.Time) {
	if _, known := s.conns[id]; known {
		return
	}
	s.conns[id] = &connState{peer: peer, openedAt: openedAt, progress: now}
	p, ok := s.peers[peer]
	if !ok {
		p = &peerState{}
		s.peers[peer] = p
	}
	p.conns++
}

// Progress notes a sign of life of the other side at a time: bytes, or
// acknowledgements of bytes or of keep-alive probes. A slow transfer and a slow
// answer make progress as long as the other side's system acknowledges.
func (s *Silence) Progress(at time.Time, id ConnID) {
	if c, ok := s.conns[id]; ok && at.After(c.progress) {
		c.progress = at
	}
}

// Doubtful lists the connections that have stood still for half the limit while
// something is expected of them. Before [Silence.Check] their last
// acknowledgement, as [Heard] tells it, is to be noted by [Silence.Progress].
func (s *Silence) Doubtful(now time.Time) []ConnID {
	var out []ConnID
	for id, c := range s.conns {
		if since, _ := s.still(now, c); !since.IsZero() && now.Sub(since) > s.cfg.Limit/2 {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Waiting notes how many more bytes the other side owes at least; 0 means that
// nothing is expected.
func (s *Silence) Waiting(now time.Time, id ConnID, expected int) {
	c, ok := s.conns[id]
	switch {
	case !ok:
	case expected == 0:
		c.since = time.Time{}
	case c.since.IsZero():
		c.since = now
	}
}

// Closed forgets a connection.
func (s *Silence) Closed(id ConnID) {
	c, ok := s.conns[id]
	if !ok {
		return
	}
	delete(s.conns, id)
	if p := s.peers[c.peer]; p != nil {
		if p.conns--; p.conns == 0 {
			delete(s.peers, c.peer)
		}
	}
}

// Probed tells whether a fresh connection to the peer worked, with an exchange
// of bytes in both directions.
func (s *Silence) Probed(now time.Time, peer Peer, ok bool) {
	p, known := s.peers[peer]
	if !known {
		return
	}
	p.probing = false
	if ok {
		p.workedAt = now
	}
}

// still returns since when the connection has stood still, if that is longer
// than the limit.
func (s *Silence) still(now time.Time, c *connState) (time.Time, bool) {
	if c.since.IsZero() {
		return time.Time{}, false
	}
	since := c.since
	if c.progress.After(since) {
		since = c.progress
	}
	return since, now.Sub(since) > s.cfg.Limit
}

// Check returns what is to be done now. Retired connections are forgotten.
func (s *Silence) Check(now time.Time) []Action {
	newest := map[Peer]*connState{}
	for _, c := range s.conns {
		if _, still := s.still(now, c); !still {
			continue
		}
		if n := newest[c.peer]; n == nil || c.openedAt.After(n.openedAt) {
			newest[c.peer] = c
		}
	}
	var actions []Action
	for _, peer := range slices.Sorted(maps.Keys(newest)) {
		actions = append(actions, s.judge(now, peer, newest[peer])...)
	}
	return actions
}

// judge decides about a peer whose newest silent connection is c.
func (s *Silence) judge(now time.Time, peer Peer, c *connState) []Action {
	p := s.peers[peer]
	since, _ := s.still(now, c)
	if p.workedAt.After(since.Add(s.cfg.Limit)) {
		return s.retire(now, peer, c.openedAt)
	}
	if p.probing && now.Sub(p.probedAt) <= s.cfg.Limit {
		return nil
	}
	p.probing, p.probedAt = true, now
	return []Action{{Type: ActionProbe, Peer: peer}}
}

// retire gives up all connections to the peer that are as old as age or older
// and made no progress within the limit.
func (s *Silence) retire(now time.Time, peer Peer, age time.Time) []Action {
	var actions []Action
	for id, c := range s.conns {
		if c.peer == peer && !c.openedAt.After(age) && now.Sub(c.progress) > s.cfg.Limit {
			actions = append(actions, Action{Type: ActionRetire, Peer: peer, Conn: id})
		}
	}
	slices.SortFunc(actions, func(a, b Action) int { return cmp.Compare(a.Conn, b.Conn) })
	for _, a := range actions {
		s.Closed(a.Conn)
	}
	return actions
}
