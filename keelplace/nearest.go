package keelplace

import (
	"net/netip"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelworld"
)

// maxNearest is the highest number of instances in a look-up's answer.
const maxNearest = 64

// fewInstances is the number of instances in a failure domain below which those
// of the whole region are returned, so that callers have an alternative if one
// fails.
const fewInstances = 2

// Nearest returns the addresses of entry instances for a caller: those in its
// failure domain, those in its region if the domain has fewer than
// [fewInstances], and all if the region has none.
func Nearest(nodes []keelworld.Node, domain keel.DomainName, region keel.RegionName) []netip.AddrPort {
	pick := func(fits func(n *keelworld.Node) bool) []netip.AddrPort {
		var addrs []netip.AddrPort
		for i := range nodes {
			if fits(&nodes[i]) && len(addrs) < maxNearest {
				addrs = append(addrs, nodes[i].Caller)
			}
		}
		return addrs
	}
	near := pick(func(n *keelworld.Node) bool { return n.Domain == domain })
	if len(near) >= fewInstances {
		return near
	}
	if near = pick(func(n *keelworld.Node) bool { return n.Region == region }); len(near) > 0 {
		return near
	}
	return pick(func(*keelworld.Node) bool { return true })
}
