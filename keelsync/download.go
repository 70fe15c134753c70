package keelsync

import (
	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
)

const (
	// firstPartBytes is the size of the first part that is requested. It takes
	// 0.4 s on a link of 1.4 Mbit/s, and holds a patch of 2000 routes.
	firstPartBytes = 64 << 10
	// maxLimitShift limits the growth of the time limit of polls by doubling.
	maxLimitShift = 3
)

// download is a blob that a follower receives in parts.
type download struct {
	blob blob
	size int
	// from is the voter that sent the last part.
	from keel.InstanceName
	// partBytes is the size of the next part. After a failed poll it is the least, since
	// the answer may still arrive, and the next one must not use much of the link again. If
	// it arrives, the size is restored. After a full part it is doubled up to partLimit,
	// half of the size that failed last, and increased by minPartBytes from there on, since
	// the failure may have had another cause than the size.
	partBytes, partLimit int
	// failed is the number of failed polls since the last answer.
	failed int
}

// active reports whether parts of a blob are missing.
func (d *download) active() bool { return d.size > 0 }

// add adds a part. It returns the blob once it is complete. A part of another blob
// than the current one starts that one.
func (d *download) add(p *blobPart, from keel.InstanceName) (*blob, error) {
	if p.ID != d.blob.id {
		d.drop()
	}
	if p.Offset != len(d.blob.data) {
		d.drop()
		return nil, errors.Errorf("part of the state at entry %d begins at %d, want %d", p.ID.Index, p.Offset, len(d.blob.data))
	}
	d.blob.id, d.size, d.from = p.ID, p.Size, from
	d.blob.data = append(d.blob.data, p.Data...)
	if len(p.Data) >= d.partBytes {
		d.growPart()
	}
	if len(d.blob.data) < d.size {
		return nil, nil
	}
	b := d.blob
	d.drop()
	d.partLimit = maxPartBytes
	return &b, nil
}

// growPart increases the size of parts after a full one.
func (d *download) growPart() {
	size := d.partBytes + minPartBytes
	if d.partBytes < d.partLimit {
		size = min(2*d.partBytes, d.partLimit)
	}
	d.partBytes = min(size, maxPartBytes)
}

// drop discards the received parts.
func (d *download) drop() {
	d.blob, d.size, d.from = blob{}, 0, ""
}

// arrived records an answer to a poll that accepted parts of a size. It may be late: then
// the link is slow, but it does not lose what is sent.
func (d *download) arrived(partBytes int) {
	d.failed = 0
	d.partBytes = max(d.partBytes, partBytes)
}

// fail records a poll without an answer. After a second one the next poll goes to
// another voter. The received parts are kept, since that one may have the same
// blob.
func (d *download) fail() {
	d.failed++
	if d.failed > 1 {
		d.from = ""
	}
	d.partLimit = max(d.partBytes/2, minPartBytes)
	d.partBytes = minPartBytes
}

// regrow lets the size of parts, which also limits the entries of an answer, grow
// again after an answer without a part.
func (d *download) regrow() {
	if d.partBytes < firstPartBytes {
		d.growPart()
	}
}

// limitShift returns by how many doublings the time limit of the next poll is
// extended, so that overloaded voters get fewer polls and have more time for each.
func (d *download) limitShift() int { return min(d.failed, maxLimitShift) }
