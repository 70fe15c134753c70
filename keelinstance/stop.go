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
	// handOverShare is the part of the grace period that is kept for handing over, if
	// that is less than handOverTimeout.
	handOverShare = 0.25
	// exitMargin is the part of the grace period that is kept for the exit of the process,
	// and the time before it that is kept to write the last answers.
	exitMargin = 200 * time.Millisecond
)

// Stop shuts the instance down without losing requests. It removes the instance
// from look-up answers, serves until the earlier answers have expired and the
// requests in flight have ended, hands over leadership and claims, and then makes
// [Instance.Run] return. If ctx or the grace period of the settings ends first, the
// remaining requests are cut off, and Stop returns their number. Requests that arrive
// during the stop and may last beyond the grace period are refused. Calls after the first
// return 0.
func (in *Instance) Stop(ctx context.Context) (cut int) {
	in.stopOnce.Do(func() { cut = in.leave(ctx) })
	return cut
}

// leave runs the steps of a planned stop and returns the number of requests that
// were cut off.
func (in *Instance) leave(ctx context.Context) int {
	start, grace := time.Now(), in.cfg.Settings.Timing.StopGrace.Std()
	end := start.Add(grace - exitMargin)
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	in.log.WithField("grace_ms", grace.Milliseconds()).Info("instance leaves")
	in.engine.SetShutdownTime(end.Add(-exitMargin))
	in.leaving.Store(true)
	in.announceLeave(ctx)
	in.engine.Leave()
	in.waitLookups(ctx)
	in.front.DisableKeepAlive()
	_ = in.ports.caller.Close() // no new connections; open ones close after their current request
	handOverAt := end.Add(-min(handOverTimeout, time.Duration(handOverShare*float64(grace))))
	in.waitRequestsUntil(ctx, handOverAt)
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

// waitRequestsUntil is like waitRequests, until a time at the latest.
func (in *Instance) waitRequestsUntil(ctx context.Context, end time.Time) {
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	in.waitRequests(ctx)
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
