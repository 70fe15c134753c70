package keelguard

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// ConnID identifies a connection within one process.
type ConnID uint64

// Peer identifies the peer of a connection: an endpoint or an instance.
type Peer string

// ActionType is the kind of an [Action].
type ActionType uint8

// Types of actions.
const (
	// ActionProbe asks for a fresh connection to Peer, whose result is to be
	// passed to [SilenceDetector.Probed].
	ActionProbe ActionType = iota + 1
	// ActionRetire asks to close Conn at once. Its safe requests may be sent
	// again to another endpoint; the others may have run.
	ActionRetire
)

// Action is an action that the caller of a [SilenceDetector] must carry out.
type Action struct {
	Type ActionType
	Peer Peer
	Conn ConnID
}

// SilenceConfig configures a [SilenceDetector].
type SilenceConfig struct {
	// Limit is how long a connection may make no progress while data is
	// expected on it, before a fresh connection is tried. It must be longer
	// than the interval between keep-alive probes, 1 s.
	Limit time.Duration
}

// SilenceDetector tracks the progress of connections. If a connection stalls
// while a fresh one to the same peer works, some device on the path has most
// likely dropped its state of this connection and of all that are as old. These
// are retired together, except those that make progress.
//
// A SilenceDetector is not safe for concurrent use.
type SilenceDetector struct {
	cfg   SilenceConfig
	conns map[ConnID]*connState
	peers map[Peer]*peerState
}

type connState struct {
	peer     Peer
	openedAt time.Time
	progress time.Time
	// waitingSince is when the current wait began; zero if no data is expected.
	waitingSince time.Time
}

// peerState is the state of the connections and probes to one peer.
type peerState struct {
	conns int
	// probedAt is when the last probe was requested, workedAt when a fresh
	// connection last worked.
	probedAt, workedAt time.Time
	probing            bool
}

// NewSilenceDetector returns a detector without connections.
func NewSilenceDetector(cfg SilenceConfig) *SilenceDetector {
	return &SilenceDetector{cfg: cfg, conns: map[ConnID]*connState{}, peers: map[Peer]*peerState{}}
}

// Opened adds a connection that was opened at openedAt.
func (s *SilenceDetector) Opened(now time.Time, id ConnID, peer Peer, openedAt time.Time) {
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

// Progress records progress of a connection at a time: received bytes, or
// acknowledgements of sent bytes or of keep-alive probes. Slow transfers and
// slow answers make progress as long as the peer's TCP stack acknowledges.
func (s *SilenceDetector) Progress(at time.Time, id ConnID) {
	if c, ok := s.conns[id]; ok && at.After(c.progress) {
		c.progress = at
	}
}

// Suspected lists the connections that have made no progress for half the limit
// while data is expected on them. The time of their last acknowledgement, from
// [SinceLastAck], is to be passed to [SilenceDetector.Progress] before the next
// [SilenceDetector.Check].
func (s *SilenceDetector) Suspected(now time.Time) []ConnID {
	var out []ConnID
	for id, c := range s.conns {
		if since, _ := s.stalledSince(now, c); !since.IsZero() && now.Sub(since) > s.cfg.Limit/2 {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Waiting sets the minimum number of bytes that the peer still has to send; 0
// means that no data is expected.
func (s *SilenceDetector) Waiting(now time.Time, id ConnID, expected int) {
	c, ok := s.conns[id]
	switch {
	case !ok:
	case expected == 0:
		c.waitingSince = time.Time{}
	case c.waitingSince.IsZero():
		c.waitingSince = now
	}
}

// Closed removes a connection.
func (s *SilenceDetector) Closed(id ConnID) {
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

// Probed records whether a fresh connection to the peer worked, with an
// exchange of bytes in both directions.
func (s *SilenceDetector) Probed(now time.Time, peer Peer, ok bool) {
	p, known := s.peers[peer]
	if !known {
		return
	}
	p.probing = false
	if ok {
		p.workedAt = now
	}
}

// stalledSince returns when the connection last made progress or began to wait,
// whichever is later, and whether that is longer ago than the limit. The time
// is zero if no data is expected.
func (s *SilenceDetector) stalledSince(now time.Time, c *connState) (time.Time, bool) {
	if c.waitingSince.IsZero() {
		return time.Time{}, false
	}
	since := c.waitingSince
	if c.progress.After(since) {
		since = c.progress
	}
	return since, now.Sub(since) > s.cfg.Limit
}

// Check returns the actions that are due. Retired connections are removed.
func (s *SilenceDetector) Check(now time.Time) []Action {
	newest := map[Peer]*connState{}
	for _, c := range s.conns {
		if _, stalled := s.stalledSince(now, c); !stalled {
			continue
		}
		if n := newest[c.peer]; n == nil || c.openedAt.After(n.openedAt) {
			newest[c.peer] = c
		}
	}
	var actions []Action
	for _, peer := range slices.Sorted(maps.Keys(newest)) {
		actions = append(actions, s.evaluatePeer(now, peer, newest[peer])...)
	}
	return actions
}

// evaluatePeer returns the actions for a peer whose newest stalled connection
// is c.
func (s *SilenceDetector) evaluatePeer(now time.Time, peer Peer, c *connState) []Action {
	p := s.peers[peer]
	since, _ := s.stalledSince(now, c)
	if p.workedAt.After(since.Add(s.cfg.Limit)) {
		return s.retireConns(now, peer, c.openedAt)
	}
	if p.probing && now.Sub(p.probedAt) <= s.cfg.Limit {
		return nil
	}
	p.probing, p.probedAt = true, now
	return []Action{{Type: ActionProbe, Peer: peer}}
}

// retireConns retires all connections to the peer that were not opened after
// newestOpened and made no progress within the limit.
func (s *SilenceDetector) retireConns(now time.Time, peer Peer, newestOpened time.Time) []Action {
	var actions []Action
	for id, c := range s.conns {
		if c.peer == peer && !c.openedAt.After(newestOpened) && now.Sub(c.progress) > s.cfg.Limit {
			actions = append(actions, Action{Type: ActionRetire, Peer: peer, Conn: id})
		}
	}
	slices.SortFunc(actions, func(a, b Action) int { return cmp.Compare(a.Conn, b.Conn) })
	for _, a := range actions {
		s.Closed(a.Conn)
	}
	return actions
}
