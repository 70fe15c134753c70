package keeldeclare

import (
	"encoding/binary"
	"iter"
	"net/netip"
	"slices"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/zeebo/xxh3"
)

// Blocks is an immutable table of client blocks, in the order of
// [netip.Prefix.Compare]. A table made from another one shares with it what
// did not change. It is safe for use by several goroutines.
type Blocks struct {
	v4    chunks[entry4]
	v6    chunks[entry6]
	lists *siteLists
	named namedLists
	// index4 says which chunks of v4 an address may lie in.
	index4 []uint32
	// mapped says that v6 has blocks of IPv4 addresses.
	mapped bool
	// sum is the sum of the hashes of all blocks, so that one block's change
	// costs one hash.
	sum uint64
}

// ListID stands for one list of sites within the tables that share their lists,
// see [Blocks.SharesLists].
type ListID uint32

// blockEdit puts a block, or deletes it if there are no sites.
type blockEdit struct {
	prefix netip.Prefix
	sites  []keel.SiteName
}

func newBlocks() *Blocks { return &Blocks{lists: newSiteLists()} }

// NewBlocks returns a table of the given blocks, which must be valid. Of two
// blocks with one prefix the later one counts.
func NewBlocks(list iter.Seq2[netip.Prefix, []keel.SiteName]) *Blocks {
	return newBlocks().Update(list, nil)
}

// Len returns the number of blocks.
func (b *Blocks) Len() int { return b.v4.len + b.v6.len }

// All yields every block with its preferred sites, the best first. The lists
// of sites are shared and must not be changed.
func (b *Blocks) All() iter.Seq2[netip.Prefix, []keel.SiteName] {
	return b.withSites(b.AllLists())
}

// AllLists is like [Blocks.All] but yields the identity of the list of sites.
func (b *Blocks) AllLists() iter.Seq2[netip.Prefix, ListID] {
	return func(yield func(netip.Prefix, ListID) bool) {
		for e := range b.v4.all() {
			if !yield(e.prefix(), e.list()) {
				return
			}
		}
		for e := range b.v6.all() {
			if !yield(e.prefix(), e.list()) {
				return
			}
		}
	}
}

func (b *Blocks) withSites(seq iter.Seq2[netip.Prefix, ListID]) iter.Seq2[netip.Prefix, []keel.SiteName] {
	return func(yield func(netip.Prefix, []keel.SiteName) bool) {
		names := map[ListID][]keel.SiteName{}
		for p, id := range seq {
			sites, ok := names[id]
			if !ok {
				sites = b.named.sites(id)
				names[id] = sites
			}
			if !yield(p, sites) {
				return
			}
		}
	}
}

// Sites returns the list of sites with an identity that b yielded.
func (b *Blocks) Sites(id ListID) []keel.SiteName { return b.named.sites(id) }

// SharesLists reports whether an identity of a list means the same in both
// tables.
func (b *Blocks) SharesLists(other *Blocks) bool { return b.lists == other.lists }

// Get returns the preferred sites of the block with exactly this prefix.
func (b *Blocks) Get(p netip.Prefix) ([]keel.SiteName, bool) {
	id, ok := b.find(p)
	if !ok {
		return nil, false
	}
	return b.named.sites(id), true
}

func (b *Blocks) find(p netip.Prefix) (ListID, bool) {
	if p.Addr().Is4() {
		e, ok := b.v4.find(makeEntry4(p, 0))
		return e.list(), ok
	}
	e, ok := b.v6.find(makeEntry6(p, 0))
	return e.list(), ok
}

// Changes yields the blocks in which b differs from old, with the sites that
// they have in b, or nil if they are not in b. Its cost follows the number of
// changes if b was made from old.
func (b *Blocks) Changes(old *Blocks) iter.Seq2[netip.Prefix, []keel.SiteName] {
	return func(yield func(netip.Prefix, []keel.SiteName) bool) {
		same := func(x, y ListID) bool { return b.sameList(old, x, y) }
		for e, gone := range diffChunks(old.v4, b.v4, same) {
			if !yield(e.prefix(), b.sitesUnless(gone, e.list())) {
				return
			}
		}
		for e, gone := range diffChunks(old.v6, b.v6, same) {
			if !yield(e.prefix(), b.sitesUnless(gone, e.list())) {
				return
			}
		}
	}
}

func (b *Blocks) sitesUnless(gone bool, id ListID) []keel.SiteName {
	if gone {
		return nil
	}
	return b.named.sites(id)
}

func (b *Blocks) sameList(old *Blocks, was, is ListID) bool {
	if b.lists == old.lists {
		return was == is
	}
	return slices.Equal(old.named.sites(was), b.named.sites(is))
}

// Update returns a table with the blocks of del removed and then those of put
// added or replaced, which must be valid. Either may be nil.
func (b *Blocks) Update(put iter.Seq2[netip.Prefix, []keel.SiteName], del iter.Seq[netip.Prefix]) *Blocks {
	var edits []blockEdit
	if del != nil {
		for p := range del {
			edits = append(edits, blockEdit{prefix: p})
		}
	}
	if put != nil {
		for p, sites := range put {
			edits = append(edits, blockEdit{prefix: p, sites: sites})
		}
	}
	return b.with(edits)
}

// with returns a table with the edits, of which the last on a prefix counts.
func (b *Blocks) with(edits []blockEdit) *Blocks {
	if len(edits) == 0 {
		return b
	}
	out := &Blocks{lists: b.lists, sum: b.sum}
	edits = lastOfEach(edits)
	var e4 []edit[entry4]
	var e6 []edit[entry6]
	for _, ed := range edits {
		out.sum += b.sumChange(ed)
		gone := len(ed.sites) == 0
		var id ListID
		if !gone {
			id = b.lists.intern(ed.sites)
		}
		if ed.prefix.Addr().Is4() {
			e4 = append(e4, edit[entry4]{makeEntry4(ed.prefix, id), gone})
		} else {
			e6 = append(e6, edit[entry6]{makeEntry6(ed.prefix, id), gone})
		}
	}
	out.v4 = b.v4.with(e4)
	out.v6 = b.v6.with(e6)
	return out.settled().compacted()
}

// settled notes what look-ups need of the finished table.
func (b *Blocks) settled() *Blocks {
	b.named = b.lists.named()
	b.index4 = makeIndex4(b.v4.firsts)
	b.mapped = b.hasMapped()
	return b
}

// lastOfEach sorts the edits and keeps the last one on each prefix.
func lastOfEach(edits []blockEdit) []blockEdit {
	sorted := slices.Clone(edits)
	slices.Reverse(sorted)
	slices.SortStableFunc(sorted, func(x, y blockEdit) int { return x.prefix.Compare(y.prefix) })
	return slices.CompactFunc(sorted, func(x, y blockEdit) bool { return x.prefix == y.prefix })
}

// sumChange returns what ed adds to the sum of hashes.
func (b *Blocks) sumChange(ed blockEdit) uint64 {
	var delta uint64
	if id, ok := b.find(ed.prefix); ok {
		delta -= blockHash(ed.prefix, sitesHash(b.named.sites(id)))
	}
	if len(ed.sites) > 0 {
		delta += blockHash(ed.prefix, sitesHash(ed.sites))
	}
	return delta
}

func blockHash(p netip.Prefix, list uint64) uint64 {
	var buf [25]byte
	a := p.Addr().As16()
	copy(buf[:], a[:])
	buf[16] = byte(p.Bits())
	if p.Addr().Is4() {
		buf[16] |= 0x80 // a prefix of IPv4 is not one of the mapped range
	}
	binary.BigEndian.PutUint64(buf[17:], list)
	return xxh3.Hash(buf[:])
}

// compacted returns b, or a copy with lists of its own once most lists that
// were ever used are used no more.
func (b *Blocks) compacted() *Blocks {
	if !b.lists.due() {
		return b
	}
	lists := newSiteLists()
	moved := map[ListID]ListID{}
	move := func(id ListID) ListID {
		to, ok := moved[id]
		if !ok {
			to = lists.intern(b.named.sites(id))
			moved[id] = to
		}
		return to
	}
	out := &Blocks{lists: lists, sum: b.sum}
	out.v4 = b.v4.mapped(func(e entry4) entry4 { return makeEntry4(e.prefix(), move(e.list())) })
	out.v6 = b.v6.mapped(func(e entry6) entry6 { return makeEntry6(e.prefix(), move(e.list())) })
	lists.settle()
	return out.settled()
}
