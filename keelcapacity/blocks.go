package keelcapacity

import (
	"context"
	"fmt"
	"net/netip"
	"runtime"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keeldeclare"
)

// Blocks measures the memory, build time and look-up time of the look-up table
// against the number of client blocks.
func Blocks(context.Context, Config) ([]Series, error) {
	out := []Series{
		{Name: "memory of the look-up table", Unit: "MB", Axis: "client blocks", Target: TargetBlocks},
		{Name: "time to build the look-up table", Unit: "ms", Axis: "client blocks", Target: TargetBlocks},
		{Name: "one look-up in the table", Unit: "ns", Axis: "client blocks", Target: TargetBlocks},
	}
	for _, n := range []int{100_000, 300_000, 600_000, TargetBlocks} {
		before := heapBytes()
		start := time.Now()
		table := keeldeclare.NewBlocks(blocks(n))
		built := time.Since(start)
		mb := float64(heapBytes()-before) / (1 << 20)
		for i, y := range []float64{mb, float64(built.Milliseconds()), float64(timeFind(table, n).Nanoseconds())} {
			out[i].X = append(out[i].X, float64(n))
			out[i].Y = append(out[i].Y, y)
		}
	}
	return out, nil
}

// Number of declared sites, and of sites that each block prefers.
const (
	siteCount     = 440
	sitesPerBlock = 3
)

// blocks yields n client blocks, each an IPv4 /24 with a list of preferred sites.
func blocks(n int) func(yield func(netip.Prefix, []keel.SiteName) bool) {
	return func(yield func(netip.Prefix, []keel.SiteName) bool) {
		for i := range n {
			list := make([]keel.SiteName, sitesPerBlock)
			for j := range list {
				list[j] = keel.SiteName(fmt.Sprintf("site-%d", (i+j)%siteCount))
			}
			if !yield(netip.PrefixFrom(blockAddr(i), 24), list) {
				return
			}
		}
	}
}

// blockStride is the distance between two measured blocks in units of a /24, so
// that they are not adjacent.
const blockStride = 7

// blockAddr returns the first address of block i.
func blockAddr(i int) netip.Addr {
	v := uint32(i*blockStride) << 8
	return netip.AddrFrom4([4]byte{byte(v >> 24), byte(v >> 16), byte(v >> 8), 1}).Prev()
}

// timedLookUps is the number of look-ups that are timed.
const timedLookUps = 1_000_000

// timeFind returns the mean time of a look-up in a table of n blocks. Successive
// look-ups are 31 blocks apart.
func timeFind(t *keeldeclare.Blocks, n int) time.Duration {
	start := time.Now()
	for i := range timedLookUps {
		t.Find(blockAddr(i * 31 % n).Next())
	}
	return time.Since(start) / timedLookUps
}

// heapBytes returns the allocated heap after a garbage collection.
func heapBytes() int64 {
	runtime.GC()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	return int64(mem.HeapAlloc)
}
