// Package keellookup answers which entry instances a caller should use.
//
// [Table] finds the client block of an address by longest prefix. [Directory]
// turns the block's preferred sites, a domain chosen by the share vector and
// the state of the instances into an ordered answer. The package does no input
// or output, keeps no clock and does not decide how traffic is shared among
// failure domains.
package keellookup

import (
	"iter"
	"net/netip"
	"slices"
	"strings"

	"github.com/gaissmai/bart"

	keel "github.com/greengagekeel/greengagekeel"
)

// Table maps client blocks to preferred sites. A table never changes: Update
// returns another one. It is safe for use by several goroutines, but only one
// Update of the tables that descend from one [NewTable] may run at a time.
//
// IPv4 blocks of /16 and longer lie in packed groups of 8 bytes a block. All
// others lie in a trie of the bart library.
type Table struct {
	packed *packedTable
	others *bart.Table[uint32]
	sites  *siteLists
	lists  [][]keel.SiteName
}

var _ keel.BlockTable = (*Table)(nil)

// siteLists numbers the distinct lists of sites. Lists are only ever appended,
// so that tables that hold a shorter slice of them stay valid.
type siteLists struct {
	ids   map[string]uint32
	lists [][]keel.SiteName
}

// NewTable returns a table of the given blocks.
func NewTable(blocks iter.Seq2[netip.Prefix, []keel.SiteName]) *Table {
	empty := &Table{
		packed: &packedTable{},
		others: &bart.Table[uint32]{},
		sites:  &siteLists{ids: map[string]uint32{}},
	}
	return empty.update(&tableUpdate{others: empty.others, owned: true}, blocks, nil)
}

// Update returns a table with the blocks of del removed and then those of put
// added or replaced. Either may be nil. The receiver stays as it is.
func (t *Table) Update(put iter.Seq2[netip.Prefix, []keel.SiteName], del iter.Seq[netip.Prefix]) *Table {
	return t.update(&tableUpdate{others: t.others}, put, del)
}

func (t *Table) update(u *tableUpdate, put iter.Seq2[netip.Prefix, []keel.SiteName], del iter.Seq[netip.Prefix]) *Table {
	u.changes = map[uint16][]packedChange{}
	if del != nil {
		for p := range del {
			u.delete(unmapPrefix(p))
		}
	}
	if put != nil {
		for p, sites := range put {
			u.put(unmapPrefix(p), t.sites.id(sites))
		}
	}
	return &Table{
		packed: t.packed.update(u.changes),
		others: u.others,
		sites:  t.sites,
		lists:  t.sites.lists,
	}
}

// tableUpdate collects the changes of one update.
type tableUpdate struct {
	changes map[uint16][]packedChange
	others  *bart.Table[uint32]
	// owned says that no other table shares others, so that it may change.
	owned bool
}

func (u *tableUpdate) delete(p netip.Prefix) {
	if packable(p) {
		u.add(p, 0, true)
		return
	}
	u.others = u.others.DeletePersist(p)
}

func (u *tableUpdate) put(p netip.Prefix, value uint32) {
	if packable(p) {
		u.add(p, value, false)
		return
	}
	if u.owned {
		u.others.Insert(p, value)
		return
	}
	u.others = u.others.InsertPersist(p, value)
}

func (u *tableUpdate) add(p netip.Prefix, value uint32, del bool) {
	high, low := splitAddr(p.Addr())
	u.changes[high] = append(u.changes[high], packedChange{pack(low, p.Bits(), value), del})
}

// Find implements [keel.BlockTable]. The caller must not change the result.
func (t *Table) Find(addr netip.Addr) ([]keel.SiteName, bool) {
	addr = addr.Unmap()
	if addr.Is4() {
		if id, ok := t.packed.find(addr); ok {
			return t.lists[id], true
		}
	}
	id, ok := t.others.Lookup(addr)
	if !ok {
		return nil, false
	}
	return t.lists[id], true
}

// Len returns the number of blocks.
func (t *Table) Len() int { return t.packed.size + t.others.Size() }

func (s *siteLists) id(sites []keel.SiteName) uint32 {
	var key strings.Builder
	for _, site := range sites {
		key.WriteString(string(site))
		key.WriteByte(' ')
	}
	if id, ok := s.ids[key.String()]; ok {
		return id
	}
	id := uint32(len(s.lists))
	s.ids[key.String()] = id
	s.lists = append(s.lists, slices.Clone(sites))
	return id
}

// unmapPrefix turns a prefix of IPv4 addresses that are mapped into IPv6 into
// the IPv4 prefix, as Find does with addresses.
func unmapPrefix(p netip.Prefix) netip.Prefix {
	const mappedBits = 96
	if !p.Addr().Is4In6() || p.Bits() < mappedBits {
		return p
	}
	return netip.PrefixFrom(p.Addr().Unmap(), p.Bits()-mappedBits)
}
