package keelmemory_test

import (
	"testing"
	"time"

	"github.com/greengagekeel/greengagekeel/keelmemory"
	"github.com/matryer/is"
)

func TestLimit(t *testing.T) {
	const mb = 1 << 20
	tests := []struct {
		name string
		soft int64
		used keelmemory.Usage
		want int64
	}{
		{"off", 0, keelmemory.Usage{Live: mb}, keelmemory.NoLimit},
		{"enough headroom", 44 * mb, keelmemory.Usage{Live: 20 * mb, Other: 8 * mb}, 44 * mb},
		{"just enough headroom", 28 * mb, keelmemory.Usage{Live: 16 * mb, Other: 8 * mb}, 28 * mb},
		{"too little headroom", 28*mb - 1, keelmemory.Usage{Live: 16 * mb, Other: 8 * mb}, keelmemory.NoLimit},
		{"more in use than the limit", 44 * mb, keelmemory.Usage{Live: 200 * mb}, keelmemory.NoLimit},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(keelmemory.Limit(tt.soft, tt.used), tt.want)
		})
	}
}

// TestLimitControllerCollects checks, second by second, when garbage is collected in a
// process whose live heap exceeds the limit, shrinks and then exceeds it again.
func TestLimitControllerCollects(t *testing.T) {
	const mb = 1 << 20
	is := is.New(t)
	c := keelmemory.NewLimitController(40 * mb)
	large, small := keelmemory.Usage{Live: 60 * mb}, keelmemory.Usage{Live: 20 * mb}
	start := time.Unix(0, 0)
	collected := func(from, to int, u keelmemory.Usage) (seconds []int) {
		for i := from; i < to; i++ {
			limit, collect := c.Step(start.Add(time.Duration(i)*time.Second), u)
			is.Equal(limit == keelmemory.NoLimit, u == large)
			if collect {
				seconds = append(seconds, i)
			}
		}
		return seconds
	}
	is.Equal(collected(0, 500, large), []int{4, 12, 28, 60, 124, 244, 364, 484}) // the pause doubles up to two minutes
	is.Equal(collected(500, 510, small), nil)
	is.Equal(collected(510, 520, large), []int{513}) // the pause starts at the minimum again
}

func TestReadUsage(t *testing.T) {
	u := keelmemory.ReadUsage()
	is := is.New(t)
	is.True(u.Other > 0)
	is.True(u.Other < 1<<40) // the heap classes don't exceed the total
}

// A process whose live heap exceeds the first limit keeps to the next one that leaves headroom.
func TestFurtherLimits(t *testing.T) {
	const mb = 1 << 20
	is := is.New(t)
	c := keelmemory.NewLimitController(40*mb, 90*mb)
	for _, tt := range []struct{ live, want int64 }{
		{20 * mb, 40 * mb}, {60 * mb, 90 * mb}, {80 * mb, keelmemory.NoLimit}, {60 * mb, 90 * mb}, {20 * mb, 40 * mb},
	} {
		limit, _ := c.Step(time.Unix(0, 0), keelmemory.Usage{Live: uint64(tt.live)})
		is.Equal(limit, tt.want)
	}
}
