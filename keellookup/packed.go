package keellookup

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"
)

// packedTable holds IPv4 prefixes of /16 to /32 in 8 bytes each, grouped by
// their first 16 bits. A changed table shares the groups that stay the same.
type packedTable struct {
	pages [256]*page
	size  int
}

// page holds the groups that share their first 8 bits.
type page [256]chunk

// chunk holds the prefixes that share their first 16 bits, in the order of
// their starts and then of their lengths.
type chunk []packed

// packed is a prefix within its chunk, from the highest bit on: 16 bits of
// start, 5 bits of length less 16, 17 bits of the position of the next shorter
// prefix around it, and 26 bits of value.
type packed uint64

const (
	chunkBits  = 16
	lengthBits = 5
	parentBits = 17
	valueBits  = 26

	noParent = 1<<parentBits - 1
	maxValue = 1<<valueBits - 1
)

func pack(start uint16, bits int, value uint32) packed {
	return packed(start)<<(64-chunkBits) | packed(bits-chunkBits)<<(parentBits+valueBits) |
		noParent<<valueBits | packed(value)
}

func (p packed) start() uint16 { return uint16(p >> (64 - chunkBits)) }

func (p packed) length() int { return int(p>>(parentBits+valueBits)) & (1<<lengthBits - 1) }

func (p packed) parent() int { return int(p>>valueBits) & noParent }

func (p packed) value() uint32 { return uint32(p & maxValue) }

// key orders entries and tells whether two are of the same prefix.
func (p packed) key() packed { return p >> (parentBits + valueBits) }

func (p packed) withParent(i int) packed {
	return p&^(noParent<<valueBits) | packed(i)<<valueBits
}

func (p packed) contains(low uint16) bool {
	return (p.start()^low)>>(chunkBits-p.length()) == 0
}

// packable reports whether the prefix fits into a packedTable.
func packable(p netip.Prefix) bool { return p.Addr().Is4() && p.Bits() >= chunkBits }

func splitAddr(a netip.Addr) (high, low uint16) {
	b := a.As4()
	return binary.BigEndian.Uint16(b[:2]), binary.BigEndian.Uint16(b[2:])
}

func (t *packedTable) chunk(high uint16) chunk {
	if p := t.pages[high>>8]; p != nil {
		return p[high&0xff]
	}
	return nil
}

// find returns the value of the longest prefix that holds the address.
func (t *packedTable) find(a netip.Addr) (uint32, bool) {
	high, low := splitAddr(a)
	c := t.chunk(high)
	i := c.lastAtOrBefore(low)
	for i >= 0 {
		if c[i].contains(low) {
			return c[i].value(), true
		}
		if i = c[i].parent(); i == noParent {
			break
		}
	}
	return 0, false
}

// lastAtOrBefore returns the position of the last entry that starts at or
// before low, or -1.
func (c chunk) lastAtOrBefore(low uint16) int {
	first, n := 0, len(c)
	for first < n {
		mid := int(uint(first+n) >> 1)
		if c[mid].start() <= low {
			first = mid + 1
		} else {
			n = mid
		}
	}
	return first - 1
}

// packedChange puts or deletes one prefix.
type packedChange struct {
	entry  packed
	delete bool
}

// update returns a table with the changes applied, chunk by chunk. Of several
// changes to a prefix the last one counts.
func (t *packedTable) update(changes map[uint16][]packedChange) *packedTable {
	next := &packedTable{pages: t.pages, size: t.size}
	var copied [256]bool
	for high, list := range changes {
		at := high >> 8
		if !copied[at] {
			next.pages[at] = copyPage(next.pages[at])
			copied[at] = true
		}
		before := next.pages[at][high&0xff]
		after := before.apply(list)
		next.pages[at][high&0xff] = after
		next.size += len(after) - len(before)
	}
	return next
}

func copyPage(p *page) *page {
	if p == nil {
		return &page{}
	}
	c := *p
	return &c
}

func (c chunk) apply(list []packedChange) chunk {
	slices.SortStableFunc(list, func(a, b packedChange) int {
		return cmp.Compare(a.entry.key(), b.entry.key())
	})
	out := make(chunk, 0, len(c)+len(list))
	i := 0
	for j, ch := range list {
		if j+1 < len(list) && list[j+1].entry.key() == ch.entry.key() {
			continue
		}
		for i < len(c) && c[i].key() < ch.entry.key() {
			out = append(out, c[i])
			i++
		}
		if i < len(c) && c[i].key() == ch.entry.key() {
			i++
		}
		if !ch.delete {
			out = append(out, ch.entry)
		}
	}
	out = append(out, c[i:]...)
	out.link()
	return slices.Clip(slices.Clone(out))
}

// link sets the parent of every entry.
func (c chunk) link() {
	var around []int
	for i := range c {
		for len(around) > 0 && !c[around[len(around)-1]].contains(c[i].start()) {
			around = around[:len(around)-1]
		}
		parent := noParent
		if len(around) > 0 {
			parent = around[len(around)-1]
		}
		c[i] = c[i].withParent(parent)
		around = append(around, i)
	}
}
