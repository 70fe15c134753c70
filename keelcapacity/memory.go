package keelcapacity

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
)

// opsPerChange is the highest number of operations in one change.
const opsPerChange = 25_000

// loadTimeout bounds the whole measurement with one number of blocks.
const loadTimeout = 10 * time.Minute

// samplePoints names the points at which the memory of the processes is read.
var samplePoints = []string{"after the load", "after a restart"}

// Memory measures separate processes that hold client blocks: resident memory and
// live heap of a voter and of an instance without a disk, after changes that
// declare the blocks and again after a restart of each process. The highest value
// among the voters is reported.
func Memory(ctx context.Context, cfg Config) ([]Series, error) {
	var out []Series
	for _, n := range cfg.MemoryBlocks {
		samples, err := cfg.measureMemory(ctx, n)
		if err != nil {
			return nil, errors.Wrapf(err, "%d blocks", n)
		}
		if out == nil {
			out = make([]Series, len(samples))
		}
		for i, s := range samples {
			out[i].Name, out[i].Unit, out[i].Axis, out[i].Target = s.name, "MB", "client blocks", TargetBlocks
			out[i].X = append(out[i].X, float64(n))
			out[i].Y = append(out[i].Y, s.bytes/(1<<20))
		}
	}
	return out, nil
}

// memorySample is one memory figure.
type memorySample struct {
	name  string
	bytes float64
}

// measureMemory measures a new cluster with n client blocks.
func (cfg Config) measureMemory(ctx context.Context, n int) ([]memorySample, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	dir, err := os.MkdirTemp("", "keelcapacity-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	c, err := newCluster(ctx, dir)
	if err != nil {
		return nil, err
	}
	defer c.kill()
	if err := c.declareBlocks(ctx, n); err != nil {
		return nil, err
	}
	var out []memorySample
	for _, when := range samplePoints {
		if when == samplePoints[1] {
			if err := c.restart(ctx); err != nil {
				return nil, err
			}
		}
		if err := c.waitForBlocks(ctx, n); err != nil {
			return nil, err
		}
		time.Sleep(cfg.MemoryRest)
		s, err := c.sampleMemory(ctx, when)
		if err != nil {
			return nil, err
		}
		out = append(out, s...)
	}
	return out, nil
}

// declareBlocks declares the sites and n blocks in a sequence of changes.
func (c *cluster) declareBlocks(ctx context.Context, n int) error {
	ops := siteOps()
	base := keel.Version(0)
	for p, list := range blocks(n) {
		if len(ops) == opsPerChange {
			if err := c.submit(ctx, &base, ops); err != nil {
				return err
			}
			ops = ops[:0]
		}
		b := &keel.ClientBlock{Prefix: p, Sites: list}
		ops = append(ops, keel.Op{Action: keel.OpPut, Kind: keel.KindBlock, Name: p.String(), Block: b})
	}
	return c.submit(ctx, &base, ops)
}

// submit sends a change to the first voter until it is accepted, and again on
// errors, such as while no leader is known yet. It advances base to the version of
// the change.
func (c *cluster) submit(ctx context.Context, base *keel.Version, ops []keel.Op) error {
	return poll(ctx, func() error {
		o, err := c.client(c.processes[0]).Submit(ctx, keel.Change{
			ID: keel.ChangeID(fmt.Sprintf("change-%d", *base)), Base: *base, Author: "capacity", Time: time.Now().UTC(), Ops: ops,
		})
		if err != nil {
			return err
		}
		if o.Status != keel.OutcomeAccepted {
			return errors.Errorf("change on version %d: %s: %v", *base, o.Status, o.Faults)
		}
		*base = o.Version
		return nil
	})
}

// siteOps returns the operations that declare the region, the failure domain and
// the sites that blocks prefer.
func siteOps() []keel.Op {
	ops := []keel.Op{
		{Action: keel.OpPut, Kind: keel.KindRegion, Name: "r", Region: &keel.Region{Name: "r"}},
		{Action: keel.OpPut, Kind: keel.KindDomain, Name: "d", Domain: &keel.FailureDomain{Name: "d", Region: "r"}},
	}
	for i := range siteCount {
		s := &keel.Site{Name: keel.SiteName(fmt.Sprintf("site-%d", i)), Domain: "d"}
		ops = append(ops, keel.Op{Action: keel.OpPut, Kind: keel.KindSite, Name: string(s.Name), Site: s})
	}
	return ops
}

// waitForBlocks waits until every process has all blocks in force.
func (c *cluster) waitForBlocks(ctx context.Context, n int) error {
	for _, p := range c.processes {
		err := poll(ctx, func() error {
			d, err := c.dump(ctx, p)
			if err != nil {
				return err
			}
			if d.Replica.Blocks != n || d.Replica.Backfill != nil {
				return errors.Errorf("%s has %d of %d blocks, backfill pending: %t", p.settings.Instance, d.Replica.Blocks, n, d.Replica.Backfill != nil)
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// restart stops and starts the processes one after the other.
func (c *cluster) restart(ctx context.Context) error {
	for _, p := range c.processes {
		if err := p.stop(); err != nil {
			return errors.Wrapf(err, "stop of %s", p.settings.Instance)
		}
		if err := c.start(ctx, p); err != nil {
			return err
		}
	}
	return nil
}

// sampleMemory reads the memory of all processes.
func (c *cluster) sampleMemory(ctx context.Context, when string) ([]memorySample, error) {
	var out []memorySample
	for _, p := range c.processes {
		now, highest, err := p.residentBytes()
		if err != nil {
			return nil, err
		}
		d, err := c.dump(ctx, p)
		if err != nil {
			return nil, err
		}
		role := "instance without a disk"
		if p.settings.Voter {
			role = "voter"
		}
		out = mergeLargest(out, []memorySample{
			{role + " resident " + when, now},
			{role + " highest resident " + when, highest},
			{role + " live heap " + when, float64(d.Process.LiveHeapBytes)},
		})
	}
	return out, nil
}

// mergeLargest adds samples to a list. Of two samples with the same name it keeps
// the larger one.
func mergeLargest(list, more []memorySample) []memorySample {
	for _, m := range more {
		known := false
		for i := range list {
			if list[i].name == m.name {
				list[i].bytes, known = max(list[i].bytes, m.bytes), true
			}
		}
		if !known {
			list = append(list, m)
		}
	}
	return list
}
