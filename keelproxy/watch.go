package keelproxy

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// watchInterval is how often the connections of callers are looked at.
const watchInterval = 100 * time.Millisecond

// pauseLimit is the time between two looks after which the process counts as
// having been paused.
const pauseLimit = 5 * time.Second

// callerWatch looks at the connections of callers. It cancels requests whose
// callers are gone, which the HTTP library can't tell since it reads nothing
// while a request runs, and gives up connections that stand still.
type callerWatch struct {
	// idle is how long a connection may wait for a request; 0 means no limit.
	idle time.Duration
	// bodyIdle is how long a read from a caller may stand still within a
	// request; 0 means no limit.
	bodyIdle time.Duration
	clock    clockwork.Clock

	// checkedAt is when the connections were looked at last.
	checkedAt time.Time

	mu    sync.Mutex // guards what follows
	conns map[*callerConn]struct{}
}

// seenConn is what the watch knows of a connection.
type seenConn struct {
	reads, writes seenCount
	// beginAt is when a request began whose header is not complete.
	beginAt time.Time
	expired bool
}

// seenCount is a count that was seen last, since a time.
type seenCount struct {
	n  uint64
	at time.Time
}

// note notes a count and reports whether it is another one.
func (s *seenCount) note(n uint64) bool {
	changed := s.n != n || s.at.IsZero()
	s.n = n
	return changed
}

func (w *callerWatch) add(c *callerConn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conns[c] = struct{}{}
}

func (w *callerWatch) remove(c *callerConn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.conns, c)
}

// Run looks at the connections until ctx ends.
func (w *callerWatch) Run(ctx context.Context) error {
	ticker := w.clock.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
			w.check()
		}
	}
}

func (w *callerWatch) check() {
	// A process that was paused has not read what came meanwhile, so that its
	// callers get their time anew.
	now := w.clock.Now()
	paused := now.Sub(w.checkedAt) > pauseLimit
	w.checkedAt = now
	for _, c := range w.list() {
		if p := c.current.Load(); p != nil {
			p.check(time.Now())
		}
		if paused {
			c.seen = seenConn{expired: c.seen.expired}
		}
		if w.still(c) && !c.seen.expired {
			c.seen.expired = true
			c.stalled.Store(true)
			_ = c.SetReadDeadline(longAgo) // a connection that is closed needs none
		}
		if w.unread(c) {
			_ = c.SetWriteDeadline(longAgo)
		}
	}
}

// list returns the connections. They are looked at without the lock, since that
// takes system calls.
func (w *callerWatch) list() []*callerConn {
	w.mu.Lock()
	defer w.mu.Unlock()
	conns := make([]*callerConn, 0, len(w.conns))
	for c := range w.conns {
		conns = append(conns, c)
	}
	return conns
}

// still reports whether a read from a caller is under way for too long. While
// nobody reads, as when a request waits for an endpoint, the caller is not to
// blame.
func (w *callerWatch) still(c *callerConn) bool {
	now := w.clock.Now() // before the count, which may change after
	reads := c.reads.Load()
	if c.seen.reads.note(reads) {
		c.seen.reads.at = w.clock.Now() // after the count, which stood until then
	}
	if !c.active.Load() || c.current.Load() != nil {
		c.seen.beginAt = time.Time{}
	} else if c.seen.beginAt.IsZero() {
		c.seen.beginAt = now
	}
	limit := w.idle
	if c.active.Load() {
		limit = w.bodyIdle
	}
	if reads%2 == 0 || limit <= 0 {
		return false
	}
	// No request may last longer than maxTimeout, its header included.
	begun := c.seen.beginAt
	return now.Sub(c.seen.reads.at) > limit || (!begun.IsZero() && now.Sub(begun) > maxTimeout)
}

// unread reports whether the end of an answer stands still, since its caller
// does not read it. The deadline of a request bounds what is before the end.
func (w *callerWatch) unread(c *callerConn) bool {
	now := w.clock.Now()
	writes := c.writes.Load()
	if c.seen.writes.note(writes) || c.current.Load() != nil {
		c.seen.writes.at = w.clock.Now()
	}
	return writes%2 == 1 && w.bodyIdle > 0 && now.Sub(c.seen.writes.at) > w.bodyIdle
}
