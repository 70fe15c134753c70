package keeldeclare

import (
	"cmp"
	"encoding/binary"
	"net/netip"
)

// entry is a block in packed form.
type entry[E any] interface {
	// compare orders entries by prefix only.
	compare(E) int
	// list returns the ID of the block's list of sites.
	list() ListID
	// length returns the prefix length.
	length() int
	// common returns the number of leading bits that the addresses have in
	// common.
	common(E) int
	// truncated returns the entry of the prefix of the given length that
	// contains the address.
	truncated(bits int) E
	// rank returns how many entries of a sorted list are at or before this one.
	rank(list []E) int
	// rankNear is like rank, but faster if the position is near the end of the
	// list.
	rankNear(list []E) int
}

const (
	listBits = 26
	listMask = 1<<listBits - 1
)

// entry4 packs an IPv4 block into 32 bits of address, 6 bits of prefix length
// and 26 bits of list ID.
type entry4 uint64

func makeEntry4(p netip.Prefix, id ListID) entry4 {
	a := p.Addr().As4()
	addr := uint64(binary.BigEndian.Uint32(a[:]))
	return entry4(addr<<32 | uint64(p.Bits())<<listBits | uint64(id)&listMask)
}

func (e entry4) list() ListID { return ListID(e & listMask) }

func (e entry4) prefix() netip.Prefix {
	var a [4]byte
	binary.BigEndian.PutUint32(a[:], uint32(e>>32))
	return netip.PrefixFrom(netip.AddrFrom4(a), int(e>>listBits&0x3f))
}

func (e entry4) compare(o entry4) int { return cmp.Compare(e>>listBits, o>>listBits) }

// entry6 packs an IPv6 block.
type entry6 struct {
	hi, lo uint64
	bits   uint32
	id     ListID
}

func makeEntry6(p netip.Prefix, id ListID) entry6 {
	a := p.Addr().As16()
	return entry6{
		hi:   binary.BigEndian.Uint64(a[:8]),
		lo:   binary.BigEndian.Uint64(a[8:]),
		bits: uint32(p.Bits()),
		id:   id,
	}
}

func (e entry6) list() ListID { return e.id }

func (e entry6) prefix() netip.Prefix {
	var a [16]byte
	binary.BigEndian.PutUint64(a[:8], e.hi)
	binary.BigEndian.PutUint64(a[8:], e.lo)
	return netip.PrefixFrom(netip.AddrFrom16(a), int(e.bits))
}

func (e entry6) compare(o entry6) int {
	return cmp.Or(cmp.Compare(e.hi, o.hi), cmp.Compare(e.lo, o.lo), cmp.Compare(e.bits, o.bits))
}
