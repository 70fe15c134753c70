package keelquorum_test

import (
	"fmt"
	"testing"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelstore"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc/pool"
	"golang.org/x/sys/unix"
)

const (
	benchHeartbeat = 100 * time.Millisecond
	benchEntry     = 400 // bytes
	benchProposers = 64
)

// newBenchGroup starts voters whose files are synced to the disk, and waits for
// the first accepted proposal.
func newBenchGroup(b *testing.B, voters int) *group {
	names := []keel.InstanceName{"a", "b", "c", "d", "e"}[:voters]
	g := newGroup(b, benchHeartbeat, names...)
	g.snapshotEvery = 1 << 30
	for _, name := range names {
		s, err := keelstore.Open(keelstore.Config{Dir: b.TempDir()})
		is.New(b).NoErr(err)
		g.disks[name] = s
		g.start(name, names)
	}
	g.propose("a", "first")
	return g
}

func reportLatency(b *testing.B, h *hdrhistogram.Histogram) {
	b.ReportMetric(float64(h.ValueAtPercentile(50))/1e6, "p50-ms")
	b.ReportMetric(float64(h.ValueAtPercentile(99))/1e6, "p99-ms")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkCommit measures the latency of sequential proposals.
func BenchmarkCommit(b *testing.B) {
	for _, voters := range []int{1, 3, 5} {
		b.Run(fmt.Sprintf("%d voters", voters), func(b *testing.B) {
			g := newBenchGroup(b, voters)
			h := hdrhistogram.New(1, int64(time.Minute), 3)
			data := make([]byte, benchEntry)
			l := g.awaitLeader("a")
			messages, _ := g.net.count()
			for b.Loop() {
				start := time.Now()
				_, err := l.Propose(g.ctx, data)
				is.New(b).NoErr(err)
				is.New(b).NoErr(h.RecordValue(int64(time.Since(start))))
			}
			m, _ := g.net.count()
			reportLatency(b, h)
			b.ReportMetric(float64(m-messages)/float64(b.N), "messages/op")
		})
	}
}

// BenchmarkThroughput measures the rate of concurrent proposals.
func BenchmarkThroughput(b *testing.B) {
	for _, voters := range []int{3, 5} {
		b.Run(fmt.Sprintf("%d voters", voters), func(b *testing.B) {
			g := newBenchGroup(b, voters)
			l := g.awaitLeader("a")
			b.ResetTimer()
			p := pool.New().WithMaxGoroutines(benchProposers).WithErrors()
			for range b.N {
				p.Go(func() error {
					_, err := l.Propose(g.ctx, make([]byte, benchEntry))
					return err
				})
			}
			is.New(b).NoErr(p.Wait())
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "changes/s")
		})
	}
}

// BenchmarkFailover measures the time from the loss of the leader, or the failure
// of its storage, to the next accepted proposal.
func BenchmarkFailover(b *testing.B) {
	for name, fail := range map[string]func(g *group, leader keel.InstanceName){
		"process": func(g *group, leader keel.InstanceName) { g.stops[leader]() },
		"storage": func(g *group, leader keel.InstanceName) {
			g.disks[leader].(*keelstore.Memory).FailSync(1, 0)
			_, _ = g.nodes[leader].Propose(g.ctx, nil)
		},
	} {
		b.Run(name, func(b *testing.B) {
			h := hdrhistogram.New(1, int64(time.Minute), 3)
			for b.Loop() {
				g := newGroup(b, benchHeartbeat, "a", "b", "c")
				for _, name := range g.names {
					g.start(name, g.names)
				}
				g.propose("a", "first")
				lost := g.awaitLeader("a").Status().Self
				other := g.names[0]
				if lost == other {
					other = g.names[1]
				}
				start := time.Now()
				fail(g, lost)
				g.propose(other, "next")
				is.New(b).NoErr(h.RecordValue(int64(time.Since(start))))
			}
			reportLatency(b, h)
		})
	}
}

// BenchmarkHandOver measures the time from a planned stop of the leader to the
// next accepted proposal.
func BenchmarkHandOver(b *testing.B) {
	g := newBenchGroup(b, 3)
	h := hdrhistogram.New(1, int64(time.Minute), 3)
	for b.Loop() {
		l := g.awaitLeader("a")
		start := time.Now()
		is.New(b).NoErr(l.HandOver(g.ctx))
		g.propose("a", "next")
		is.New(b).NoErr(h.RecordValue(int64(time.Since(start))))
	}
	reportLatency(b, h)
}

// processorTime returns the processor time used by the process.
func processorTime(b *testing.B) time.Duration {
	var u unix.Rusage
	is.New(b).NoErr(unix.Getrusage(unix.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkIdle measures the traffic and processor time of voters without
// proposals.
func BenchmarkIdle(b *testing.B) {
	for _, voters := range []int{3, 5} {
		b.Run(fmt.Sprintf("%d voters", voters), func(b *testing.B) {
			g := newBenchGroup(b, voters)
			messages, bytes := g.net.count()
			before := processorTime(b)
			for b.Loop() {
				<-time.After(benchHeartbeat)
			}
			m, n := g.net.count()
			b.ReportMetric(float64(m-messages)/b.Elapsed().Seconds(), "messages/s")
			b.ReportMetric(float64(n-bytes)/b.Elapsed().Seconds(), "body-bytes/s")
			used := processorTime(b) - before
			b.ReportMetric(100*used.Seconds()/b.Elapsed().Seconds(), "%core")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkCatchUp measures the time until a restarted voter has applied 500
// entries that it missed, replicated from the log or by a snapshot.
func BenchmarkCatchUp(b *testing.B) {
	const missed = 500
	for _, every := range []int{1 << 30, 50} {
		b.Run(fmt.Sprintf("snapshot every %d", every), func(b *testing.B) {
			h := hdrhistogram.New(1, int64(time.Minute), 3)
			for b.Loop() {
				g := newGroup(b, benchHeartbeat, "a", "b", "c")
				g.snapshotEvery = every
				for _, name := range g.names {
					g.start(name, g.names)
				}
				g.propose("a", "first")
				g.stops["c"]()
				for i := range missed {
					g.propose("a", fmt.Sprint(i))
				}
				start := time.Now()
				g.start("c", g.names)
				g.machines["c"].await(missed + 1)
				is.New(b).NoErr(h.RecordValue(int64(time.Since(start))))
				for _, stop := range g.stops {
					stop()
				}
			}
			reportLatency(b, h)
		})
	}
}
