package keelstore

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"sync"

	keel "github.com/greengagekeel/greengagekeel"

	"github.com/go-faster/errors"
	"github.com/google/renameio/v2"
	"golang.org/x/sys/unix"
)

const (
	defaultSegmentSize = 16 << 20 // bytes
	filePerm           = 0o600
	dirPerm            = 0o700
)

// Config is the configuration of a [Store].
type Config struct {
	// Dir is the data folder. It is created if it does not exist.
	Dir string
	// SegmentSize is the size of a log file from which on entries are written
	// to a new one, in bytes; 0 means 16 MiB.
	SegmentSize int64
	// Sync flushes a written file to disk; nil means fdatasync. Tests use it to
	// inject failures.
	Sync func(f *os.File) error
}

// Store stores a voter's log, vote and snapshot in a data folder. It is safe for
// concurrent use.
type Store struct {
	mu             sync.Mutex
	cfg            Config
	lock           *os.File
	active         *os.File
	size           int64  // of the active file, in bytes
	seq            uint64 // number in the name of the active file
	dataOffset     int64  // offset of the data in the snapshot file, in bytes
	closedSegments []closedSegment
	maxIndex       uint64   // highest index in the active file
	base           position // last entry that the snapshot covers
	terms          []uint64 // of the entries after base
	vote           keel.StoredVote
	// loaded is the state that Open read, until Load returns it or a write makes
	// it outdated.
	loaded *keel.StoredState
	failed error
}

// closedSegment is a log file to which no more records are written.
type closedSegment struct {
	path     string
	maxIndex uint64
}

var _ keel.Storage = (*Store)(nil)

// Open opens the data folder, or initializes it with a new incarnation number if
// it is empty. It truncates an incomplete record at the end of the log; other
// damage is a [*DamageError]. Open fails if another process has the folder open.
func Open(cfg Config) (*Store, error) {
	if cfg.SegmentSize == 0 {
		cfg.SegmentSize = defaultSegmentSize
	}
	if cfg.Sync == nil {
		cfg.Sync = func(f *os.File) error { return unix.Fdatasync(int(f.Fd())) }
	}
	if err := os.MkdirAll(cfg.Dir, dirPerm); err != nil {
		return nil, errors.Wrap(err, "create data folder")
	}
	lock, err := lockDir(cfg.Dir)
	if err != nil {
		return nil, err
	}
	s := &Store{cfg: cfg, lock: lock}
	if err := s.open(); err != nil {
		_ = s.Close()
		return nil, err
	}
	return s, nil
}

func lockDir(dir string) (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(dir, lockFile), os.O_CREATE|os.O_RDWR, filePerm)
	if err != nil {
		return nil, errors.Wrap(err, "open lock file")
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, errors.Wrapf(err, "data folder %s is in use by another process", dir)
	}
	return f, nil
}

func (s *Store) open() error {
	fo, err := readFolder(s.cfg.Dir)
	if err != nil {
		return err
	}
	if fo.fresh {
		return s.create(fo.vote)
	}
	for _, path := range fo.leftovers {
		if err := os.Remove(path); err != nil {
			return errors.Wrap(err, "remove log")
		}
	}
	s.vote, s.base, s.dataOffset = fo.vote, fo.base, fo.dataOffset
	for i := range fo.entries {
		s.terms = append(s.terms, fo.entries[i].Term)
	}
	s.loaded = &keel.StoredState{Vote: fo.vote, Snapshot: fo.snapshot, Entries: fo.entries}
	for i := range fo.segments[:len(fo.segments)-1] {
		f := &fo.segments[i]
		s.closedSegments = append(s.closedSegments, closedSegment{f.path, f.maxIndex()})
	}
	end := &fo.segments[len(fo.segments)-1]
	if err := s.reopen(end); err != nil {
		return err
	}
	if lastPosition(end) != s.last() {
		// The process crashed after a snapshot, before it started a new file.
		return s.roll()
	}
	return nil
}

// lastPosition returns the position of the last entry of f, or of the entry
// before f if it has none.
func lastPosition(f *segmentFile) position {
	if n := len(f.Entries); n > 0 {
		return position{f.Entries[n-1].Index, f.Entries[n-1].Term}
	}
	return position{f.BaseIndex, f.BaseTerm}
}

func (s *Store) create(v keel.StoredVote) error {
	if v.Incarnation == 0 {
		v.Incarnation = newIncarnation()
	}
	if err := s.writeVote(v); err != nil {
		return err
	}
	s.loaded = &keel.StoredState{Vote: v}
	return s.roll()
}

func newIncarnation() uint64 {
	var b [8]byte
	for {
		_, _ = rand.Read(b[:])
		if n := binary.LittleEndian.Uint64(b[:]); n != 0 {
			return n
		}
	}
}

// reopen opens the last log file for appending and truncates a torn record.
func (s *Store) reopen(f *segmentFile) error {
	file, err := os.OpenFile(f.path, os.O_WRONLY|os.O_APPEND, filePerm)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	s.active, s.size, s.seq, s.maxIndex = file, f.Size, f.seq, f.maxIndex()
	if !f.Torn {
		return nil
	}
	if err := file.Truncate(f.Size); err != nil {
		return errors.Wrap(err, "truncate torn record")
	}
	if err := s.cfg.Sync(file); err != nil {
		return errors.Wrapf(err, "sync %s", f.path)
	}
	return nil
}

// Load returns the stored state.
func (s *Store) Load() (keel.StoredState, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed != nil {
		return keel.StoredState{}, s.failed
	}
	if st := s.loaded; st != nil {
		s.loaded = nil
		return *st, nil
	}
	fo, err := readFolder(s.cfg.Dir)
	if err != nil {
		return keel.StoredState{}, err
	}
	return keel.StoredState{Vote: fo.vote, Snapshot: fo.snapshot, Entries: fo.entries}, nil
}

// SaveVote stores the term and the vote. The incarnation number is ignored: it
// stays the one that was chosen when the folder was initialized.
func (s *Store) SaveVote(v keel.StoredVote) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed != nil {
		return s.failed
	}
	s.loaded = nil
	v.Incarnation = s.vote.Incarnation
	return s.recordFailure("the vote", s.writeVote(v))
}

func (s *Store) writeVote(v keel.StoredVote) error {
	payload, err := keel.EncodeCBOR(&v)
	if err != nil {
		return err
	}
	if err := s.replaceFile(voteFile, appendRecord(fileHeader{kind: kindVote}.encode(), 0, payload)); err != nil {
		return err
	}
	s.vote = v
	return nil
}

// Append stores entries with one write and one sync. They replace all stored
// entries from the index of the first one on.
func (s *Store) Append(entries []keel.LogEntry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed != nil {
		return s.failed
	}
	if len(entries) == 0 {
		return nil
	}
	if first := entries[0].Index; first <= s.base.index || first > s.last().index+1 {
		return errors.Errorf("entry %d can't be appended to a log of entries %d to %d", first, s.base.index+1, s.last().index)
	}
	s.loaded = nil
	return s.recordFailure("entries", s.append(entries))
}

func (s *Store) append(entries []keel.LogEntry) error {
	if s.size >= s.cfg.SegmentSize {
		if err := s.roll(); err != nil {
			return err
		}
	}
	var b []byte
	for i := range entries {
		payload, err := keel.EncodeCBOR(&entries[i])
		if err != nil {
			return err
		}
		b = appendRecord(b, s.size, payload)
	}
	if _, err := s.active.Write(b); err != nil {
		return errors.Wrap(err, "write log")
	}
	if err := s.cfg.Sync(s.active); err != nil {
		return errors.Wrapf(err, "sync %s", s.active.Name())
	}
	s.size += int64(len(b))
	s.terms = s.terms[:entries[0].Index-s.base.index-1]
	for i := range entries {
		s.terms = append(s.terms, entries[i].Term)
		s.maxIndex = max(s.maxIndex, entries[i].Index)
	}
	return nil
}

// roll starts a new log file that continues after the last entry.
func (s *Store) roll() error {
	at := s.last()
	name := fmt.Sprintf(logPattern, s.seq+1)
	if err := s.replaceFile(name, fileHeader{kind: kindLog, index: at.index, term: at.term}.encode()); err != nil {
		return err
	}
	path := filepath.Join(s.cfg.Dir, name)
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND, filePerm)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	if s.active != nil {
		s.closedSegments = append(s.closedSegments, closedSegment{s.active.Name(), s.maxIndex})
		_ = s.active.Close()
	}
	s.active, s.size, s.maxIndex = f, headerSize, at.index
	s.seq++
	return nil
}

func (s *Store) last() position {
	if n := len(s.terms); n > 0 {
		return position{s.base.index + uint64(n), s.terms[n-1]}
	}
	return s.base
}

// replaceFile writes the parts to a file and atomically replaces the old one.
func (s *Store) replaceFile(name string, parts ...[]byte) error {
	f, err := renameio.NewPendingFile(filepath.Join(s.cfg.Dir, name), renameio.WithPermissions(filePerm))
	if err != nil {
		return errors.Wrapf(err, "replace %s", name)
	}
	defer func() { _ = f.Cleanup() }()
	for _, b := range parts {
		if _, err := f.Write(b); err != nil {
			return errors.Wrapf(err, "write %s", name)
		}
	}
	if err := s.cfg.Sync(f.File); err != nil {
		return errors.Wrapf(err, "sync %s", name)
	}
	if err := f.CloseAtomicallyReplace(); err != nil {
		return errors.Wrapf(err, "replace %s", name)
	}
	return s.syncDir()
}

func (s *Store) syncDir() error {
	d, err := os.Open(s.cfg.Dir)
	if err != nil {
		return errors.Wrap(err, "open data folder")
	}
	defer func() { _ = d.Close() }()
	if err := d.Sync(); err != nil {
		return errors.Wrap(err, "sync data folder")
	}
	return nil
}

// recordFailure makes every later operation fail with err, if it is not nil.
func (s *Store) recordFailure(op string, err error) error {
	if err == nil {
		return nil
	}
	s.failed = &FailedError{Op: op, Err: err}
	return s.failed
}

// Failed returns the error with which the store rejects every operation, or nil.
func (s *Store) Failed() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failed
}

// Close closes the files and releases the lock on the folder.
func (s *Store) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed == nil {
		s.failed = &FailedError{Op: "close", Err: os.ErrClosed}
	}
	var err error
	if s.active != nil {
		err = s.active.Close()
		s.active = nil
	}
	if s.lock != nil {
		err = errors.Join(err, s.lock.Close())
		s.lock = nil
	}
	return err
}
