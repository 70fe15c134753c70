package keelroute

import (
	"math"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// reportHalfLife is the age at which a report counts half.
const reportHalfLife = time.Second

// PowerOfTwo picks the better of two random endpoints with a free slot, by
// observed load, latency and discounted report.
type PowerOfTwo struct{}

// LeastReported is a baseline that picks the endpoint with the least reported
// load, however old the report is.
type LeastReported struct{}

// StaticWeights is a baseline that picks at random in proportion to the slots.
type StaticWeights struct{}

// First is a baseline that picks the first endpoint with a free slot.
type First struct{}

var (
	_ keel.Picker = PowerOfTwo{}
	_ keel.Picker = LeastReported{}
	_ keel.Picker = StaticWeights{}
	_ keel.Picker = First{}
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

// nextFree returns the first endpoint with a free slot from start on, in a
// circle, or -1.
func nextFree(views []keel.EndpointView, start int) int {
	for i := range views {
		at := (start + i) % len(views)
		if views[at].Free() > 0 {
			return at
		}
	}
	return -1
}

// score returns the load that v would have with one more request, relative to
// its slots, times its latency if that of the other is known as well.
func score(v, other *keel.EndpointView) float64 {
	load := float64(v.InFlight) + reportedBeyond(v) + 1
	s := load / float64(v.Usable())
	if v.Latency > 0 && other.Latency > 0 {
		s *= v.Latency.Seconds()
	}
	return s
}

// reportedBeyond returns the reported load that the owner did not send itself,
// discounted by the report's age. It orders endpoints but takes no slot, since
// a report may be wrong.
func reportedBeyond(v *keel.EndpointView) float64 {
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
func (First) Pick(views []keel.EndpointView, _ func() uint64) int {
	return nextFree(views, 0)
}
