package keeldeclare_test

import (
	"fmt"
	"testing"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keeldeclare"
	"github.com/matryer/is"
)

func change(t testing.TB, id string, base keel.Version, ops ...keel.Op) []byte {
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
		m.Apply(uint64(i+1), change(t, fmt.Sprintf("c%d", i), 0, putRegion(fmt.Sprintf("r%d", i))))
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
