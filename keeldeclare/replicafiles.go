package keeldeclare

import (
	"bufio"
	"encoding/binary"
	"io"
	"os"
	"path/filepath"

	"github.com/go-faster/errors"
	"github.com/google/renameio/v2"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/zeebo/xxh3"
)

const (
	baseFile = "declarations.base"
	tailFile = "declarations.tail"
	// maxTailBytes is the size of the changes since the base above which a new
	// base is written. Up to it, a change does not rewrite the whole table.
	maxTailBytes  = 64 << 10
	checksumBytes = 8
	filePerm      = 0o600
	dirPerm       = 0o700
)

// replicaFiles stores a replica's state in two files: a base, and a tail with
// the changes since the base. Each is replaced atomically and ends with a
// checksum.
type replicaFiles struct {
	dir  string
	base keel.Version // version of the base file; 0 if there is none
}

// tail is the content of the tail file.
type tail struct {
	Records []record `cbor:"1,keyasint"`
}

// Check reports records that are not contiguous.
func (t *tail) Check() keel.Faults {
	var fs keel.Faults
	for i := 1; i < len(t.Records); i++ {
		if t.Records[i].From != t.Records[i-1].To {
			fs.Add("records", "are not contiguous at version %d", t.Records[i].From)
		}
	}
	return fs
}

// load returns the stored state and its records, or nil if there is none.
func (f *replicaFiles) load() (*Snapshot, []record, error) {
	if err := os.MkdirAll(f.dir, dirPerm); err != nil {
		return nil, nil, errors.Wrap(err, "create the folder of the replica")
	}
	h, s, err := f.loadBase()
	if err != nil || s == nil {
		return nil, nil, err
	}
	f.base = s.Version
	t, err := f.loadTail()
	if err != nil {
		return nil, nil, err
	}
	records := h.Records
	for i := range t.Records {
		r := &t.Records[i]
		if r.To <= s.Version {
			continue // the base was replaced, but the old tail was not
		}
		if s, err = s.replayRecord(r); err != nil {
			return nil, nil, errors.Wrapf(err, "file %s", f.path(tailFile))
		}
		records = append(records, *r)
	}
	return s, records, nil
}

// replayRecord applies a record to s and verifies the checksum of the result.
func (s *Snapshot) replayRecord(r *record) (*Snapshot, error) {
	if r.From > s.Version {
		return nil, errors.Errorf("changes from version %d to %d are missing", s.Version, r.From)
	}
	ops, err := r.ops()
	if err != nil {
		return nil, errors.Wrapf(err, "changes to version %d", r.To)
	}
	return s.replay(r.To, ops, r.Checksum, r.BlockSum)
}

func (f *replicaFiles) loadBase() (*stateHeader, *Snapshot, error) {
	file, err := os.Open(f.path(baseFile))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil, nil
	}
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = file.Close() }()
	size, err := verifyChecksum(file)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "file %s", file.Name())
	}
	h, s, err := readState(io.NewSectionReader(file, 0, size))
	if err != nil {
		return nil, nil, errors.Wrapf(err, "file %s", file.Name())
	}
	return h, s, nil
}

// verifyChecksum verifies the checksum at the end of the file and returns the
// number of bytes before it.
func verifyChecksum(file *os.File) (int64, error) {
	st, err := file.Stat()
	if err != nil {
		return 0, err
	}
	size := st.Size() - checksumBytes
	if size < 0 {
		return 0, errors.Errorf("size of %d bytes is too small for a checksum", st.Size())
	}
	h := xxh3.New()
	if _, err := io.Copy(h, io.NewSectionReader(file, 0, size)); err != nil {
		return 0, err
	}
	var stored [checksumBytes]byte
	if _, err := file.ReadAt(stored[:], size); err != nil {
		return 0, err
	}
	if computed := h.Sum64(); computed != binary.BigEndian.Uint64(stored[:]) {
		return 0, errors.Errorf("checksum at offset %d is %x, want %x", size, stored, computed)
	}
	return size, nil
}

func (f *replicaFiles) loadTail() (*tail, error) {
	t := &tail{}
	data, err := os.ReadFile(f.path(tailFile))
	if errors.Is(err, os.ErrNotExist) {
		return t, nil
	}
	if err != nil {
		return nil, err
	}
	size := len(data) - checksumBytes
	if size < 0 || xxh3.Hash(data[:size]) != binary.BigEndian.Uint64(data[size:]) {
		return nil, errors.Errorf("file %s: checksum at offset %d is wrong", f.path(tailFile), max(size, 0))
	}
	if err := keel.DecodeCBOR(data[:size], t); err != nil {
		return nil, errors.Wrapf(err, "file %s", f.path(tailFile))
	}
	return t, nil
}

// save stores s. It writes only the tail if records reach back to the base and
// are small enough, unless newBase is set.
func (f *replicaFiles) save(s *Snapshot, records []record, newBase bool) error {
	if t, ok := f.tailAfterBase(records); ok && !newBase {
		return f.saveTail(t)
	}
	if err := f.saveBase(s, records); err != nil {
		return err
	}
	f.base = s.Version
	return f.saveTail(tail{})
}

// tailAfterBase returns the records since the base. It reports false if some
// are missing or if they are too large for a tail.
func (f *replicaFiles) tailAfterBase(records []record) (tail, bool) {
	if f.base == 0 || len(records) == 0 {
		return tail{}, false
	}
	size := 0
	for i := len(records) - 1; i >= 0; i-- {
		size += records[i].size()
		if size > maxTailBytes {
			return tail{}, false
		}
		if records[i].From <= f.base {
			return tail{Records: records[i:]}, true
		}
	}
	return tail{}, false
}

func (f *replicaFiles) saveTail(t tail) error {
	body, err := keel.EncodeCBOR(t)
	if err != nil {
		return err
	}
	return f.replaceFile(tailFile, func(w io.Writer) error {
		_, err := w.Write(body)
		return err
	})
}

func (f *replicaFiles) saveBase(s *Snapshot, records []record) error {
	return f.replaceFile(baseFile, func(w io.Writer) error {
		return writeState(w, stateHeader{Records: records}, s)
	})
}

// replaceFile writes a file and its checksum and atomically replaces the old
// one. The new file is durable when it returns.
func (f *replicaFiles) replaceFile(name string, write func(io.Writer) error) error {
	file, err := renameio.NewPendingFile(f.path(name), renameio.WithTempDir(f.dir), renameio.WithPermissions(filePerm))
	if err != nil {
		return err
	}
	defer func() { _ = file.Cleanup() }()
	buf := bufio.NewWriter(file)
	h := xxh3.New()
	if err := write(io.MultiWriter(buf, h)); err != nil {
		return err
	}
	if _, err := buf.Write(binary.BigEndian.AppendUint64(nil, h.Sum64())); err != nil {
		return err
	}
	if err := buf.Flush(); err != nil {
		return err
	}
	if err := file.CloseAtomicallyReplace(); err != nil {
		return err
	}
	return syncDir(f.dir)
}

// syncDir makes file replacements in the folder durable.
func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer func() { _ = d.Close() }()
	return d.Sync()
}

func (f *replicaFiles) path(name string) string { return filepath.Join(f.dir, name) }
