package keelplace

import (
	"net/netip"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelworld"
)

const (
	// maxNearest is the highest number of instances in a look-up's answer.
	maxNearest = 64
	// minNearest is the number of instances that callers get if the region has as
	// many, so that they have an alternative if one fails.
	minNearest = 2
)

// Nearest returns the addresses of entry instances for a caller: those in its
// failure domain, or all instances if its region has none.
//
// While the domain has less than half as many as the domains of its region have on
// average, such as during a rolling restart, the answer is filled up to that average
// with instances of the other domains, so that the remaining ones are not overloaded
// by the callers of those that are missing. Look-ups with different offsets get
// different ones.
func Nearest(nodes []keelworld.Node, domain keel.DomainName, region keel.RegionName, offset int) []netip.AddrPort {
	var near, others, all []netip.AddrPort
	domains := map[keel.DomainName]bool{domain: true}
	for i := range nodes {
		n := &nodes[i]
		all = append(all, n.Caller)
		switch {
		case n.Domain == domain:
			near = append(near, n.Caller)
		case n.Region == region:
			others = append(others, n.Caller)
			domains[n.Domain] = true
		}
	}
	average := (len(near) + len(others) + len(domains) - 1) / len(domains)
	if len(near) < minNearest || 2*len(near) < average {
		near = fill(near, others, max(average, minNearest), offset)
	}
	if len(near) == 0 {
		near = all
	}
	return near[:min(len(near), maxNearest)]
}

// fill appends addresses from others, beginning at an offset, until there are n.
func fill(addrs, others []netip.AddrPort, n, offset int) []netip.AddrPort {
	for i := range others {
		if len(addrs) >= n {
			break
		}
		addrs = append(addrs, others[(offset+i)%len(others)])
	}
	return addrs
}
