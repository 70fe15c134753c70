package keelcapacity

import (
	"context"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keellocal"
	"github.com/sourcegraph/conc"
)

// changesPerTopology is the number of changes that are timed in each topology.
const changesPerTopology = 12

const (
	// watchInterval is the time between two checks of the versions of all
	// instances.
	watchInterval = time.Millisecond
	// changePause is the pause before each change, so that all confirmations of
	// the previous one have arrived.
	changePause = 500 * time.Millisecond
	// changeTimeout bounds the wait for one change.
	changeTimeout = time.Minute

	minLatencyMicros         = 1
	maxLatencyMicros         = 60_000_000
	latencySignificantDigits = 3
)

// inForceTimes holds times since a change was acknowledged as committed.
type inForceTimes struct {
	each      *hdrhistogram.Histogram // until in force at each instance
	last      *hdrhistogram.Histogram // until in force at the last instance
	confirmed *hdrhistogram.Histogram // until the instance that accepted the change confirms it everywhere
}

func newInForceTimes() inForceTimes {
	h := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencySignificantDigits)
	}
	return inForceTimes{each: h(), last: h(), confirmed: h()}
}

// InForceTime measures the time from the acknowledgement of a change until it is
// in force at each instance, and until that is confirmed, against the number of
// failure domains. Their size is the same except in the last topology.
func InForceTime(ctx context.Context, cfg Config) ([]Series, error) {
	out := []Series{
		{Name: "change in force at an instance, p50"},
		{Name: "change in force at an instance, p99"},
		{Name: "change in force at the last instance, highest"},
		{Name: "change confirmed everywhere, p50"},
		{Name: "change confirmed everywhere, highest"},
	}
	for i := range out {
		out[i].Unit, out[i].Axis, out[i].Target = "ms", "failure domains", TargetDomains
	}
	for _, s := range []topology{{1, 3}, {2, 3}, {4, 3}, {6, 3}, {16, 3}, {4, 18}} {
		times := newInForceTimes()
		err := cfg.withSystem(ctx, s, func(ctx context.Context, system *keellocal.System) error {
			time.Sleep(settlePeriod)
			return submitChanges(ctx, system, times)
		})
		if err != nil {
			return nil, errors.Wrapf(err, "%d domains of %d instances", s.domains, s.size)
		}
		for i, micros := range []int64{
			times.each.ValueAtQuantile(50), times.each.ValueAtQuantile(99), times.last.Max(),
			times.confirmed.ValueAtQuantile(50), times.confirmed.Max(),
		} {
			out[i].X = append(out[i].X, float64(s.domains))
			out[i].Y = append(out[i].Y, float64(micros)/1000)
		}
	}
	return out, nil
}

// submitChanges submits and times changesPerTopology changes, one after the other.
func submitChanges(ctx context.Context, system *keellocal.System, times inForceTimes) error {
	base := keel.Version(1)
	for n := range changesPerTopology {
		time.Sleep(changePause)
		v, err := submitAndTime(ctx, system, times, base, fmt.Sprintf("region-%d", n))
		if err != nil {
			return errors.Wrapf(err, "change %d", n)
		}
		base = v
	}
	return nil
}

// submitAndTime submits one change, records its times and returns its version.
func submitAndTime(ctx context.Context, system *keellocal.System, times inForceTimes, base keel.Version, name string) (keel.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	w := versionWatch{system: system, version: base + 1, seen: make([]time.Time, len(system.Instances))}
	var group conc.WaitGroup
	group.Go(func() { w.run(ctx) })
	defer group.Wait()
	c := system.Client(0)
	o, err := c.Submit(ctx, keel.Change{
		ID: keel.ChangeID(name), Base: base, Author: "capacity", Time: time.Now().UTC(),
		Ops: []keel.Op{{Action: keel.OpPut, Kind: keel.KindRegion, Name: name, Region: &keel.Region{Name: keel.RegionName(name)}}},
	})
	acknowledged := time.Now()
	if err == nil && o.Status != keel.OutcomeAccepted {
		err = errors.Errorf("change %q: %s: %v", name, o.Status, o.Faults)
	}
	if err == nil {
		_, err = c.WaitInForce(ctx, o.Version)
	}
	if err != nil {
		cancel()
		return 0, err
	}
	record(times.confirmed, time.Since(acknowledged))
	group.Wait()
	return o.Version, w.record(acknowledged, times)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(d.Microseconds(), minLatencyMicros)) // fails only above maxLatencyMicros
}

// versionWatch records when each instance first had a version in force.
type versionWatch struct {
	system  *keellocal.System
	version keel.Version
	seen    []time.Time
}

func (w *versionWatch) run(ctx context.Context) {
	for !w.check() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(watchInterval):
		}
	}
}

// check records the time at each instance that has the version by now, and reports
// whether all have it.
func (w *versionWatch) check() bool {
	all := true
	for i, in := range w.system.Instances {
		if !w.seen[i].IsZero() {
			continue
		}
		if in.Version() >= w.version {
			w.seen[i] = time.Now()
		}
		all = all && !w.seen[i].IsZero()
	}
	return all
}

// record adds the times of all instances to the histograms. An instance without
// the version is an error.
func (w *versionWatch) record(acknowledged time.Time, times inForceTimes) error {
	last := time.Duration(0)
	for i, t := range w.seen {
		if t.IsZero() {
			return errors.Errorf("version %d was confirmed but is not in force at %q", w.version, w.system.Instances[i].Self().Name)
		}
		d := t.Sub(acknowledged)
		record(times.each, d)
		last = max(last, d)
	}
	record(times.last, last)
	return nil
}
