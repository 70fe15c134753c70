package keelinstance

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

// Steps of a planned stop.
const (
	// stopPoll is how often the requests in flight are counted.
	stopPoll = 50 * time.Millisecond
	// handOverTimeout limits each step that needs other instances.
	handOverTimeout = 3 * time.Second
)

// Stop leaves in order: the instance disappears from look-ups, serves until
// every look-up answer that named it has expired and each request in flight has
// ended, hands over, and then ends [Instance.Run]. If ctx ends first, what is
// still in flight is cut, and the number of those requests is returned.
func (in *Instance) Stop(ctx context.Context) (cut int) {
	in.stopOnce.Do(func() { cut = in.leave(ctx) })
	return cut
}

func (in *Instance) leave(ctx context.Context) int {
	start := time.Now()
	in.log.Info("instance leaves")
	in.leaving.Store(true)
	in.leaveMembers(ctx)
	in.engine.Leave()
	in.waitLookups(ctx)
	in.front.Leave()
	_ = in.ports.caller.Close() // no new connections; open ones end after their request
	in.waitRequests(ctx)
	in.handOver(ctx)
	in.waitRequests(ctx) // callers use open connections until they are closed
	cut := int(in.front.InFlight())
	in.log.WithFields(logrus.Fields{
		"drain_ms": time.Since(start).Milliseconds(), "cut": cut,
	}).Info("instance has left")
	close(in.stop)
	return cut
}

func (in *Instance) leaveMembers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	if err := in.members.Leave(ctx); err != nil {
		in.log.WithError(err).Warn("other instances were not told that this one leaves")
	}
}

// waitLookups waits until look-up answers that name this instance have expired.
func (in *Instance) waitLookups(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(in.cfg.Settings.Timing.LookupTTL.Std()):
	}
}

// waitRequests waits until no request is in flight, neither of a caller here
// nor of another instance at an endpoint that this instance owned.
func (in *Instance) waitRequests(ctx context.Context) {
	ticker := time.NewTicker(stopPoll)
	defer ticker.Stop()
	for in.front.InFlight() > 0 || in.engine.Outstanding() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// handOver gives away the leadership and the claims.
func (in *Instance) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	if in.control.node != nil {
		if err := in.control.node.HandOver(ctx); err != nil {
			in.log.WithError(err).Warn("leadership not handed over")
		}
	}
	if err := in.claims.Leave(ctx); err != nil {
		in.log.WithError(err).Warn("claims not handed over")
	}
}
