package keelcapacity

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
)

// opsOfChange is how many blocks one change declares.
const opsOfChange = 25_000

// loadTimeout bounds the load of all blocks at one size.
const loadTimeout = 10 * time.Minute

// sampled is when the memory of the processes is read.
var sampled = []string{"after the load", "after a restart"}

// Memory measures real processes that hold client blocks: resident memory and
// live heap of a voter and of an instance without a disk, after changes that
// declare the blocks and again after a restart of each process. Of the voters
// the one with the most counts.
func Memory(ctx context.Context, cfg Config) ([]Series, error) {
	var out []Series
	for _, n := range cfg.MemoryBlocks {
		samples, err := cfg.memoryAt(ctx, n)
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

// sample is one figure of memory.
type sample struct {
	name  string
	bytes float64
}

func (cfg Config) memoryAt(ctx context.Context, n int) ([]sample, error) {
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
	var out []sample
	for _, when := range sampled {
		if when == sampled[1] {
			if err := c.restart(ctx); err != nil {
				return nil, err
			}
		}
		if err := c.awaitBlocks(ctx, n); err != nil {
			return nil, err
		}
		time.Sleep(cfg.MemoryRest)
		s, err := c.sample(ctx, when)
		if err != nil {
			return nil, err
		}
		out = append(out, s...)
	}
	return out, nil
}

// declareBlocks declares n blocks, change after change.
func (c *cluster) declareBlocks(ctx context.Context, n int) error {
	ops := siteOps()
	base := keel.Version(0)
	for p, list := range blocks(n) {
		if len(ops) == opsOfChange {
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

// submit sends a change to the first voter, also while no leader is known yet.
func (c *cluster) submit(ctx context.Context, base *keel.Version, ops []keel.Op) error {
	return poll(ctx, func() error {
		o, err := c.client(c.processes[0]).Submit(ctx, keel.Change{
			ID: keel.ChangeID(fmt.Sprintf("change-%d", *base)), Base: *base, Author: "capacity", Time: time.Now().UTC(), Ops: ops,
		})
		if err != nil {
			return err
		}
		if o.Status != keel.OutcomeAccepted {
			return errors.Errorf("change was %s: %v", o.Status, o.Faults)
		}
		*base = o.Version
		return nil
	})
}

// siteOps declares the failure domain and the sites that blocks prefer.
func siteOps() []keel.Op {
	ops := []keel.Op{
		{Action: keel.OpPut, Kind: keel.KindRegion, Name: "r", Region: &keel.Region{Name: "r"}},
		{Action: keel.OpPut, Kind: keel.KindDomain, Name: "d", Domain: &keel.FailureDomain{Name: "d", Region: "r"}},
	}
	for i := range sites {
		s := &keel.Site{Name: keel.SiteName(fmt.Sprintf("site-%d", i)), Domain: "d"}
		ops = append(ops, keel.Op{Action: keel.OpPut, Kind: keel.KindSite, Name: string(s.Name), Site: s})
	}
	return ops
}

// awaitBlocks waits until every process has all blocks in force.
func (c *cluster) awaitBlocks(ctx context.Context, n int) error {
	for _, p := range c.processes {
		err := poll(ctx, func() error {
			d, err := c.dump(ctx, p)
			if err != nil {
				return err
			}
			if d.Replica.Blocks != n || d.Replica.Backfill != nil {
				return errors.Errorf("%s has %d blocks", p.settings.Instance, d.Replica.Blocks)
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

// sample reads the memory of all processes.
func (c *cluster) sample(ctx context.Context, when string) ([]sample, error) {
	var out []sample
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
		out = largest(out, []sample{
			{role + " resident " + when, now},
			{role + " highest resident " + when, highest},
			{role + " live heap " + when, float64(d.Process.LiveHeapBytes)},
		})
	}
	return out, nil
}

// largest adds samples to a list, in which the larger one of two with one name
// stays.
func largest(list, more []sample) []sample {
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
