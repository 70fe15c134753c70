package keelworld_test

import (
	"bytes"
	"testing"

	"github.com/greengagekeel/greengagekeel/keelworld"
	"github.com/matryer/is"
)

// Several instances report the same crash, and requests are answered after a crash. A crash counts
// once, and crashes before an answer don't count: otherwise innocent requests would be blocked.
func TestSuspects(t *testing.T) {
	crash := func(request uint64, endpoint string, incarnation int64) keelworld.Crash {
		return keelworld.Crash{Request: request, Endpoint: endpoint, Incarnation: incarnation}
	}
	crashes := func(cs ...keelworld.Crash) *keelworld.Command { return &keelworld.Command{Crashes: cs} }
	answered := func(requests ...uint64) *keelworld.Command { return &keelworld.Command{Answered: requests} }
	tests := []struct {
		name     string
		commands []*keelworld.Command
		want     int // crashes of request 1
	}{
		{"none", nil, 0},
		{"reported by several", []*keelworld.Command{crashes(crash(1, "a", 5)), crashes(crash(1, "a", 5), crash(1, "a", 5))}, 1},
		{"of the same endpoint twice", []*keelworld.Command{crashes(crash(1, "a", 5)), crashes(crash(1, "a", 6))}, 2},
		{"of several endpoints", []*keelworld.Command{crashes(crash(1, "a", 5), crash(1, "b", 5)), crashes(crash(1, "c", 5))}, 3},
		{"no more than decide", []*keelworld.Command{crashes(crash(1, "a", 5), crash(1, "b", 5), crash(1, "c", 5), crash(1, "d", 5))}, keelworld.MaxCrashes},
		{"of another request", []*keelworld.Command{crashes(crash(1, "a", 5), crash(2, "b", 5))}, 1},
		{"answered", []*keelworld.Command{crashes(crash(1, "a", 5), crash(1, "b", 5)), answered(1)}, 0},
		{"answered in between", []*keelworld.Command{crashes(crash(1, "a", 5)), answered(1, 7), crashes(crash(1, "b", 5))}, 1},
		{"answered before the crash in one command", []*keelworld.Command{crashes(crash(1, "a", 5)), {Answered: []uint64{1}, Crashes: []keelworld.Crash{crash(1, "b", 5)}}}, 1},
		{"another one answered", []*keelworld.Command{crashes(crash(1, "a", 5)), answered(2)}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := keelworld.NewState()
			for i, c := range tt.commands {
				before := s.View().Suspects
				n := len(before[1].Crashes)
				s.Apply(uint64(i+1), c)
				is.Equal(len(before[1].Crashes), n) // a view does not change
			}
			is.Equal(len(s.View().Suspects[1].Crashes), tt.want)
			var b bytes.Buffer
			is.NoErr(s.Snapshot().Write(&b))
			sn, err := keelworld.ReadSnapshot(&b)
			is.NoErr(err)
			r := keelworld.NewState()
			r.Restore(sn)
			is.Equal(r.View(), s.View())
		})
	}
}

// More requests crash endpoints than are kept. The one whose last crash is the oldest is evicted.
func TestSuspectsAreLimited(t *testing.T) {
	is := is.New(t)
	s := keelworld.NewState()
	const limit = 4096
	for i := uint64(1); i <= limit+10; i++ {
		s.Apply(i, &keelworld.Command{Crashes: []keelworld.Crash{{Request: i, Endpoint: "a", Incarnation: 1}}})
		if i == limit { // the first one crashes another endpoint
			s.Apply(i, &keelworld.Command{Crashes: []keelworld.Crash{{Request: 1, Endpoint: "b", Incarnation: 1}}})
		}
	}
	all := s.View().Suspects
	is.Equal(len(all), limit)
	is.Equal(len(all[1].Crashes), 2)
	is.Equal(len(all[2].Crashes), 0)
	is.Equal(len(all[limit+10].Crashes), 1)
}
