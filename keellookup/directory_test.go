package keellookup_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keeldeclare"
	"github.com/greengagekeel/greengagekeel/keellookup"
)

func newDirectory(candidates ...keellookup.Candidate) *keellookup.Directory {
	return keellookup.NewDirectory(keellookup.DirectoryConfig{
		Blocks:  keeldeclare.NewBlocks(maps.All(blockMap{prefix("10.0.0.0/8"): {"s1", "s2"}})),
		Sites:   []keel.Site{{Name: "s1", Domain: "d1"}, {Name: "s2", Domain: "d2"}},
		Domains: []keel.FailureDomain{{Name: "d1", Region: "r1"}, {Name: "d2", Region: "r1"}, {Name: "d3", Region: "r2"}},
		Home:    "d3", TTL: 5 * time.Second, Candidates: candidates,
	})
}

func candidate(name keel.InstanceName, domain keel.DomainName, utilisation float64, owns ...keel.ServiceName) keellookup.Candidate {
	return keellookup.Candidate{
		Instance: keel.Instance{Name: name, Domain: domain}, Live: true, Capacity: 1, Utilisation: utilisation, Owns: owns,
	}
}

func choose(d keel.DomainName) keellookup.Choose {
	return func(keel.RegionName, uint64) (keel.DomainName, bool) { return d, d != "" }
}

func TestAnswer(t *testing.T) {
	dead, leaving := candidate("dead", "d1", 0, "pay"), candidate("leaving", "d1", 0, "pay")
	dead.Live, leaving.Leaving = false, true
	d := newDirectory(dead, leaving, candidate("a", "d1", 0), candidate("b", "d1", 0.9, "pay"),
		candidate("c", "d2", 0), candidate("e", "d3", 0), candidate("f", "d3", 0))
	tests := []struct {
		addr   string
		chosen keel.DomainName
		want   string // names in order
		source keel.RegionName
	}{
		{"10.1.1.1", "d1", "[b a c]", "r1"}, // the owner first, then the region
		{"10.1.1.1", "d2", "[c b a]", "r1"},
		{"10.1.1.1", "", "[b a c]", "r1"}, // no domain chosen: the caller's preferred one
		{"10.1.1.1", "d9", "[b a c]", "r1"},
		{"11.1.1.1", "d1", "[b a e]", "r2"}, // no client block: the region of Home
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.addr, tt.chosen), func(t *testing.T) {
			is := is.New(t)
			a := d.Answer(keellookup.Query{Now: time.Unix(0, 0), Addr: netip.MustParseAddr(tt.addr), Service: "pay"}, choose(tt.chosen))
			names := []keel.InstanceName{}
			for _, in := range a.Instances {
				names = append(names, in.Name)
			}
			got := fmt.Sprint(names)
			if tt.want == "[b a e]" && got == "[b a f]" {
				got = tt.want // e and f are equally good
			}
			is.Equal(got, tt.want)
			is.Equal(a.Source, tt.source)
			is.Equal(a.TTL, 5*time.Second)
		})
	}
}

// TestAnswersSpreadByFreeCapacity checks that the callers of one block get
// instances as first choice in proportion to their free capacity.
func TestAnswersSpreadByFreeCapacity(t *testing.T) {
	d := newDirectory(candidate("a", "d1", 0), candidate("b", "d1", 0.5), candidate("c", "d1", 0.5))
	r := rand.New(rand.NewPCG(8, 8))
	first := map[keel.InstanceName]int{}
	const n = 8000
	for i := range n {
		q := keellookup.Query{Now: time.Unix(int64(i), 0), Random: r.Uint64(), Addr: netip.AddrFrom4([4]byte{10, 0, 0, byte(i)})}
		first[d.Answer(q, choose("d1")).Instances[0].Name]++
	}
	for name, want := range map[keel.InstanceName]float64{"a": 0.5, "b": 0.25, "c": 0.25} {
		if got := float64(first[name]) / n; got < want-0.03 || got > want+0.03 {
			t.Errorf("%s is first in %.3f of the answers, want %.2f", name, got, want)
		}
	}
	is.New(t).Equal(keellookup.BlockKey(netip.MustParseAddr("10.0.0.1")), keellookup.BlockKey(netip.MustParseAddr("::ffff:10.0.0.99")))
}

func BenchmarkAnswer(b *testing.B) {
	var list []keellookup.Candidate
	for i := range 36 {
		list = append(list, candidate(keel.InstanceName(fmt.Sprint("i", i)), "d1", 0.5, "pay"))
	}
	d, q := newDirectory(list...), keellookup.Query{Now: time.Unix(0, 0), Addr: netip.MustParseAddr("10.0.0.1"), Service: "pay"}
	b.ReportAllocs()
	for b.Loop() {
		d.Answer(q, choose("d1"))
	}
}
