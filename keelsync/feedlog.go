package keelsync

import (
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// feedReportInterval is the time between two log lines about what a voter sent to
// followers.
const feedReportInterval = time.Second

// feedCounts counts what a voter sent to followers that lack the state. Many more
// snapshots than followers mean that most of them don't arrive in time.
type feedCounts struct {
	snapshots, bytes atomic.Int64
	reportedAt       time.Time
}

// addSnapshot counts a snapshot that was handed to the transport.
func (c *feedCounts) addSnapshot(bytes int) {
	c.snapshots.Add(1)
	c.bytes.Add(int64(bytes))
}

// report logs the counts since the last report, if any. Only reconcile calls it.
func (c *feedCounts) report(now time.Time, log *logrus.Entry) {
	if now.Sub(c.reportedAt) < feedReportInterval || c.snapshots.Load() == 0 {
		return
	}
	c.reportedAt = now
	log.WithFields(logrus.Fields{"snapshots": c.snapshots.Swap(0), "bytes": c.bytes.Swap(0)}).Info("state sent to followers")
}
