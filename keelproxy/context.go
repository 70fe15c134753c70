package keelproxy

import (
	"context"
	"sync"
	"time"
)

// requestContext is the context of one caller's request. It starts a timer and
// makes a channel only if something waits for its end, which a request that
// finds a free endpoint does not: the deadline of the endpoint's connection
// bounds it.
type requestContext struct {
	mu       sync.Mutex
	deadline time.Time
	timer    *time.Timer
	done     chan struct{}
	err      error
	hooks    *hook
}

// hook is a function that is to be called when a context ends.
type hook struct {
	f    func()
	next *hook
}

// WithDeadline is [context.WithDeadline], without the cost of a second context
// if ctx is that of a caller's request. A request has one deadline. The cancel
// function is nil if the context ends with the request without it.
func WithDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	c, ok := ctx.(*requestContext)
	if !ok {
		return context.WithDeadline(ctx, deadline)
	}
	c.setDeadline(deadline)
	return c, nil
}

func (c *requestContext) setDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.done != nil {
		c.arm()
	}
}

// arm starts the timer. The caller holds mu.
func (c *requestContext) arm() {
	if c.timer == nil && c.err == nil && !c.deadline.IsZero() {
		c.timer = time.AfterFunc(time.Until(c.deadline), c.expire)
	}
}

func (c *requestContext) expire() { c.end(context.DeadlineExceeded) }

func (c *requestContext) cancel() { c.end(context.Canceled) }

// end ends the context once and calls the hooks.
func (c *requestContext) end(err error) {
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return
	}
	c.err = err
	hooks := c.hooks
	c.hooks = nil
	if c.timer != nil {
		c.timer.Stop()
	}
	if c.done != nil {
		close(c.done)
	}
	c.mu.Unlock()
	for h := hooks; h != nil; h = h.next {
		h.f()
	}
}

// Deadline implements [context.Context].
func (c *requestContext) Deadline() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deadline, !c.deadline.IsZero()
}

// Done implements [context.Context].
func (c *requestContext) Done() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.done == nil {
		c.done = make(chan struct{})
		if c.err != nil {
			close(c.done)
		}
	}
	c.arm()
	return c.done
}

// Err implements [context.Context].
func (c *requestContext) Err() error {
	c.mu.Lock()
	err, deadline := c.err, c.deadline
	c.mu.Unlock()
	if err != nil || deadline.IsZero() || time.Now().Before(deadline) {
		return err
	}
	c.expire()
	return context.DeadlineExceeded
}

// Value implements [context.Context].
func (c *requestContext) Value(any) any { return nil }

// AfterFunc lets the package context follow this context without a goroutine.
func (c *requestContext) AfterFunc(f func()) func() bool {
	h := &hook{f: func() { time.AfterFunc(0, f) }}
	c.add(h, true)
	return func() bool { return c.remove(h) }
}

// add registers a hook. Unless timed is set, it is called only if the context is
// cancelled, and at the deadline only if a timer runs for another cause.
func (c *requestContext) add(h *hook, timed bool) {
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		h.f()
		return
	}
	h.next = c.hooks
	c.hooks = h
	if timed {
		c.arm()
	}
	c.mu.Unlock()
}

// remove takes a hook back and reports whether it was not called.
func (c *requestContext) remove(h *hook) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for at := &c.hooks; *at != nil; at = &(*at).next {
		if *at == h {
			*at = h.next
			h.next = nil
			return true
		}
	}
	return false
}
