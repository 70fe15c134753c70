package keelworld_test

import (
	"bytes"
	"math"
	"net/netip"
	"testing"

	"github.com/greengagekeel/greengagekeel/keelworld"
	"github.com/matryer/is"
)

// Instances report limits again and again, late, and of endpoints that have started again since.
// The state has the limit of the present start as long as the endpoint names it, and each change of
// more than a tenth is one change.
func TestRateLimits(t *testing.T) {
	start := func(incarnation int64) *keelworld.Command {
		return &keelworld.Command{Endpoints: []keelworld.Endpoint{{
			ID: "a", Incarnation: incarnation, Sequence: 1, State: keelworld.EndpointServing, Service: "s", Domain: "d",
			Address: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 2,
		}}}
	}
	again := start(1)
	again.Endpoints[0].Sequence = 9
	limit := func(id string, incarnation int64, rate float64) *keelworld.Command {
		return &keelworld.Command{RateLimits: []keelworld.RateLimit{{Endpoint: id, Incarnation: incarnation, PerSecond: rate}}}
	}
	lifted := func(incarnation int64) *keelworld.Command {
		return &keelworld.Command{RateLimits: []keelworld.RateLimit{{Endpoint: "a", Incarnation: incarnation, Lifted: true}}}
	}
	const none = -1
	tests := []struct {
		name     string
		commands []*keelworld.Command
		want     float64 // rate of endpoint a
		index    uint64  // of its last change
	}{
		{"none", []*keelworld.Command{start(1)}, none, 0},
		{"named", []*keelworld.Command{start(1), limit("a", 1, 4)}, 4, 2},
		{"none accepted", []*keelworld.Command{start(1), limit("a", 1, 0), limit("a", 1, 0)}, 0, 2},
		{"reported by several", []*keelworld.Command{start(1), limit("a", 1, 4), limit("a", 1, 4.3), limit("a", 1, 3.7)}, 4, 2},
		{"changed", []*keelworld.Command{start(1), limit("a", 1, 4), limit("a", 1, 2)}, 2, 3},
		{"lifted", []*keelworld.Command{start(1), limit("a", 1, 4), lifted(1)}, none, 0},
		{"lifted before", []*keelworld.Command{start(1), lifted(1), limit("a", 1, 4)}, 4, 3},
		{"lifted and named again", []*keelworld.Command{start(1), limit("a", 1, 4), lifted(1), limit("a", 1, 4)}, 4, 4},
		{"announced again", []*keelworld.Command{start(1), limit("a", 1, 4), again}, 4, 2},
		{"started again", []*keelworld.Command{start(1), limit("a", 1, 4), start(2)}, none, 0},
		{"late, of an earlier start", []*keelworld.Command{start(2), limit("a", 1, 4)}, none, 0},
		{"lifted late, by an earlier start", []*keelworld.Command{start(2), limit("a", 2, 4), lifted(1)}, 4, 2},
		{"of an unknown endpoint", []*keelworld.Command{start(1), limit("b", 1, 4)}, none, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := keelworld.NewState()
			for i, c := range tt.commands {
				is.Equal(len(c.Check()), 0)
				before := s.View().RateLimits
				old, n := before["a"], len(before)
				s.Apply(uint64(i+1), c)
				is.Equal(before["a"], old) // a view does not change
				is.Equal(len(before), n)
			}
			l, ok := s.View().RateLimits["a"]
			is.Equal(ok, tt.want != none)
			is.Equal(l.Index, tt.index)
			is.True(!ok || l.PerSecond == tt.want)
			_, ok = s.View().RateLimits["b"]
			is.True(!ok)
			var b bytes.Buffer
			is.NoErr(s.Snapshot().Write(&b))
			sn, err := keelworld.ReadSnapshot(&b)
			is.NoErr(err)
			r := keelworld.NewState()
			r.Restore(sn)
			is.Equal(r.View(), s.View())
		})
	}
	is := is.New(t)
	for _, rate := range []float64{-1, math.NaN(), math.Inf(1), math.Inf(-1)} {
		is.True(len(limit("a", 1, rate).Check()) > 0)
	}
	is.True(len(limit("", 1, 1).Check()) > 0)
}
