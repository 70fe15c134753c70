package keeldeclare

import (
	"io"
	"net/netip"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
)

const (
	// stateFormat is the version of the state encoding.
	stateFormat = 1
	// statePartBytes is the approximate size of the parts that blocks are
	// written in.
	statePartBytes = 64 << 10
)

// stateHeader is the first value of an encoded state. It is followed by as many
// block parts as hold Blocks blocks.
type stateHeader struct {
	Format       int                `cbor:"1,keyasint"`
	Version      keel.Version       `cbor:"2,keyasint"`
	Checksum     uint64             `cbor:"3,keyasint"`
	Declarations *keel.Declarations `cbor:"4,keyasint"`
	Blocks       int                `cbor:"5,keyasint"`
	Records      []record           `cbor:"6,keyasint,omitempty"`
	Outcomes     []keel.Outcome     `cbor:"7,keyasint,omitempty"`
	Applied      uint64             `cbor:"8,keyasint,omitempty"`
	Ignored      uint64             `cbor:"9,keyasint,omitempty"`
	// BlockSum is the hash sum of all blocks of the version, including missing
	// ones that do not follow.
	BlockSum uint64 `cbor:"10,keyasint"`
}

// Check reports an unknown format, missing declarations, and records that are
// malformed, not contiguous or do not end at the version of the state.
func (h *stateHeader) Check() keel.Faults {
	var fs keel.Faults
	if h.Format != stateFormat {
		fs.Add("format", "is %d, this program reads %d", h.Format, stateFormat)
	}
	if h.Declarations == nil {
		fs.Add("declarations", "must be given")
	}
	for i := range h.Records {
		r := &h.Records[i]
		if r.From >= r.To || i > 0 && h.Records[i-1].To != r.From {
			fs.Add("records", "are not contiguous at version %d", r.From)
		}
		if _, err := r.ops(); err != nil {
			fs.Add("records", "can't be decoded at version %d: %v", r.From, err)
		}
	}
	if n := len(h.Records); n > 0 && h.Records[n-1].To != h.Version {
		fs.Add("records", "end at version %d, the state is at version %d", h.Records[n-1].To, h.Version)
	}
	return fs
}

// writeState writes h and s. The fields of h that describe s are set here.
func writeState(w io.Writer, h stateHeader, s *Snapshot) error {
	h.Format = stateFormat
	h.Version, h.Checksum, h.BlockSum = s.Version, s.Checksum, s.blockSum
	h.Declarations = s.Declarations
	h.Blocks = s.Blocks.Len()
	cw := keel.NewCBORWriter(w)
	if err := cw.Write(&h); err != nil {
		return err
	}
	var after netip.Prefix
	for done := h.Blocks == 0; !done; {
		var p BlockPart
		p, after, done = s.Blocks.encodePart(after, statePartBytes, coverage{})
		if err := cw.Write(&p); err != nil {
			return err
		}
	}
	return nil
}

// readState reads a state written by writeState and verifies its checksum.
func readState(r io.Reader) (*stateHeader, *Snapshot, error) {
	cr := keel.NewCBORReader(r)
	h := &stateHeader{}
	if err := cr.Read(h); err != nil {
		return nil, nil, errors.Wrap(err, "read state header")
	}
	b := newBlockBuilder()
	for n := 0; n < h.Blocks; {
		var p BlockPart
		if err := cr.Read(&p); err != nil {
			return nil, nil, errors.Wrapf(err, "read the blocks after the first %d", n)
		}
		if p.Count == 0 {
			return nil, nil, errors.Errorf("state has %d blocks, its header declares %d", n, h.Blocks)
		}
		if err := b.add(&p); err != nil {
			return nil, nil, errors.Wrapf(err, "read the blocks after the first %d", n)
		}
		n += p.Count
	}
	s, err := newPartial(h.Version, h.Declarations, b.finish(), h.BlockSum)
	if err != nil {
		return nil, nil, err
	}
	if s.Checksum != h.Checksum {
		return nil, nil, checksumError(s, h.Checksum)
	}
	return h, s, nil
}
