package keelsync

import (
	"time"

	"github.com/go-faster/errors"
	"github.com/greengagekeel/greengagekeel/keelpeer"
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
	// unreachable is how many of the failed polls opened no connection.
	unreachable int
	// answerTook is how long the last answer took.
	answerTook time.Duration
}

// logContact logs a lost and a regained contact with the voters, and every
// [contactReportInterval] that it is still lost. err is the result of a poll.
func (f *Follower) logContact(err error) {
	now, c := time.Now(), &f.contact
	if err == nil {
		if c.failed > 0 {
			f.cfg.Log.WithFields(f.contactFields(now)).Info("contact with voters regained")
		}
		*c = contactLog{reportedAt: c.reportedAt}
		return
	}
	if c.failed == 0 {
		c.lostAt = now
	}
	c.failed++
	if errors.Is(err, keelpeer.ErrUnreachable) {
		c.unreachable++
	}
	if now.Sub(c.reportedAt) < contactReportInterval {
		return
	}
	c.reportedAt = now
	f.cfg.Log.WithError(err).WithFields(f.contactFields(now)).Warn("no contact with voters")
}

// contactFields returns the log fields of a loss of contact.
func (f *Follower) contactFields(now time.Time) logrus.Fields {
	c := &f.contact
	return logrus.Fields{
		"failed_polls": c.failed, "unreachable": c.unreachable, "lost_ms": now.Sub(c.lostAt).Milliseconds(),
		"index": f.state.Index(), "age_ms": f.Age(now).Milliseconds(), "answer_ms": c.answerTook.Milliseconds(),
	}
}
