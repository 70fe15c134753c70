package keeldeclare_test

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keeldeclare"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func newReplica(tb rapid.TB, cfg keeldeclare.ReplicaConfig) *keeldeclare.Replica {
	tb.Helper()
	r, err := keeldeclare.NewReplica(cfg)
	if err != nil {
		tb.Fatalf("new replica: %v", err)
	}
	return r
}

// exchange lets r fetch once from another replica, including encoding and
// decoding, and returns the size of the response.
func exchange(tb rapid.TB, r, from *keeldeclare.Replica, limit int) int {
	tb.Helper()
	body, err := keel.EncodeCBOR(from.Serve(r.NextRequest(limit)))
	if err != nil {
		tb.Fatalf("encode: %v", err)
	}
	var resp keeldeclare.FetchResponse
	if err := keel.DecodeCBOR(body, &resp); err != nil {
		tb.Fatalf("decode: %v", err)
	}
	if err := r.Install(resp); err != nil {
		tb.Fatalf("install: %v", err)
	}
	return len(body)
}

// catchUp lets r fetch until it has the complete state of the other replica. It
// returns the number of exchanges and the bytes of the responses.
func catchUp(tb rapid.TB, r, from *keeldeclare.Replica, limit int) (exchanges, bytes int) {
	tb.Helper()
	for r.Current().Version < from.Current().Version || r.Current().Partial {
		if exchanges++; exchanges > 100_000 {
			tb.Fatalf("not caught up after 100,000 exchanges: at version %d of %d", r.Current().Version, from.Current().Version)
		}
		bytes += exchange(tb, r, from, limit)
	}
	return exchanges, bytes
}

// voter is a machine and the replica that shares its state.
type voter struct {
	*applier
	replica *keeldeclare.Replica
}

func newVoter(tb rapid.TB, sites int, cfg keeldeclare.ReplicaConfig) *voter {
	v := &voter{replica: newReplica(tb, cfg)}
	v.applier = &applier{tb: tb}
	v.m = keeldeclare.NewMachine(keeldeclare.MachineConfig{OnCommit: func(*keeldeclare.Snapshot) {
		if err := v.replica.AdoptState(v.m); err != nil {
			tb.Fatalf("take over the state of the machine: %v", err)
		}
	}})
	v.apply(siteOps(sites)...)
	return v
}

func block24(i int) netip.Prefix {
	return netip.PrefixFrom(netip.AddrFrom4([4]byte{byte(10 + i>>16), byte(i >> 8), byte(i), 0}), 24)
}

func blockOps(from, to, sites int) []keel.Op {
	var ops []keel.Op
	for i := from; i < to; i++ {
		ops = append(ops, blockPut(block24(i), siteNo(i%sites), siteNo((i/7)%sites)))
	}
	return ops
}

func TestCatchUp(t *testing.T) {
	tests := []struct {
		name         string
		changes      int
		maxLogBytes  int // MaxLogBytes of the serving replica
		blank        bool
		limit        int
		maxExchanges int
	}{
		{"500 changes by delta", 500, 0, false, 64 << 10, 2},
		{"500 changes by delta, paced", 500, 0, false, 4 << 10, 20},
		{"500 changes by full state", 500, 4 << 10, false, 64 << 10, 2},
		{"500 changes by full state, paced", 500, 4 << 10, false, 2 << 10, 20},
		{"blank", 3, 0, true, 64 << 10, 2},
		{"blank, smallest parts", 3, 0, true, 1, 20},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			v := newVoter(t, 20, keeldeclare.ReplicaConfig{MaxLogBytes: tt.maxLogBytes})
			v.apply(blockOps(0, 1000, 20)...)
			r := newReplica(t, keeldeclare.ReplicaConfig{})
			if !tt.blank {
				catchUp(t, r, v.replica, 64<<10)
			}
			for i := range tt.changes {
				v.apply(blockPut(block24(i), siteNo(i%3)), putRegion(fmt.Sprintf("r%d", i%5)))
			}
			n, _ := catchUp(t, r, v.replica, tt.limit)
			is.True(n <= tt.maxExchanges)
			is.Equal(r.Current().Checksum, v.m.Current().Checksum)
			is.Equal(r.Current().FullDeclarations(), v.m.Current().FullDeclarations())
		})
	}
}

// TestRefillWhileChanging fetches the full state in small parts from replicas
// with different versions, one of which is itself partial, while changes are
// applied.
func TestRefillWhileChanging(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := newVoter(t, 20, keeldeclare.ReplicaConfig{})
		v.apply(blockOps(0, 600, 20)...)
		outdated := newReplica(t, keeldeclare.ReplicaConfig{})
		catchUp(t, outdated, v.replica, 64<<10)
		partial := newReplica(t, keeldeclare.ReplicaConfig{})
		var seen []keel.Version
		r := newReplica(t, keeldeclare.ReplicaConfig{OnApply: func(s *keeldeclare.Snapshot) { seen = append(seen, s.Version) }})
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0:
				i := rapid.IntRange(0, 900).Draw(t, "block")
				v.apply(blockPut(block24(i), siteNo(i%20)))
			case 1:
				if _, ok := v.m.Current().Blocks.Get(block24(500)); ok {
					v.apply(blockDelete(block24(500)))
				}
			case 2:
				exchange(t, outdated, v.replica, 64<<10)
			case 3:
				exchange(t, r, outdated, 1)
			case 4:
				exchange(t, partial, v.replica, 1)
			case 5:
				exchange(t, r, partial, 1)
			default:
				exchange(t, r, v.replica, 1)
			}
		}
		catchUp(t, r, v.replica, 64<<10)
		if r.Current().Checksum != v.m.Current().Checksum {
			t.Fatal("replica differs from the machine")
		}
		if !slices.IsSorted(seen) {
			t.Fatalf("versions decreased: %v", seen)
		}
		if len(keeldeclare.Diff(r.Current().FullDeclarations(), v.m.Current().FullDeclarations())) > 0 {
			t.Fatal("declarations differ")
		}
	})
}

// TestResponsesLostAndDoubled installs responses twice, late or not at all.
func TestResponsesLostAndDoubled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := newVoter(t, 20, keeldeclare.ReplicaConfig{})
		r := newReplica(t, keeldeclare.ReplicaConfig{})
		var old []keeldeclare.FetchResponse
		high := keel.Version(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			i := rapid.IntRange(0, 200).Draw(t, "block")
			v.apply(blockOps(i, i+rapid.IntRange(1, 30).Draw(t, "ops"), 20)...)
			old = append(old, v.replica.Serve(r.NextRequest(rapid.SampledFrom([]int{1, 2 << 10, 64 << 10}).Draw(t, "limit"))))
			if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
				continue
			}
			_ = r.Install(rapid.SampledFrom(old).Draw(t, "response")) // may fail
			if r.Current().Version < high {
				t.Fatal("version decreased")
			}
			high = r.Current().Version
		}
		catchUp(t, r, v.replica, 64<<10)
		if r.Current().Checksum != v.m.Current().Checksum {
			t.Fatal("replica differs from the machine")
		}
	})
}

// TestPartial checks an instance whose client blocks are still being fetched:
// it has all other declarations in force and serves the blocks that it has.
func TestPartial(t *testing.T) {
	is := is.New(t)
	v := newVoter(t, 20, keeldeclare.ReplicaConfig{})
	v.apply(blockOps(0, 5000, 20)...)
	dir := t.TempDir()
	r := newReplica(t, keeldeclare.ReplicaConfig{Dir: dir})
	exchange(t, r, v.replica, 1)
	s := r.Current()
	is.Equal(s.Version, v.m.Current().Version)
	is.True(s.Partial)
	is.Equal(s.Declarations, v.m.Current().Declarations)
	is.True(s.Blocks.Len() > 0 && s.Blocks.Len() < 5000)

	peer := newReplica(t, keeldeclare.ReplicaConfig{})
	for range 10 {
		exchange(t, peer, r, 64<<10) // never receives more than r has
	}
	is.Equal(peer.Current().Version, s.Version)
	is.Equal(peer.Current().Blocks.Len(), s.Blocks.Len())

	v.apply(putRegion("thies"), blockDelete(block24(0)), blockDelete(block24(4999)))
	exchange(t, r, v.replica, 1) // a higher version takes precedence over missing blocks
	is.Equal(r.Current().Version, v.m.Current().Version)
	is.Equal(r.Current().Declarations, v.m.Current().Declarations)
	exchange(t, peer, r, 64<<10) // the version is above that of the last part received
	is.Equal(peer.Current().Version, r.Current().Version)
	_, ok := r.Current().Blocks.Get(block24(0))
	is.True(!ok)

	again := newReplica(t, keeldeclare.ReplicaConfig{Dir: dir})
	is.Equal(again.Current().Version, r.Current().Version) // also after a restart
	is.True(again.Current().Partial)
	for _, c := range []*keeldeclare.Replica{r, again, peer} {
		catchUp(t, c, v.replica, 64<<10)
		is.Equal(c.Current().Checksum, v.m.Current().Checksum)
		is.Equal(c.Current().FullDeclarations(), v.m.Current().FullDeclarations())
	}
	is.True(!newReplica(t, keeldeclare.ReplicaConfig{Dir: dir}).Current().Partial)
}

func TestLargeChangeInParts(t *testing.T) {
	is := is.New(t)
	v := newVoter(t, 20, keeldeclare.ReplicaConfig{})
	r := newReplica(t, keeldeclare.ReplicaConfig{})
	catchUp(t, r, v.replica, 64<<10)
	v.apply(blockOps(0, 2000, 20)...)
	first := v.replica.Serve(r.NextRequest(4 << 10))
	is.True(first.Delta.More)
	is.NoErr(r.Install(first))
	is.Equal(r.Current().Version, keel.Version(1)) // nothing is in force until all parts are received
	n, _ := catchUp(t, r, v.replica, 4<<10)
	is.True(n > 5)
	is.Equal(r.Current().Checksum, v.m.Current().Checksum)
}

func TestRestartKeepsVersion(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	v := newVoter(t, 20, keeldeclare.ReplicaConfig{})
	var kept keel.Version
	for i := range 60 { // enough for several base files
		v.apply(blockOps(i*10, i*10+30, 20)...)
		r := newReplica(t, keeldeclare.ReplicaConfig{Dir: dir})
		is.Equal(r.Current().Version, kept) // nothing was lost
		catchUp(t, r, v.replica, 64<<10)
		kept = r.Current().Version
	}
	r := newReplica(t, keeldeclare.ReplicaConfig{Dir: dir})
	is.Equal(r.Current().Checksum, v.m.Current().Checksum)
	is.True(r.Serve(keeldeclare.FetchRequest{From: kept - 1}).Delta != nil) // the change is still served to others
}

func TestDamagedFiles(t *testing.T) {
	tests := []struct {
		name, file string
		damage     func([]byte) []byte
	}{
		{"base, bit flipped", "declarations.base", func(b []byte) []byte { b[len(b)/2] ^= 4; return b }},
		{"base, torn", "declarations.base", func(b []byte) []byte { return b[:len(b)/2] }},
		{"base, empty", "declarations.base", func([]byte) []byte { return nil }},
		{"tail, bit flipped", "declarations.tail", func(b []byte) []byte { b[3] ^= 1; return b }},
		{"tail, torn", "declarations.tail", func(b []byte) []byte { return b[:len(b)-1] }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			dir := t.TempDir()
			v := newVoter(t, 5, keeldeclare.ReplicaConfig{Dir: dir})
			v.apply(putRegion("thies"))
			path := filepath.Join(dir, tt.file)
			data, err := os.ReadFile(path)
			is.NoErr(err)
			is.NoErr(os.WriteFile(path, tt.damage(data), 0o600))
			_, err = keeldeclare.NewReplica(keeldeclare.ReplicaConfig{Dir: dir})
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), tt.file)) // the error names the file
		})
	}
}

// TestWrongDeltaIsRefused installs a delta whose result does not match its
// checksum. The replica must reject it and fetch the full state instead.
func TestWrongDeltaIsRefused(t *testing.T) {
	is := is.New(t)
	v := newVoter(t, 5, keeldeclare.ReplicaConfig{})
	r := newReplica(t, keeldeclare.ReplicaConfig{})
	catchUp(t, r, v.replica, 64<<10)
	v.apply(putRegion("thies"))
	resp := v.replica.Serve(r.NextRequest(0))
	resp.Delta.Ops = []keel.Op{putRegion("louga")}
	is.True(r.Install(resp) != nil)
	is.Equal(r.Current().Version, keel.Version(1))
	v.apply(putRegion("podor"))
	catchUp(t, r, v.replica, 64<<10) // with the full state
	is.Equal(r.Current().Checksum, v.m.Current().Checksum)
}

func TestFolderFull(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	v := newVoter(t, 5, keeldeclare.ReplicaConfig{})
	r := newReplica(t, keeldeclare.ReplicaConfig{Dir: dir})
	is.NoErr(os.RemoveAll(dir)) // so that saving fails
	err := r.Install(v.replica.Serve(r.NextRequest(0)))
	is.True(err != nil)
	is.Equal(r.Current().Version, v.m.Current().Version) // in force nevertheless
	is.True(r.Dump().SaveError != "")
}
