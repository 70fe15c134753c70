package keeldeclare_test

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keeldeclare"
)

// Size of the largest deployment that is a stated target, and the target for
// the memory of its declarations, in bytes.
const (
	targetBlocks = 1_100_000
	targetSites  = 440
	targetBytes  = 64 << 20
)

// targetTable yields blocks in the proportions of the target: three quarters
// IPv4, up to eight sites per block, and neighbours that share their lists of
// sites. lists is the number of distinct lists.
func targetTable(blocks, lists int) func(func(netip.Prefix, []keel.SiteName) bool) {
	r := rand.New(rand.NewPCG(1, 2))
	names := make([][]keel.SiteName, lists)
	for i := range names {
		names[i] = make([]keel.SiteName, 1+r.IntN(8))
		for j := range names[i] {
			names[i][j] = siteNo(r.IntN(targetSites))
		}
	}
	return func(yield func(netip.Prefix, []keel.SiteName) bool) {
		list := 0
		for i := range blocks {
			if r.IntN(4) == 0 {
				list = r.IntN(lists)
			}
			if !yield(targetPrefix(i, blocks), names[list]) {
				return
			}
		}
	}
}

func targetPrefix(i, blocks int) netip.Prefix {
	v4 := blocks / 4 * 3
	if i < v4 {
		var a [4]byte
		binary.BigEndian.PutUint32(a[:], 0x01000000+uint32(i)<<8)
		return netip.PrefixFrom(netip.AddrFrom4(a), 24)
	}
	var a [16]byte
	binary.BigEndian.PutUint64(a[:8], 0x2001_0000_0000_0000+uint64(i-v4)<<16)
	return netip.PrefixFrom(netip.AddrFrom16(a), 48)
}

// heapBytes returns the size of the live heap.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// targetMachine returns a machine with the blocks of targetTable.
func targetMachine(tb testing.TB, blocks, lists int) *keeldeclare.Machine {
	m := newApplier(tb, targetSites)
	var ops []keel.Op
	flush := func() {
		m.apply(ops...)
		ops = ops[:0]
	}
	for p, sites := range targetTable(blocks, lists) {
		ops = append(ops, blockPut(p, sites...))
		if len(ops) == 20_000 {
			flush()
		}
	}
	if len(ops) > 0 {
		flush()
	}
	return m.m
}

// BenchmarkTable measures the memory of the whole table and the time to iterate
// over it.
func BenchmarkTable(b *testing.B) {
	for _, lists := range []int{440, 20_000, targetBlocks} {
		b.Run(fmt.Sprintf("lists=%d", lists), func(b *testing.B) {
			before := heapBytes()
			t := keeldeclare.NewBlocks(targetTable(targetBlocks, lists))
			mb := float64(heapBytes()-before) / (1 << 20)
			for b.Loop() {
				n := 0
				for range t.AllLists() {
					n++
				}
			}
			b.ReportMetric(mb, "MB")
			runtime.KeepAlive(t)
		})
	}
}

// BenchmarkMachineAtTarget measures the memory of a machine with the target
// number of blocks, and the time to write and restore its snapshot and to apply
// a change.
func BenchmarkMachineAtTarget(b *testing.B) {
	const lists = 20_000
	before := heapBytes()
	m := targetMachine(b, targetBlocks, lists)
	state := float64(heapBytes()-before) / (1 << 20)
	var buf bytes.Buffer
	b.Run("snapshot", func(b *testing.B) {
		for b.Loop() {
			buf.Reset()
			if err := m.Snapshot(&buf); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(state, "state-MB")
		b.ReportMetric(float64(buf.Len())/(1<<20), "file-MB")
	})
	b.Run("restore", func(b *testing.B) {
		for b.Loop() {
			n := keeldeclare.NewMachine(keeldeclare.MachineConfig{})
			if err := n.Restore(m.Dump().Applied, bytes.NewReader(buf.Bytes())); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("apply", func(b *testing.B) {
		i := m.Dump().Applied
		for b.Loop() {
			i++
			p := targetPrefix(int(i*7919)%targetBlocks, targetBlocks)
			m.Apply(i, encodedChange(b, fmt.Sprintf("n%d", i), m.Current().Version, blockPut(p, siteNo(int(i)%targetSites))))
		}
	})
	runtime.KeepAlive(m)
}

// BenchmarkReplicaAtTarget measures the files of a replica: loading the whole
// table, and saving a change.
func BenchmarkReplicaAtTarget(b *testing.B) {
	dir := b.TempDir()
	r := newReplica(b, keeldeclare.ReplicaConfig{Dir: dir})
	m := targetMachine(b, targetBlocks, 20_000)
	if err := r.AdoptState(m); err != nil {
		b.Fatal(err)
	}
	b.Run("load", func(b *testing.B) {
		before := heapBytes()
		var got *keeldeclare.Replica
		for b.Loop() {
			got = newReplica(b, keeldeclare.ReplicaConfig{Dir: dir})
		}
		b.ReportMetric(float64(heapBytes()-before)/(1<<20), "state-MB")
		runtime.KeepAlive(got)
	})
	b.Run("change", func(b *testing.B) {
		i := m.Dump().Applied
		for b.Loop() {
			i++
			m.Apply(i, encodedChange(b, fmt.Sprintf("n%d", i), m.Current().Version, blockPut(targetPrefix(int(i), targetBlocks), siteNo(3))))
			if err := r.AdoptState(m); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkCatchUp measures a delta of 500 missed changes, and a transfer of
// the whole table in parts of the size that is requested from other failure
// domains.
func BenchmarkCatchUp(b *testing.B) {
	v := newVoter(b, targetSites, keeldeclare.ReplicaConfig{})
	v.apply(blockOps(0, 10_000, targetSites)...)
	r := newReplica(b, keeldeclare.ReplicaConfig{})
	catchUp(b, r, v.replica, 256<<10)
	from := v.replica.Current().Version
	for i := range 500 {
		v.apply(blockPut(block24(i), siteNo(i%3)))
	}
	b.Run("delta500", func(b *testing.B) {
		bytes := 0
		for b.Loop() {
			body, _ := keel.EncodeCBOR(v.replica.Serve(keeldeclare.FetchRequest{From: from, MaxBytes: 256 << 10}))
			bytes = len(body)
			var resp keeldeclare.FetchResponse
			if err := keel.DecodeCBOR(body, &resp); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(bytes), "bytes")
	})
	big := newVoter(b, targetSites, keeldeclare.ReplicaConfig{MaxLogBytes: 1 << 20})
	big.m = targetMachine(b, targetBlocks, 20_000)
	if err := big.replica.AdoptState(big.m); err != nil {
		b.Fatal(err)
	}
	b.Run("refill", func(b *testing.B) {
		var n, bytes int
		for b.Loop() {
			n, bytes = catchUp(b, newReplica(b, keeldeclare.ReplicaConfig{}), big.replica, 12<<10)
		}
		b.ReportMetric(float64(n), "exchanges")
		b.ReportMetric(float64(bytes)/1e6, "MB-moved")
	})
}
