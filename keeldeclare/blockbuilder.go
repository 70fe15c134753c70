package keeldeclare

import (
	"math"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
)

// errMalformedPart reports a block part that is damaged or out of order.
var errMalformedPart = errors.New("block part is malformed")

// blockBuilder builds a table from parts that are added in ascending order.
type blockBuilder struct {
	blocks *Blocks
	v4     appender[entry4]
	v6     appender[entry6]
}

func newBlockBuilder() *blockBuilder { return &blockBuilder{blocks: newBlocks()} }

// appender builds chunks from entries that are added in ascending order.
type appender[E entry[E]] struct {
	chunks  chunks[E]
	pending []E
	last    E
}

// add appends e. It reports false if e is not after the previous entry.
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

func (a *appender[E]) finish() chunks[E] {
	a.chunks.add(a.pending)
	a.pending = nil
	return a.chunks
}

// partList is a list of sites that a part refers to: its ID in the table and
// its hash.
type partList struct {
	id   ListID
	hash uint64
}

// add appends the blocks of a part, which must be after those of earlier parts.
func (b *blockBuilder) add(p *BlockPart) error {
	lists, ok := p.decodeLists()
	if !ok {
		return errMalformedPart
	}
	refs := make([]partList, len(lists))
	for i, l := range lists {
		refs[i] = partList{id: b.blocks.lists.intern(l), hash: sitesHash(l)}
	}
	n4, ok4 := b.addV4(p.V4, refs)
	n6, ok6 := b.addV6(p.V6, refs)
	if !ok4 || !ok6 || n4+n6 != p.Count {
		return errMalformedPart
	}
	return nil
}

func (b *blockBuilder) addV4(buf []byte, refs []partList) (n int, ok bool) {
	r := partReader{buf: buf}
	var addr uint64
	for ; len(r.buf) > 0; n++ {
		addr += r.uvarint()
		bits, ref := r.uvarint(), r.uvarint()
		if r.malformed || addr > math.MaxUint32 || bits > 32 || ref >= uint64(len(refs)) {
			return n, false
		}
		e := entry4(addr<<32 | bits<<listBits | uint64(refs[ref].id))
		if p := e.prefix(); p != p.Masked() || !b.v4.add(e) {
			return n, false
		}
		b.blocks.hashSum += blockHash(e.prefix(), refs[ref].hash)
	}
	return n, true
}

func (b *blockBuilder) addV6(buf []byte, refs []partList) (n int, ok bool) {
	r := partReader{buf: buf}
	var hi, lo uint64
	for ; len(r.buf) > 0; n++ {
		if d := r.uvarint(); d > 0 {
			hi += d
			lo = 0
		}
		lo += r.uvarint()
		bits, ref := r.uvarint(), r.uvarint()
		if r.malformed || bits > 128 || ref >= uint64(len(refs)) {
			return n, false
		}
		e := entry6{hi: hi, lo: lo, bits: uint32(bits), id: refs[ref].id}
		if p := e.prefix(); p != p.Masked() || !b.v6.add(e) {
			return n, false
		}
		b.blocks.hashSum += blockHash(e.prefix(), refs[ref].hash)
	}
	return n, true
}

func (b *blockBuilder) finish() *Blocks {
	b.blocks.v4 = b.v4.finish()
	b.blocks.v6 = b.v6.finish()
	b.blocks.lists.markCompacted()
	return b.blocks.buildIndexes()
}

// Check reports a malformed part, without decoding its blocks.
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
