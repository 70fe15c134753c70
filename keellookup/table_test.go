package keellookup_test

import (
	"fmt"
	"iter"
	"maps"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"slices"
	"testing"

	"github.com/matryer/is"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keeldeclare"
)

type blockMap map[netip.Prefix][]keel.SiteName

func prefix(s string) netip.Prefix { return netip.MustParsePrefix(s) }

func TestTableFind(t *testing.T) {
	t0 := keeldeclare.NewBlocks(maps.All(blockMap{
		prefix("0.0.0.0/0"):         {"any"},
		prefix("10.0.0.0/8"):        {"dakar", "thies"},
		prefix("10.1.0.0/16"):       {"thies"},
		prefix("10.1.2.3/32"):       {"louis"},
		prefix("2001:db8::/32"):     {"dakar"},
		prefix("2001:db8:0:7::/64"): {"thies"},
	}))
	t1 := t0.Update(maps.All(blockMap{prefix("10.1.0.0/16"): {"dakar"}}),
		slices.Values([]netip.Prefix{prefix("0.0.0.0/0"), prefix("10.1.2.3/32"), prefix("10.9.0.0/16")}))
	tests := []struct{ addr, before, after string }{
		{"9.9.9.9", "[any]", "[]"},
		{"10.2.0.1", "[dakar thies]", "[dakar thies]"},
		{"::ffff:10.2.0.1", "[dakar thies]", "[dakar thies]"},
		{"10.1.255.255", "[thies]", "[dakar]"},
		{"10.1.2.3", "[louis]", "[dakar]"},
		{"2001:db8::1", "[dakar]", "[dakar]"},
		{"2001:db8:0:7::1", "[thies]", "[thies]"},
		{"2001:db9::1", "[]", "[]"},
	}
	for _, tt := range tests {
		t.Run(tt.addr, func(t *testing.T) {
			is := is.New(t)
			before, _ := t0.Find(netip.MustParseAddr(tt.addr))
			after, _ := t1.Find(netip.MustParseAddr(tt.addr))
			is.Equal(fmt.Sprint(before), tt.before)
			is.Equal(fmt.Sprint(after), tt.after)
		})
	}
	is.New(t).Equal([]int{t0.Len(), t1.Len()}, []int{6, 4})
}

const (
	targetBlocks = 1_100_000
	targetSites  = 440
)

// targetTable yields n distinct blocks: nine in ten are IPv4 blocks of /20 to
// /28, the others IPv6 blocks of /48.
func targetTable(n int) iter.Seq2[netip.Prefix, []keel.SiteName] {
	r := rand.New(rand.NewPCG(1, 2))
	return func(yield func(netip.Prefix, []keel.SiteName) bool) {
		seen := make(map[netip.Prefix]bool, n)
		for len(seen) < n {
			p := randomBlock(r)
			if seen[p] {
				continue
			}
			seen[p] = true
			first := r.IntN(targetSites)
			sites := []keel.SiteName{siteName(first), siteName((first + 1 + r.IntN(4)) % targetSites)}
			if !yield(p, sites) {
				return
			}
		}
	}
}

func siteName(i int) keel.SiteName { return keel.SiteName(fmt.Sprintf("site-%03d", i)) }

func randomBlock(r *rand.Rand) netip.Prefix {
	if r.IntN(10) == 0 {
		var b [16]byte
		b[0], b[1], b[2], b[3] = 0x20, 1, byte(r.IntN(32)), byte(r.Uint32())
		b[4], b[5] = byte(r.Uint32()), byte(r.Uint32())
		return netip.PrefixFrom(netip.AddrFrom16(b), 48).Masked()
	}
	lengths := []int{20, 22, 23, 24, 24, 24, 24, 24, 24, 26, 28}
	return netip.PrefixFrom(randomAddr(r), lengths[r.IntN(len(lengths))]).Masked()
}

func randomAddr(r *rand.Rand) netip.Addr {
	n := r.Uint32()
	return netip.AddrFrom4([4]byte{1 + byte(n>>24)%220, byte(n >> 16), byte(n >> 8), byte(n)})
}

func BenchmarkTableFind(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	table := keeldeclare.NewBlocks(targetTable(targetBlocks))
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	r := rand.New(rand.NewPCG(3, 4))
	addrs := make([]netip.Addr, 1<<16)
	for i := range addrs {
		addrs[i] = randomAddr(r)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		table.Find(addrs[i%len(addrs)])
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
	runtime.KeepAlive(addrs)
}

// TestTableAgreesWithScan compares the table after random updates with a linear
// search by prefix length. Addresses and prefixes are drawn from a small range
// so that they overlap often.
func TestTableAgreesWithScan(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 6))
	nearbyAddr := func() netip.Addr {
		return netip.AddrFrom4([4]byte{10, byte(r.IntN(2)), byte(r.IntN(4) * 16), byte(r.IntN(256))})
	}
	table, want := keeldeclare.NewBlocks(nil), blockMap{}
	for round := range 300 {
		put, del := blockMap{}, []netip.Prefix{}
		for range r.IntN(8) {
			p := netip.PrefixFrom(nearbyAddr(), 6+r.IntN(27)).Masked()
			if r.IntN(3) == 0 {
				del = append(del, p)
			} else {
				put[p] = []keel.SiteName{siteName(r.IntN(9))}
			}
		}
		table = table.Update(maps.All(put), slices.Values(del))
		for _, p := range del {
			delete(want, p)
		}
		maps.Copy(want, put)
		for range 20 {
			a := nearbyAddr()
			got, _ := table.Find(a)
			if scan := want.find(a); !slices.Equal(got, scan) || table.Len() != len(want) {
				t.Fatalf("round %d: Find(%s) = %v, want %v; %d blocks, want %d", round, a, got, scan, table.Len(), len(want))
			}
		}
	}
}

func (m blockMap) find(a netip.Addr) []keel.SiteName {
	for bits := 32; bits >= 0; bits-- {
		if sites, ok := m[netip.PrefixFrom(a, bits).Masked()]; ok {
			return sites
		}
	}
	return nil
}
