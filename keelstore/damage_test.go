package keelstore_test

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelstore"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// filledFolder creates a data folder with a snapshot at entry 5, several log
// files and entries up to 20.
func filledFolder(t testing.TB) string {
	is := is.New(t)
	dir := t.TempDir()
	s, err := keelstore.Open(keelstore.Config{Dir: dir, SegmentSize: 120})
	is.NoErr(err)
	is.NoErr(s.SaveVote(keel.StoredVote{Term: 1, For: "a"}))
	for i := uint64(1); i <= 10; i++ {
		is.NoErr(s.Append(entries(1, i, i)))
	}
	is.NoErr(s.SaveSnapshot(keel.StoredSnapshot{Index: 5, Term: 1, Voters: []keel.Voter{{Name: "a", Incarnation: 1}}, Data: []byte("state")}))
	for i := uint64(11); i <= 20; i++ {
		is.NoErr(s.Append(entries(1, i, i)))
	}
	is.NoErr(s.Close())
	return dir
}

func logFiles(t testing.TB, dir string) []string {
	names, err := filepath.Glob(filepath.Join(dir, "log-*.keel"))
	is.New(t).NoErr(err)
	return names
}

// lastEntry opens the folder and returns the index of the last entry.
func lastEntry(dir string) (uint64, error) {
	s, err := keelstore.Open(keelstore.Config{Dir: dir})
	if err != nil {
		return 0, err
	}
	defer func() { _ = s.Close() }()
	st, err := s.Load()
	if err != nil || len(st.Entries) == 0 {
		return st.Snapshot.Index, err
	}
	return st.Entries[len(st.Entries)-1].Index, nil
}

// TestTornTail truncates the last log file at every length, with and without
// zeros appended. Only in that file is an incomplete record at the end an
// interrupted write, and reading the file must return only complete entries.
func TestTornTail(t *testing.T) {
	is := is.New(t)
	source := filledFolder(t)
	files := logFiles(t, source)
	last := files[len(files)-1]
	whole, err := os.ReadFile(last)
	is.NoErr(err)
	seg, err := keelstore.ReadSegment(last, whole)
	is.NoErr(err)
	const headerSize = 32
	for n := headerSize; n < len(whole); n++ {
		for _, zeros := range []int{0, 700} {
			cut := append(slices.Clone(whole[:n]), make([]byte, zeros)...)
			got, err := keelstore.ReadSegment(last, cut)
			if zeros > 0 && err != nil {
				// Zeros that start within a sector that holds data may also be
				// reported as damage.
				continue
			}
			is.NoErr(err)
			is.True(len(got.Entries) <= len(seg.Entries) && got.Size <= int64(n))
			is.Equal(append([]keel.LogEntry{}, got.Entries...), seg.Entries[:len(got.Entries):len(got.Entries)])
			is.Equal(got.Torn, got.Size < int64(len(cut)))
		}
	}
	is.NoErr(os.WriteFile(last, whole[:len(whole)-3], 0o600))
	r, err := keelstore.Verify(source)
	is.NoErr(err)
	is.True(r.Files[len(r.Files)-1].Torn)
	index, err := lastEntry(source)
	is.NoErr(err)
	is.Equal(index, uint64(19))
	r, err = keelstore.Verify(source)
	is.NoErr(err)
	is.True(!r.Files[len(r.Files)-1].Torn) // truncated when opened
	is.Equal(r.Last, uint64(19))
	is.True(strings.Contains(r.String(), "entry 19: term 1, command, 3 bytes"))
}

// TestBitFlips flips every bit of every file. Each must be reported as damage,
// with the file and an offset that is not after the bit; only a checksum mismatch
// of the file header is reported at the checksum itself.
func TestBitFlips(t *testing.T) {
	is := is.New(t)
	dir := filledFolder(t)
	names := append(logFiles(t, dir), filepath.Join(dir, "vote.keel"), filepath.Join(dir, "snapshot.keel"))
	is.True(len(names) > 3)
	for _, name := range names {
		whole, err := os.ReadFile(name)
		is.NoErr(err)
		for bit := range len(whole) * 8 {
			b := slices.Clone(whole)
			b[bit/8] ^= 1 << (bit % 8)
			is.NoErr(os.WriteFile(name, b, 0o600))
			_, err := keelstore.Verify(dir)
			var damage *keelstore.DamageError
			if !errors.As(err, &damage) || damage.File != name || damage.Offset > int64(bit/8) && damage.Offset != 24 {
				t.Fatalf("%s: bit %d flipped: got %v", name, bit, err)
			}
		}
		is.NoErr(os.WriteFile(name, whole, 0o600))
	}
	_, err := keelstore.Verify(dir)
	is.NoErr(err)
}

func TestMissingAndForeignFiles(t *testing.T) {
	tests := []struct {
		name, want string
		damage     func(dir string, logs []string) error
	}{
		{"vote", "file is missing", func(dir string, _ []string) error { return os.Remove(filepath.Join(dir, "vote.keel")) }},
		{"snapshot", "which no earlier file contains", func(dir string, _ []string) error { return os.Remove(filepath.Join(dir, "snapshot.keel")) }},
		{"first log file", "which no earlier file contains", func(_ string, logs []string) error { return os.Remove(logs[0]) }},
		{"log file between", "is missing", func(_ string, logs []string) error { return os.Remove(logs[1]) }},
		{"all log files", "every file of the log is missing", func(_ string, logs []string) error {
			for _, name := range logs {
				if err := os.Remove(name); err != nil {
					return err
				}
			}
			return nil
		}},
		{"log file under another name", "", func(_ string, logs []string) error { return os.Rename(logs[0], logs[1]) }},
		{"torn file before the last", "another log file follows", func(_ string, logs []string) error { return os.Truncate(logs[0], 100) }},
		{"vote in place of a log", `want "KEEL"`, func(_ string, logs []string) error { return os.WriteFile(logs[0], make([]byte, 99), 0o600) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			dir := filledFolder(t)
			is.NoErr(tt.damage(dir, logFiles(t, dir)))
			_, err := lastEntry(dir)
			var damage *keelstore.DamageError
			is.True(errors.As(err, &damage))
			is.True(strings.Contains(err.Error(), tt.want))
		})
	}
}

// TestFailedSync checks that the store rejects every operation after a failed
// sync, and that a restart finds every acknowledged entry.
func TestFailedSync(t *testing.T) {
	writes := map[string]func(s *keelstore.Store) error{
		"append":   func(s *keelstore.Store) error { return s.Append(entries(1, 4, 4)) },
		"vote":     func(s *keelstore.Store) error { return s.SaveVote(keel.StoredVote{Term: 9}) },
		"snapshot": func(s *keelstore.Store) error { return s.SaveSnapshot(keel.StoredSnapshot{Index: 2, Term: 1}) },
	}
	for name, write := range writes {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			diskFull := false
			cfg := keelstore.Config{Dir: t.TempDir(), Sync: func(f *os.File) error {
				if diskFull {
					return syscall.ENOSPC
				}
				return f.Sync()
			}}
			s, err := keelstore.Open(cfg)
			is.NoErr(err)
			_, err = keelstore.Open(cfg)
			is.True(err != nil) // the folder is in use
			is.NoErr(s.Append(entries(1, 1, 3)))
			diskFull = true
			var failed *keelstore.FailedError
			is.True(errors.As(write(s), &failed))
			is.True(errors.Is(s.Failed(), syscall.ENOSPC))
			diskFull = false
			for _, again := range writes {
				is.True(errors.As(again(s), &failed)) // stays failed
			}
			is.NoErr(s.Close())
			index, err := lastEntry(cfg.Dir)
			is.NoErr(err)
			is.True(index == 3 || index == 4) // entry 4 was written but not acknowledged
		})
	}
}

func FuzzReadSegment(f *testing.F) {
	for _, name := range logFiles(f, filledFolder(f)) {
		b, err := os.ReadFile(name)
		is.New(f).NoErr(err)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		seg, err := keelstore.ReadSegment("log", b)
		var damage *keelstore.DamageError
		if err != nil && !errors.As(err, &damage) {
			t.Fatal(err)
		}
		if err == nil && seg.Torn != (seg.Size < int64(len(b))) {
			t.Fatalf("complete records take %d of %d bytes, torn is %v", seg.Size, len(b), seg.Torn)
		}
	})
}

func BenchmarkWrite(b *testing.B) {
	next := uint64(0)
	batch := func(n uint64) func(s *keelstore.Store) error {
		return func(s *keelstore.Store) error { next += n; return s.Append(entries(1, next-n+1, next)) }
	}
	snapshot := func(size int) func(s *keelstore.Store) error {
		data := make([]byte, size)
		return func(s *keelstore.Store) error {
			next++
			return s.SaveSnapshot(keel.StoredSnapshot{Index: next, Term: 1, Data: data})
		}
	}
	for name, write := range map[string]func(s *keelstore.Store) error{
		"1 entry": batch(1), "32 entries": batch(32), "snapshot of 1 MiB": snapshot(1 << 20), "snapshot of 32 MiB": snapshot(32 << 20),
	} {
		b.Run(name, func(b *testing.B) {
			s, err := keelstore.Open(keelstore.Config{Dir: b.TempDir()})
			is.New(b).NoErr(err)
			next = 0
			for b.Loop() {
				is.New(b).NoErr(write(s))
			}
			is.New(b).NoErr(s.Close())
		})
	}
}

// TestRemovedFilesReturn loses power after a snapshot has replaced log files whose removal was
// not synced: any of them may be back, without the others. The state is the same.
func TestRemovedFilesReturn(t *testing.T) {
	is := is.New(t)
	dir := filledFolder(t)
	before := map[string][]byte{}
	for _, name := range logFiles(t, dir) {
		data, err := os.ReadFile(name)
		is.NoErr(err)
		before[name] = data
	}
	s, err := keelstore.Open(keelstore.Config{Dir: dir, SegmentSize: 120})
	is.NoErr(err)
	_, err = s.Load()
	is.NoErr(err)
	is.NoErr(s.SaveSnapshot(keel.StoredSnapshot{Index: 18, Term: 1, Voters: []keel.Voter{{Name: "a", Incarnation: 1}}, Data: []byte("later")}))
	is.NoErr(s.Close())
	kept := logFiles(t, dir)
	var removed []string
	for name := range before {
		if !slices.Contains(kept, name) {
			removed = append(removed, name)
		}
	}
	slices.Sort(removed)
	is.True(len(removed) >= 3)
	for subset := 1; subset < 1<<min(len(removed), 6); subset++ {
		for i, name := range removed[:min(len(removed), 6)] {
			if subset&(1<<i) != 0 {
				is.NoErr(os.WriteFile(name, before[name], 0o600))
			} else if err := os.Remove(name); err != nil && !os.IsNotExist(err) {
				t.Fatal(err)
			}
		}
		last, err := lastEntry(dir)
		if err != nil || last != 20 {
			t.Errorf("subset %b of %d removed files is back: last entry %d, %v", subset, len(removed), last, err)
		}
	}
}
