package keelsync

import (
	"time"

	"github.com/sirupsen/logrus"
)

// contactReportInterval limits the log lines while a follower has no contact.
const contactReportInterval = 2 * time.Second

// contactLog tracks the contact of a follower with the voters, so that its loss
// and its return are logged once, with the failed polls in between.
type contactLog struct {
	// lostAt is when the first of the failed polls ended; zero with contact.
	lostAt     time.Time
	reportedAt time.Time
	failed     int
}

// logContact logs a lost and a regained contact with the voters, and every
// [contactReportInterval] that it is still lost. err is the result of a poll.
func (f *Follower) logContact(err error) {
	now, c := time.Now(), &f.contact
	if err == nil {
		if c.failed > 0 {
			f.cfg.Log.WithFields(logrus.Fields{
				"failed_polls": c.failed, "lost_ms": now.Sub(c.lostAt).Milliseconds(), "index": f.state.Index(),
			}).Info("contact with voters regained")
		}
		*c = contactLog{reportedAt: c.reportedAt}
		return
	}
	if c.failed == 0 {
		c.lostAt = now
	}
	c.failed++
	if now.Sub(c.reportedAt) < contactReportInterval {
		return
	}
	c.reportedAt = now
	f.cfg.Log.WithError(err).WithFields(logrus.Fields{
		"failed_polls": c.failed, "lost_ms": now.Sub(c.lostAt).Milliseconds(), "index": f.state.Index(),
	}).Warn("no contact with voters")
}
