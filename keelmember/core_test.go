package keelmember_test

import (
	"testing"

	"github.com/matryer/is"
)

func TestJoin(t *testing.T) {
	is := is.New(t)
	s := newSim(1, 3, 3)
	s.run(15 * second)
	for _, n := range s.nodes {
		v := n.core.View()
		is.Equal(len(v.Domain), 3)
		is.Equal(len(v.Others), 2)
		for _, m := range v.Domain {
			is.Equal(m.State, alive)
		}
		for _, d := range v.Others {
			is.True(!d.Made.IsZero()) // a digest came in, directly or passed on
			is.Equal(d.Digest.Live, 3)
		}
	}
}
