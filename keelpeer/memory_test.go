package keelpeer_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelpeer"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
)

var addrA, addrB = netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")

// newMemoryFixture returns a hub, in which the test can inject faults, and two
// members of it.
func newMemoryFixture(t *testing.T, clock clockwork.Clock) (*keelpeer.MemoryHub, *fixture) {
	hub := keelpeer.NewMemoryHub(keelpeer.HubConfig{Seed: 1, Clock: clock})
	return hub, newFixture(t, func(*testing.T) (member, member) {
		return hub.Join("a", addrA), hub.Join("b", addrB)
	})
}

// TestMemoryCuts cuts the route of a call or of its answer, and heals the cut.
func TestMemoryCuts(t *testing.T) {
	tests := []struct {
		name string
		cut  func(h *keelpeer.MemoryHub)
		want error
	}{
		{"both ways", func(h *keelpeer.MemoryHub) { h.Cut(addrA, addrB) }, keelpeer.ErrUnreachable},
		{"request", func(h *keelpeer.MemoryHub) { h.CutOneWay(addrA, addrB) }, keelpeer.ErrUnreachable},
		{"answer", func(h *keelpeer.MemoryHub) { h.CutOneWay(addrB, addrA) }, keelpeer.ErrOutcomeUnknown},
		{"every message lost", func(h *keelpeer.MemoryHub) { h.SetLoss(addrA, addrB, 1) }, keelpeer.ErrUnreachable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			hub, v := newMemoryFixture(t, nil)
			tt.cut(hub)
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
			defer cancel()
			_, err := v.a.Call(ctx, addrB, keel.Envelope{Kind: kindEcho})
			is.True(errors.Is(err, tt.want))
			is.NoErr(v.a.Send(t.Context(), addrB, keel.Envelope{Kind: kindPanic})) // no error, whether lost or not
			hub.Heal(addrA, addrB)
			hub.SetLoss(addrA, addrB, 0)
			_, err = v.a.Call(t.Context(), addrB, keel.Envelope{Kind: kindEcho})
			is.NoErr(err)
		})
	}
}

// TestMemoryDelay delivers a message only after its delay.
func TestMemoryDelay(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	hub, v := newMemoryFixture(t, clock)
	hub.SetDelay(addrA, addrB, time.Second)
	is.NoErr(v.a.Send(t.Context(), addrB, keel.Envelope{Kind: kindNote}))
	is.NoErr(clock.BlockUntilContext(t.Context(), 1))
	is.Equal(len(v.notes), 0)
	clock.Advance(time.Second)
	<-v.notes
}

// TestMemoryStreamWaitsForHeal cuts one direction of an open stream. Writes
// must block until the cut is healed.
func TestMemoryStreamWaitsForHeal(t *testing.T) {
	is := is.New(t)
	hub, v := newMemoryFixture(t, nil)
	s, err := v.a.Open(t.Context(), addrB, keel.Envelope{Kind: kindEcho})
	is.NoErr(err)
	hub.CutOneWay(addrA, addrB)
	var group conc.WaitGroup
	written := make(chan error, 1)
	group.Go(func() {
		_, err := s.Write([]byte("x"))
		written <- err
	})
	got := make([]byte, 2)
	_, err = s.Read(got) // the other direction is not cut
	is.NoErr(err)
	is.Equal(len(written), 0)
	hub.Heal(addrA, addrB)
	is.NoErr(<-written)
	group.Wait()
	s.Cancel()
}
