package keelguard

import (
	"encoding/binary"
	"strconv"

	"github.com/go-faster/errors"
	"github.com/zeebo/xxh3"

	keel "github.com/greengagekeel/greengagekeel"
)

// ID identifies a request by its content, so that a resend has the same one.
type ID uint64

// Fingerprint returns the identity of a request. The key is empty for a request
// without one.
func Fingerprint(service keel.ServiceName, method, path, key string, bodyHash uint64) ID {
	var buf [stackBytes]byte // the state of a streaming hasher would be larger
	text := buf[:0]
	text = appendPart(text, string(service))
	text = appendPart(text, method)
	text = appendPart(text, path)
	text = appendPart(text, key)
	return ID(xxh3.Hash(binary.LittleEndian.AppendUint64(text, bodyHash)))
}

// stackBytes is the length up to which the hashed text needs no heap allocation.
const stackBytes = 512

// appendPart appends the length before the part, so that different lists of
// parts never give the same bytes.
func appendPart(text []byte, part string) []byte {
	text = binary.LittleEndian.AppendUint32(text, uint32(len(part)))
	return append(text, part...)
}

// idBase is the base in which fingerprints are written.
const idBase = 16

// String returns the fingerprint as it is written in refusals and labels.
func (id ID) String() string { return strconv.FormatUint(uint64(id), idBase) }

// MarshalText implements [encoding.TextMarshaler].
func (id ID) MarshalText() ([]byte, error) { return []byte(id.String()), nil }

// ParseID parses a fingerprint as [ID.String] writes it.
func ParseID(s string) (ID, error) {
	n, err := strconv.ParseUint(s, idBase, 64)
	if err != nil || ID(n).String() != s {
		return 0, errors.Errorf("%q is not a fingerprint", s)
	}
	return ID(n), nil
}
