package keeldeclare

import (
	"encoding/binary"
	"math/bits"
	"net/netip"
	"slices"

	keel "github.com/greengagekeel/greengagekeel"
)

const (
	ipv4Bits = 32
	ipv6Bits = 128
	// mappedBits is the length of the IPv6 prefix of IPv4-mapped addresses.
	mappedBits = 96
)

var _ keel.BlockTable = (*Blocks)(nil)

// Find implements [keel.BlockTable]. An IPv4-mapped IPv6 address is looked up
// as the IPv4 address.
func (b *Blocks) Find(addr netip.Addr) ([]keel.SiteName, bool) {
	id, ok := b.longest(addr.Unmap())
	if !ok {
		return nil, false
	}
	return b.listView.sites(id), true
}

func (b *Blocks) longest(addr netip.Addr) (ListID, bool) {
	if !addr.Is4() {
		e, ok := b.v6.longest(makeEntry6(netip.PrefixFrom(addr, ipv6Bits), 0))
		return e.list(), ok
	}
	a := addr.As4()
	e, ok := b.longest4(entry4(binary.BigEndian.Uint32(a[:]))<<32 | ipv4Bits<<listBits)
	if !b.ipv4Mapped {
		return e.list(), ok
	}
	m, found := b.v6.longest(makeEntry6(netip.PrefixFrom(netip.AddrFrom16(addr.As16()), ipv6Bits), 0))
	if found && m.length() >= mappedBits && (!ok || m.length()-mappedBits >= e.length()) {
		return m.list(), true
	}
	return e.list(), ok
}

// hasIPv4Mapped reports whether the table contains blocks of IPv4-mapped
// addresses.
func (b *Blocks) hasIPv4Mapped() bool {
	last := netip.AddrFrom16(netip.AddrFrom4([4]byte{255, 255, 255, 255}).As16())
	e, ok := b.v6.floor(makeEntry6(netip.PrefixFrom(last, ipv6Bits), 0))
	return ok && e.prefix().Addr().Is4In6()
}

// longest returns the entry with the longest prefix that contains host, an
// entry of full length.
//
// It starts at the last entry at or before host. If that entry does not contain
// host, every entry before it that contains host contains that entry too, so
// its prefix is no longer than the leading bits that host and that entry have
// in common. Each iteration continues with the longest such length that occurs
// in the table.
func (c chunks[E]) longest(host E) (E, bool) {
	var none E
	chunk, n := c.locate(host)
	for n > 0 {
		e := chunk[n-1]
		common := e.common(host)
		if common >= e.length() {
			return e, true
		}
		length, ok := c.lengths.atMost(common)
		if !ok {
			return none, false
		}
		target := host.truncated(length)
		if n = target.rankNear(chunk[:n-1]); n == 0 {
			chunk, n = c.locate(target)
		}
	}
	return none, false
}

// longest4 is [chunks.longest] for the IPv4 blocks, which most look-ups are
// for. It is a copy because method calls through a type parameter would double
// its time.
func (b *Blocks) longest4(host entry4) (entry4, bool) {
	chunk, n := b.locate4(host)
	for n > 0 {
		e := chunk[n-1]
		common := e.common(host)
		if common >= e.length() {
			return e, true
		}
		length, ok := b.v4.lengths.atMost(common)
		if !ok {
			return 0, false
		}
		target := host.truncated(length)
		if n = target.rankNear(chunk[:n-1]); n == 0 {
			chunk, n = b.locate4(target)
		}
	}
	return 0, false
}

// locate4 is [chunks.locate] for the IPv4 blocks.
func (b *Blocks) locate4(target entry4) (chunk []entry4, n int) {
	firsts, i := b.v4.firsts, 0
	if b.index4 != nil {
		i = int(b.index4[target.bucket()])
		i += target.rank(firsts[i:b.index4[target.bucket()+1]])
	} else {
		i = target.rank(firsts)
	}
	if i == 0 {
		return nil, 0
	}
	chunk = b.v4.list[i-1]
	if i == len(firsts) {
		return chunk, target.rank(chunk)
	}
	return chunk, target.rankInterpolated(chunk, firsts[i-1], firsts[i])
}

const (
	// bucketBits is the number of leading address bits that index4 is indexed
	// by. minIndexedChunks is the number of chunks from which on it is built.
	bucketBits       = 12
	minIndexedChunks = 64
)

func (e entry4) bucket() int { return int(e >> (64 - bucketBits)) }

// makeIndex4 returns, for each value of the leading bits, the number of chunks
// that start before it, or nil for a small table.
func makeIndex4(firsts []entry4) []uint32 {
	if len(firsts) < minIndexedChunks {
		return nil
	}
	index := make([]uint32, 1<<bucketBits+1)
	n := 0
	for bucket := range index {
		for n < len(firsts) && firsts[n].bucket() < bucket {
			n++
		}
		index[bucket] = uint32(n)
	}
	return index
}

// locate returns the chunk that contains the last entry of the list at or
// before target, and the number of that chunk's entries at or before target,
// which is 0 if there is no such entry.
func (c chunks[E]) locate(target E) (chunk []E, n int) {
	i := target.rank(c.firsts)
	if i == 0 {
		return nil, 0
	}
	chunk = c.list[i-1]
	return chunk, target.rank(chunk)
}

// floor returns the last entry at or before at.
func (c chunks[E]) floor(at E) (E, bool) {
	var none E
	chunk, n := c.locate(at)
	if n == 0 {
		return none, false
	}
	return chunk[n-1], true
}

// rank returns how many entries of a sorted list are at or before e.
func (e entry4) rank(list []entry4) int {
	if len(list) == 0 {
		return 0
	}
	upper := e | listMask // the largest value with the prefix of e
	first := 0
	for n := len(list); n > 1; {
		half := n >> 1
		if list[first+half] <= upper {
			first += half
		}
		n -= half
	}
	if list[first] <= upper {
		first++
	}
	return first
}

// interpolationStep is the first step, in entries, by which a search moves away
// from the interpolated position.
const interpolationStep = 8

// rankInterpolated is like rank, for a list that starts with first, which is at
// or before e, and ends before next. It starts at the position that e would
// have if the addresses were evenly distributed, because this touches fewer
// cache lines than a binary search.
func (e entry4) rankInterpolated(list []entry4, first, next entry4) int {
	upper := e | listMask // the largest value with the prefix of e
	n := len(list)
	estimate := min(int(float64(upper-first)/float64(next-first)*float64(n)), n-1)
	step := interpolationStep
	if list[estimate] <= upper {
		for estimate+step < n && list[estimate+step] <= upper {
			estimate += step
			step *= 2
		}
		return estimate + e.rank(list[estimate:min(estimate+step, n)])
	}
	for estimate >= step && list[estimate-step] > upper {
		estimate -= step
		step *= 2
	}
	start := max(estimate-step, 0)
	return start + e.rank(list[start:estimate])
}

// rankNear is like rank, but faster if the position is near the end of the
// list.
func (e entry4) rankNear(list []entry4) int {
	upper := e | listMask // the largest value with the prefix of e
	end := len(list)
	for step := 1; end > 0; step *= 2 {
		start := max(end-step, 0)
		if list[start] <= upper {
			return start + e.rank(list[start:end])
		}
		end = start
	}
	return 0
}

func (e entry4) length() int { return int(e >> listBits & 0x3f) }

// common returns the number of leading bits that the addresses have in common.
func (e entry4) common(o entry4) int { return bits.LeadingZeros32(uint32(e>>32) ^ uint32(o>>32)) }

// truncated returns the entry of the first n bits of the address.
func (e entry4) truncated(n int) entry4 {
	const all = 1<<ipv4Bits - 1
	mask := entry4(all) << (ipv4Bits - n) & all
	return e&(mask<<32) | entry4(n)<<listBits
}

// rank returns how many entries of a sorted list are at or before e.
func (e entry6) rank(list []entry6) int {
	i, ok := slices.BinarySearchFunc(list, e, entry6.compare)
	if ok {
		i++
	}
	return i
}

// rankNear is like rank, but faster if the position is near the end of the
// list.
func (e entry6) rankNear(list []entry6) int {
	end := len(list)
	for step := 1; end > 0; step *= 2 {
		start := max(end-step, 0)
		if list[start].compare(e) <= 0 {
			return start + e.rank(list[start:end])
		}
		end = start
	}
	return 0
}

func (e entry6) length() int { return int(e.bits) }

// common returns the number of leading bits that the addresses have in common.
func (e entry6) common(o entry6) int {
	if x := e.hi ^ o.hi; x != 0 {
		return bits.LeadingZeros64(x)
	}
	return 64 + bits.LeadingZeros64(e.lo^o.lo)
}

// truncated returns the entry of the first n bits of the address.
func (e entry6) truncated(n int) entry6 {
	const all = 1<<64 - 1
	hi, lo := uint64(all), uint64(0)
	if n < 64 {
		hi <<= 64 - n
	} else {
		lo = all << (ipv6Bits - n)
	}
	return entry6{hi: e.hi & hi, lo: e.lo & lo, bits: uint32(n)}
}

// lengthSet is a set of prefix lengths. The set of a table may contain lengths
// that no longer occur, because deleting a block does not remove its length.
type lengthSet [3]uint64

func (l *lengthSet) add(n int) { l[n/64] |= 1 << (n % 64) }

// atMost returns the largest length in the set that is not above n.
func (l *lengthSet) atMost(n int) (int, bool) {
	word := l[n/64] << (63 - n%64) >> (63 - n%64)
	for i := n / 64; ; i-- {
		if word != 0 {
			return i*64 + bits.Len64(word) - 1, true
		}
		if i == 0 {
			return 0, false
		}
		word = l[i-1]
	}
}

// siteListView is a view of the [siteLists] that the blocks of one table refer
// to. It needs no lock, because elements are only ever appended after those in
// the view.
type siteListView struct {
	names []keel.SiteName
	lists []siteList
}

// sites returns the list with an ID.
func (n *siteListView) sites(id ListID) []keel.SiteName {
	list := &n.lists[id]
	out := make([]keel.SiteName, 0, list.len())
	for _, number := range list[:cap(out)] {
		out = append(out, n.names[number])
	}
	return out
}

// len returns the number of sites in the list.
func (l *siteList) len() int {
	n := 0
	for n < len(l) && l[n] != 0 {
		n++
	}
	return n
}
