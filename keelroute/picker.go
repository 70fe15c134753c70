package keelroute

import (
	"math"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// reportHalfLife is the age at which a load report has half its weight.
const reportHalfLife = time.Second

// PowerOfTwo picks the better of two random endpoints with a free slot (power
// of two choices). It compares the owner's own requests in flight, the load
// that the endpoint reported, discounted by the report's age, and the latency.
type PowerOfTwo struct{}

// LeastReported is a baseline for comparison. It picks the endpoint with the
// least reported load, however old the report is.
type LeastReported struct{}

// StaticWeights is a baseline for comparison. It picks at random among the
// endpoints with a free slot, in proportion to their slots.
type StaticWeights struct{}

// FirstFree is a baseline for comparison. It picks the first endpoint with a
// free slot.
type FirstFree struct{}

var (
	_ keel.Picker = PowerOfTwo{}
	_ keel.Picker = LeastReported{}
	_ keel.Picker = StaticWeights{}
	_ keel.Picker = FirstFree{}
)

// Pick implements [keel.Picker].
func (PowerOfTwo) Pick(views []keel.EndpointView, random func() uint64) int {
	if len(views) == 0 {
		return -1
	}
	r := random()
	a := nextFree(views, int(r%uint64(len(views))))
	if a < 0 {
		return -1
	}
	b := nextFree(views, int((r>>32)%uint64(len(views))))
	if a == b {
		b = nextFree(views, a+1)
	}
	if score(&views[b], &views[a]) < score(&views[a], &views[b]) {
		return b
	}
	return a
}

// nextFree returns the index of the first endpoint with a free slot, searching
// from start and wrapping around, or -1.
func nextFree(views []keel.EndpointView, start int) int {
	for i := range views {
		at := (start + i) % len(views)
		if views[at].Free() > 0 {
			return at
		}
	}
	return -1
}

// score rates v for one more request; lower is better. It is the load that v
// would have, relative to its usable slots, times its latency if the latencies
// of both candidates are known.
func score(v, other *keel.EndpointView) float64 {
	load := float64(v.InFlight) + loadFromOthers(v) + 1
	s := load / float64(v.Usable())
	if v.Latency > 0 && other.Latency > 0 {
		s *= v.Latency.Seconds()
	}
	return s
}

// loadFromOthers returns the reported load beyond the owner's own requests in
// flight, discounted by the report's age. It only ranks endpoints and never
// occupies a slot, since a report may be wrong.
func loadFromOthers(v *keel.EndpointView) float64 {
	extra := min(v.Reported.InFlight, v.Slots) - v.InFlight
	if extra <= 0 || v.ReportAge < 0 {
		return 0
	}
	return float64(extra) * math.Exp2(-v.ReportAge.Seconds()/reportHalfLife.Seconds())
}

// Pick implements [keel.Picker].
func (LeastReported) Pick(views []keel.EndpointView, random func() uint64) int {
	best, least := -1, math.Inf(1)
	start := 0
	if len(views) > 0 {
		start = int(random() % uint64(len(views)))
	}
	for i := range views {
		at := (start + i) % len(views)
		v := &views[at]
		if load := float64(v.Reported.InFlight) / float64(v.Slots); v.Free() > 0 && load < least {
			best, least = at, load
		}
	}
	return best
}

// Pick implements [keel.Picker].
func (StaticWeights) Pick(views []keel.EndpointView, random func() uint64) int {
	sum := 0
	for i := range views {
		if views[i].Free() > 0 {
			sum += views[i].Slots
		}
	}
	if sum == 0 {
		return -1
	}
	at := int(random() % uint64(sum))
	for i := range views {
		if views[i].Free() <= 0 {
			continue
		}
		if at -= views[i].Slots; at < 0 {
			return i
		}
	}
	return -1
}

// Pick implements [keel.Picker].
func (FirstFree) Pick(views []keel.EndpointView, _ func() uint64) int {
	return nextFree(views, 0)
}
