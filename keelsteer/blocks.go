package keelsteer

import (
	"iter"
	"net/netip"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keeldeclare"
	"github.com/greengagekeel/greengagekeel/keellookup"
)

// blockTable returns the table of the client blocks in a snapshot, made from
// the old plan's table where there is one.
func blockTable(old *plan, s *keeldeclare.Snapshot) *keellookup.Table {
	if old == nil {
		return keellookup.NewTable(s.Blocks.All())
	}
	if old.snapshot.Blocks == s.Blocks {
		return old.blocks
	}
	c := blockChanges{next: s.Blocks, before: old.snapshot.Blocks}
	return old.blocks.Update(c.put(), c.gone())
}

// blockChanges is the difference between the blocks of two snapshots.
type blockChanges struct{ next, before *keeldeclare.Blocks }

func (c blockChanges) put() iter.Seq2[netip.Prefix, []keel.SiteName] {
	return func(yield func(netip.Prefix, []keel.SiteName) bool) {
		for p, sites := range c.next.Changes(c.before) {
			if sites != nil && !yield(p, sites) {
				return
			}
		}
	}
}

func (c blockChanges) gone() iter.Seq[netip.Prefix] {
	return func(yield func(netip.Prefix) bool) {
		for p, sites := range c.next.Changes(c.before) {
			if sites == nil && !yield(p) {
				return
			}
		}
	}
}
