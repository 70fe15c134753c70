package keelplace

import (
	"time"

	"github.com/greengagekeel/greengagekeel/keelworld"
)

const (
	// suspectAfter is the number of endpoints that fail, without a new connection to any,
	// from which an instance may be cut off from all of them.
	suspectAfter = 3
	// answerSilence is the time without any answer after which requests that got none, and
	// connections that could not be opened in time, show a lost contact rather than load.
	answerSilence = 300 * time.Millisecond
)

// Contact tracks whether an instance is cut off from all endpoints. It is not safe for
// concurrent use.
//
// A failing endpoint, or those of a failure domain, are no sign of it, so that failures of
// several endpoints only raise a suspicion, which connections to endpoints of all failure
// domains are to confirm.
type Contact struct {
	failed     map[string]bool
	answeredAt time.Time
	lost       bool
}

// NewContact returns the contact of an instance that is not cut off.
func NewContact() *Contact { return &Contact{failed: map[string]bool{}} }

// Failed records that an endpoint did not answer a request, or if unreachable is set, that no
// connection to it could be opened. An answer of another endpoint shows that load may be the
// cause, unless no connection could be opened: some partitions leave the open ones alone.
func (c *Contact) Failed(now time.Time, endpoint string, unreachable bool) {
	if unreachable || c.silent(now) {
		c.failed[endpoint] = true
	}
}

// Answered records that an endpoint answered a request.
func (c *Contact) Answered(now time.Time) { c.answeredAt = now }

// Connected records that a connection to an endpoint was opened, and reports whether that
// ended the lost contact.
func (c *Contact) Connected() (regained bool) {
	regained = c.lost
	c.lost = false
	clear(c.failed)
	return regained
}

// Suspected reports whether connections to endpoints should be tried, of which there are so
// many.
func (c *Contact) Suspected(endpoints int) bool {
	return c.lost || len(c.failed) > 0 && len(c.failed) >= min(suspectAfter, endpoints)
}

// Confirm records that no connection could be opened to an endpoint of any failure domain, in
// time if timedOut is set, and reports whether the contact was lost by that.
func (c *Contact) Confirm(now time.Time, timedOut bool) (lost bool) {
	if c.lost || timedOut && !c.silent(now) {
		return false
	}
	c.lost = true
	return true
}

// Lost reports whether the instance is cut off from all endpoints.
func (c *Contact) Lost() bool { return c.lost }

func (c *Contact) silent(now time.Time) bool { return now.Sub(c.answeredAt) > answerSilence }

// Reaching returns the instances that reach endpoints, or all if none of them does.
func Reaching(nodes []keelworld.Node) []keelworld.Node {
	isolated := 0
	for i := range nodes {
		if nodes[i].Isolated {
			isolated++
		}
	}
	if isolated == 0 || isolated == len(nodes) {
		return nodes
	}
	reaching := make([]keelworld.Node, 0, len(nodes)-isolated)
	for i := range nodes {
		if !nodes[i].Isolated {
			reaching = append(reaching, nodes[i])
		}
	}
	return reaching
}

// Regained drops what was observed of endpoints while the instance was cut off from them.
func (p *Pool) Regained(now time.Time) {
	for _, e := range p.endpoints {
		e.failures, e.suspected, e.ejectedUntil, e.assumedColdUntil = 0, false, time.Time{}, time.Time{}
		e.failureRate, e.slowdown = 0, 1
		e.timedOut = objectSet{}
		if len(e.started) > 0 {
			e.answeredAt = now
		}
	}
}
