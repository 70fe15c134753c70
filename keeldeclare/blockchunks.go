package keeldeclare

import (
	"iter"
	"slices"
	"sort"
)

const (
	// chunkEntries is the number of entries of a newly built chunk.
	chunkEntries = 512
	// maxChunkEntries is the size above which a chunk is split.
	maxChunkEntries = 2 * chunkEntries
	// minChunkEntries is the size below which a chunk is merged into the
	// previous one.
	minChunkEntries = chunkEntries / 4
)

// chunks is a sorted list of entries in immutable chunks, which are shared
// between versions of the list.
type chunks[E entry[E]] struct {
	list [][]E
	// firsts holds the first entry of each chunk. A search in it touches fewer
	// cache lines than one in the chunks.
	firsts  []E
	len     int
	lengths lengthSet
}

// edit puts an entry, or deletes the one with the same prefix.
type edit[E any] struct {
	entry   E
	deleted bool
}

func (c chunks[E]) all() iter.Seq[E] {
	return func(yield func(E) bool) {
		for _, chunk := range c.list {
			for _, e := range chunk {
				if !yield(e) {
					return
				}
			}
		}
	}
}

// after yields the entries after e.
func (c chunks[E]) after(e E) iter.Seq[E] {
	return func(yield func(E) bool) {
		start := sort.Search(len(c.list), func(i int) bool {
			return c.list[i][len(c.list[i])-1].compare(e) > 0
		})
		for _, chunk := range c.list[start:] {
			for _, v := range chunk {
				if v.compare(e) > 0 && !yield(v) {
					return
				}
			}
		}
	}
}

func (c chunks[E]) find(e E) (E, bool) {
	var none E
	i := sort.Search(len(c.list), func(i int) bool { return c.list[i][len(c.list[i])-1].compare(e) >= 0 })
	if i == len(c.list) {
		return none, false
	}
	j, ok := slices.BinarySearchFunc(c.list[i], e, func(a, b E) int { return a.compare(b) })
	if !ok {
		return none, false
	}
	return c.list[i][j], true
}

// withEdits returns the list with the edits applied. They must be sorted, with
// at most one per prefix.
func (c chunks[E]) withEdits(edits []edit[E]) chunks[E] {
	if len(edits) == 0 {
		return c
	}
	out := chunks[E]{lengths: c.lengths}
	out.list = make([][]E, 0, len(c.list)+len(edits)/chunkEntries+1)
	out.firsts = make([]E, 0, cap(out.list))
	for i := range edits {
		out.lengths.add(edits[i].entry.length())
	}
	for i, chunk := range c.list {
		n := len(edits)
		if i < len(c.list)-1 {
			last := chunk[len(chunk)-1]
			n = sort.Search(len(edits), func(j int) bool { return edits[j].entry.compare(last) > 0 })
		}
		if n > 0 {
			chunk = mergeChunk(chunk, edits[:n])
			edits = edits[n:]
		}
		out.add(chunk)
	}
	if len(c.list) == 0 {
		out.add(mergeChunk(nil, edits))
	}
	return out
}

// add appends a chunk, which it splits or merges into the previous one as its
// size requires.
func (c *chunks[E]) add(chunk []E) {
	if len(chunk) == 0 {
		return
	}
	c.len += len(chunk)
	if last := len(c.list) - 1; last >= 0 && len(chunk) < minChunkEntries && len(c.list[last]) < chunkEntries {
		c.list[last] = slices.Concat(c.list[last], chunk)
		return
	}
	if len(chunk) <= maxChunkEntries {
		c.list = append(c.list, chunk)
		c.firsts = append(c.firsts, chunk[0])
		return
	}
	parts := (len(chunk) + chunkEntries - 1) / chunkEntries
	for part := range slices.Chunk(chunk, (len(chunk)+parts-1)/parts) {
		c.list = append(c.list, slices.Clone(part))
		c.firsts = append(c.firsts, part[0])
	}
}

// mergeChunk returns the chunk with the sorted edits applied.
func mergeChunk[E entry[E]](chunk []E, edits []edit[E]) []E {
	out := make([]E, 0, len(chunk)+len(edits))
	for _, ed := range edits {
		i := sort.Search(len(chunk), func(j int) bool { return chunk[j].compare(ed.entry) >= 0 })
		out = append(out, chunk[:i]...)
		chunk = chunk[i:]
		if len(chunk) > 0 && chunk[0].compare(ed.entry) == 0 {
			chunk = chunk[1:]
		}
		if !ed.deleted {
			out = append(out, ed.entry)
		}
	}
	return append(out, chunk...)
}

// mapEntries returns the list with f applied to every entry. f must not change
// the prefix.
func (c chunks[E]) mapEntries(f func(E) E) chunks[E] {
	out := chunks[E]{list: make([][]E, len(c.list)), firsts: make([]E, len(c.list)), len: c.len, lengths: c.lengths}
	for i, chunk := range c.list {
		out.list[i] = make([]E, len(chunk))
		for j, e := range chunk {
			out.list[i][j] = f(e)
		}
		out.firsts[i] = out.list[i][0]
	}
	return out
}

// diffChunks yields the entries that differ between two lists. The second value
// is true for an entry of old that is not in c. Chunks that both lists share
// are skipped.
func diffChunks[E entry[E]](old, c chunks[E], same func(was, is ListID) bool) iter.Seq2[E, bool] {
	return func(yield func(E, bool) bool) {
		oldEntries := unshared(old, c)
		newEntries := unshared(c, old)
		for len(oldEntries) > 0 || len(newEntries) > 0 {
			order := compareHeads(oldEntries, newEntries)
			if order < 0 {
				if !yield(oldEntries[0], true) {
					return
				}
				oldEntries = oldEntries[1:]
				continue
			}
			if (order > 0 || !same(oldEntries[0].list(), newEntries[0].list())) && !yield(newEntries[0], false) {
				return
			}
			newEntries = newEntries[1:]
			if order == 0 {
				oldEntries = oldEntries[1:]
			}
		}
	}
}

func compareHeads[E entry[E]](a, b []E) int {
	switch {
	case len(a) == 0:
		return 1
	case len(b) == 0:
		return -1
	default:
		return a[0].compare(b[0])
	}
}

// unshared returns the entries in the chunks of a that b does not share.
func unshared[E entry[E]](a, b chunks[E]) []E {
	shared := make(map[*E]bool, len(b.list))
	for _, chunk := range b.list {
		shared[&chunk[0]] = true
	}
	var out []E
	for _, chunk := range a.list {
		if !shared[&chunk[0]] {
			out = append(out, chunk...)
		}
	}
	return out
}
