package keelstore

import (
	"fmt"

	keel "github.com/greengagekeel/greengagekeel"

	"github.com/go-faster/errors"
)

// Segment is the decoded content of one log file.
type Segment struct {
	// BaseIndex and BaseTerm are those of the entry before the first record.
	BaseIndex uint64
	BaseTerm  uint64
	// Entries holds the entries in the order in which they were written. An
	// entry replaces all earlier ones whose index is not below its own.
	Entries []keel.LogEntry
	// Size is the length of the file header and the complete records, in bytes.
	Size int64
	// Torn is true if an incomplete record follows the complete ones.
	Torn bool
}

// storedEntry is a log entry that is checked when it is decoded.
type storedEntry struct{ keel.LogEntry }

// Check reports an entry without an index or of an unknown type.
func (e *storedEntry) Check() keel.Faults {
	var fs keel.Faults
	if e.Index == 0 {
		fs.Add("index", "must not be 0")
	}
	if e.Type > keel.EntryVoters {
		fs.Add("type", "is %d, the last known type is %d", e.Type, keel.EntryVoters)
	}
	return fs
}

// ReadSegment decodes the content b of the named log file. An incomplete record
// ends the segment; any other damage is a [*DamageError].
func ReadSegment(file string, b []byte) (Segment, error) {
	h, err := decodeHeader(file, b, kindLog)
	if err != nil {
		return Segment{}, err
	}
	seg := Segment{BaseIndex: h.index, BaseTerm: h.term, Size: headerSize}
	last := h.index
	for seg.Size < int64(len(b)) {
		payload, next, err := readRecord(file, b, seg.Size)
		if torn := (tornError{}); errors.As(err, &torn) {
			seg.Torn = true
			return seg, nil
		}
		if err != nil {
			return Segment{}, err
		}
		e, err := decodeEntry(file, seg.Size, payload, last)
		if err != nil {
			return Segment{}, err
		}
		last = e.Index
		seg.Entries = append(seg.Entries, e)
		seg.Size = next
	}
	return seg, nil
}

func decodeEntry(file string, offset int64, payload []byte, last uint64) (keel.LogEntry, error) {
	var e storedEntry
	if err := keel.DecodeCBOR(payload, &e); err != nil {
		return keel.LogEntry{}, &DamageError{file, offset, err.Error()}
	}
	if e.Index > last+1 {
		return keel.LogEntry{}, &DamageError{file, offset, fmt.Sprintf("entry %d follows entry %d", e.Index, last)}
	}
	return e.LogEntry, nil
}
