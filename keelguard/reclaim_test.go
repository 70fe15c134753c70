package keelguard_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/greengagekeel/greengagekeel/keelguard"
)

// TestReclaim checks that a permit ends if nobody uses it, and only then.
func TestReclaim(t *testing.T) {
	const home, user, other = 0, 1, 2
	tests := []struct {
		name string
		// use requests the permit, and uses it or loses the reply or the return.
		use func(t *testing.T, g *guards, s *keelguard.Service, fp keelguard.ID)
		// wait is the time until the home reclaims.
		wait time.Duration
		want bool
	}{
		{"answer lost", loseAnswer, 2 * time.Second, true},
		{"answer lost just now", loseAnswer, time.Second, false},
		{"in use", takePermit, 2 * time.Second, false},
		{"return lost", loseReturn, 2 * time.Second, true},
		{"crash not shared", crashUnshared, 2 * time.Second, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			clock := clockwork.NewFakeClockAt(guardStart)
			g, all := newGuards(clock, nil)
			clock.Advance(guardRetention)
			fp := fingerprintWithHome(t, g, all, home)
			tt.use(t, g, all[user], fp)
			is.True(!all[other].Admit(t.Context(), fp).Allow) // it counts as used
			clock.Advance(tt.wait)
			all[home].Reclaim(t.Context())
			is.Equal(all[other].Admit(t.Context(), fp).Allow, tt.want)
		})
	}
}

func takePermit(t *testing.T, _ *guards, s *keelguard.Service, fp keelguard.ID) {
	is.New(t).True(s.Admit(t.Context(), fp).Allow)
}

func loseAnswer(t *testing.T, g *guards, s *keelguard.Service, fp keelguard.ID) {
	g.dropReplies = true
	is.New(t).True(!s.Admit(t.Context(), fp).Allow)
	g.dropReplies = false
}

func loseReturn(t *testing.T, g *guards, s *keelguard.Service, fp keelguard.ID) {
	takePermit(t, g, s, fp)
	g.unreachable[addrOf(g.names[0])] = true
	s.NotDispatched(fp)
	clear(g.unreachable)
}

func crashUnshared(t *testing.T, g *guards, s *keelguard.Service, fp keelguard.ID) {
	takePermit(t, g, s, fp)
	crash(s, fp, endpoint(2))
}
