package keelproxy

import (
	"context"
	"sync"
	"time"
)

// requestContext is the context of one caller's request. It creates its timer
// and channel only when something waits on it. A request that finds a free
// endpoint needs neither, since the deadline is set on the endpoint's connection.
type requestContext struct {
	mu       sync.Mutex
	deadline time.Time
	timer    *time.Timer
	done     chan struct{}
	err      error
	hooks    *hook
}

// hook is an element of the list of functions to call when a context ends.
type hook struct {
	f    func()
	next *hook
}

// WithDeadline works like [context.WithDeadline], but if ctx is the context of a
// caller's request, it sets the deadline on ctx instead of allocating another
// context, and returns no cancel function: the context ends with the request. It
// must be called at most once per request.
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
		c.startTimer()
	}
}

// startTimer starts the deadline timer unless it is running. The caller holds mu.
func (c *requestContext) startTimer() {
	if c.timer == nil && c.err == nil && !c.deadline.IsZero() {
		c.timer = time.AfterFunc(time.Until(c.deadline), c.expire)
	}
}

func (c *requestContext) expire() { c.end(context.DeadlineExceeded) }

func (c *requestContext) cancel() { c.end(context.Canceled) }

// end sets the error, closes the channel and calls the hooks. Only the first call
// has an effect.
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
	c.startTimer()
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

// AfterFunc lets [context.AfterFunc] and derived contexts watch this context
// without a goroutine.
func (c *requestContext) AfterFunc(f func()) func() bool {
	h := &hook{f: func() { time.AfterFunc(0, f) }}
	c.add(h, true)
	return func() bool { return c.remove(h) }
}

// add registers a hook. Without timed, the hook does not start the timer: it is
// called on cancellation, but at the deadline only if the timer runs for another
// reason.
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
		c.startTimer()
	}
	c.mu.Unlock()
}

// remove unregisters a hook and reports whether it was removed before it was
// called.
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
