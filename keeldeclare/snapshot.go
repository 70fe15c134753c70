package keeldeclare

import (
	"encoding/binary"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/zeebo/xxh3"
)

// Snapshot is the declarations of one version. It is immutable and safe for use
// by several goroutines.
type Snapshot struct {
	Version keel.Version
	// Declarations holds everything but the client blocks.
	Declarations *keel.Declarations
	// Blocks holds the client blocks.
	Blocks *Blocks
	// Checksum covers the version, the declarations and the blocks. Equal
	// states have equal checksums at every instance.
	Checksum uint64
	// Partial says that blocks are still being fetched: some of Blocks are
	// missing or those of an older version. Everything else is in force.
	Partial bool

	// blockSum is the sum of the hashes of all blocks of the version, also if
	// some of them are missing here.
	blockSum uint64
}

// emptySnapshot returns the state before the first change.
func emptySnapshot() *Snapshot {
	s, err := newSnapshot(0, &keel.Declarations{}, newBlocks())
	if err != nil {
		panic(err) // an empty value always encodes
	}
	return s
}

func newSnapshot(v keel.Version, d *keel.Declarations, b *Blocks) (*Snapshot, error) {
	return newPartial(v, d, b, b.sum)
}

// newPartial is like newSnapshot, but blocks may be missing from b.
func newPartial(v keel.Version, d *keel.Declarations, b *Blocks, blockSum uint64) (*Snapshot, error) {
	body, err := keel.EncodeCBOR(d)
	if err != nil {
		return nil, err
	}
	var tail [16]byte
	binary.BigEndian.PutUint64(tail[:8], uint64(v))
	binary.BigEndian.PutUint64(tail[8:], blockSum)
	return &Snapshot{
		Version:      v,
		Declarations: d,
		Blocks:       b,
		Checksum:     xxh3.Hash(append(body, tail[:]...)),
		Partial:      b.sum != blockSum,
		blockSum:     blockSum,
	}, nil
}

// Whole returns a copy of the declarations that holds the client blocks too. It
// takes much memory for a large table.
func (s *Snapshot) Whole() *keel.Declarations {
	d := *s.Declarations
	d.Blocks = make([]keel.ClientBlock, 0, s.Blocks.Len())
	for p, sites := range s.Blocks.All() {
		d.Blocks = append(d.Blocks, keel.ClientBlock{Prefix: p, Sites: sites})
	}
	if len(d.Blocks) == 0 {
		d.Blocks = nil
	}
	return &d
}

// opMode says how strictly operations are applied.
type opMode uint8

const (
	// opStrict refuses to delete what does not exist, and checks the result.
	opStrict opMode = iota
	// opReplay applies operations that were accepted before, maybe for the
	// second time.
	opReplay
)

// next returns the snapshot of version v that ops make of s.
func (s *Snapshot) next(v keel.Version, ops []keel.Op) (*Snapshot, keel.Faults) {
	e := editor{ops: ops}
	d := e.editLists(s.Declarations)
	edits := e.blockEdits(s.Blocks)
	e.checkResult(s, d, edits)
	if len(e.faults) > 0 {
		return nil, e.faults
	}
	n, err := newSnapshot(v, d, s.Blocks.with(edits))
	if err != nil {
		return nil, keel.Faults{{Field: "$", Reason: err.Error()}}
	}
	return n, nil
}

// replay returns the snapshot of version v that accepted operations make of s,
// maybe for the second time. It fails unless the result has the checksum.
func (s *Snapshot) replay(v keel.Version, ops []keel.Op, checksum, blockSum uint64) (*Snapshot, error) {
	e := editor{ops: ops, mode: opReplay}
	d := e.editLists(s.Declarations)
	b := s.Blocks.with(e.blockEdits(s.Blocks))
	if err := e.faults.Err(); err != nil {
		return nil, errors.Wrapf(err, "changes to version %d", v)
	}
	if !s.Partial {
		blockSum = b.sum
	}
	n, err := newPartial(v, d, b, blockSum)
	if err != nil {
		return nil, err
	}
	if n.Checksum != checksum {
		return nil, checksumError(n, checksum)
	}
	n.Partial = s.Partial // whether the table is whole, its holder decides
	return n, nil
}

func checksumError(s *Snapshot, want uint64) error {
	return errors.Errorf("checksum of version %d is %x, should be %x", s.Version, s.Checksum, want)
}
