package keelplace

import (
	"cmp"
	"slices"
	"time"
)

const (
	// unconfirmedOvershoot and unconfirmedSlack limit the requests to one endpoint in each
	// second, by all instances with an unconfirmed view: so many times the endpoint's cold
	// rate, and so many more. A cold endpoint tolerates bursts of that size.
	unconfirmedOvershoot = 1.5
	unconfirmedSlack     = 4.0
	unconfirmedWindow    = time.Second
)

// unconfirmedShare is how many requests this instance may send to an endpoint in each
// [unconfirmedWindow] while its view is unconfirmed.
//
// Such an instance may be cut off from the voters, and get to know neither that the endpoint's
// failure domain is drained nor that the endpoint is cold afterwards. Others may be cut off with
// it, so that each keeps to its share of what a cold endpoint tolerates.
type unconfirmedShare struct {
	requests int
	// nodes is the number of the set of instances by which the share was determined; 0 if it
	// was not. coldRate is the endpoint's cold rate then.
	nodes    int
	coldRate float64
}

// SetConfirmed tells the pool whether its view was confirmed recently to be current.
func (p *Pool) SetConfirmed(confirmed bool) { p.unconfirmed = !confirmed }

// noteSent records that a request is sent now.
func (e *endpoint) noteSent(now time.Time) {
	old := 0
	for old < len(e.sentAt) && now.Sub(e.sentAt[old]) >= unconfirmedWindow {
		old++
	}
	e.sentAt = append(slices.Delete(e.sentAt, 0, old), now)
}

// unconfirmedWait returns the time until this instance may send a request to an endpoint by a
// view that is unconfirmed; 0 if the view is confirmed.
func (p *Pool) unconfirmedWait(now time.Time, e *endpoint) time.Duration {
	if !p.unconfirmed || p.spec.ColdRate <= 0 {
		return 0
	}
	if e.unconfirmed.nodes != p.nodesVersion || e.unconfirmed.coldRate != p.spec.ColdRate {
		e.unconfirmed = unconfirmedShare{p.shareOfUnconfirmed(e), p.nodesVersion, p.spec.ColdRate}
	}
	n := e.unconfirmed.requests
	switch {
	case n == 0:
		return maxRetryAfter
	case len(e.sentAt) < n:
		return 0
	default:
		return max(e.sentAt[len(e.sentAt)-n].Add(unconfirmedWindow).Sub(now), 0)
	}
}

// shareOfUnconfirmed divides the requests that a cold endpoint tolerates in each window among the
// instances near it: one for each in its failure domain, then one for each in its region, and
// again until none is left.
func (p *Pool) shareOfUnconfirmed(e *endpoint) (share int) {
	senders := p.sendersByDistance(e)
	self := slices.IndexFunc(senders, func(s sender) bool { return s.self })
	if self < 0 {
		self = len(senders) // not listed yet
	}
	inDomain := countNearer(senders, 1)
	groups := []int{inDomain, countNearer(senders, 2)}
	if groups[1] == 0 {
		groups = []int{len(senders)}
	}
	left := int(p.spec.ColdRate*unconfirmedOvershoot + unconfirmedSlack)
	for left > 0 && groups[len(groups)-1] > 0 {
		for _, n := range groups {
			n = min(n, left)
			left -= n
			if self < n {
				share++
			}
		}
	}
	return share
}

// countNearer returns how many senders, ordered by distance, are nearer than a distance.
func countNearer(senders []sender, distance int) int {
	n, _ := slices.BinarySearchFunc(senders, distance, func(s sender, d int) int { return cmp.Compare(s.distance, d) })
	return n
}
