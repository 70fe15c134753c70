package keeldeclare

import (
	"math"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
)

// errBadPart reports packed blocks that are damaged or out of order.
var errBadPart = errors.New("block part is malformed")

// blockBuilder makes a table out of parts that come in order.
type blockBuilder struct {
	blocks *Blocks
	v4     appender[entry4]
	v6     appender[entry6]
}

func newBlockBuilder() *blockBuilder { return &blockBuilder{blocks: newBlocks()} }

// appender fills chunks with ascending entries.
type appender[E entry[E]] struct {
	chunks  chunks[E]
	pending []E
	last    E
}

// add reports false if e does not come after the entry before it.
func (a *appender[E]) add(e E) bool {
	if a.chunks.len+len(a.pending) > 0 && a.last.compare(e) >= 0 {
		return false
	}
	if a.pending == nil {
		a.pending = make([]E, 0, chunkEntries)
	}
	a.last = e
	a.chunks.lengths.add(e.length())
	a.pending = append(a.pending, e)
	if len(a.pending) == chunkEntries {
		a.chunks.add(a.pending)
		a.pending = nil
	}
	return true
}

func (a *appender[E]) done() chunks[E] {
	a.chunks.add(a.pending)
	a.pending = nil
	return a.chunks
}

// listRef is a list of a part, as the table knows it.
type listRef struct {
	id   ListID
	hash uint64
}

// add appends the blocks of a part, which must come after those before it.
func (b *blockBuilder) add(p *BlockPart) error {
	lists, ok := p.decodeLists()
	if !ok {
		return errBadPart
	}
	refs := make([]listRef, len(lists))
	for i, l := range lists {
		refs[i] = listRef{id: b.blocks.lists.intern(l), hash: sitesHash(l)}
	}
	n4, ok4 := b.addV4(p.V4, refs)
	n6, ok6 := b.addV6(p.V6, refs)
	if !ok4 || !ok6 || n4+n6 != p.Count {
		return errBadPart
	}
	return nil
}

func (b *blockBuilder) addV4(buf []byte, refs []listRef) (n int, ok bool) {
	r := partReader{buf: buf}
	var addr uint64
	for ; len(r.buf) > 0; n++ {
		addr += r.uvarint()
		bits, at := r.uvarint(), r.uvarint()
		if r.bad || addr > math.MaxUint32 || bits > 32 || at >= uint64(len(refs)) {
			return n, false
		}
		e := entry4(addr<<32 | bits<<listBits | uint64(refs[at].id))
		if p := e.prefix(); p != p.Masked() || !b.v4.add(e) {
			return n, false
		}
		b.blocks.sum += blockHash(e.prefix(), refs[at].hash)
	}
	return n, true
}

func (b *blockBuilder) addV6(buf []byte, refs []listRef) (n int, ok bool) {
	r := partReader{buf: buf}
	var hi, lo uint64
	for ; len(r.buf) > 0; n++ {
		if d := r.uvarint(); d > 0 {
			hi += d
			lo = 0
		}
		lo += r.uvarint()
		bits, at := r.uvarint(), r.uvarint()
		if r.bad || bits > 128 || at >= uint64(len(refs)) {
			return n, false
		}
		e := entry6{hi: hi, lo: lo, bits: uint32(bits), id: refs[at].id}
		if p := e.prefix(); p != p.Masked() || !b.v6.add(e) {
			return n, false
		}
		b.blocks.sum += blockHash(e.prefix(), refs[at].hash)
	}
	return n, true
}

func (b *blockBuilder) done() *Blocks {
	b.blocks.v4 = b.v4.done()
	b.blocks.v6 = b.v6.done()
	b.blocks.lists.settle()
	return b.blocks.settled()
}

// Check reports a part that can't be unpacked.
func (p *BlockPart) Check() keel.Faults {
	var fs keel.Faults
	if p.Count < 0 {
		fs.Add("count", "is %d, must not be negative", p.Count)
	}
	if _, ok := p.decodeLists(); !ok {
		fs.Add("lists", "are malformed")
	}
	return fs
}
