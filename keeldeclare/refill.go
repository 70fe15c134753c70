package keeldeclare

import (
	"net/netip"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
)

// refill collects the parts of a whole state. Parts are read at different
// versions, since nobody holds one version still for the minutes that a paced
// transfer may take.
type refill struct {
	decl    *keel.Declarations
	builder *blockBuilder
	blocks  *Blocks // once all parts are there
	after   netip.Prefix
	count   int
	// low and high are the lowest and the highest version of the parts.
	low, high keel.Version
}

func newRefill() *refill { return &refill{builder: newBlockBuilder()} }

func (f *refill) done() bool { return f.blocks != nil }

// add takes the next part. A first part starts again.
func (f *refill) add(v keel.Version, p *FullPart) error {
	if p.First {
		*f = *newRefill()
		f.decl = p.Declarations
		f.low, f.high = v, v
	}
	if f.decl == nil || f.done() {
		return errors.New("part of a state came without its first part")
	}
	if err := f.builder.add(&p.Blocks); err != nil {
		return err
	}
	f.low, f.high = min(f.low, v), max(f.high, v)
	f.after = p.After
	f.count += p.Blocks.Count
	if p.Done {
		f.blocks = f.builder.done()
	}
	return nil
}

// base returns what the parts make up. Its checksum means something only if
// all parts came from one version.
func (f *refill) base() (*Snapshot, error) { return newSnapshot(f.low, f.decl, f.blocks) }
