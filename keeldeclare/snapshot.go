package keeldeclare

import (
	"encoding/binary"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/zeebo/xxh3"
)

// Snapshot is the state of the declarations at one version. It is immutable and
// safe for concurrent use.
type Snapshot struct {
	Version keel.Version
	// Declarations holds everything but the client blocks.
	Declarations *keel.Declarations
	// Blocks holds the client blocks.
	Blocks *Blocks
	// Checksum covers the version, the declarations and the blocks. Equal
	// states have equal checksums at every instance.
	Checksum uint64
	// Partial is true while blocks are still being fetched: some entries of
	// Blocks are missing or from an older version. Everything else is up to
	// date.
	Partial bool

	// blockSum is the sum of the hashes of all blocks of the version, including
	// those that are missing from Blocks.
	blockSum uint64
}

// emptySnapshot returns the state before the first change.
func emptySnapshot() *Snapshot {
	s, err := newSnapshot(0, &keel.Declarations{}, newBlocks())
	if err != nil {
		panic(err) // unreachable: an empty value always encodes
	}
	return s
}

func newSnapshot(v keel.Version, d *keel.Declarations, b *Blocks) (*Snapshot, error) {
	return newPartial(v, d, b, b.hashSum)
}

// newPartial is like newSnapshot, but b may lack blocks; blockSum is the hash
// sum of the complete table.
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
		Partial:      b.hashSum != blockSum,
		blockSum:     blockSum,
	}, nil
}

// FullDeclarations returns a copy of the declarations with the client blocks.
// For a large table it needs much memory.
func (s *Snapshot) FullDeclarations() *keel.Declarations {
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

// opMode selects how strictly operations are checked.
type opMode uint8

const (
	// opStrict rejects the deletion of objects that do not exist, and an
	// invalid result.
	opStrict opMode = iota
	// opReplay is for operations that were accepted before and may be applied a
	// second time.
	opReplay
)

// apply returns the snapshot of version v that results from applying ops to s.
func (s *Snapshot) apply(v keel.Version, ops []keel.Op) (*Snapshot, keel.Faults) {
	e := editor{ops: ops}
	d := e.editLists(s.Declarations)
	edits := e.blockEdits(s.Blocks)
	e.checkResult(s, d, edits)
	if len(e.faults) > 0 {
		return nil, e.faults
	}
	n, err := newSnapshot(v, d, s.Blocks.withEdits(edits))
	if err != nil {
		return nil, keel.Faults{{Field: "$", Reason: err.Error()}}
	}
	return n, nil
}

// replay returns the snapshot of version v that results from applying accepted
// operations to s, which may include some of them already. It fails unless the
// result has the given checksum.
func (s *Snapshot) replay(v keel.Version, ops []keel.Op, checksum, blockSum uint64) (*Snapshot, error) {
	e := editor{ops: ops, mode: opReplay}
	d := e.editLists(s.Declarations)
	b := s.Blocks.withEdits(e.blockEdits(s.Blocks))
	if err := e.faults.Err(); err != nil {
		return nil, errors.Wrapf(err, "changes to version %d", v)
	}
	if !s.Partial {
		blockSum = b.hashSum
	}
	n, err := newPartial(v, d, b, blockSum)
	if err != nil {
		return nil, err
	}
	if n.Checksum != checksum {
		return nil, checksumError(n, checksum)
	}
	n.Partial = s.Partial // the replica decides when the table is complete
	return n, nil
}

func checksumError(s *Snapshot, want uint64) error {
	return errors.Errorf("checksum of version %d is %x, want %x", s.Version, s.Checksum, want)
}
