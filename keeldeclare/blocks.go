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
// [netip.Prefix.Compare]. A table derived from another shares its unchanged
// parts. It is safe for concurrent use.
type Blocks struct {
	v4       chunks[entry4]
	v6       chunks[entry6]
	lists    *siteLists
	listView siteListView
	// index4 maps the leading bits of an IPv4 address to the chunks of v4 that
	// may contain it; nil for a small table.
	index4 []uint32
	// ipv4Mapped is true if v6 contains blocks of IPv4-mapped addresses.
	ipv4Mapped bool
	// hashSum is the sum of the hashes of all blocks. Because it is a sum, a
	// change does not require hashing the unchanged blocks.
	hashSum uint64
}

// ListID identifies a list of sites among tables that share their lists; see
// [Blocks.SharesLists].
type ListID uint32

// blockEdit puts a block, or deletes it if sites is empty.
type blockEdit struct {
	prefix netip.Prefix
	sites  []keel.SiteName
}

func newBlocks() *Blocks { return &Blocks{lists: newSiteLists()} }

// NewBlocks returns a table of the given blocks, which must be valid. Of
// several blocks with the same prefix the last one is used.
func NewBlocks(list iter.Seq2[netip.Prefix, []keel.SiteName]) *Blocks {
	return newBlocks().Update(list, nil)
}

// Len returns the number of blocks.
func (b *Blocks) Len() int { return b.v4.len + b.v6.len }

// All yields every block with its preferred sites in order of preference. The
// lists of sites are shared and must not be modified.
func (b *Blocks) All() iter.Seq2[netip.Prefix, []keel.SiteName] {
	return b.withSites(b.AllLists())
}

// AllLists is like [Blocks.All], but yields the ID of the list of sites.
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
				sites = b.listView.sites(id)
				names[id] = sites
			}
			if !yield(p, sites) {
				return
			}
		}
	}
}

// Sites returns the list of sites with an ID that b yielded.
func (b *Blocks) Sites(id ListID) []keel.SiteName { return b.listView.sites(id) }

// SharesLists reports whether a [ListID] identifies the same list in both
// tables.
func (b *Blocks) SharesLists(other *Blocks) bool { return b.lists == other.lists }

// Get returns the preferred sites of the block with exactly this prefix.
func (b *Blocks) Get(p netip.Prefix) ([]keel.SiteName, bool) {
	id, ok := b.find(p)
	if !ok {
		return nil, false
	}
	return b.listView.sites(id), true
}

func (b *Blocks) find(p netip.Prefix) (ListID, bool) {
	if p.Addr().Is4() {
		e, ok := b.v4.find(makeEntry4(p, 0))
		return e.list(), ok
	}
	e, ok := b.v6.find(makeEntry6(p, 0))
	return e.list(), ok
}

// Changes yields the blocks that differ between old and b, with their sites in
// b, or nil for those that are not in b. If b was derived from old, the cost is
// proportional to the number of changes.
func (b *Blocks) Changes(old *Blocks) iter.Seq2[netip.Prefix, []keel.SiteName] {
	return func(yield func(netip.Prefix, []keel.SiteName) bool) {
		same := func(x, y ListID) bool { return b.sameList(old, x, y) }
		for e, deleted := range diffChunks(old.v4, b.v4, same) {
			if !yield(e.prefix(), b.sitesOrNil(deleted, e.list())) {
				return
			}
		}
		for e, deleted := range diffChunks(old.v6, b.v6, same) {
			if !yield(e.prefix(), b.sitesOrNil(deleted, e.list())) {
				return
			}
		}
	}
}

func (b *Blocks) sitesOrNil(deleted bool, id ListID) []keel.SiteName {
	if deleted {
		return nil
	}
	return b.listView.sites(id)
}

// sameList reports whether list was of old and list is of b hold the same
// sites.
func (b *Blocks) sameList(old *Blocks, was, is ListID) bool {
	if b.lists == old.lists {
		return was == is
	}
	return slices.Equal(old.listView.sites(was), b.listView.sites(is))
}

// Update returns a table with the blocks of del removed and then those of put
// added or replaced. The blocks of put must be valid. Either argument may be
// nil.
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
	return b.withEdits(edits)
}

// withEdits returns a table with the edits applied. Of several edits of one
// prefix the last one is used.
func (b *Blocks) withEdits(edits []blockEdit) *Blocks {
	if len(edits) == 0 {
		return b
	}
	out := &Blocks{lists: b.lists, hashSum: b.hashSum}
	edits = lastPerPrefix(edits)
	var e4 []edit[entry4]
	var e6 []edit[entry6]
	for _, ed := range edits {
		out.hashSum += b.hashDelta(ed)
		deleted := len(ed.sites) == 0
		var id ListID
		if !deleted {
			id = b.lists.intern(ed.sites)
		}
		if ed.prefix.Addr().Is4() {
			e4 = append(e4, edit[entry4]{makeEntry4(ed.prefix, id), deleted})
		} else {
			e6 = append(e6, edit[entry6]{makeEntry6(ed.prefix, id), deleted})
		}
	}
	out.v4 = b.v4.withEdits(e4)
	out.v6 = b.v6.withEdits(e6)
	return out.buildIndexes().compacted()
}

// buildIndexes sets the fields of a finished table that look-ups need, and
// returns b.
func (b *Blocks) buildIndexes() *Blocks {
	b.listView = b.lists.view()
	b.index4 = makeIndex4(b.v4.firsts)
	b.ipv4Mapped = b.hasIPv4Mapped()
	return b
}

// lastPerPrefix returns the edits sorted by prefix, with only the last one of
// each prefix.
func lastPerPrefix(edits []blockEdit) []blockEdit {
	sorted := slices.Clone(edits)
	slices.Reverse(sorted)
	slices.SortStableFunc(sorted, func(x, y blockEdit) int { return x.prefix.Compare(y.prefix) })
	return slices.CompactFunc(sorted, func(x, y blockEdit) bool { return x.prefix == y.prefix })
}

// hashDelta returns by how much ed changes the sum of hashes.
func (b *Blocks) hashDelta(ed blockEdit) uint64 {
	var delta uint64
	if id, ok := b.find(ed.prefix); ok {
		delta -= blockHash(ed.prefix, sitesHash(b.listView.sites(id)))
	}
	if len(ed.sites) > 0 {
		delta += blockHash(ed.prefix, sitesHash(ed.sites))
	}
	return delta
}

// blockHash returns the hash of a block; list is the hash of its list of sites.
func blockHash(p netip.Prefix, list uint64) uint64 {
	var buf [25]byte
	a := p.Addr().As16()
	copy(buf[:], a[:])
	buf[16] = byte(p.Bits())
	if p.Addr().Is4() {
		buf[16] |= 0x80 // distinguishes an IPv4 prefix from an IPv4-mapped one
	}
	binary.BigEndian.PutUint64(buf[17:], list)
	return xxh3.Hash(buf[:])
}

// compacted returns b, or a copy of b with a new set of lists if most lists of
// the shared set are unused.
func (b *Blocks) compacted() *Blocks {
	if !b.lists.needsCompaction() {
		return b
	}
	lists := newSiteLists()
	remapped := map[ListID]ListID{}
	remap := func(id ListID) ListID {
		to, ok := remapped[id]
		if !ok {
			to = lists.intern(b.listView.sites(id))
			remapped[id] = to
		}
		return to
	}
	out := &Blocks{lists: lists, hashSum: b.hashSum}
	out.v4 = b.v4.mapEntries(func(e entry4) entry4 { return makeEntry4(e.prefix(), remap(e.list())) })
	out.v6 = b.v6.mapEntries(func(e entry6) entry6 { return makeEntry6(e.prefix(), remap(e.list())) })
	lists.markCompacted()
	return out.buildIndexes()
}
