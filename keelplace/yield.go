package keelplace

import "time"

const (
	// yieldAge is the age of the view from which an instance with a busy link yields. It
	// leaves a request the time to reach its endpoint before a change that the view lacks
	// has to be in force.
	yieldAge = 1700 * time.Millisecond
	// yieldFrom is the utilization of a link that may be the cause of a lost contact.
	yieldFrom = 0.7
	// maxYield is how long an instance yields without an answer from a voter. One arrives
	// within that time if the link was the cause: the queue of a full link holds less than
	// a second.
	maxYield = 2 * time.Second
)

// Yield decides when an instance refuses requests because its own link is so full that
// changes don't reach it in time. Its requests are what delays them, and it would go on by an
// old view. An instance that is cut off has a free link, or one on which yielding brings no
// answer from a voter: it goes on serving. Yield answers a burst at a few instances while
// the configuration changes. It is not safe for concurrent use.
type Yield struct {
	// since is when the instance began to yield; zero if it has not since the last
	// contact.
	since time.Time
}

// Observe reports whether a request that arrives now is refused. age is the time since
// the view was confirmed, silence that since a voter last answered, which may have been
// with a part of what the view lacks, and utilization that of the link.
func (y *Yield) Observe(now time.Time, age, silence time.Duration, utilization float64) bool {
	switch {
	case age < yieldAge:
		y.since = time.Time{}
		return false
	case y.since.IsZero() && utilization < yieldFrom:
		return false
	case y.since.IsZero():
		y.since = now
	}
	return now.Sub(y.since) < maxYield || silence < maxYield
}
