package keeladmit

import "time"

// entry is a waiting request.
type entry struct {
	item    Item
	arrived time.Time
	// removed marks a request that no longer waits. Its entry is dropped when it
	// reaches the head of the queue.
	removed bool
}

// fifo is a queue of waiting requests, the oldest first. It reuses its memory,
// so that it doesn't allocate once it has grown.
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

// skipRemoved drops removed entries from the head of the queue.
func (f *fifo) skipRemoved() {
	for f.len() > 0 && f.head().removed {
		f.pop()
	}
}

// remove marks the waiting request with the ID as removed. It returns false if
// there is none.
func (f *fifo) remove(id uint64) bool {
	for i := f.first; i < len(f.entries); i++ {
		if e := &f.entries[i]; !e.removed && e.item.ID == id {
			e.removed = true
			return true
		}
	}
	return false
}
