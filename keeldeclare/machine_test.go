package keeldeclare_test

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keeldeclare"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func encodedChange(t rapid.TB, id string, base keel.Version, ops ...keel.Op) []byte {
	t.Helper()
	b, err := keel.EncodeCBOR(keel.Change{
		ID: keel.ChangeID(id), Base: base, Author: "ndeye",
		Time: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), Ops: ops,
	})
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func putRegion(name string) keel.Op {
	return keel.Op{Action: keel.OpPut, Kind: keel.KindRegion, Name: name, Region: &keel.Region{Name: keel.RegionName(name)}}
}

func TestRaceOnOneVersion(t *testing.T) {
	is := is.New(t)
	m := keeldeclare.NewMachine(keeldeclare.MachineConfig{})
	for i := range 20 {
		m.Apply(uint64(i+1), encodedChange(t, fmt.Sprintf("c%d", i), 0, putRegion(fmt.Sprintf("r%d", i))))
	}
	won, _ := m.Outcome("c0")
	is.Equal(won.Status, keel.OutcomeAccepted)
	for i := 1; i < 20; i++ {
		o, ok := m.Outcome(keel.ChangeID(fmt.Sprintf("c%d", i)))
		is.True(ok)
		is.Equal(o.Status, keel.OutcomeConflict)
		is.Equal(o.Winner, keel.ChangeID("c0"))
	}
	is.Equal(m.Current().Version, keel.Version(1))
	is.Equal(len(m.Current().Declarations.Regions), 1)
}

func TestOutcomes(t *testing.T) {
	region := putRegion("dakar")
	tests := []struct {
		name  string
		base  keel.Version
		ops   []keel.Op
		want  keel.OutcomeStatus
		fault string // expected part of the faults
	}{
		{"accepted", 1, []keel.Op{putRegion("thies")}, keel.OutcomeAccepted, ""},
		{"old base", 0, []keel.Op{putRegion("thies")}, keel.OutcomeConflict, ""},
		{"base above the current version", 9, []keel.Op{putRegion("thies")}, keel.OutcomeConflict, ""},
		{"no operations", 1, nil, keel.OutcomeInvalid, "ops"},
		{"unknown kind", 1, []keel.Op{{Action: keel.OpDelete, Kind: "moon", Name: "x"}}, keel.OutcomeInvalid, "moon"},
		{"delete of an undeclared site", 1, []keel.Op{{Action: keel.OpDelete, Kind: keel.KindSite, Name: "x"}}, keel.OutcomeInvalid, `site "x" is not declared`},
		{"site in use", 1, []keel.Op{{Action: keel.OpDelete, Kind: keel.KindSite, Name: "site-000"}}, keel.OutcomeInvalid, "10.0.0.0/24"},
		{"region in use", 1, []keel.Op{{Action: keel.OpDelete, Kind: keel.KindRegion, Name: region.Name}}, keel.OutcomeInvalid, "region"},
		{"unknown site", 1, []keel.Op{blockPut(block24(9), "nowhere")}, keel.OutcomeInvalid, "nowhere"},
		{"nine sites", 1, []keel.Op{blockPut(block24(9), slices.Repeat([]keel.SiteName{siteNo(0)}, 9)...)}, keel.OutcomeInvalid, "sites"},
		{"put and delete", 1, []keel.Op{putRegion("x"), {Action: keel.OpDelete, Kind: keel.KindRegion, Name: "x"}}, keel.OutcomeAccepted, ""},
		{"block put and deleted", 1, []keel.Op{blockPut(block24(9), siteNo(0)), blockDelete(block24(9))}, keel.OutcomeAccepted, ""},
		{"block deleted twice", 1, []keel.Op{blockDelete(block24(0)), blockDelete(block24(0))}, keel.OutcomeInvalid, "not declared"},
		{"prefix not canonical", 1, []keel.Op{{Action: keel.OpDelete, Kind: keel.KindBlock, Name: "10.0.0.1/24"}}, keel.OutcomeInvalid, "canonical"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			m := keeldeclare.NewMachine(keeldeclare.MachineConfig{})
			m.Apply(1, encodedChange(t, "first", 0, append(siteOps(2), blockPut(block24(0), siteNo(0)))...))
			before := m.Current()
			m.Apply(2, encodedChange(t, "second", tt.base, tt.ops...))
			o, ok := m.Outcome("second")
			is.True(ok)
			is.Equal(o.Status, tt.want)
			is.True(strings.Contains(o.Faults.Error(), tt.fault))
			is.Equal(m.Current() == before, tt.want != keel.OutcomeAccepted) // a rejected change has no effect
		})
	}
}

// TestResend applies every change twice more, the second time to a machine
// restored from a snapshot. The repeated changes must have no effect.
func TestResend(t *testing.T) {
	is := is.New(t)
	m := keeldeclare.NewMachine(keeldeclare.MachineConfig{})
	var entries [][]byte
	for i := range 30 {
		base := keel.Version(i)
		if i%3 == 2 {
			base = 0 // a conflict
		}
		entries = append(entries, encodedChange(t, fmt.Sprintf("c%d", i), min(base, m.Current().Version), putRegion(fmt.Sprintf("r%d", i%7))))
		m.Apply(uint64(i+1), entries[i])
	}
	want := m.Current()
	for i, e := range entries {
		m.Apply(uint64(31+i), e)
	}
	is.Equal(m.Current(), want)
	var buf bytes.Buffer
	is.NoErr(m.Snapshot(&buf))
	restored := keeldeclare.NewMachine(keeldeclare.MachineConfig{})
	is.NoErr(restored.Restore(60, bytes.NewReader(buf.Bytes())))
	for i, e := range entries {
		restored.Apply(uint64(61+i), e)
		id := keel.ChangeID(fmt.Sprintf("c%d", i))
		a, _ := m.Outcome(id)
		b, ok := restored.Outcome(id)
		is.True(ok)
		is.Equal(a, b)
	}
	is.Equal(restored.Current().Checksum, want.Checksum)
	is.Equal(restored.History(100), m.History(100))
	da, _ := m.Delta(1)
	db, _ := restored.Delta(1)
	is.Equal(da, db)
}

// TestEqualMachines applies the same entries to two machines, one of which is
// restored from a snapshot half way, and compares their snapshots.
func TestEqualMachines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := keeldeclare.MachineConfig{MaxOutcomes: 5, MaxLogBytes: 2000}
		a, b := keeldeclare.NewMachine(cfg), keeldeclare.NewMachine(cfg)
		n := uint64(rapid.IntRange(1, 40).Draw(t, "entries"))
		half := rapid.Uint64Range(1, n).Draw(t, "half")
		for i := uint64(1); i <= n; i++ {
			id := fmt.Sprintf("c%d", rapid.IntRange(0, 30).Draw(t, "id"))
			base := a.Current().Version - keel.Version(rapid.IntRange(0, 1).Draw(t, "stale"))
			e := encodedChange(t, id, base, putRegion(fmt.Sprintf("r%d", rapid.IntRange(0, 5).Draw(t, "region"))))
			if rapid.IntRange(0, 9).Draw(t, "torn") == 0 {
				e = e[:len(e)/2]
			}
			a.Apply(i, e)
			b.Apply(i, e)
			if i == half {
				b = restoredCopy(t, b, i, cfg)
			}
		}
		if !bytes.Equal(snapshotOf(t, a), snapshotOf(t, b)) {
			t.Fatal("snapshots differ")
		}
	})
}

func snapshotOf(tb rapid.TB, m *keeldeclare.Machine) []byte {
	var buf bytes.Buffer
	if err := m.Snapshot(&buf); err != nil {
		tb.Fatalf("snapshot: %v", err)
	}
	return buf.Bytes()
}

func restoredCopy(tb rapid.TB, m *keeldeclare.Machine, index uint64, cfg keeldeclare.MachineConfig) *keeldeclare.Machine {
	c := keeldeclare.NewMachine(cfg)
	if err := c.Restore(index, bytes.NewReader(snapshotOf(tb, m))); err != nil {
		tb.Fatalf("restore: %v", err)
	}
	return c
}
