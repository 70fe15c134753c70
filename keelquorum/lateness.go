package keelquorum

import "time"

// lateReportInterval limits the log lines about a loop that runs late.
const lateReportInterval = time.Second

// lateness tracks the time between two iterations of the loop.
type lateness struct {
	lastRun    time.Time
	reportedAt time.Time
	// worst is the longest interval since reportedAt.
	worst time.Duration
}

// add records an iteration. It returns the longest interval if that exceeds limit
// and a report is due.
func (l *lateness) add(now time.Time, limit time.Duration) (worst time.Duration, due bool) {
	if !l.lastRun.IsZero() {
		l.worst = max(l.worst, now.Sub(l.lastRun))
	}
	l.lastRun = now
	if l.worst <= limit || now.Sub(l.reportedAt) < lateReportInterval {
		return 0, false
	}
	worst, l.worst, l.reportedAt = l.worst, 0, now
	return worst, true
}

// reportLateness logs if the loop ran so late that heartbeats are missed: the
// process lacks processor time, or the disk is slow.
func (n *Node) reportLateness(now time.Time) {
	if worst, due := n.lateness.add(now, n.cfg.Heartbeat); due {
		n.cfg.Log.WithField("interval_ms", worst.Milliseconds()).Warn("voter runs late")
	}
}
