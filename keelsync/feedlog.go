package keelsync

import (
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// feedReportInterval is the time between two log lines about what a voter sent to
// followers.
const feedReportInterval = time.Second

// feedCounts counts the snapshots and parts that a voter sent to followers. Many
// more bytes than the followers lack mean that answers don't arrive in time.
type feedCounts struct {
	answers, bytes atomic.Int64
	reportedAt     time.Time
}

// add counts an answer that was handed to the transport.
func (c *feedCounts) add(bytes int) {
	c.answers.Add(1)
	c.bytes.Add(int64(bytes))
}

// report logs the counts since the last report, if any. Only reconcile calls it.
func (c *feedCounts) report(now time.Time, log *logrus.Entry) {
	if now.Sub(c.reportedAt) < feedReportInterval || c.answers.Load() == 0 {
		return
	}
	c.reportedAt = now
	log.WithFields(logrus.Fields{"answers": c.answers.Swap(0), "bytes": c.bytes.Swap(0)}).Info("state sent to followers")
}
