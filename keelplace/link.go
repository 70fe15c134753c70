package keelplace

import (
	"math"
	"time"
)

const (
	// linkTimeConstant is the time constant of the moving averages of a link's rates.
	linkTimeConstant = 300 * time.Millisecond
	// minLinkSample is the least time between two samples of the byte counts.
	minLinkSample = 20 * time.Millisecond
	// moveFrom is the utilization of a link from which callers are moved to other
	// instances, and moveAll that from which each of them is.
	moveFrom, moveAll = 0.4, 0.6
)

// Link measures the utilization of an instance's network link and decides which callers
// to move to other instances. It answers the load after a rolling restart: callers keep
// the connections that they have, so that instances that were not restarted get a
// multiple of the requests of the others. A full link delays all answers, and drops the
// datagrams by which the instance follows the configuration. A Link is not safe for
// concurrent use.
type Link struct {
	bytesPerSecond float64
	sampledAt      time.Time
	received, sent int64
	// receiveRate and sendRate are moving averages in bytes per second.
	receiveRate, sendRate float64
}

// NewLink returns an idle link with a rate in each direction. A rate of 0 means that
// it is not known, and that no caller is moved.
func NewLink(bytesPerSecond float64) *Link { return &Link{bytesPerSecond: bytesPerSecond} }

// Observe records how many bytes were received and sent so far.
func (l *Link) Observe(now time.Time, received, sent int64) {
	took := now.Sub(l.sampledAt)
	if took < minLinkSample {
		return
	}
	weight := 1 - math.Exp(-took.Seconds()/linkTimeConstant.Seconds())
	l.receiveRate += weight * (float64(received-l.received)/took.Seconds() - l.receiveRate)
	l.sendRate += weight * (float64(sent-l.sent)/took.Seconds() - l.sendRate)
	l.sampledAt, l.received, l.sent = now, received, sent
}

// Utilization returns the fraction of the link's rate that is used in the busier
// direction.
func (l *Link) Utilization() float64 {
	if l.bytesPerSecond <= 0 {
		return 0
	}
	return max(l.receiveRate, l.sendRate) / l.bytesPerSecond
}

// MoveFraction returns the fraction of requests after whose answer the caller's
// connection should be closed, so that it opens one to any instance.
func (l *Link) MoveFraction() float64 {
	return min(max((l.Utilization()-moveFrom)/(moveAll-moveFrom), 0), 1)
}
