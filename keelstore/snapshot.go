package keelstore

import (
	"io"
	"os"
	"path/filepath"

	keel "github.com/greengagekeel/greengagekeel"

	"github.com/go-faster/errors"
)

// maxPayload is the largest payload that a record's length field can express, in
// bytes.
const maxPayload = 1<<32 - 1

var _ keel.SnapshotReader = (*Store)(nil)

// SaveSnapshot stores a snapshot and removes the log files whose entries it
// covers. If the log does not contain the snapshot's last entry, all entries are
// dropped.
func (s *Store) SaveSnapshot(snap keel.StoredSnapshot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed != nil {
		return s.failed
	}
	if snap.Index <= s.base.index {
		return errors.Errorf("snapshot at entry %d is not after the start of the log at entry %d", snap.Index, s.base.index)
	}
	s.loaded = nil
	return s.recordFailure("the snapshot", s.saveSnapshot(snap))
}

func (s *Store) saveSnapshot(snap keel.StoredSnapshot) error {
	at := position{snap.Index, snap.Term}
	if err := s.replaceSnapshot(snap); err != nil {
		return err
	}
	drop := at.index - s.base.index
	if drop > uint64(len(s.terms)) || s.terms[drop-1] != at.term {
		s.terms = nil
	} else {
		s.terms = append([]uint64(nil), s.terms[drop:]...)
	}
	s.base = at
	if err := s.roll(); err != nil {
		return err
	}
	return s.removeClosed()
}

// removeClosed removes the closed log files whose entries the snapshot covers,
// or all of them if the log has no entries after the snapshot.
func (s *Store) removeClosed() error {
	for len(s.closedSegments) > 0 && (s.closedSegments[0].maxIndex <= s.base.index || len(s.terms) == 0) {
		if err := os.Remove(s.closedSegments[0].path); err != nil {
			return errors.Wrap(err, "remove log")
		}
		s.closedSegments = s.closedSegments[1:]
	}
	return s.syncDir()
}

// replaceSnapshot writes the snapshot's metadata and its data as two records.
func (s *Store) replaceSnapshot(snap keel.StoredSnapshot) error {
	data := snap.Data
	if len(data) > maxPayload {
		return errors.Errorf("snapshot has %d bytes, the limit is %d", len(data), maxPayload)
	}
	snap.Data = nil
	payload, err := keel.EncodeCBOR(&snap)
	if err != nil {
		return err
	}
	h := fileHeader{kind: kindSnapshot, index: snap.Index, term: snap.Term}
	b := appendRecord(h.encode(), 0, payload)
	dataHeader := recordHeader(uint64(len(b)), data)
	if err := s.replaceFile(snapshotFile, b, dataHeader, data, []byte{endMark}); err != nil {
		return err
	}
	s.dataOffset = int64(len(b) + len(dataHeader))
	return nil
}

// ReadSnapshot implements [keel.SnapshotReader].
func (s *Store) ReadSnapshot(index, offset uint64, p []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed != nil {
		return s.failed
	}
	if index != s.base.index || index == 0 {
		return errors.Errorf("read snapshot at entry %d: the stored one is at entry %d", index, s.base.index)
	}
	f, err := os.Open(filepath.Join(s.cfg.Dir, snapshotFile))
	if err != nil {
		return errors.Wrap(err, "read snapshot")
	}
	defer func() { _ = f.Close() }()
	st, err := f.Stat()
	if err != nil {
		return errors.Wrap(err, "read snapshot")
	}
	size := uint64(st.Size() - s.dataOffset - endMarkSize)
	if offset > size || uint64(len(p)) > size-offset {
		return errors.Wrapf(io.ErrUnexpectedEOF, "read snapshot of %d bytes at offset %d", size, offset)
	}
	if _, err := f.ReadAt(p, s.dataOffset+int64(offset)); err != nil {
		return errors.Wrap(err, "read snapshot")
	}
	return nil
}

// readSnapshot reads the snapshot file into snap. It returns the offset of the
// data in the file, or 0 if there is no snapshot.
func readSnapshot(dir string, snap *keel.StoredSnapshot) (int64, error) {
	path := filepath.Join(dir, snapshotFile)
	b, at, err := readFirstRecord(path, kindSnapshot, (*checkedSnapshot)(snap))
	if err != nil || b == nil {
		return 0, err
	}
	data, end, err := readRecord(path, b, at)
	if err := tornAsDamage(path, err); err != nil {
		return 0, err
	}
	snap.Data = data
	return at + recordHeaderSize, checkNoTrailingData(path, b, end)
}

type checkedSnapshot keel.StoredSnapshot

// Check reports a missing index.
func (s *checkedSnapshot) Check() keel.Faults {
	var fs keel.Faults
	if s.Index == 0 {
		fs.Add("index", "must not be 0")
	}
	return fs
}
