package keelroute

import "time"

// OverflowOption is a failure domain as it looks to one request.
type OverflowOption struct {
	// RoundTrip is the time there and back from the entry instance.
	RoundTrip time.Duration
	// Delay is how long a request would wait there for a slot.
	Delay time.Duration
	// LinkUse is the used part of the link on the way, from 0 to 1.
	LinkUse float64
}

// overflowPart is how much better, as a part of the service time, another
// domain must be before a single request leaves the domain of its bucket.
const overflowPart = 0.3

// Overflows reports whether a request is better sent to other than to chosen.
// Such a request is a diverted one; see [Shares.Divert].
func Overflows(chosen, other OverflowOption, serviceTime time.Duration) bool {
	margin := time.Duration(overflowPart * float64(serviceTime))
	return chosen.cost() > other.cost()+margin
}

func (o OverflowOption) cost() time.Duration {
	link := time.Duration(linkCost(o.LinkUse) * float64(time.Second))
	return o.RoundTrip + o.Delay + link
}
