package keelstore_test

import (
	"os"
	"syscall"
	"testing"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelstore"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// A write fails on a full disk, with all or a part of its data in the file. Once the disk accepts
// data, the store can be used again in the same process, and nothing acknowledged is missing.
func TestReopenAfterFullDisk(t *testing.T) {
	writes := map[string]func(s *keelstore.Store) error{
		"append":   func(s *keelstore.Store) error { return s.Append(entries(1, 4, 6)) },
		"vote":     func(s *keelstore.Store) error { return s.SaveVote(keel.StoredVote{Term: 9, For: "b"}) },
		"snapshot": func(s *keelstore.Store) error { return s.SaveSnapshot(keel.StoredSnapshot{Index: 2, Term: 1}) },
	}
	for name, write := range writes {
		// The failing sync is the first or a later one of the write, which stores several files.
		for failing := 1; failing <= 2; failing++ {
			for _, lost := range []int64{0, 1, 20} { // bytes at the end of the file
				t.Run(name, func(t *testing.T) {
					is := is.New(t)
					full, syncs := false, 0
					cfg := keelstore.Config{Dir: t.TempDir(), Sync: func(f *os.File) error {
						if !full {
							return f.Sync()
						}
						if syncs++; syncs < failing {
							return f.Sync()
						}
						st, err := f.Stat()
						is.NoErr(err)
						is.NoErr(f.Truncate(max(st.Size()-lost, 0)))
						return syscall.ENOSPC
					}}
					s, err := keelstore.Open(cfg)
					is.NoErr(err)
					before, err := s.Load()
					is.NoErr(err)
					is.NoErr(s.SaveVote(keel.StoredVote{Term: 8, For: "a"}))
					is.NoErr(s.Append(entries(1, 1, 3)))
					is.NoErr(s.Reopen()) // no failure, no effect
					full = true
					failed := write(s) != nil
					is.True(failed || failing > 1)
					if failed {
						is.True(errors.Is(s.Reopen(), syscall.ENOSPC)) // still full
						is.True(s.Append(entries(1, 4, 4)) != nil)
					}
					full = false
					is.NoErr(s.Reopen())
					for range 2 {
						st, err := s.Load()
						is.NoErr(err)
						last := st.Snapshot.Index + uint64(len(st.Entries))
						is.True(last >= 3)
						is.True(st.Vote.Term == 8 && st.Vote.For == "a" || name == "vote" && st.Vote.Term == 9 && st.Vote.For == "b")
						is.Equal(st.Vote.Incarnation, before.Vote.Incarnation)
						is.NoErr(s.Append(entries(2, last+1, last+2)))
						is.NoErr(s.Close())
						is.True(s.Reopen() != nil) // closed
						s, err = keelstore.Open(cfg)
						is.NoErr(err)
						again, err := s.Load()
						is.NoErr(err)
						is.Equal(again.Snapshot.Index+uint64(len(again.Entries)), last+2)
						is.NoErr(s.SaveSnapshot(keel.StoredSnapshot{Index: last + 1, Term: 2}))
					}
					is.NoErr(s.Close())
				})
			}
		}
	}
}
