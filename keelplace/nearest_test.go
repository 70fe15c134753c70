package keelplace_test

import (
	"fmt"
	"net/netip"
	"testing"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelplace"
	"github.com/greengagekeel/greengagekeel/keelworld"
	"github.com/matryer/is"
)

// entryNodes returns instances of region r0, with the given numbers of them in its
// failure domains d0, d1 and so on, and one instance of region r1.
func entryNodes(domains ...int) []keelworld.Node {
	nodes := []keelworld.Node{{Domain: "far", Region: "r1", Caller: netip.MustParseAddrPort("10.9.0.1:80")}}
	for d, n := range domains {
		for i := range n {
			nodes = append(nodes, keelworld.Node{
				Domain: keel.DomainName(fmt.Sprintf("d%d", d)), Region: "r0",
				Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(d), 0, byte(i)}), 80),
			})
		}
	}
	return nodes
}

// maxCallers is the largest part of a region's callers that an instance may get, as a
// multiple of an equal part.
const maxCallers = 2

// Most instances of a failure domain restart at the same time, and the callers of each
// domain pick one of the addresses that they got. The instances that are left do not
// get all callers of their domain.
func TestNearestSpreadsCallersOfMissingInstances(t *testing.T) {
	const lookups = 1000
	for _, domains := range [][]int{{13, 13, 13}, {13, 7, 13}, {13, 3, 13}, {13, 2, 13}, {13, 1, 1}, {13, 0, 13}, {3, 1}} {
		t.Run(fmt.Sprint(domains), func(t *testing.T) {
			is := is.New(t)
			nodes := entryNodes(domains...)
			part := map[netip.AddrPort]float64{}
			for d := range domains {
				for offset := range lookups {
					addrs := keelplace.Nearest(nodes, keel.DomainName(fmt.Sprintf("d%d", d)), "r0", offset)
					for _, a := range addrs {
						part[a] += 1 / float64(len(addrs)*lookups*len(domains))
					}
				}
			}
			is.Equal(part[nodes[0].Caller], 0.0) // the other region
			for a, p := range part {
				if multiple := p * float64(len(nodes)-1); multiple > maxCallers {
					t.Errorf("%s gets %.2f times an equal part of the callers, want at most %d", a, multiple, maxCallers)
				}
			}
		})
	}
}

// The answer has the instances of the caller's own failure domain only, as long as
// there are enough of them, and those of other regions only if there are no others.
func TestNearest(t *testing.T) {
	for _, tt := range []struct {
		name    string
		domains []int
		own     int
		total   int
	}{
		{"all", []int{13, 13, 13}, 13, 13},
		{"half", []int{7, 13, 13}, 7, 7},
		{"few", []int{2, 13, 13}, 2, 10},
		{"one of two", []int{1, 2}, 1, 2},
		{"the only one", []int{1, 0}, 1, 1},
		{"none in the domain", []int{0, 3}, 0, 2},
		{"none in the region", []int{0, 0}, 0, 1},
		{"more than an answer holds", []int{100, 100}, 64, 64},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			addrs := keelplace.Nearest(entryNodes(tt.domains...), "d0", "r0", 5)
			is.Equal(len(addrs), tt.total)
			own := 0
			for _, a := range addrs {
				if netip.MustParsePrefix("10.0.0.0/16").Contains(a.Addr()) {
					own++
				}
			}
			is.Equal(own, tt.own)
		})
	}
}
