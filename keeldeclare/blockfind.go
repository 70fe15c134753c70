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
	// mappedBits is the length of the prefix that holds the IPv4 addresses
	// which are mapped into IPv6.
	mappedBits = 96
)

var _ keel.BlockTable = (*Blocks)(nil)

// Find implements [keel.BlockTable]. An IPv4 address that is mapped into IPv6
// counts as IPv4.
func (b *Blocks) Find(addr netip.Addr) ([]keel.SiteName, bool) {
	id, ok := b.longest(addr.Unmap())
	if !ok {
		return nil, false
	}
	return b.named.sites(id), true
}

func (b *Blocks) longest(addr netip.Addr) (ListID, bool) {
	if !addr.Is4() {
		e, ok := b.v6.longest(makeEntry6(netip.PrefixFrom(addr, ipv6Bits), 0))
		return e.list(), ok
	}
	a := addr.As4()
	e, ok := b.longest4(entry4(binary.BigEndian.Uint32(a[:]))<<32 | ipv4Bits<<listBits)
	if !b.mapped {
		return e.list(), ok
	}
	m, found := b.v6.longest(makeEntry6(netip.PrefixFrom(netip.AddrFrom16(addr.As16()), ipv6Bits), 0))
	if found && m.length() >= mappedBits && (!ok || m.length()-mappedBits >= e.length()) {
		return m.list(), true
	}
	return e.list(), ok
}

// hasMapped reports whether there are blocks of IPv4 addresses that are mapped
// into IPv6.
func (b *Blocks) hasMapped() bool {
	last := netip.AddrFrom16(netip.AddrFrom4([4]byte{255, 255, 255, 255}).As16())
	e, ok := b.v6.floor(makeEntry6(netip.PrefixFrom(last, ipv6Bits), 0))
	return ok && e.prefix().Addr().Is4In6()
}

// longest returns the entry of the longest prefix that holds host, an entry of
// full length.
//
// An entry around host that comes before the last one at or before host also
// holds that one, so it is no longer than what the two have in common. Each
// round goes on with the longest length that this leaves.
func (c chunks[E]) longest(host E) (E, bool) {
	var none E
	chunk, n := c.before(host)
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
		at := host.truncated(length)
		if n = at.rankNear(chunk[:n-1]); n == 0 {
			chunk, n = c.before(at)
		}
	}
	return none, false
}

// longest4 is [chunks.longest] of the IPv4 blocks, which most look-ups are for.
// Calls of methods of a type parameter would double its time.
func (b *Blocks) longest4(host entry4) (entry4, bool) {
	chunk, n := b.before4(host)
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
		at := host.truncated(length)
		if n = at.rankNear(chunk[:n-1]); n == 0 {
			chunk, n = b.before4(at)
		}
	}
	return 0, false
}

// before4 is [chunks.before] of the IPv4 blocks.
func (b *Blocks) before4(at entry4) (chunk []entry4, n int) {
	firsts, i := b.v4.firsts, 0
	if b.index4 != nil {
		i = int(b.index4[at.bucket()])
		i += at.rank(firsts[i:b.index4[at.bucket()+1]])
	} else {
		i = at.rank(firsts)
	}
	if i == 0 {
		return nil, 0
	}
	chunk = b.v4.list[i-1]
	if i == len(firsts) {
		return chunk, at.rank(chunk)
	}
	return chunk, at.rankBetween(chunk, firsts[i-1], firsts[i])
}

const (
	// bucketBits is the number of leading bits of an address that index4 goes
	// by, minIndexed the number of chunks from which on it is made.
	bucketBits = 12
	minIndexed = 64
)

func (e entry4) bucket() int { return int(e >> (64 - bucketBits)) }

// makeIndex4 returns for each value of the leading bits how many chunks start
// before it, or nil for a small table.
func makeIndex4(firsts []entry4) []uint32 {
	if len(firsts) < minIndexed {
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

// before returns a chunk and how many of its first entries come at or before
// at. The last of these is the last one of the list; 0 means that there is
// none.
func (c chunks[E]) before(at E) (chunk []E, n int) {
	i := at.rank(c.firsts)
	if i == 0 {
		return nil, 0
	}
	chunk = c.list[i-1]
	return chunk, at.rank(chunk)
}

// floor returns the last entry at or before at.
func (c chunks[E]) floor(at E) (E, bool) {
	var none E
	chunk, n := c.before(at)
	if n == 0 {
		return none, false
	}
	return chunk[n-1], true
}

// rank returns how many entries of a sorted list come at or before e.
func (e entry4) rank(list []entry4) int {
	if len(list) == 0 {
		return 0
	}
	at := e | listMask
	first := 0
	for n := len(list); n > 1; {
		half := n >> 1
		if list[first+half] <= at {
			first += half
		}
		n -= half
	}
	if list[first] <= at {
		first++
	}
	return first
}

// nearSteps is how far from a guess the search for an entry starts.
const nearSteps = 8

// rankBetween is rank for a list that starts at first, which comes at or before
// e, and ends before next. It guesses the place as if the addresses were evenly spread, since a
// search by halves reads more lines of memory.
func (e entry4) rankBetween(list []entry4, first, next entry4) int {
	at := e | listMask
	n := len(list)
	guess := min(int(float64(at-first)/float64(next-first)*float64(n)), n-1)
	step := nearSteps
	if list[guess] <= at {
		for guess+step < n && list[guess+step] <= at {
			guess += step
			step *= 2
		}
		return guess + e.rank(list[guess:min(guess+step, n)])
	}
	for guess >= step && list[guess-step] > at {
		guess -= step
		step *= 2
	}
	start := max(guess-step, 0)
	return start + e.rank(list[start:guess])
}

// rankNear is like rank, and quick if the entry that is looked for is among the
// last ones.
func (e entry4) rankNear(list []entry4) int {
	at := e | listMask
	end := len(list)
	for step := 1; end > 0; step *= 2 {
		start := max(end-step, 0)
		if list[start] <= at {
			return start + e.rank(list[start:end])
		}
		end = start
	}
	return 0
}

func (e entry4) length() int { return int(e >> listBits & 0x3f) }

// common returns how many leading bits the addresses have in common.
func (e entry4) common(o entry4) int { return bits.LeadingZeros32(uint32(e>>32) ^ uint32(o>>32)) }

// truncated returns the entry of the first n bits of the address.
func (e entry4) truncated(n int) entry4 {
	const all = 1<<ipv4Bits - 1
	mask := entry4(all) << (ipv4Bits - n) & all
	return e&(mask<<32) | entry4(n)<<listBits
}

// rank returns how many entries of a sorted list come at or before e.
func (e entry6) rank(list []entry6) int {
	i, ok := slices.BinarySearchFunc(list, e, entry6.compare)
	if ok {
		i++
	}
	return i
}

// rankNear is like rank, and quick if the entry that is looked for is among the
// last ones.
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

// common returns how many leading bits the addresses have in common.
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

// lengths is a set of lengths of prefixes. Of a table it may hold more than the
// table has, since deleted blocks leave theirs.
type lengths [3]uint64

func (l *lengths) add(n int) { l[n/64] |= 1 << (n % 64) }

// atMost returns the highest length up to n.
func (l *lengths) atMost(n int) (int, bool) {
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

// namedLists are the lists of sites that the blocks of one table refer to. They
// need no lock, since numbers are only ever added behind them.
type namedLists struct {
	names []keel.SiteName
	lists []siteList
}

// sites returns the list with a number.
func (n *namedLists) sites(id ListID) []keel.SiteName {
	list := &n.lists[id]
	out := make([]keel.SiteName, 0, list.len())
	for _, number := range list[:cap(out)] {
		out = append(out, n.names[number])
	}
	return out
}

// len returns how many sites the list has.
func (l *siteList) len() int {
	n := 0
	for n < len(l) && l[n] != 0 {
		n++
	}
	return n
}
