package keelproxy

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// checkInterval is how often the connections of callers are checked.
const checkInterval = 100 * time.Millisecond

// pauseThreshold is the time between two checks after which the process is
// assumed to have been paused.
const pauseThreshold = 5 * time.Second

// callerMonitor checks the connections of callers periodically. It cancels
// requests whose callers have disconnected, which fasthttp does not detect since
// it reads nothing while a request runs, and times out stalled reads and writes.
type callerMonitor struct {
	// limits returns the limits in force.
	limits func() Limits
	// bodyIdle is how long a read or a write may make no progress within a
	// request; 0 means no limit.
	bodyIdle time.Duration
	clock    clockwork.Clock
	traffic  *Traffic

	// lastCheck is used only by the goroutine of Run.
	lastCheck time.Time

	mu    sync.Mutex // guards what follows
	conns map[*callerConn]struct{}
}

// connProgress is the monitor's state of a connection.
type connProgress struct {
	reads, writes countSample
	// writeSince is since when the count of writes has been the same, during a request as well.
	writeSince time.Time
	// headerStart is when a request started whose header is incomplete.
	headerStart time.Time
	// expired is set once the read deadline was moved to the past.
	expired bool
}

// countSample is the last sample of a count and the time since which the count
// has had this value.
type countSample struct {
	n     uint64
	since time.Time
}

// update stores a count and reports whether it differs from the last one. The
// caller sets since.
func (s *countSample) update(n uint64) bool {
	changed := s.n != n || s.since.IsZero()
	s.n = n
	return changed
}

func newCallerMonitor(cfg ServerConfig) *callerMonitor {
	return &callerMonitor{
		limits: cfg.Limits, bodyIdle: cfg.BodyIdle, clock: cfg.Clock, conns: make(map[*callerConn]struct{}), traffic: cfg.Traffic,
	}
}

func (w *callerMonitor) add(c *callerConn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conns[c] = struct{}{}
}

func (w *callerMonitor) remove(c *callerConn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.conns, c)
}

// Run checks the connections until ctx ends.
func (w *callerMonitor) Run(ctx context.Context) error {
	ticker := w.clock.NewTicker(checkInterval)
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

func (w *callerMonitor) check() {
	// A paused process has not read what arrived in the meantime, so the timeouts
	// of its callers start again.
	now := w.clock.Now()
	paused := now.Sub(w.lastCheck) > pauseThreshold
	w.lastCheck = now
	limits := w.limits()
	for _, c := range w.connections() {
		if p := c.current.Load(); p != nil {
			p.check(time.Now())
		}
		if paused {
			c.progress = connProgress{expired: c.progress.expired}
		}
		if w.readStalled(c, limits) && !c.progress.expired {
			c.expire()
		}
		if w.writeStalled(c) {
			_ = c.SetWriteDeadline(pastDeadline)
		}
		c.account.SetWaitsSince(c.waitsSince())
	}
}

// connections returns a copy of the set of connections, so that they can be
// checked without the lock: a check makes system calls.
func (w *callerMonitor) connections() []*callerConn {
	w.mu.Lock()
	defer w.mu.Unlock()
	conns := make([]*callerConn, 0, len(w.conns))
	for c := range w.conns {
		conns = append(conns, c)
	}
	return conns
}

// readStalled reports whether a read from a caller has been pending for too long, or the
// header of a request is incomplete for too long. Time without a pending read, as when a
// request waits for an endpoint, does not count.
func (w *callerMonitor) readStalled(c *callerConn, limits Limits) bool {
	now := w.clock.Now() // taken before the count is loaded, which may change afterwards
	reads := c.reads.Load()
	if c.progress.reads.update(reads) {
		c.progress.reads.since = w.clock.Now() // taken after the count was loaded, so the wait is not overestimated
	}
	active := c.active.Load()
	if !active || c.headerRead.Load() {
		c.progress.headerStart = time.Time{}
	} else if c.progress.headerStart.IsZero() {
		c.progress.headerStart = now
	}
	if reads%2 == 0 {
		return false
	}
	limit := limits.IdleTimeout
	if active {
		limit = w.bodyIdle
	}
	headerStart, headerTimeout := c.progress.headerStart, limits.HeaderTimeout
	if headerTimeout <= 0 {
		headerTimeout = maxTimeout // no request may take longer, which includes its header
	}
	return limit > 0 && now.Sub(c.progress.reads.since) > limit || !headerStart.IsZero() && now.Sub(headerStart) > headerTimeout
}

// waitsSince returns since when the process waits for the caller to send or to read, or the zero
// time if it does not.
func (c *callerConn) waitsSince() time.Time {
	switch {
	case c.progress.writes.n%2 == 1:
		return c.progress.writeSince
	case c.progress.reads.n%2 == 1:
		return c.progress.reads.since
	}
	return time.Time{}
}

// expire ends a pending read of the caller's bytes, if the connection is still in the state
// that it was found in.
func (c *callerConn) expire() {
	if !c.active.Load() {
		c.progress.expired = c.closeIdle()
		return
	}
	c.progress.expired = true
	c.stalled.Store(true)
	_ = c.SetReadDeadline(pastDeadline) // a closed connection needs no deadline
}

// writeStalled reports whether the last part of an answer can't be written because
// its caller does not read. It covers only the bytes that are written after the
// request has ended; before that the request's deadline applies.
func (w *callerMonitor) writeStalled(c *callerConn) bool {
	now := w.clock.Now()
	writes := c.writes.Load()
	changed := c.progress.writes.update(writes)
	if changed {
		c.progress.writeSince = w.clock.Now()
	}
	if changed || c.current.Load() != nil {
		c.progress.writes.since = w.clock.Now()
	}
	return writes%2 == 1 && w.bodyIdle > 0 && now.Sub(c.progress.writes.since) > w.bodyIdle
}
