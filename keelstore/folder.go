package keelstore

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"

	keel "github.com/greengagekeel/greengagekeel"

	"github.com/go-faster/errors"
)

// Names of the files in a data folder.
const (
	voteFile     = "vote.keel"
	snapshotFile = "snapshot.keel"
	lockFile     = "lock"
	logPattern   = "log-%016d.keel"
	logGlob      = "log-*.keel"
)

// segmentFile is a log file and its decoded content.
type segmentFile struct {
	path string
	seq  uint64
	Segment
}

func (f *segmentFile) maxIndex() uint64 {
	m := f.BaseIndex
	for i := range f.Entries {
		m = max(m, f.Entries[i].Index)
	}
	return m
}

// folderContents holds the decoded content of a data folder.
type folderContents struct {
	// fresh is true if the folder is empty or holds only the initial vote file,
	// as after a crash while the folder was being created.
	fresh    bool
	vote     keel.StoredVote
	snapshot keel.StoredSnapshot
	// dataOffset is the offset of the data in the snapshot file, in bytes.
	dataOffset int64
	segments   []segmentFile
	// leftovers are the paths of log files that the snapshot replaced and that are back
	// after a loss of power, since their removal was not synced.
	leftovers []string
	// base is the entry before the first of entries.
	base    position
	entries []keel.LogEntry
}

// position identifies an entry of the log.
type position struct{ index, term uint64 }

func (fo *folderContents) last() position {
	if n := len(fo.entries); n > 0 {
		return position{fo.entries[n-1].Index, fo.entries[n-1].Term}
	}
	return fo.base
}

// readFolder reads and verifies every file of dir.
func readFolder(dir string) (folderContents, error) {
	var fo folderContents
	hasVote, err := readVote(dir, &fo.vote)
	if err != nil {
		return fo, err
	}
	if fo.dataOffset, err = readSnapshot(dir, &fo.snapshot); err != nil {
		return fo, err
	}
	hasSnapshot := fo.dataOffset != 0
	if err := fo.readSegments(dir); err != nil {
		return fo, err
	}
	if !hasVote && (hasSnapshot || len(fo.segments) > 0) {
		return fo, &DamageError{filepath.Join(dir, voteFile), 0, "file is missing"}
	}
	if len(fo.segments) == 0 {
		if hasSnapshot || fo.vote.Term > 0 {
			return fo, &DamageError{filepath.Join(dir, fmt.Sprintf(logPattern, 1)), 0, "every file of the log is missing"}
		}
		fo.fresh = true
		return fo, nil
	}
	return fo, fo.replay()
}

// replay rebuilds the entries after the snapshot from the segments.
func (fo *folderContents) replay() error {
	snap := position{fo.snapshot.Index, fo.snapshot.Term}
	fo.base = position{fo.segments[0].BaseIndex, fo.segments[0].BaseTerm}
	for i := range fo.segments {
		seg := &fo.segments[i]
		start := position{seg.BaseIndex, seg.BaseTerm}
		if start != fo.last() || i == 0 {
			// The first file, or one that was started after a snapshot whose last
			// entry the earlier files do not contain.
			if start.index > snap.index {
				return &DamageError{seg.path, baseIndexOffset, fmt.Sprintf("file continues after entry %d, which no earlier file contains", start.index)}
			}
			fo.base, fo.entries = start, nil
		}
		for _, e := range seg.Entries {
			if e.Index <= fo.base.index {
				return &DamageError{seg.path, headerSize, fmt.Sprintf("entry %d is not after the start of the log at entry %d", e.Index, fo.base.index)}
			}
			fo.entries = append(fo.entries[:e.Index-fo.base.index-1], e)
		}
	}
	fo.dropSnapshotted(snap)
	return nil
}

// dropSnapshotted drops the entries that the snapshot covers, or all entries if
// the log does not contain the snapshot's last entry.
func (fo *folderContents) dropSnapshotted(snap position) {
	if fo.base == snap {
		return
	}
	drop := snap.index - fo.base.index
	if n := uint64(len(fo.entries)); drop == 0 || drop > n || fo.entries[drop-1].Term != snap.term {
		fo.entries = nil
	} else {
		fo.entries = slices.Clone(fo.entries[drop:])
	}
	fo.base = snap
}

// readSegments reads the log files. Those before a missing one are leftovers if the file after
// it continues an entry that the snapshot covers: it was started when the log ended there, so
// that they hold nothing that is still part of the log.
func (fo *folderContents) readSegments(dir string) error {
	paths, err := filepath.Glob(filepath.Join(dir, logGlob))
	if err != nil {
		return errors.Wrapf(err, "list log files in %s", dir)
	}
	slices.Sort(paths)
	var files []segmentFile
	for i, path := range paths {
		f := segmentFile{path: path}
		if _, err := fmt.Sscanf(filepath.Base(path), logPattern, &f.seq); err != nil {
			return &DamageError{path, 0, "file name has no number"}
		}
		b, err := os.ReadFile(path)
		if err != nil {
			return errors.Wrap(err, "read log")
		}
		if f.Segment, err = ReadSegment(path, b); err != nil {
			return err
		}
		if f.Torn && i < len(paths)-1 {
			return &DamageError{path, f.Size, "record is incomplete, but another log file follows"}
		}
		if n := len(files); n > 0 && f.seq != files[n-1].seq+1 {
			if f.BaseIndex > fo.snapshot.Index {
				return &DamageError{path, 0, fmt.Sprintf("log file %d is missing", files[n-1].seq+1)}
			}
			fo.leftovers, files = paths[:i], nil
		}
		files = append(files, f)
	}
	fo.segments = files
	return nil
}

// readVote reads the vote file and reports whether it exists.
func readVote(dir string, v *keel.StoredVote) (bool, error) {
	path := filepath.Join(dir, voteFile)
	b, end, err := readFirstRecord(path, kindVote, (*checkedVote)(v))
	if err != nil || b == nil {
		return false, err
	}
	return true, checkNoTrailingData(path, b, end)
}

// readFirstRecord reads a file that is only ever replaced atomically, and decodes
// its first record into v. It returns the file's content and the offset after
// that record, or nil if the file does not exist.
func readFirstRecord(path string, kind fileKind, v keel.Checker) ([]byte, int64, error) {
	b, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, errors.Wrap(err, "read stored state")
	}
	if _, err := decodeHeader(path, b, kind); err != nil {
		return nil, 0, err
	}
	payload, end, err := readRecord(path, b, headerSize)
	if err := tornAsDamage(path, err); err != nil {
		return nil, 0, err
	}
	if err := keel.DecodeCBOR(payload, v); err != nil {
		return nil, 0, &DamageError{path, headerSize, err.Error()}
	}
	return b, end, nil
}

// tornAsDamage converts a torn record to a [*DamageError], for files that are
// only ever replaced atomically.
func tornAsDamage(path string, err error) error {
	if torn := (tornError{}); errors.As(err, &torn) {
		return &DamageError{path, torn.offset, "record is incomplete"}
	}
	return err
}

func checkNoTrailingData(path string, b []byte, end int64) error {
	if end != int64(len(b)) {
		return &DamageError{path, end, "unexpected data after the last record"}
	}
	return nil
}

type checkedVote keel.StoredVote

// Check reports a missing incarnation.
func (v *checkedVote) Check() keel.Faults {
	var fs keel.Faults
	if v.Incarnation == 0 {
		fs.Add("incarnation", "must not be 0")
	}
	return fs
}
