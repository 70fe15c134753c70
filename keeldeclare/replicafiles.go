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
	// maxTailBytes is the size of the changes after the base at which a new
	// base is written. A change then writes a little, not the whole table.
	maxTailBytes = 64 << 10
	sumBytes     = 8
	filePerm     = 0o600
	dirPerm      = 0o700
)

// replicaFiles keeps a replica's state in two files, each replaced at once and
// each ending in a checksum: a base, and the changes after it.
type replicaFiles struct {
	dir  string
	base keel.Version // of the base file; 0 if there is none
}

// tail is the content of the tail file.
type tail struct {
	Records []record `cbor:"1,keyasint"`
}

// Check reports records that don't follow each other.
func (t *tail) Check() keel.Faults {
	var fs keel.Faults
	for i := 1; i < len(t.Records); i++ {
		if t.Records[i].From != t.Records[i-1].To {
			fs.Add("records", "don't follow each other at version %d", t.Records[i].From)
		}
	}
	return fs
}

// load returns the kept state, or nil if there is none.
func (f *replicaFiles) load() (*Snapshot, []record, error) {
	if err := os.MkdirAll(f.dir, dirPerm); err != nil {
		return nil, nil, errors.Wrap(err, "make the folder")
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
			continue // left from before the base was replaced
		}
		if s, err = s.replayRecord(r); err != nil {
			return nil, nil, errors.Wrapf(err, "file %s", f.path(tailFile))
		}
		records = append(records, *r)
	}
	return s, records, nil
}

// replayRecord applies a record and verifies the checksum of the result.
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
	size, err := verifySum(file)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "file %s", file.Name())
	}
	h, s, err := readState(io.NewSectionReader(file, 0, size))
	if err != nil {
		return nil, nil, errors.Wrapf(err, "file %s", file.Name())
	}
	return h, s, nil
}

// verifySum checks the checksum at the end of the file and returns the number
// of bytes before it.
func verifySum(file *os.File) (int64, error) {
	st, err := file.Stat()
	if err != nil {
		return 0, err
	}
	size := st.Size() - sumBytes
	if size < 0 {
		return 0, errors.Errorf("has %d bytes, too few for a checksum", st.Size())
	}
	h := xxh3.New()
	if _, err := io.Copy(h, io.NewSectionReader(file, 0, size)); err != nil {
		return 0, err
	}
	var want [sumBytes]byte
	if _, err := file.ReadAt(want[:], size); err != nil {
		return 0, err
	}
	if got := h.Sum64(); got != binary.BigEndian.Uint64(want[:]) {
		return 0, errors.Errorf("checksum at offset %d is %x, should be %x", size, want, got)
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
	size := len(data) - sumBytes
	if size < 0 || xxh3.Hash(data[:size]) != binary.BigEndian.Uint64(data[size:]) {
		return nil, errors.Errorf("file %s: checksum at offset %d is wrong", f.path(tailFile), max(size, 0))
	}
	if err := keel.DecodeCBOR(data[:size], t); err != nil {
		return nil, errors.Wrapf(err, "file %s", f.path(tailFile))
	}
	return t, nil
}

// save keeps s, to which records lead from the base if they reach back so far.
func (f *replicaFiles) save(s *Snapshot, records []record, newBase bool) error {
	if t, ok := f.tailOf(records); ok && !newBase {
		return f.saveTail(t)
	}
	if err := f.saveBase(s, records); err != nil {
		return err
	}
	f.base = s.Version
	return f.saveTail(tail{})
}

// tailOf returns the records after the base. It reports false if some are
// missing or if they are too large.
func (f *replicaFiles) tailOf(records []record) (tail, bool) {
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
	return f.replace(tailFile, func(w io.Writer) error {
		_, err := w.Write(body)
		return err
	})
}

func (f *replicaFiles) saveBase(s *Snapshot, records []record) error {
	return f.replace(baseFile, func(w io.Writer) error {
		return writeState(w, stateHeader{Records: records}, s)
	})
}

// replace writes a file with its checksum and puts it in place of the old one.
// When it returns, the new file lasts.
func (f *replicaFiles) replace(name string, write func(io.Writer) error) error {
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

// syncDir makes the replacement of a file in the folder last.
func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer func() { _ = d.Close() }()
	return d.Sync()
}

func (f *replicaFiles) path(name string) string { return filepath.Join(f.dir, name) }
