package keelplace

import (
	"math"
	"time"
)

const (
	// maxMissRate is the fraction of requests for cached objects that may take as long as
	// uncached ones. Above it the endpoints of the region have too many objects: each evicts
	// those that it needs next.
	maxMissRate = 0.2
	// missRateWeight is the weight of a request in the miss rate: about the last twenty
	// count.
	missRateWeight = 0.05
	// shareRegrowth is how much the limit of the local share rises in a second while objects
	// stay cached.
	shareRegrowth = 0.005
)

// missLimit limits the share of a region's objects that stay in the region, for when a region
// with few endpoints has little load: its endpoints have free slots, but can't keep all of
// its objects cached, while those of other regions can. The limit falls while cached objects
// turn out not to be, and rises slowly after that, so that the objects don't move to and fro.
type missLimit struct {
	// missRate is the moving average of misses among requests for objects that were cached.
	missRate float64
	// limit is the highest share.
	limit     float64
	updatedAt time.Time
}

// record records a request for a cached object that took a time without its wait, where
// cached and uncached are the usual times.
func (l *missLimit) record(took, cached, uncached time.Duration) {
	miss := 0.0
	if float64(took) > math.Sqrt(float64(cached)*float64(uncached)) {
		miss = 1
	}
	l.missRate += (miss - l.missRate) * missRateWeight
}

// shareLimit returns the highest share at a time, when the current one is share, may fall by
// step, and need not be less than least.
func (l *missLimit) shareLimit(now time.Time, share, step, least float64) float64 {
	switch {
	case l.updatedAt.IsZero():
		l.limit = 1
	case l.missRate > maxMissRate:
		l.limit = max(min(l.limit, share)-step, least)
	default:
		l.limit = min(l.limit+shareRegrowth*now.Sub(l.updatedAt).Seconds(), 1)
	}
	l.updatedAt = now
	return l.limit
}
