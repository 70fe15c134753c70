package keelinstance

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelclaim"
	"github.com/greengagekeel/greengagekeel/keelsteer"
	"github.com/uber-go/tally/v4"
)

// gauges exports the state of an instance as metrics.
type gauges struct {
	in    *Instance
	scope tally.Scope
	// linkBytes holds the bytes to each region that link_bytes already includes.
	linkBytes map[keel.RegionName]uint64
	// recordedDrains holds, by endpoint, the start of the last drain that
	// drain_seconds includes.
	recordedDrains map[keel.EndpointID]time.Time
}

// runMetrics updates the metrics periodically until ctx ends.
func (in *Instance) runMetrics(ctx context.Context) error {
	g := &gauges{
		in: in, scope: in.metrics.scope,
		linkBytes: make(map[keel.RegionName]uint64), recordedDrains: make(map[keel.EndpointID]time.Time),
	}
	ticker := time.NewTicker(metricsPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			if err := in.metrics.closer.Close(); err != nil {
				return errors.Wrap(err, "close metrics")
			}
			return nil
		case <-ticker.C:
			g.update()
		}
	}
}

func (g *gauges) update() {
	g.scope.Gauge("declarations_version").Update(float64(g.in.control.replica.Current().Version))
	g.scope.Gauge("requests_in_flight").Update(float64(g.in.front.InFlight()))
	g.updateCallers()
	d := g.in.engine.Dump()
	g.scope.Gauge("silent_connections_closed").Update(float64(d.SilentClosed))
	for _, p := range d.Pools {
		tagged := g.scope.Tagged(map[string]string{"service": string(p.Service)})
		tagged.Gauge("slots").Update(float64(p.Slots))
		tagged.Gauge("slots_free").Update(float64(p.Free))
		tagged.Gauge("requests_waiting").Update(float64(p.Waiting))
	}
	g.updateDrains(d.Drains)
	g.updateLinks(d.Links)
	g.updateClaims()
	g.updateQuorum()
}

// updateCallers exports what callers hold.
func (g *gauges) updateCallers() {
	u := g.in.budget.Usage()
	g.scope.Gauge("held_bytes").Update(float64(u.Held))
	g.scope.Gauge("held_bytes_limit").Update(float64(u.Limit))
	g.scope.Gauge("caller_connections").Update(float64(u.Connections))
	g.scope.Gauge("caller_connections_limit").Update(float64(u.MaxConnections))
	g.scope.Gauge("callers_evicted").Update(float64(u.Evicted))
	g.scope.Gauge("callers_without_room").Update(float64(u.Refused))
}

// updateDrains records the duration of each drain once, after it has ended.
func (g *gauges) updateDrains(drains []keelsteer.DrainState) {
	draining := 0
	known := make(map[keel.EndpointID]time.Time, len(drains))
	for _, d := range drains {
		if !d.Done {
			draining++
			continue
		}
		known[d.Endpoint] = d.Since
		if !g.recordedDrains[d.Endpoint].Equal(d.Since) {
			g.scope.Histogram("drain_seconds", drainBuckets).RecordDuration(d.Took.Std())
		}
	}
	g.recordedDrains = known
	g.scope.Gauge("endpoints_draining").Update(float64(draining))
}

// drainBuckets range from 100 ms to about an hour.
var drainBuckets = tally.MustMakeExponentialDurationBuckets(100*time.Millisecond, 2, 16)

func (g *gauges) updateLinks(links []keelsteer.LinkDump) {
	for _, l := range links {
		tagged := g.scope.Tagged(map[string]string{"to": string(l.To)})
		tagged.Counter("link_bytes").Inc(int64(l.Bytes - g.linkBytes[l.To]))
		tagged.Gauge("link_use").Update(l.Use)
		g.linkBytes[l.To] = l.Bytes
	}
}

func (g *gauges) updateClaims() {
	d, ok := g.in.claims.Dump().(keelclaim.Dump)
	if !ok {
		return
	}
	g.scope.Gauge("claims").Update(float64(d.Claims))
	g.scope.Gauge("claim_bytes").Update(float64(d.Bytes))
	g.scope.Gauge("claim_outcomes_undelivered").Update(float64(d.Undelivered))
	g.scope.Gauge("claim_conflicts").Update(float64(d.Holder.Conflicts))
	g.scope.Gauge("claim_barrier").Update(boolValue(d.Phase == keelclaim.PhaseBarrier))
}

// updateQuorum exports the consensus state of a voter. Other instances have none.
func (g *gauges) updateQuorum() {
	if g.in.control.node == nil {
		return
	}
	s := g.in.control.node.Status()
	g.scope.Gauge("quorum_term").Update(float64(s.Term))
	g.scope.Gauge("quorum_commit_index").Update(float64(s.Commit))
	g.scope.Gauge("quorum_applied_index").Update(float64(s.Applied))
	g.scope.Gauge("quorum_leads").Update(boolValue(s.LeaseValid))
	g.scope.Gauge("quorum_leader_known").Update(boolValue(s.Leader != ""))
	g.scope.Gauge("quorum_storage_failed").Update(boolValue(s.StorageFailure != ""))
}

// boolValue returns the value of a gauge that is either 0 or 1.
func boolValue(on bool) float64 {
	if on {
		return 1
	}
	return 0
}
