package keelstore

import (
	"encoding/binary"
	"fmt"

	"github.com/zeebo/xxh3"
)

// FormatVersion is the version of the file format that this package writes. It
// reads no other.
const FormatVersion = 1

// fileKind says what the records of a file hold.
type fileKind byte

const (
	kindLog      fileKind = 'L'
	kindVote     fileKind = 'V'
	kindSnapshot fileKind = 'S'
)

const (
	magic = "KEEL"

	// Offsets within the file header, in bytes.
	kindAt      = 4
	versionAt   = 5
	baseIndexAt = 8
	baseTermAt  = 16
	headerSumAt = 24
	headerSize  = 32

	// Offsets within the header of a record, in bytes.
	sumAt            = 4
	recordSumAt      = 12
	recordHeaderSize = 16

	// endMark is the last byte of each record. It is not 0, so that a whole
	// record never looks like one whose last sector is missing.
	endMark     = 0x5a
	endMarkSize = 1

	// sectorSize is the unit, in bytes, that a disk writes whole.
	sectorSize = 512
)

// fileHeader starts each file. Index and term of a log file are those of the
// entry before its first record.
type fileHeader struct {
	kind  fileKind
	index uint64
	term  uint64
}

func (h fileHeader) encode() []byte {
	b := make([]byte, headerSize)
	copy(b, magic)
	b[kindAt] = byte(h.kind)
	b[versionAt] = FormatVersion
	binary.LittleEndian.PutUint64(b[baseIndexAt:], h.index)
	binary.LittleEndian.PutUint64(b[baseTermAt:], h.term)
	binary.LittleEndian.PutUint64(b[headerSumAt:], xxh3.Hash(b[:headerSumAt]))
	return b
}

func decodeHeader(file string, b []byte, want fileKind) (fileHeader, error) {
	if len(b) < headerSize {
		return fileHeader{}, &DamageError{file, int64(len(b)), "file ends within its header"}
	}
	if string(b[:kindAt]) != magic {
		return fileHeader{}, &DamageError{file, 0, fmt.Sprintf("starts with %q, want %q", b[:kindAt], magic)}
	}
	if binary.LittleEndian.Uint64(b[headerSumAt:]) != xxh3.Hash(b[:headerSumAt]) {
		return fileHeader{}, &DamageError{file, headerSumAt, "checksum of the file header differs"}
	}
	if b[versionAt] != FormatVersion {
		return fileHeader{}, &DamageError{file, versionAt, fmt.Sprintf("has format version %d, this program reads version %d", b[versionAt], FormatVersion)}
	}
	if fileKind(b[kindAt]) != want {
		return fileHeader{}, &DamageError{file, kindAt, fmt.Sprintf("has kind %q, want %q", b[kindAt], byte(want))}
	}
	return fileHeader{
		kind:  want,
		index: binary.LittleEndian.Uint64(b[baseIndexAt:]),
		term:  binary.LittleEndian.Uint64(b[baseTermAt:]),
	}, nil
}

// appendRecord appends the record of payload to b; offset is where b will stand
// in its file. The checksums depend on the offset, so that a record which was
// moved does not pass.
func appendRecord(b []byte, offset int64, payload []byte) []byte {
	b = append(b, recordHeader(uint64(offset)+uint64(len(b)), payload)...)
	b = append(b, payload...)
	return append(b, endMark)
}

// recordHeader returns the header of a record that stands at an offset of its
// file.
func recordHeader(at uint64, payload []byte) []byte {
	h := make([]byte, recordHeaderSize)
	binary.LittleEndian.PutUint32(h, uint32(len(payload)))
	binary.LittleEndian.PutUint64(h[sumAt:], xxh3.HashSeed(payload, at))
	binary.LittleEndian.PutUint32(h[recordSumAt:], uint32(xxh3.HashSeed(h[:recordSumAt], at)))
	return h
}

// errTorn reports a record that was being written when the process or the
// machine died.
type errTorn struct{ offset int64 }

func (e errTorn) Error() string { return fmt.Sprintf("record at offset %d is not whole", e.offset) }

// readRecord returns the payload of the record at offset and the offset after
// it.
func readRecord(file string, b []byte, offset int64) (payload []byte, next int64, err error) {
	rest := b[offset:]
	if len(rest) < recordHeaderSize {
		return nil, 0, errTorn{offset}
	}
	want := uint32(xxh3.HashSeed(rest[:recordSumAt], uint64(offset)))
	if binary.LittleEndian.Uint32(rest[recordSumAt:]) != want {
		return nil, 0, tornOrDamaged(file, b, offset, "checksum of the record header differs")
	}
	size := int64(binary.LittleEndian.Uint32(rest))
	end := recordHeaderSize + size + endMarkSize
	if int64(len(rest)) < end {
		return nil, 0, errTorn{offset}
	}
	payload = rest[recordHeaderSize : recordHeaderSize+size]
	if rest[end-1] != endMark || binary.LittleEndian.Uint64(rest[sumAt:]) != xxh3.HashSeed(payload, uint64(offset)) {
		return nil, 0, tornOrDamaged(file, b, offset, "checksum of the record differs")
	}
	return payload, offset + end, nil
}

// tornOrDamaged tells a record whose last sectors never reached the disk from
// one that was whole before. A file system that had only extended the file
// returns zeros from a sector's start, or from the record's start, to the end.
func tornOrDamaged(file string, b []byte, offset int64, reason string) error {
	lastSector := (int64(len(b)) - 1) / sectorSize * sectorSize
	if allZero(b[max(offset, lastSector):]) {
		return errTorn{offset}
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
