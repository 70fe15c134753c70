package keeldeclare

import (
	"net/netip"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
)

// backfill is the state of a transfer that completes the client blocks of a
// replica whose other declarations are in force already. Blocks are received in
// the order of their prefixes. Each part has the version that its sender has at
// the time, because no sender retains an old version for the minutes that a
// rate-limited transfer may take.
//
// A part is at least as new as the version in force. Deltas applied later
// change only blocks that changed after the part, or set them to the value that
// they have. So once the version in force is at least that of the newest part,
// the table is that of the version in force.
type backfill struct {
	// lastReceived is the last block received; it is invalid if there is none
	// yet.
	lastReceived netip.Prefix
	// highest is the version of the newest part.
	highest keel.Version
	// received is the number of blocks received.
	received int
	done     bool // all parts were received
}

// coverage is the part of a table that can be served to other instances.
type coverage struct {
	partial bool
	last    netip.Prefix // last available block if partial; invalid means none
	highest keel.Version // highest version that a block may be from
}

// coverage returns what part of the table of s can be served. A nil backfill
// means a complete table.
func (f *backfill) coverage(s *Snapshot) coverage {
	if f == nil {
		return coverage{highest: s.Version}
	}
	return coverage{partial: !f.done, last: f.lastReceived, highest: max(f.highest, s.Version)}
}

// add records a part that was merged into the table.
func (f *backfill) add(p *FullPart) {
	f.lastReceived, f.done = p.After, p.Done
	f.highest = max(f.highest, p.High)
	f.received += p.Blocks.Count
}

// withPart returns the table with the blocks in the range of the part replaced
// by those of the part.
func (b *Blocks) withPart(p *FullPart) (*Blocks, error) {
	part := newBlockBuilder()
	if err := part.add(&p.Blocks); err != nil {
		return nil, err
	}
	var edits []blockEdit
	for prefix := range b.prefixesBetween(p.Begin, p.After, p.Done) {
		edits = append(edits, blockEdit{prefix: prefix})
	}
	for prefix, sites := range part.finish().All() {
		if !inRange(prefix, p.Begin, p.After, p.Done) {
			return nil, errors.Errorf("block %s is outside the range of the part after %s", prefix, p.Begin)
		}
		edits = append(edits, blockEdit{prefix: prefix, sites: sites})
	}
	return b.withEdits(edits), nil
}

// inRange reports whether p is after begin and, if the range is not unbounded,
// not after end.
func inRange(p, begin, end netip.Prefix, unbounded bool) bool {
	return (!begin.IsValid() || p.Compare(begin) > 0) && (unbounded || p.Compare(end) <= 0)
}

// prefixesBetween yields the prefixes after begin up to and including end, or
// all after begin if unbounded.
func (b *Blocks) prefixesBetween(begin, end netip.Prefix, unbounded bool) func(func(netip.Prefix) bool) {
	return func(yield func(netip.Prefix) bool) {
		if !unbounded && !end.IsValid() {
			return
		}
		for p := range b.prefixesAfter(begin) {
			if !unbounded && p.Compare(end) > 0 || !yield(p) {
				return
			}
		}
	}
}

// prefixesAfter yields the prefixes after begin, or all if it is invalid.
func (b *Blocks) prefixesAfter(begin netip.Prefix) func(func(netip.Prefix) bool) {
	return func(yield func(netip.Prefix) bool) {
		if !begin.IsValid() || begin.Addr().Is4() {
			for e := range b.v4After(begin) {
				if !yield(e.prefix()) {
					return
				}
			}
			begin = netip.Prefix{}
		}
		for e := range b.v6After(begin) {
			if !yield(e.prefix()) {
				return
			}
		}
	}
}
