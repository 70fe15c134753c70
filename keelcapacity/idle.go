package keelcapacity

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keellocal"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
)

// Config configures the measurements.
type Config struct {
	// Window is the time over which idle instances are measured.
	Window time.Duration
	// MemoryRest is the idle time of processes before their memory is read.
	MemoryRest time.Duration
	// MemoryBlocks lists the numbers of client blocks at which memory is
	// measured.
	MemoryBlocks []int
	Log          *logrus.Logger
}

// Target sizes, which costs are extrapolated to.
const (
	TargetDomainSize = 35 // 1,600 instances in 46 failure domains
	TargetDomains    = 46
	TargetBlocks     = 1_100_000
)

// claimHoldersPerDomain is the number of instances of a failure domain that hold
// its claims.
const claimHoldersPerDomain = 3

// udpIPHeaderBytes is the size of the UDP and IPv4 headers of a packet.
const udpIPHeaderBytes = 28

const (
	declareTimeout = 60 * time.Second
	// settlePeriod is the idle time of a system before it is measured, so that
	// connections which are opened while the cluster forms don't count as idle
	// cost.
	settlePeriod = 32 * time.Second
)

// instanceUsage is the mean resource usage of one instance of a system.
type instanceUsage struct {
	cpuPercent     float64
	bytesPerSecond float64
	heapMB         float64
}

// IdleByDomainSize measures the resource usage of idle instances against the
// number of instances in one failure domain.
func IdleByDomainSize(ctx context.Context, cfg Config) ([]Series, error) {
	return cfg.measureIdle(ctx, "instances in the domain", TargetDomainSize, []topology{{1, 3}, {1, 9}, {1, 18}, {1, 35}}, func(s topology) int { return s.size })
}

// IdleByDomains measures the resource usage of idle instances against the number
// of failure domains.
func IdleByDomains(ctx context.Context, cfg Config) ([]Series, error) {
	return cfg.measureIdle(ctx, "failure domains", TargetDomains, []topology{{2, 3}, {6, 3}, {12, 3}, {16, 3}}, func(s topology) int { return s.domains })
}

// topology is a number of failure domains and of instances in each.
type topology struct{ domains, size int }

// measureIdle measures idle instances in each topology. x returns the size that
// varies, named by axis.
func (cfg Config) measureIdle(ctx context.Context, axis string, target float64, topologies []topology, x func(topology) int) ([]Series, error) {
	out := []Series{
		{Name: "idle processor time", Unit: "% of a core", Axis: axis, Target: target},
		{Name: "idle traffic, sent and received", Unit: "bytes/s", Axis: axis, Target: target},
		{Name: "heap", Unit: "MB", Axis: axis, Target: target},
	}
	for _, s := range topologies {
		u, err := cfg.measureUsage(ctx, s)
		if err != nil {
			return nil, errors.Wrapf(err, "%d domains of %d instances", s.domains, s.size)
		}
		for i, y := range []float64{u.cpuPercent, u.bytesPerSecond, u.heapMB} {
			out[i].X = append(out[i].X, float64(x(s)))
			out[i].Y = append(out[i].Y, y)
		}
	}
	return out, nil
}

func (s topology) instances() []keellocal.InstanceConfig {
	var out []keellocal.InstanceConfig
	for d := range s.domains {
		for i := range s.size {
			domain := keel.DomainName(fmt.Sprintf("d%02d", d))
			out = append(out, keellocal.InstanceConfig{
				Name: keel.InstanceName(fmt.Sprintf("%s-%02d", domain, i)), Domain: domain, Region: "r",
				Voter: d == 0 && i < 3,
			})
		}
	}
	return out
}

func (s topology) declarations() *keel.Declarations {
	d := &keel.Declarations{Regions: []keel.Region{{Name: "r"}}}
	holders := make(map[keel.DomainName]int)
	for _, p := range s.instances() {
		if len(d.Domains) == 0 || d.Domains[len(d.Domains)-1].Name != p.Domain {
			d.Domains = append(d.Domains, keel.FailureDomain{Name: p.Domain, Region: p.Region})
		}
		d.Instances = append(d.Instances, keel.RegisteredInstance{
			Name: p.Name, Domain: p.Domain, NoClaims: holders[p.Domain] >= claimHoldersPerDomain,
		})
		holders[p.Domain]++
	}
	return d
}

// withSystem starts a system of that topology, waits until its declarations are in
// force everywhere, and calls f.
func (cfg Config) withSystem(ctx context.Context, s topology, f func(context.Context, *keellocal.System) error) error {
	dir, err := os.MkdirTemp("", "keelcapacity-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	system, err := keellocal.New(keellocal.Config{Instances: s.instances(), Dir: dir, Log: cfg.Log})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	var group conc.WaitGroup
	defer group.Wait()
	defer cancel()
	system.Run(ctx, &group)
	formCtx, stop := context.WithTimeout(ctx, declareTimeout)
	defer stop()
	if err := system.Declare(formCtx, s.declarations()); err != nil {
		return err
	}
	return f(ctx, system)
}

// measureUsage measures an idle system over the configured window.
func (cfg Config) measureUsage(ctx context.Context, s topology) (instanceUsage, error) {
	var u instanceUsage
	err := cfg.withSystem(ctx, s, func(ctx context.Context, system *keellocal.System) error {
		time.Sleep(settlePeriod)
		bytes, err := trafficBytes(ctx, system)
		if err != nil {
			return err
		}
		cpu, start := processorTime(), time.Now()
		time.Sleep(cfg.Window)
		cpu, elapsed := processorTime()-cpu, time.Since(start)
		after, err := trafficBytes(ctx, system)
		if err != nil {
			return err
		}
		runtime.GC()
		var mem runtime.MemStats
		runtime.ReadMemStats(&mem)
		n := float64(len(system.Instances))
		u = instanceUsage{
			cpuPercent:     100 * cpu.Seconds() / elapsed.Seconds() / n,
			bytesPerSecond: (after - bytes) / elapsed.Seconds() / n,
			heapMB:         float64(mem.HeapAlloc) / (1 << 20) / n,
		}
		return nil
	})
	return u, err
}

// trafficBytes returns the bytes that all instances sent and received on their open
// connections, including the UDP and IP headers.
func trafficBytes(ctx context.Context, system *keellocal.System) (float64, error) {
	total := 0.0
	for i := range system.Instances {
		d, err := system.Dump(ctx, i)
		if err != nil {
			return 0, err
		}
		for _, l := range d.Links {
			total += float64(l.BytesSent + l.BytesReceived + udpIPHeaderBytes*(l.PacketsSent+l.PacketsReceived))
		}
	}
	return total, nil
}

// processorTime returns the user and system time of this process.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u) // fails only for a bad argument
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
