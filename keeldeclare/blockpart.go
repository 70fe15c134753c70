package keeldeclare

import (
	"encoding/binary"
	"net/netip"

	keel "github.com/greengagekeel/greengagekeel"
)

// BlockPart is a run of client blocks in the order of their prefixes, packed
// for the wire and for files. A block takes about five bytes if its prefix is
// near the one before it and neighbours share their lists of sites.
type BlockPart struct {
	// Sites holds the names that Lists refers to.
	Sites []keel.SiteName `cbor:"1,keyasint,omitempty"`
	// Lists holds the lists that the blocks refer to: for each a length and so
	// many positions in Sites, all as varints.
	Lists []byte `cbor:"2,keyasint,omitempty"`
	// V4 and V6 hold the blocks: the distance of the address from the one
	// before, the prefix length and the position of the list, all as varints.
	// The address of IPv6 is two such distances, of its halves; a low half is
	// counted from 0 where the high half moved.
	V4 []byte `cbor:"3,keyasint,omitempty"`
	V6 []byte `cbor:"4,keyasint,omitempty"`
	// Count is the number of blocks.
	Count int `cbor:"5,keyasint,omitempty"`
}

// partWriter packs blocks into a part.
type partWriter struct {
	part   BlockPart
	blocks *Blocks
	lists  map[ListID]uint64
	sites  map[keel.SiteName]uint64
	prev4  uint64
	hi, lo uint64
}

func newPartWriter(b *Blocks) *partWriter {
	return &partWriter{blocks: b, lists: map[ListID]uint64{}, sites: map[keel.SiteName]uint64{}}
}

func (w *partWriter) size() int { return len(w.part.Lists) + len(w.part.V4) + len(w.part.V6) }

func (w *partWriter) add4(e entry4) {
	addr := uint64(e >> 32)
	w.part.V4 = binary.AppendUvarint(w.part.V4, addr-w.prev4)
	w.part.V4 = binary.AppendUvarint(w.part.V4, uint64(e>>listBits&0x3f))
	w.part.V4 = binary.AppendUvarint(w.part.V4, w.list(e.list()))
	w.prev4 = addr
	w.part.Count++
}

func (w *partWriter) add6(e entry6) {
	lo := e.lo
	if e.hi == w.hi {
		lo -= w.lo
	}
	w.part.V6 = binary.AppendUvarint(w.part.V6, e.hi-w.hi)
	w.part.V6 = binary.AppendUvarint(w.part.V6, lo)
	w.part.V6 = binary.AppendUvarint(w.part.V6, uint64(e.bits))
	w.part.V6 = binary.AppendUvarint(w.part.V6, w.list(e.id))
	w.hi, w.lo = e.hi, e.lo
	w.part.Count++
}

func (w *partWriter) list(id ListID) uint64 {
	if n, ok := w.lists[id]; ok {
		return n
	}
	n := uint64(len(w.lists))
	w.lists[id] = n
	sites := w.blocks.named.sites(id)
	w.part.Lists = binary.AppendUvarint(w.part.Lists, uint64(len(sites)))
	for _, s := range sites {
		w.part.Lists = binary.AppendUvarint(w.part.Lists, w.site(s))
	}
	return n
}

func (w *partWriter) site(s keel.SiteName) uint64 {
	if n, ok := w.sites[s]; ok {
		return n
	}
	n := uint64(len(w.part.Sites))
	w.sites[s] = n
	w.part.Sites = append(w.part.Sites, s)
	return n
}

// part returns the blocks after the given one, up to about maxBytes and not
// beyond what is covered, the last of them, and whether no others follow.
func (b *Blocks) part(after netip.Prefix, maxBytes int, cov covered) (p BlockPart, last netip.Prefix, done bool) {
	w := newPartWriter(b)
	last = after
	if !after.IsValid() || after.Addr().Is4() {
		for e := range b.v4After(after) {
			if w.size() >= maxBytes || cov.ends(e.prefix()) {
				return w.part, last, false
			}
			w.add4(e)
			last = e.prefix()
		}
		after = netip.Prefix{}
	}
	for e := range b.v6After(after) {
		if w.size() >= maxBytes || cov.ends(e.prefix()) {
			return w.part, last, false
		}
		w.add6(e)
		last = e.prefix()
	}
	return w.part, last, !cov.partial
}

// ends reports whether p lies beyond what is covered.
func (c covered) ends(p netip.Prefix) bool {
	return c.partial && (!c.until.IsValid() || p.Compare(c.until) > 0)
}

func (b *Blocks) v4After(after netip.Prefix) func(func(entry4) bool) {
	if !after.IsValid() {
		return b.v4.all()
	}
	return b.v4.from(makeEntry4(after, 0))
}

func (b *Blocks) v6After(after netip.Prefix) func(func(entry6) bool) {
	if !after.IsValid() {
		return b.v6.all()
	}
	return b.v6.from(makeEntry6(after, 0))
}

// partReader unpacks a part. After a fault it yields nothing more.
type partReader struct {
	buf []byte
	bad bool
}

func (r *partReader) uvarint() uint64 {
	v, n := binary.Uvarint(r.buf)
	if n <= 0 {
		r.bad = true
		r.buf = nil
		return 0
	}
	r.buf = r.buf[n:]
	return v
}

// decodeLists returns the lists of the part.
func (p *BlockPart) decodeLists() ([][]keel.SiteName, bool) {
	r := partReader{buf: p.Lists}
	var lists [][]keel.SiteName
	for len(r.buf) > 0 {
		n := r.uvarint()
		if r.bad || n == 0 || n > maxListSites {
			return nil, false
		}
		list := make([]keel.SiteName, n)
		for i := range list {
			at := r.uvarint()
			if r.bad || at >= uint64(len(p.Sites)) {
				return nil, false
			}
			list[i] = p.Sites[at]
		}
		lists = append(lists, list)
	}
	return lists, true
}
