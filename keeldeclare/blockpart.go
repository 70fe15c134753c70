package keeldeclare

import (
	"encoding/binary"
	"net/netip"

	keel "github.com/greengagekeel/greengagekeel"
)

// BlockPart is a run of client blocks in the order of their prefixes, encoded
// for messages and files. A block takes about five bytes if its prefix is close
// to the previous one and neighbouring blocks share their lists of sites.
type BlockPart struct {
	// Sites holds the names that Lists refers to.
	Sites []keel.SiteName `cbor:"1,keyasint,omitempty"`
	// Lists holds the lists of sites that the blocks refer to. Each is its
	// length followed by as many indexes into Sites, all as varints.
	Lists []byte `cbor:"2,keyasint,omitempty"`
	// V4 and V6 hold the blocks. Each block is the difference of its address
	// from the previous one, the prefix length and the index of its list, all
	// as varints. An IPv6 address is two differences, of its high and low half;
	// the difference of the low half is from 0 if the high half changed.
	V4 []byte `cbor:"3,keyasint,omitempty"`
	V6 []byte `cbor:"4,keyasint,omitempty"`
	// Count is the number of blocks.
	Count int `cbor:"5,keyasint,omitempty"`
}

// partWriter encodes blocks into a part.
type partWriter struct {
	part           BlockPart
	blocks         *Blocks
	lists          map[ListID]uint64
	sites          map[keel.SiteName]uint64
	prev4          uint64
	prevHi, prevLo uint64
}

func newPartWriter(b *Blocks) *partWriter {
	return &partWriter{blocks: b, lists: map[ListID]uint64{}, sites: map[keel.SiteName]uint64{}}
}

func (w *partWriter) size() int { return len(w.part.Lists) + len(w.part.V4) + len(w.part.V6) }

func (w *partWriter) add4(e entry4) {
	addr := uint64(e >> 32)
	w.part.V4 = binary.AppendUvarint(w.part.V4, addr-w.prev4)
	w.part.V4 = binary.AppendUvarint(w.part.V4, uint64(e>>listBits&0x3f))
	w.part.V4 = binary.AppendUvarint(w.part.V4, w.listIndex(e.list()))
	w.prev4 = addr
	w.part.Count++
}

func (w *partWriter) add6(e entry6) {
	lo := e.lo
	if e.hi == w.prevHi {
		lo -= w.prevLo
	}
	w.part.V6 = binary.AppendUvarint(w.part.V6, e.hi-w.prevHi)
	w.part.V6 = binary.AppendUvarint(w.part.V6, lo)
	w.part.V6 = binary.AppendUvarint(w.part.V6, uint64(e.bits))
	w.part.V6 = binary.AppendUvarint(w.part.V6, w.listIndex(e.id))
	w.prevHi, w.prevLo = e.hi, e.lo
	w.part.Count++
}

// listIndex returns the index of the list in the part, which it adds if it is
// new.
func (w *partWriter) listIndex(id ListID) uint64 {
	if n, ok := w.lists[id]; ok {
		return n
	}
	n := uint64(len(w.lists))
	w.lists[id] = n
	sites := w.blocks.listView.sites(id)
	w.part.Lists = binary.AppendUvarint(w.part.Lists, uint64(len(sites)))
	for _, s := range sites {
		w.part.Lists = binary.AppendUvarint(w.part.Lists, w.siteIndex(s))
	}
	return n
}

// siteIndex returns the index of the site in the part, which it adds if it is
// new.
func (w *partWriter) siteIndex(s keel.SiteName) uint64 {
	if n, ok := w.sites[s]; ok {
		return n
	}
	n := uint64(len(w.part.Sites))
	w.sites[s] = n
	w.part.Sites = append(w.part.Sites, s)
	return n
}

// encodePart returns a part with the blocks after the given one, up to about
// maxBytes and within the coverage. It also returns the last prefix of the
// part, or after if the part is empty, and whether the table has no more
// blocks.
func (b *Blocks) encodePart(after netip.Prefix, maxBytes int, cov coverage) (p BlockPart, last netip.Prefix, done bool) {
	w := newPartWriter(b)
	last = after
	if !after.IsValid() || after.Addr().Is4() {
		for e := range b.v4After(after) {
			if w.size() >= maxBytes || cov.excludes(e.prefix()) {
				return w.part, last, false
			}
			w.add4(e)
			last = e.prefix()
		}
		after = netip.Prefix{}
	}
	for e := range b.v6After(after) {
		if w.size() >= maxBytes || cov.excludes(e.prefix()) {
			return w.part, last, false
		}
		w.add6(e)
		last = e.prefix()
	}
	return w.part, last, !cov.partial
}

// excludes reports whether p is outside the coverage.
func (c coverage) excludes(p netip.Prefix) bool {
	return c.partial && (!c.last.IsValid() || p.Compare(c.last) > 0)
}

func (b *Blocks) v4After(after netip.Prefix) func(func(entry4) bool) {
	if !after.IsValid() {
		return b.v4.all()
	}
	return b.v4.after(makeEntry4(after, 0))
}

func (b *Blocks) v6After(after netip.Prefix) func(func(entry6) bool) {
	if !after.IsValid() {
		return b.v6.all()
	}
	return b.v6.after(makeEntry6(after, 0))
}

// partReader decodes the varints of a part. After malformed input it returns
// only zeros.
type partReader struct {
	buf       []byte
	malformed bool
}

func (r *partReader) uvarint() uint64 {
	v, n := binary.Uvarint(r.buf)
	if n <= 0 {
		r.malformed = true
		r.buf = nil
		return 0
	}
	r.buf = r.buf[n:]
	return v
}

// decodeLists decodes the lists of the part. It reports false if they are
// malformed.
func (p *BlockPart) decodeLists() ([][]keel.SiteName, bool) {
	r := partReader{buf: p.Lists}
	var lists [][]keel.SiteName
	for len(r.buf) > 0 {
		n := r.uvarint()
		if r.malformed || n == 0 || n > maxListSites {
			return nil, false
		}
		list := make([]keel.SiteName, n)
		for i := range list {
			at := r.uvarint()
			if r.malformed || at >= uint64(len(p.Sites)) {
				return nil, false
			}
			list[i] = p.Sites[at]
		}
		lists = append(lists, list)
	}
	return lists, true
}
