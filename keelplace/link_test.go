package keelplace_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/greengagekeel/greengagekeel/keelplace"
	"github.com/matryer/is"
)

var linkStart = time.Unix(1000, 0)

func TestLinkUtilization(t *testing.T) {
	const rate = 1000.0
	for _, tt := range []struct {
		name           string
		rate           float64
		received, sent int64 // in each tenth of a second
		utilization    float64
		moved          float64
	}{
		{"idle", rate, 0, 0, 0, 0},
		{"sending", rate, 10, 80, 0.8, 1},
		{"receiving", rate, 50, 10, 0.5, 0.5},
		{"less than two fifths", rate, 30, 30, 0.3, 0},
		{"unknown rate", 0, 60, 80, 0, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := keelplace.NewLink(tt.rate)
			for i := range int64(50) {
				l.Observe(linkStart.Add(time.Duration(i)*100*time.Millisecond), i*tt.received, i*tt.sent)
			}
			is.True(math.Abs(l.Utilization()-tt.utilization) < 0.01)
			is.True(math.Abs(l.MoveFraction()-tt.moved) < 0.05)
		})
	}
}

// replayedInstance is an instance in a replay of a rolling restart.
type replayedInstance struct {
	link *keelplace.Link
	// bytes were received so far, and lateBytes of them in the third second.
	bytes, lateBytes int64
}

// Seven of thirteen instances have been restarted, and the others have the connections
// of all callers, whose requests need almost the whole links of the six, or 0.45 of all
// links. Callers whose connection is closed open one to any instance. In the third
// second no instance receives more than its link can carry with a quarter to spare.
func TestReplayRollingRestart(t *testing.T) {
	const (
		linkRate        = 175_000.0 // bytes per second
		requestBytes    = 2300
		connections     = 400
		requestsPerTick = 45
		ticksPerSecond  = 10
		maxUtilization  = 0.75
	)
	rng := rand.New(rand.NewPCG(1, 2))
	instances := make([]replayedInstance, 13)
	for i := range instances {
		instances[i].link = keelplace.NewLink(linkRate)
	}
	on := make([]*replayedInstance, connections)
	for i := range on {
		on[i] = &instances[rng.IntN(6)]
	}
	for tick := range 3 * ticksPerSecond {
		now := linkStart.Add(time.Duration(tick) * time.Second / ticksPerSecond)
		for range requestsPerTick {
			c := rng.IntN(connections)
			in := on[c]
			in.bytes += requestBytes
			if tick >= 2*ticksPerSecond {
				in.lateBytes += requestBytes
			}
			in.link.Observe(now, in.bytes, in.bytes)
			if rng.Float64() < in.link.MoveFraction() {
				on[c] = &instances[rng.IntN(len(instances))]
			}
		}
	}
	for i := range instances {
		if u := float64(instances[i].lateBytes) / linkRate; u > maxUtilization {
			t.Errorf("instance %d uses %.2f of its link, want at most %.2f", i, u, maxUtilization)
		}
	}
}
