package keelguard_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/greengagekeel/greengagekeel/keelguard"
)

// TestReclaim takes back a permission that nobody uses, and no other.
func TestReclaim(t *testing.T) {
	const home, user, other = 0, 1, 2
	tests := []struct {
		name string
		// use is what becomes of the permission.
		use func(t *testing.T, g *guards, s *keelguard.Service, fp keelguard.ID)
		// wait is the time until the home asks.
		wait time.Duration
		want bool
	}{
		{"answer lost", loseAnswer, 2 * time.Second, true},
		{"answer lost just now", loseAnswer, time.Second, false},
		{"in use", takePermission, 2 * time.Second, false},
		{"return lost", loseReturn, 2 * time.Second, true},
		{"crash not shared", crashUnshared, 2 * time.Second, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			clock := clockwork.NewFakeClockAt(guardStart)
			g, all := newGuards(clock, nil)
			clock.Advance(guardRetention)
			fp := homedAt(t, g, all, home)
			tt.use(t, g, all[user], fp)
			is.True(!all[other].Admit(t.Context(), fp).Allow) // it counts as used
			clock.Advance(tt.wait)
			all[home].Reclaim(t.Context())
			is.Equal(all[other].Admit(t.Context(), fp).Allow, tt.want)
		})
	}
}

func takePermission(t *testing.T, _ *guards, s *keelguard.Service, fp keelguard.ID) {
	is.New(t).True(s.Admit(t.Context(), fp).Allow)
}

func loseAnswer(t *testing.T, g *guards, s *keelguard.Service, fp keelguard.ID) {
	g.deaf = true
	is.New(t).True(!s.Admit(t.Context(), fp).Allow)
	g.deaf = false
}

func loseReturn(t *testing.T, g *guards, s *keelguard.Service, fp keelguard.ID) {
	takePermission(t, g, s, fp)
	g.down[addrOf(g.names[0])] = true
	s.NotStarted(fp)
	clear(g.down)
}

func crashUnshared(t *testing.T, g *guards, s *keelguard.Service, fp keelguard.ID) {
	takePermission(t, g, s, fp)
	crash(s, fp, endpoint(2))
}
