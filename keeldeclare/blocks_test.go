package keeldeclare_test

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"testing"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keeldeclare"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// drawPrefix draws from a small range, so that edits often affect the same
// block.
func drawPrefix(t *rapid.T) netip.Prefix {
	if rapid.Bool().Draw(t, "v6") {
		a := netip.AddrFrom16([16]byte{0x20, 1, 0, byte(rapid.IntRange(0, 3).Draw(t, "hi")), 7: 1, 15: byte(rapid.IntRange(0, 255).Draw(t, "lo"))})
		return netip.PrefixFrom(a, rapid.SampledFrom([]int{32, 64, 120, 128}).Draw(t, "bits")).Masked()
	}
	a := netip.AddrFrom4([4]byte{10, 0, byte(rapid.IntRange(0, 20).Draw(t, "c")), byte(rapid.IntRange(0, 255).Draw(t, "d"))})
	return netip.PrefixFrom(a, rapid.SampledFrom([]int{0, 8, 24, 28, 32}).Draw(t, "bits")).Masked()
}

func drawSites(t *rapid.T) []keel.SiteName {
	n := rapid.IntRange(1, 8).Draw(t, "sites")
	out := make([]keel.SiteName, n)
	for i := range out {
		out[i] = siteNo(rapid.IntRange(0, 9).Draw(t, "site"))
	}
	return out
}

func siteNo(i int) keel.SiteName { return keel.SiteName(fmt.Sprintf("site-%03d", i)) }

func blockPut(p netip.Prefix, sites ...keel.SiteName) keel.Op {
	return keel.Op{Action: keel.OpPut, Kind: keel.KindBlock, Name: p.String(), Block: &keel.ClientBlock{Prefix: p, Sites: sites}}
}

func blockDelete(p netip.Prefix) keel.Op {
	return keel.Op{Action: keel.OpDelete, Kind: keel.KindBlock, Name: p.String()}
}

// siteOps returns the operations that declare count sites in one domain.
func siteOps(count int) []keel.Op {
	ops := []keel.Op{
		putRegion("dakar"),
		{Action: keel.OpPut, Kind: keel.KindDomain, Name: "dakar-a", Domain: &keel.FailureDomain{Name: "dakar-a", Region: "dakar"}},
	}
	for i := range count {
		s := keel.Site{Name: siteNo(i), Domain: "dakar-a"}
		ops = append(ops, keel.Op{Action: keel.OpPut, Kind: keel.KindSite, Name: string(s.Name), Site: &s})
	}
	return ops
}

// applier applies changes to a machine and fails the test if one is rejected.
type applier struct {
	tb rapid.TB
	m  *keeldeclare.Machine
	n  uint64
}

func newApplier(tb rapid.TB, sites int) *applier {
	a := &applier{tb: tb, m: keeldeclare.NewMachine(keeldeclare.MachineConfig{})}
	a.apply(siteOps(sites)...)
	return a
}

func (a *applier) apply(ops ...keel.Op) {
	a.tb.Helper()
	a.n++
	id := fmt.Sprintf("c%d", a.n)
	a.m.Apply(a.n, encodedChange(a.tb, id, a.m.Current().Version, ops...))
	if o, _ := a.m.Outcome(keel.ChangeID(id)); o.Status != keel.OutcomeAccepted {
		a.tb.Fatalf("change %s: %+v", id, o)
	}
}

// model is a reference implementation of a table of blocks.
type model map[netip.Prefix][]keel.SiteName

func (m model) equals(b *keeldeclare.Blocks) bool {
	got := maps.Collect(b.All())
	return b.Len() == len(m) && maps.EqualFunc(m, got, slices.Equal)
}

func TestBlocksAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newApplier(t, 10)
		want := model{}
		for range rapid.IntRange(1, 8).Draw(t, "changes") {
			before, old := maps.Clone(want), a.m.Current().Blocks
			var ops []keel.Op
			for range rapid.IntRange(1, 200).Draw(t, "ops") {
				p := drawPrefix(t)
				if _, ok := want[p]; ok && rapid.IntRange(0, 2).Draw(t, "delete") == 0 {
					delete(want, p)
					ops = append(ops, blockDelete(p))
					continue
				}
				want[p] = drawSites(t)
				ops = append(ops, blockPut(p, want[p]...))
			}
			a.apply(ops...)
			now := a.m.Current().Blocks
			if !want.equals(now) || !before.equals(old) {
				t.Fatal("table differs from the model")
			}
			for p, sites := range now.Changes(old) {
				if sites == nil {
					delete(before, p)
				} else {
					before[p] = sites
				}
			}
			if !before.equals(now) {
				t.Fatal("applying the changes to the old table does not give the new one")
			}
			keys := slices.Collect(maps.Keys(want))
			slices.SortFunc(keys, netip.Prefix.Compare)
			if !slices.Equal(keys, slices.Collect(keysOf(now))) {
				t.Fatal("blocks are not sorted")
			}
		}
	})
}

func keysOf(b *keeldeclare.Blocks) func(func(netip.Prefix) bool) {
	return func(yield func(netip.Prefix) bool) {
		for p := range b.All() {
			if !yield(p) {
				return
			}
		}
	}
}

func TestListsAreCompacted(t *testing.T) {
	is := is.New(t)
	a := newApplier(t, 400)
	p := netip.MustParsePrefix("10.0.0.0/24")
	other := netip.MustParsePrefix("2001:db8::/48")
	a.apply(blockPut(other, siteNo(7), siteNo(8)))
	first := a.m.Current().Blocks
	for i := range 90 { // each change adds 100 lists that the next one no longer uses
		ops := make([]keel.Op, 0, 100)
		for j := range 100 {
			q := netip.PrefixFrom(netip.AddrFrom4([4]byte{10, 0, byte(j), 0}), 24)
			ops = append(ops, blockPut(q, siteNo(i), siteNo(j), siteNo((i*j)%400)))
		}
		a.apply(ops...)
	}
	now := a.m.Current().Blocks
	is.True(!now.SharesLists(first)) // compaction created a new set of lists
	sites, ok := now.Get(p)
	is.True(ok)
	is.Equal(sites, []keel.SiteName{siteNo(89), siteNo(0), siteNo(0)})
	sites, ok = now.Get(other)
	is.True(ok)
	is.Equal(sites, []keel.SiteName{siteNo(7), siteNo(8)})
	is.Equal(now.Len(), 101)
}
