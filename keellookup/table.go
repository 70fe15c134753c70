// Package keellookup answers which entry instances a caller should use.
//
// [Table] finds the client block of an address by longest prefix. [Directory]
// turns the block's preferred sites, a domain chosen by the share vector and
// the state of the instances into an ordered answer. The package does no input
// or output, keeps no clock and does not decide how traffic is shared among
// failure domains.
package keellookup

import (
	"iter"
	"net/netip"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keeldeclare"
)

// Table maps client blocks to preferred sites. It reads the declared blocks in
// the form that they are kept in, so that it takes no memory besides theirs. A
// table never changes: Update returns another one, which shares with the first
// what did not change. It is safe for use by several goroutines.
type Table struct{ blocks *keeldeclare.Blocks }

var _ keel.BlockTable = (*Table)(nil)

// NewTable returns a table of the given blocks, which must be valid.
func NewTable(blocks iter.Seq2[netip.Prefix, []keel.SiteName]) *Table {
	return TableOf(keeldeclare.NewBlocks(blocks))
}

// TableOf returns the table of declared blocks.
func TableOf(blocks *keeldeclare.Blocks) *Table { return &Table{blocks} }

// Update returns a table with the blocks of del removed and then those of put
// added or replaced. Either may be nil. The receiver stays as it is.
func (t *Table) Update(put iter.Seq2[netip.Prefix, []keel.SiteName], del iter.Seq[netip.Prefix]) *Table {
	return TableOf(t.blocks.Update(put, del))
}

// Find implements [keel.BlockTable].
func (t *Table) Find(addr netip.Addr) ([]keel.SiteName, bool) { return t.blocks.Find(addr) }

// Len returns the number of blocks.
func (t *Table) Len() int { return t.blocks.Len() }
