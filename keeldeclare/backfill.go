package keeldeclare

import (
	"net/netip"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
)

// backfill brings the client blocks of a replica up to its declarations, which
// are in force already. Blocks come in the order of their prefixes, each part
// from whatever version its sender has: nobody holds one version still for the
// minutes that a paced transfer may take.
//
// A part must be at least as new as the version in force. Deltas that are
// applied later set only what changed after it, or what they set already; so
// once the version in force has reached that of the newest part, the table is
// that of the version in force.
type backfill struct {
	// after is the last block that is covered; invalid means none yet.
	after netip.Prefix
	// high is the version of the newest part.
	high  keel.Version
	count int
	done  bool // all parts came
}

// covered is the part of a table that can be passed on.
type covered struct {
	partial bool
	until   netip.Prefix // the last block; invalid with partial means none
	high    keel.Version
}

func (f *backfill) covered(s *Snapshot) covered {
	if f == nil {
		return covered{high: s.Version}
	}
	return covered{partial: !f.done, until: f.after, high: max(f.high, s.Version)}
}

// add records a part that was put into the table.
func (f *backfill) add(p *FullPart) {
	f.after, f.done = p.After, p.Done
	f.high = max(f.high, p.High)
	f.count += p.Blocks.Count
}

// withPart returns the table with the run of blocks that the part covers.
func (b *Blocks) withPart(p *FullPart) (*Blocks, error) {
	part := newBlockBuilder()
	if err := part.add(&p.Blocks); err != nil {
		return nil, err
	}
	var edits []blockEdit
	for prefix := range b.between(p.Begin, p.After, p.Done) {
		edits = append(edits, blockEdit{prefix: prefix})
	}
	for prefix, sites := range part.done().All() {
		if !within(prefix, p.Begin, p.After, p.Done) {
			return nil, errors.Errorf("block %s is not in the part after %s", prefix, p.Begin)
		}
		edits = append(edits, blockEdit{prefix: prefix, sites: sites})
	}
	return b.with(edits), nil
}

// within reports whether p lies after begin and not after end.
func within(p, begin, end netip.Prefix, open bool) bool {
	return (!begin.IsValid() || p.Compare(begin) > 0) && (open || p.Compare(end) <= 0)
}

// between yields the prefixes after begin up to end, or to the last if open.
func (b *Blocks) between(begin, end netip.Prefix, open bool) func(func(netip.Prefix) bool) {
	return func(yield func(netip.Prefix) bool) {
		if !open && !end.IsValid() {
			return
		}
		for p := range b.after(begin) {
			if !open && p.Compare(end) > 0 || !yield(p) {
				return
			}
		}
	}
}

// after yields the prefixes after begin, or all if it is invalid.
func (b *Blocks) after(begin netip.Prefix) func(func(netip.Prefix) bool) {
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
