package keelplace

import (
	"cmp"
	"slices"
	"time"

	"github.com/greengagekeel/greengagekeel/keelworld"
	"github.com/zeebo/xxh3"
)

// maxColdSenders is how many entry instances may send to a cold endpoint. Each of
// them may send one request immediately and then keeps to its share of the
// endpoint's cold rate, so that together they exceed the rate by a few requests at
// most.
const maxColdSenders = 3

// coldPace limits the rate of requests to an endpoint while it is cold.
type coldPace struct {
	next time.Time
}

// allow reports whether a request may be sent now.
func (c *coldPace) allow(now time.Time) bool { return !now.Before(c.next) }

// sent records that a request is sent now, at a limit of rate requests per second.
// A rate of 0 means no limit.
func (c *coldPace) sent(now time.Time, rate float64) {
	if rate <= 0 {
		return
	}
	c.next = now.Add(time.Duration(float64(time.Second) / rate))
}

// isColdSender reports whether this instance is one of the [maxColdSenders] that
// send to an endpoint while it is cold.
func (p *Pool) isColdSender(e *endpoint) bool { return p.isSender(e, maxColdSenders) }

// isSender reports whether this instance is one of n that send to an endpoint. They are
// chosen by failure domain, then region, then hash.
func (p *Pool) isSender(e *endpoint, n int) bool {
	senders := p.sendersByDistance(e)
	for i := range min(n, len(senders)) {
		if senders[i].self {
			return true
		}
	}
	return false
}

// sender is an instance that may send to an endpoint.
type sender struct {
	distance int
	hash     uint64
	self     bool
}

// sendersByDistance returns the instances ordered by failure domain, then region, then hash.
func (p *Pool) sendersByDistance(e *endpoint) []sender {
	senders := make([]sender, 0, len(p.nodes))
	for i := range p.nodes {
		n := &p.nodes[i]
		senders = append(senders, sender{distanceRank(n, e), senderHash(n, e), n.Name == p.cfg.Self})
	}
	slices.SortFunc(senders, func(a, b sender) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(a.hash, b.hash))
	})
	return senders
}

func senderHash(n *keelworld.Node, e *endpoint) uint64 {
	return xxh3.HashString(string(n.Name) + "\x00" + e.ID)
}

// distanceRank returns 0 for an instance in the failure domain of an endpoint, 1 for
// one in its region, and 2 otherwise.
func distanceRank(n *keelworld.Node, e *endpoint) int {
	switch {
	case n.Domain == e.Domain:
		return 0
	case n.Region == e.region:
		return 1
	default:
		return 2
	}
}
