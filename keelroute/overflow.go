package keelroute

import "time"

// OverflowOption describes a failure domain as a possible destination of one
// request.
type OverflowOption struct {
	// RoundTrip is the round-trip time from the entry instance.
	RoundTrip time.Duration
	// Delay is the expected wait for a slot in the domain.
	Delay time.Duration
	// LinkUse is the utilisation of the link to the domain's region, from 0
	// to 1.
	LinkUse float64
}

// overflowMargin is how much cheaper another domain must be, as a fraction of
// the service time, before a request is sent there instead of to the domain of
// its bucket.
const overflowMargin = 0.3

// Overflows reports whether a request should be sent to other, because it would
// be served there sufficiently sooner than in chosen. Such a request counts as
// diverted; see [Shares.DivertOptional].
func Overflows(chosen, other OverflowOption, serviceTime time.Duration) bool {
	margin := time.Duration(overflowMargin * float64(serviceTime))
	return chosen.cost() > other.cost()+margin
}

func (o OverflowOption) cost() time.Duration {
	link := time.Duration(linkCost(o.LinkUse) * float64(time.Second))
	return o.RoundTrip + o.Delay + link
}
