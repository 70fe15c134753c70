package keelroute

import "time"

// trafficSlots is into how many slots the window of a cap is cut to count
// requests.
const trafficSlots = 16

// traffic counts the requests of one source and those that were sent elsewhere
// than their bucket says, over the window of a cap.
type traffic struct {
	width time.Duration
	slots [trafficSlots]trafficSlot
}

type trafficSlot struct {
	index    int64
	requests int
	diverted int
}

func (t *traffic) setWindow(window time.Duration) {
	if w := max(window/trafficSlots, 1); w != t.width {
		*t = traffic{width: w}
	}
}

func (t *traffic) slot(now time.Time) *trafficSlot {
	i := now.UnixNano() / int64(t.width)
	s := &t.slots[uint64(i)%trafficSlots]
	if s.index != i {
		*s = trafficSlot{index: i}
	}
	return s
}

func (t *traffic) sums(now time.Time) (requests, diverted int) {
	oldest := now.UnixNano()/int64(t.width) - trafficSlots
	for i := range t.slots {
		if s := &t.slots[i]; s.index > oldest {
			requests += s.requests
			diverted += s.diverted
		}
	}
	return requests, diverted
}
