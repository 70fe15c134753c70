package keelsync

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/greengagekeel/greengagekeel/keelworld"
)

// batchTimeout limits the time to commit a batch. A batch that exceeds it is
// dropped, since endpoints and instances repeat their announcements.
const batchTimeout = 1500 * time.Millisecond

// batcher collects the announcements of endpoints and instances while the
// previous command is being committed, so that many concurrent announcements
// need few commands.
type batcher struct {
	voter *Voter

	mu   sync.Mutex
	next *batch
	wake chan struct{}
}

// batch is a command that collects announcements until it is submitted.
type batch struct {
	command keelworld.Command
	done    chan struct{}
	// result and err are set before done is closed.
	result keelworld.Result
	err    error
}

func newBatcher(v *Voter) *batcher {
	return &batcher{voter: v, wake: make(chan struct{}, 1)}
}

// update calls f with the next batch to submit and returns that batch.
func (b *batcher) update(f func(c *batch)) *batch {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next == nil {
		b.next = &batch{done: make(chan struct{})}
	}
	f(b.next)
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return b.next
}

func (b *batcher) addEndpoint(e *keelworld.Endpoint) *batch {
	return b.update(func(c *batch) {
		c.command.Endpoints = append(c.command.Endpoints, *e)
	})
}

func (b *batcher) addNode(n keelworld.Node) {
	b.update(func(c *batch) {
		for i := range c.command.Nodes {
			if c.command.Nodes[i].Name == n.Name {
				c.command.Nodes[i] = n
				return
			}
		}
		c.command.Nodes = append(c.command.Nodes, n)
	})
}

// addCrashes adds what is missing in the batch.
func (b *batcher) addCrashes(answered []uint64, crashes []keelworld.Crash) {
	b.update(func(c *batch) {
		for _, request := range answered {
			if !slices.Contains(c.command.Answered, request) {
				c.command.Answered = append(c.command.Answered, request)
			}
		}
		for _, crash := range crashes {
			if !slices.Contains(c.command.Crashes, crash) {
				c.command.Crashes = append(c.command.Crashes, crash)
			}
		}
	})
}

// addRateLimits adds limits of endpoints. The later one of an endpoint replaces the earlier
// one.
func (b *batcher) addRateLimits(limits []keelworld.RateLimit) {
	b.update(func(c *batch) {
		for i := range limits {
			same := func(o keelworld.RateLimit) bool { return o.Endpoint == limits[i].Endpoint }
			c.command.RateLimits = append(slices.DeleteFunc(c.command.RateLimits, same), limits[i])
		}
	})
}

func (b *batcher) take() *batch {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.next
	b.next = nil
	return c
}

func (b *batcher) run(ctx context.Context) error {
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
		limited, cancel := context.WithTimeout(ctx, batchTimeout)
		c.result, c.err = b.voter.Submit(limited, &c.command, nil)
		cancel()
		if c.err != nil && ctx.Err() == nil {
			b.voter.cfg.Log.WithError(c.err).Warn("announcements not accepted, they will be repeated")
		}
		close(c.done)
	}
}

// Announce handles the announcement of an endpoint. For a serving endpoint it does
// not wait for the commit. If the endpoint drains or leaves, it returns once that
// is committed; after an error it may or may not be committed. A voter whose storage
// failed returns an error, since its reports to the leader would be lost: the endpoint
// is to send its announcements to another voter.
func (v *Voter) Announce(ctx context.Context, e *keelworld.Endpoint) error {
	if failure := v.node.Status().StorageFailure; failure != "" {
		return errors.Errorf("storage failed: %s", failure)
	}
	now := time.Now()
	current, age, ok := v.machine.endpoint(e.ID, now)
	if e.State != keelworld.EndpointLeft {
		v.seen.addEndpoint(e.ID)
	}
	if ok && !e.NeedsReplication(&current, age) {
		return nil // the local state is committed
	}
	b := v.batcher.addEndpoint(e)
	if e.State == keelworld.EndpointServing {
		return nil
	}
	return b.wait(ctx)
}

func (b *batch) wait(ctx context.Context) error {
	select {
	case <-b.done:
		return b.err
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for the commit of an announcement")
	}
}

// Depart records that the current incarnation of an endpoint leaves and returns
// once that is committed. After an error it may or may not be committed. The
// incarnation is determined when the command is applied, since this voter may lag
// behind the log. asOf is a log index that was reached while the endpoint still waited for
// the answer, or 0. If a later entry registered the incarnation, the result is outdated, as
// in [Voter.Submit]: a later incarnation must not leave because of a notice that was given
// up. callerLeft reports whether the endpoint has closed its connection.
func (v *Voter) Depart(ctx context.Context, id string, asOf uint64, callerLeft func() bool) (keelworld.Result, error) {
	e := keelworld.Endpoint{ID: id, State: keelworld.EndpointLeft, AsOf: asOf}
	if index, ok := v.machine.outdates(&keelworld.Command{Endpoints: []keelworld.Endpoint{e}}); ok {
		return keelworld.Result{Outdated: true, Index: index}, nil
	}
	if callerLeft != nil && callerLeft() {
		return keelworld.Result{}, ErrCallerLeft
	}
	b := v.batcher.addEndpoint(&e)
	if err := b.wait(ctx); err != nil {
		return keelworld.Result{}, err
	}
	return keelworld.Result{Index: b.result.Index, Outdated: slices.Contains(b.result.OutdatedLeaves, id)}, nil
}
