package keelstore

import (
	"os"
	"path/filepath"
	"slices"

	"github.com/go-faster/errors"
)

// Reopen makes the store usable again after a failed write, once the disk accepts
// data again. [Store.Load] then returns the stored state. Reopen does nothing if no
// write failed, and returns the error that makes the store unusable if it fails.
func (s *Store) Reopen() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed == nil {
		return nil
	}
	if s.lock == nil {
		return s.failed // closed
	}
	if err := s.rewriteUnsynced(); err != nil {
		return err
	}
	if s.active != nil {
		_ = s.active.Close()
	}
	s.active, s.closedSegments, s.terms, s.loaded = nil, nil, nil, nil
	if err := s.open(); err != nil {
		return err
	}
	s.failed = nil
	return nil
}

// rewriteUnsynced replaces the vote file and the last log file by copies. After a
// failed sync, the system may discard data that it still returns to readers, and a
// second sync of the same file may report success. The other files were synced
// before the write that failed, or before they got their names.
func (s *Store) rewriteUnsynced() error {
	paths, err := filepath.Glob(filepath.Join(s.cfg.Dir, logGlob))
	if err != nil {
		return errors.Wrapf(err, "list log files in %s", s.cfg.Dir)
	}
	if len(paths) > 0 {
		path := slices.Max(paths)
		b, err := os.ReadFile(path)
		if err != nil {
			return errors.Wrap(err, "read log")
		}
		seg, err := ReadSegment(path, b)
		if err != nil {
			return err
		}
		if err := s.replaceFile(filepath.Base(path), b[:seg.Size]); err != nil {
			return err
		}
	}
	return s.writeVote(s.vote)
}
