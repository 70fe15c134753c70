package keelroute

import "time"

// windowIntervals is the number of intervals into which the window of a cap is
// divided for counting requests.
const windowIntervals = 16

// traffic counts the requests of one source over the window of a cap, and how
// many of them were diverted: sent to a domain other than that of their bucket.
type traffic struct {
	intervalWidth time.Duration
	intervals     [windowIntervals]trafficInterval
}

type trafficInterval struct {
	index    int64
	requests int
	diverted int
}

// setWindow sets the window. If it changes, all counts are reset.
func (t *traffic) setWindow(window time.Duration) {
	if w := max(window/windowIntervals, 1); w != t.intervalWidth {
		*t = traffic{intervalWidth: w}
	}
}

// interval returns the counts of the interval that contains now.
func (t *traffic) interval(now time.Time) *trafficInterval {
	i := now.UnixNano() / int64(t.intervalWidth)
	s := &t.intervals[uint64(i)%windowIntervals]
	if s.index != i {
		*s = trafficInterval{index: i}
	}
	return s
}

// totals returns the counts of the last windowIntervals intervals, including the
// one that contains now.
func (t *traffic) totals(now time.Time) (requests, diverted int) {
	oldest := now.UnixNano()/int64(t.intervalWidth) - windowIntervals
	for i := range t.intervals {
		if s := &t.intervals[i]; s.index > oldest {
			requests += s.requests
			diverted += s.diverted
		}
	}
	return requests, diverted
}
