package keeldeclare_test

import (
	"bytes"
	"maps"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"slices"
	"testing"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keeldeclare"
	"github.com/matryer/is"
)

// findByScan finds the longest prefix that contains addr by scanning all
// blocks. Prefixes of IPv4-mapped addresses are treated as IPv4 prefixes.
func findByScan(blocks map[netip.Prefix][]keel.SiteName, addr netip.Addr) []keel.SiteName {
	longest, found := -1, []keel.SiteName(nil)
	for p, sites := range blocks {
		if p.Addr().Is4In6() {
			p = netip.PrefixFrom(p.Addr().Unmap(), p.Bits()-96)
		}
		if p.Contains(addr.Unmap()) && p.Bits() > longest {
			longest, found = p.Bits(), sites
		}
	}
	return found
}

// TestFindAgreesWithScan changes a table at random and compares its look-ups
// with a scan over all blocks. The addresses are drawn from a small range, so
// that blocks of all lengths are nested.
func TestFindAgreesWithScan(t *testing.T) {
	kinds := []struct {
		name     string
		bits     int
		shortest int
		addr     func(r *rand.Rand) netip.Addr
	}{
		{"IPv4", 32, 0, func(r *rand.Rand) netip.Addr {
			return netip.AddrFrom4([4]byte{10, byte(r.IntN(2)), byte(r.IntN(3) * 64), byte(r.IntN(4) * 63)})
		}},
		{"IPv6", 128, 0, func(r *rand.Rand) netip.Addr {
			return netip.AddrFrom16([16]byte{0x20, 1, 0, byte(r.IntN(3)), 7: byte(r.IntN(2)), 8: byte(r.IntN(3)), 15: byte(r.IntN(4))})
		}},
		{"mapped", 128, 96, func(r *rand.Rand) netip.Addr {
			return netip.AddrFrom16(netip.AddrFrom4([4]byte{10, 0, byte(r.IntN(3)), byte(r.IntN(4))}).As16())
		}},
	}
	for _, kind := range kinds {
		t.Run(kind.name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(7, 8))
			table, want := keeldeclare.NewBlocks(nil), map[netip.Prefix][]keel.SiteName{}
			for round := range 400 {
				put, del := map[netip.Prefix][]keel.SiteName{}, []netip.Prefix{}
				for range r.IntN(12) {
					p := netip.PrefixFrom(kind.addr(r), kind.shortest+r.IntN(kind.bits-kind.shortest+1)).Masked()
					if r.IntN(3) == 0 {
						del = append(del, p)
					} else {
						put[p] = []keel.SiteName{siteNo(r.IntN(9))}
					}
				}
				table = table.Update(maps.All(put), slices.Values(del))
				for _, p := range del {
					delete(want, p)
				}
				maps.Copy(want, put)
				for range 20 {
					addr := kind.addr(r)
					got, ok := table.Find(addr)
					if scanned := findByScan(want, addr); !slices.Equal(got, scanned) || ok != (scanned != nil) {
						t.Fatalf("round %d: Find(%s) = %v, want %v", round, addr, got, scanned)
					}
				}
			}
		})
	}
}

// TestFindMappedBlock declares overlapping blocks of IPv4 addresses and of
// IPv4-mapped ones.
func TestFindMappedBlock(t *testing.T) {
	is := is.New(t)
	table := keeldeclare.NewBlocks(maps.All(map[netip.Prefix][]keel.SiteName{
		netip.MustParsePrefix("10.0.0.0/8"):           {"short"},
		netip.MustParsePrefix("::ffff:10.1.0.0/112"):  {"mapped"},
		netip.MustParsePrefix("10.1.2.0/24"):          {"long"},
		netip.MustParsePrefix("::/0"):                 {"rest"},
		netip.MustParsePrefix("::ffff:192.0.2.1/128"): {"host"},
	}))
	for addr, want := range map[string]string{
		"10.0.0.1": "short", "10.1.0.1": "mapped", "::ffff:10.1.0.1": "mapped", "10.1.2.1": "long", "192.0.2.1": "host", "2001:db8::1": "rest",
	} {
		sites, ok := table.Find(netip.MustParseAddr(addr))
		is.True(ok)
		is.Equal(sites, []keel.SiteName{keel.SiteName(want)})
	}
	_, ok := table.Find(netip.MustParseAddr("192.0.2.2"))
	is.True(!ok) // an IPv6 block that is wider than the mapped range has no IPv4 addresses
}

const (
	// liveBytes limits the live heap of a voter's declarations. The runtime
	// lets the heap grow to twice that before it collects garbage.
	liveBytes = targetBytes / 2
	// sizeShare divides the target's blocks, to save time, and the limit on
	// their memory. Memory that does not grow with the blocks therefore counts
	// this many times.
	sizeShare = 4
)

// TestTargetFitsInMemory limits the memory of a voter's declarations, in its
// state machine and its replica. It measures them again after a restart, when
// both were read from separate files and must share their memory again.
func TestTargetFitsInMemory(t *testing.T) {
	is := is.New(t)
	before := heapBytes()
	dir := t.TempDir()
	v := newVoter(t, targetSites, keeldeclare.ReplicaConfig{Dir: dir})
	v.m = targetMachine(t, targetBlocks/sizeShare, targetSites)
	is.NoErr(v.replica.AdoptState(v.m))
	live := heapBytes() - before
	t.Logf("voter: %d bytes", live)
	is.True(live <= liveBytes/sizeShare)

	n := keeldeclare.NewMachine(keeldeclare.MachineConfig{})
	is.NoErr(n.Restore(v.m.Dump().Applied, bytes.NewReader(snapshotOf(t, v.m))))
	again := newReplica(t, keeldeclare.ReplicaConfig{Dir: dir})
	is.Equal(again.Current().Checksum, n.Current().Checksum)
	is.NoErr(again.AdoptState(n))
	is.True(again.Current() == n.Current()) // shared, not copied
	v = nil
	live = heapBytes() - before
	t.Logf("voter after a restart: %d bytes", live)
	is.True(live <= liveBytes/sizeShare)
	is.Equal(again.Current().Blocks.Len(), targetBlocks/sizeShare)
	runtime.KeepAlive(n)
}
