package keelstore_test

import (
	"testing"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelstore"

	"github.com/matryer/is"
)

func entries(term, from, to uint64) []keel.LogEntry {
	var es []keel.LogEntry
	for i := from; i <= to; i++ {
		es = append(es, keel.LogEntry{Index: i, Term: term, Type: keel.EntryCommand, Data: []byte{byte(i), byte(term), 0}})
	}
	return es
}

// storages returns, for each storage implementation, a function that opens it
// again as after a restart.
func storages(t *testing.T) map[string]func() keel.Storage {
	dir := t.TempDir()
	mem := keelstore.NewMemory()
	var open *keelstore.Store
	return map[string]func() keel.Storage{
		"memory": func() keel.Storage { mem.Reopen(); return mem },
		"files": func() keel.Storage {
			if open != nil {
				is.New(t).NoErr(open.Close())
			}
			var err error
			open, err = keelstore.Open(keelstore.Config{Dir: dir, SegmentSize: 200})
			is.New(t).NoErr(err)
			t.Cleanup(func() { _ = open.Close() })
			return open
		},
	}
}

func TestStorage(t *testing.T) {
	snap := func(index, term uint64) keel.StoredSnapshot {
		return keel.StoredSnapshot{Index: index, Term: term, Data: []byte("state")}
	}
	tests := []struct {
		name        string
		steps       func(s keel.Storage) []error
		first, last uint64
		snapshot    uint64
	}{
		{"empty", func(keel.Storage) []error { return nil }, 0, 0, 0},
		{"append", func(s keel.Storage) []error { return []error{s.Append(entries(1, 1, 3)), s.Append(entries(1, 4, 30))} }, 1, 30, 0},
		{"replace tail", func(s keel.Storage) []error { return []error{s.Append(entries(1, 1, 20)), s.Append(entries(2, 5, 6))} }, 1, 6, 0},
		{"snapshot inside", func(s keel.Storage) []error { return []error{s.Append(entries(1, 1, 20)), s.SaveSnapshot(snap(15, 1))} }, 16, 20, 15},
		{"snapshot of all", func(s keel.Storage) []error {
			return []error{s.Append(entries(1, 1, 20)), s.SaveSnapshot(snap(20, 1)), s.Append(entries(2, 21, 22))}
		}, 21, 22, 20},
		{"snapshot beyond", func(s keel.Storage) []error {
			return []error{s.Append(entries(1, 1, 3)), s.SaveSnapshot(snap(50, 4)), s.Append(entries(4, 51, 51))}
		}, 51, 51, 50},
		{"snapshot of other term", func(s keel.Storage) []error { return []error{s.Append(entries(1, 1, 20)), s.SaveSnapshot(snap(10, 2))} }, 0, 0, 10},
		{"snapshots", func(s keel.Storage) []error {
			return []error{s.Append(entries(1, 1, 40)), s.SaveSnapshot(snap(30, 1)), s.Append(entries(1, 41, 60)), s.SaveSnapshot(snap(45, 1)), s.SaveVote(keel.StoredVote{Term: 1, For: "a"})}
		}, 46, 60, 45},
	}
	for _, tt := range tests {
		for kind, open := range storages(t) {
			t.Run(tt.name+"/"+kind, func(t *testing.T) {
				is := is.New(t)
				s := open()
				before, err := s.Load()
				is.NoErr(err)
				for _, err := range tt.steps(s) {
					is.NoErr(err)
				}
				live, err := s.Load()
				is.NoErr(err)
				again, err := open().Load()
				is.NoErr(err)
				is.Equal(again, live)                                     // a restart changes nothing
				is.Equal(again.Vote.Incarnation, before.Vote.Incarnation) // same disk
				is.Equal(again.Snapshot.Index, tt.snapshot)
				part := make([]byte, 3)
				err = open().(keel.SnapshotReader).ReadSnapshot(tt.snapshot, 2, part)
				is.Equal(err == nil, tt.snapshot > 0)
				is.True(err != nil || string(part) == "ate")
				is.True(open().(keel.SnapshotReader).ReadSnapshot(tt.snapshot, 3, part) != nil) // beyond the end
				if tt.last == 0 {
					is.Equal(len(again.Entries), 0)
					return
				}
				is.Equal(again.Entries[0].Index, tt.first)
				is.Equal(again.Entries[len(again.Entries)-1].Index, tt.last)
			})
		}
	}
}
