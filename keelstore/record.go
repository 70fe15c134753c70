package keelstore

import (
	"encoding/binary"
	"fmt"

	"github.com/zeebo/xxh3"
)

// FormatVersion is the version of the file format, the only one that this
// package reads and writes.
const FormatVersion = 1

// fileKind is the type of a file's records.
type fileKind byte

const (
	kindLog      fileKind = 'L'
	kindVote     fileKind = 'V'
	kindSnapshot fileKind = 'S'
)

const (
	magic = "KEEL"

	// Offsets within the file header, in bytes.
	kindOffset      = 4
	versionOffset   = 5
	baseIndexOffset = 8
	baseTermOffset  = 16
	headerSumOffset = 24
	headerSize      = 32

	// Offsets within the header of a record, in bytes.
	payloadSumOffset      = 4
	recordHeaderSumOffset = 12
	recordHeaderSize      = 16

	// endMark is the last byte of each record. It is not 0, so that a complete
	// record can't be mistaken for one whose last sector was never written.
	endMark     = 0x5a
	endMarkSize = 1

	// sectorSize is the unit that a disk writes atomically, in bytes.
	sectorSize = 512
)

// fileHeader is the header at the start of each file. In a log file, index and
// term are those of the entry before its first record; in a snapshot file, those
// of the snapshot. In a vote file, they are 0.
type fileHeader struct {
	kind  fileKind
	index uint64
	term  uint64
}

func (h fileHeader) encode() []byte {
	b := make([]byte, headerSize)
	copy(b, magic)
	b[kindOffset] = byte(h.kind)
	b[versionOffset] = FormatVersion
	binary.LittleEndian.PutUint64(b[baseIndexOffset:], h.index)
	binary.LittleEndian.PutUint64(b[baseTermOffset:], h.term)
	binary.LittleEndian.PutUint64(b[headerSumOffset:], xxh3.Hash(b[:headerSumOffset]))
	return b
}

func decodeHeader(file string, b []byte, want fileKind) (fileHeader, error) {
	if len(b) < headerSize {
		return fileHeader{}, &DamageError{file, int64(len(b)), "file ends within its header"}
	}
	if string(b[:kindOffset]) != magic {
		return fileHeader{}, &DamageError{file, 0, fmt.Sprintf("starts with %q, want %q", b[:kindOffset], magic)}
	}
	if binary.LittleEndian.Uint64(b[headerSumOffset:]) != xxh3.Hash(b[:headerSumOffset]) {
		return fileHeader{}, &DamageError{file, headerSumOffset, "checksum of the file header does not match"}
	}
	if b[versionOffset] != FormatVersion {
		return fileHeader{}, &DamageError{file, versionOffset, fmt.Sprintf("has format version %d, this program reads version %d", b[versionOffset], FormatVersion)}
	}
	if fileKind(b[kindOffset]) != want {
		return fileHeader{}, &DamageError{file, kindOffset, fmt.Sprintf("has kind %q, want %q", b[kindOffset], byte(want))}
	}
	return fileHeader{
		kind:  want,
		index: binary.LittleEndian.Uint64(b[baseIndexOffset:]),
		term:  binary.LittleEndian.Uint64(b[baseTermOffset:]),
	}, nil
}

// appendRecord appends a record with the payload to b; offset is where b starts
// in the file. The offset is part of the checksums, so that a record at the
// wrong position is detected.
func appendRecord(b []byte, offset int64, payload []byte) []byte {
	b = append(b, recordHeader(uint64(offset)+uint64(len(b)), payload)...)
	b = append(b, payload...)
	return append(b, endMark)
}

// recordHeader returns the header of a record that starts at offset at of its
// file.
func recordHeader(at uint64, payload []byte) []byte {
	h := make([]byte, recordHeaderSize)
	binary.LittleEndian.PutUint32(h, uint32(len(payload)))
	binary.LittleEndian.PutUint64(h[payloadSumOffset:], xxh3.HashSeed(payload, at))
	binary.LittleEndian.PutUint32(h[recordHeaderSumOffset:], uint32(xxh3.HashSeed(h[:recordHeaderSumOffset], at)))
	return h
}

// tornError reports a record whose write was interrupted by a crash of the
// process or the machine.
type tornError struct{ offset int64 }

func (e tornError) Error() string { return fmt.Sprintf("record at offset %d is incomplete", e.offset) }

// readRecord returns the payload of the record at offset, and the offset of the
// next record.
func readRecord(file string, b []byte, offset int64) (payload []byte, next int64, err error) {
	rest := b[offset:]
	if len(rest) < recordHeaderSize {
		return nil, 0, tornError{offset}
	}
	want := uint32(xxh3.HashSeed(rest[:recordHeaderSumOffset], uint64(offset)))
	if binary.LittleEndian.Uint32(rest[recordHeaderSumOffset:]) != want {
		return nil, 0, tornOrDamaged(file, b, offset, "checksum of the record header does not match")
	}
	size := int64(binary.LittleEndian.Uint32(rest))
	end := recordHeaderSize + size + endMarkSize
	if int64(len(rest)) < end {
		return nil, 0, tornError{offset}
	}
	payload = rest[recordHeaderSize : recordHeaderSize+size]
	if rest[end-1] != endMark || binary.LittleEndian.Uint64(rest[payloadSumOffset:]) != xxh3.HashSeed(payload, uint64(offset)) {
		return nil, 0, tornOrDamaged(file, b, offset, "checksum of the record does not match")
	}
	return payload, offset + end, nil
}

// tornOrDamaged returns a [tornError] if the last sectors of the record were
// never written, and a [*DamageError] if the record was damaged after it had
// been written. If a file system extended the file but did not write the data,
// the file reads as zeros from the start of a sector, or of the record, to its
// end.
func tornOrDamaged(file string, b []byte, offset int64, reason string) error {
	lastSector := (int64(len(b)) - 1) / sectorSize * sectorSize
	if allZero(b[max(offset, lastSector):]) {
		return tornError{offset}
	}
	return &DamageError{file, offset, reason}
}

func allZero(b []byte) bool {
	for _, c := range b {
		if c != 0 {
			return false
		}
	}
	return true
}
