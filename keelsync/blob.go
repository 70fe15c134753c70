package keelsync

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelworld"
	"github.com/zeebo/xxh3"
)

const (
	// maxContentBytes limits the decompressed size of a blob.
	maxContentBytes = 64 << 20
	// minPartBytes and maxPartBytes limit the size of the parts of a blob.
	minPartBytes = 4 << 10
	maxPartBytes = 256 << 10
)

// feedContent is what a follower lacks: a snapshot, or entries.
type feedContent struct {
	Entries  []entry             `cbor:"1,keyasint,omitempty"`
	Snapshot *keelworld.Snapshot `cbor:"2,keyasint,omitempty"`
}

// Check returns no faults: entries are checked when they are applied.
func (*feedContent) Check() keel.Faults { return nil }

// blobID identifies a blob. Equal content has the same ID at every voter.
type blobID struct {
	// Index is the index of the state after the content was applied.
	Index uint64 `cbor:"1,keyasint"`
	// Sum is the checksum of the blob.
	Sum uint64 `cbor:"2,keyasint"`
}

// blob is compressed content. All followers that lack the same content share it,
// and receive it in parts that arrive within the time limit of a poll.
type blob struct {
	id   blobID
	data []byte
}

// newBlob packs content that results in the state at index.
func newBlob(index uint64, c *feedContent) (*blob, error) {
	plain, err := keel.EncodeCBOR(c)
	if err != nil {
		return nil, err
	}
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress state")
	}
	if _, err := w.Write(plain); err != nil {
		return nil, errors.Wrap(err, "compress state")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress state")
	}
	return &blob{id: blobID{Index: index, Sum: xxh3.Hash(packed.Bytes())}, data: packed.Bytes()}, nil
}

// content unpacks the blob. The error is not nil if it is not the blob that its
// ID identifies.
func (b *blob) content() (*feedContent, error) {
	if sum := xxh3.Hash(b.data); sum != b.id.Sum {
		return nil, errors.Errorf("state at entry %d has the checksum %x, want %x", b.id.Index, sum, b.id.Sum)
	}
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b.data)), maxContentBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress state")
	}
	if len(plain) > maxContentBytes {
		return nil, errors.Errorf("state at entry %d exceeds %d bytes", b.id.Index, maxContentBytes)
	}
	c := &feedContent{}
	return c, keel.DecodeCBOR(plain, c)
}

// nextPart returns the part that a follower requests, or the first one if it has
// received parts of another blob.
func (b *blob) nextPart(r *feedRequest) *blobPart {
	from, size := 0, len(b.data)
	if r.Blob == b.id {
		from = min(r.Offset, size)
	}
	return &blobPart{ID: b.id, Size: size, Offset: from, Data: b.data[from:min(from+r.PartBytes, size)]}
}

// blobPart is a part of a blob.
type blobPart struct {
	ID blobID `cbor:"1,keyasint"`
	// Size is the size of the whole blob, in bytes.
	Size   int    `cbor:"2,keyasint"`
	Offset int    `cbor:"3,keyasint,omitempty"`
	Data   []byte `cbor:"4,keyasint,omitempty"`
}

// Check reports a part that does not lie within its blob.
func (p *blobPart) Check() keel.Faults {
	var fs keel.Faults
	if p.Offset < 0 || p.Size < 0 || p.Size > maxContentBytes || len(p.Data) > p.Size-p.Offset {
		fs.Add("part", "has %d bytes at %d, must lie within %d bytes, at most %d", len(p.Data), p.Offset, p.Size, maxContentBytes)
	}
	return fs
}
