package keelinstance

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

// Timing of a planned stop.
const (
	// stopPoll is the interval between checks for requests in flight.
	stopPoll = 50 * time.Millisecond
	// handOverTimeout limits each step that depends on other instances.
	handOverTimeout = 3 * time.Second
)

// Stop shuts the instance down without losing requests. It removes the instance
// from look-up answers, serves until the earlier answers have expired and the
// requests in flight have ended, hands over leadership and claims, and then makes
// [Instance.Run] return. If ctx ends first, the remaining requests are cut off,
// and Stop returns their number. Calls after the first return 0.
func (in *Instance) Stop(ctx context.Context) (cut int) {
	in.stopOnce.Do(func() { cut = in.leave(ctx) })
	return cut
}

// leave runs the steps of a planned stop and returns the number of requests that
// were cut off.
func (in *Instance) leave(ctx context.Context) int {
	start := time.Now()
	in.log.Info("instance leaves")
	in.leaving.Store(true)
	in.announceLeave(ctx)
	in.engine.Leave()
	in.waitLookups(ctx)
	in.front.DisableKeepAlive()
	_ = in.ports.caller.Close() // no new connections; open ones close after their current request
	in.waitRequests(ctx)
	in.handOver(ctx)
	in.waitRequests(ctx) // requests may still arrive on open connections until these are closed
	cut := int(in.front.InFlight())
	in.log.WithFields(logrus.Fields{
		"drain_ms": time.Since(start).Milliseconds(), "cut": cut,
	}).Info("instance has left")
	close(in.stopped)
	return cut
}

func (in *Instance) announceLeave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	if err := in.members.Leave(ctx); err != nil {
		in.log.WithError(err).Warn("leave was not announced to other instances")
	}
}

// waitLookups waits until the look-up answers that include this instance have
// expired.
func (in *Instance) waitLookups(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(in.cfg.Settings.Timing.LookupTTL.Std()):
	}
}

// waitRequests waits until no request is in flight, neither from a caller of this
// instance nor forwarded by another one to an endpoint that this instance owned.
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

// handOver transfers the leadership and the claims to other instances.
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
