package keelsync

import (
	"context"
	"sync"
	"time"

	"github.com/greengagekeel/greengagekeel/keelworld"
)

// batchTime is how long a batch may take until it is given up. Endpoints and
// instances repeat what they have to say.
const batchTime = 1500 * time.Millisecond

// batch collects what endpoints and instances announce while the command before
// is on its way, so that many that come at once take few commands.
type batch struct {
	voter *Voter

	mu   sync.Mutex
	next *batched
	wake chan struct{}
}

// batched is one command that is being filled.
type batched struct {
	command keelworld.Command
	done    chan struct{}
	// err is set before done is closed.
	err error
}

func newBatch(v *Voter) *batch {
	return &batch{voter: v, wake: make(chan struct{}, 1)}
}

// fill calls f with the command that goes next.
func (b *batch) fill(f func(c *batched)) *batched {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next == nil {
		b.next = &batched{done: make(chan struct{})}
	}
	f(b.next)
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return b.next
}

func (b *batch) addEndpoint(e *keelworld.Endpoint) *batched {
	return b.fill(func(c *batched) {
		c.command.Endpoints = append(c.command.Endpoints, *e)
	})
}

func (b *batch) addNode(n keelworld.Node) {
	b.fill(func(c *batched) {
		for i := range c.command.Nodes {
			if c.command.Nodes[i].Name == n.Name {
				c.command.Nodes[i] = n
				return
			}
		}
		c.command.Nodes = append(c.command.Nodes, n)
	})
}

func (b *batch) take() *batched {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.next
	b.next = nil
	return c
}

func (b *batch) loop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-b.wake:
		}
		c := b.take()
		if c == nil {
			continue
		}
		limited, cancel := context.WithTimeout(ctx, batchTime)
		_, c.err = b.voter.Submit(limited, &c.command)
		cancel()
		if c.err != nil && ctx.Err() == nil {
			b.voter.cfg.Log.WithError(c.err).Warn("announcements not accepted, they will be repeated")
		}
		close(c.done)
	}
}

// Announce takes what an endpoint says. If the endpoint drains or leaves, it
// returns once that is agreed on; an error means that it may not be.
func (v *Voter) Announce(ctx context.Context, e *keelworld.Endpoint) error {
	now := time.Now()
	held, known, ok := v.machine.endpoint(e.ID, now)
	if e.State != keelworld.EndpointLeft {
		v.heard.endpoint(e.ID)
	}
	if ok && !e.Changes(&held, known) {
		return nil // what is held here is agreed on
	}
	c := v.batch.addEndpoint(e)
	if e.State == keelworld.EndpointServing {
		return nil
	}
	return c.wait(ctx)
}

func (c *batched) wait(ctx context.Context) error {
	select {
	case <-c.done:
		return c.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Depart takes that the present incarnation of an endpoint leaves. It returns
// once that is agreed on. Which incarnation that is depends on the agreed log,
// since this voter may lag behind it.
func (v *Voter) Depart(ctx context.Context, id string) error {
	return v.batch.addEndpoint(&keelworld.Endpoint{ID: id, State: keelworld.EndpointLeft}).wait(ctx)
}
