package keeladmit

import "time"

// entry is a waiting request.
type entry struct {
	item    Item
	arrived time.Time
	// gone says that the request no longer waits.
	gone bool
}

// fifo is a queue of waiting requests, the oldest first. Its space is used
// again, so that it does not allocate once it has grown.
type fifo struct {
	entries []entry
	first   int
}

func (f *fifo) len() int { return len(f.entries) - f.first }

func (f *fifo) head() *entry { return &f.entries[f.first] }

func (f *fifo) push(e entry) {
	if f.first > 0 && len(f.entries) == cap(f.entries) {
		n := copy(f.entries, f.entries[f.first:])
		clear(f.entries[n:])
		f.entries = f.entries[:n]
		f.first = 0
	}
	f.entries = append(f.entries, e)
}

func (f *fifo) pop() entry {
	e := f.entries[f.first]
	f.entries[f.first] = entry{}
	f.first++
	if f.first == len(f.entries) {
		f.entries = f.entries[:0]
		f.first = 0
	}
	return e
}

// skipGone drops requests at the head that no longer wait.
func (f *fifo) skipGone() {
	for f.len() > 0 && f.head().gone {
		f.pop()
	}
}

// remove marks the request as gone.
func (f *fifo) remove(id uint64) bool {
	for i := f.first; i < len(f.entries); i++ {
		if e := &f.entries[i]; !e.gone && e.item.ID == id {
			e.gone = true
			return true
		}
	}
	return false
}
