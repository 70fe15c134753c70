package keelquorum

import keel "github.com/greengagekeel/greengagekeel"

// position identifies an entry of the log.
type position struct{ index, term uint64 }

// before reports whether a log that ends at p is less up to date than one that
// ends at q.
func (p position) before(q position) bool {
	if p.term != q.term {
		return p.term < q.term
	}
	return p.index < q.index
}

// memoryLog holds the entries after base. Slices returned by its methods stay
// valid and unchanged after later calls.
type memoryLog struct {
	base    position
	entries []keel.LogEntry
}

func (l *memoryLog) last() position {
	if n := len(l.entries); n > 0 {
		return position{l.entries[n-1].Index, l.entries[n-1].Term}
	}
	return l.base
}

// term returns the term of the entry at index, or false if the log does not
// hold it.
func (l *memoryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.base.index:
		return l.base.term, true
	case index < l.base.index || index > l.last().index:
		return 0, false
	default:
		return l.entries[index-l.base.index-1].Term, true
	}
}

// matches reports whether the log holds the entry at p with the same term.
func (l *memoryLog) matches(p position) bool {
	term, ok := l.term(p.index)
	return ok && term == p.term
}

// slice returns the entries from one index to another, both inclusive.
func (l *memoryLog) slice(from, to uint64) []keel.LogEntry {
	if from > to {
		return nil
	}
	lo, hi := from-l.base.index-1, to-l.base.index
	return l.entries[lo:hi:hi]
}

// batch returns at least one entry starting at from, and more while their data
// fits into maxBytes.
func (l *memoryLog) batch(from uint64, maxBytes int) []keel.LogEntry {
	all := l.slice(from, l.last().index)
	size := 0
	for i := range all {
		size += len(all[i].Data)
		if size > maxBytes && i > 0 {
			return all[:i:i]
		}
	}
	return all
}

func (l *memoryLog) append(entries ...keel.LogEntry) {
	l.entries = append(l.entries, entries...)
}

// truncate drops the entries from index on. It caps the slice, so that the next
// append copies the remaining entries and callers can still read the dropped
// ones.
func (l *memoryLog) truncate(index uint64) {
	n := index - l.base.index - 1
	l.entries = l.entries[:n:n]
}

// maxTailBytes limits the entries kept behind a snapshot, in bytes.
const maxTailBytes = 2 << 20

// compactionIndex returns the index up to which entries can be dropped: the last
// count entries up to index stay, or fewer if they exceed [maxTailBytes].
func (l *memoryLog) compactionIndex(index, count uint64) uint64 {
	size := 0
	for i := index; i > l.base.index; i-- {
		size += len(l.entries[i-l.base.index-1].Data)
		if index-i >= count || size > maxTailBytes {
			return i
		}
	}
	return l.base.index
}

// compact drops the entries up to index.
func (l *memoryLog) compact(index uint64) {
	if index <= l.base.index {
		return
	}
	term, _ := l.term(index)
	rest := l.slice(index+1, l.last().index)
	l.entries = append([]keel.LogEntry(nil), rest...)
	l.base = position{index, term}
}

// reset drops all entries and sets the base.
func (l *memoryLog) reset(base position) {
	l.base, l.entries = base, nil
}
