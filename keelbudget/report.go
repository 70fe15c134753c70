package keelbudget

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

// reportInterval is the least time between two log lines of a [Reporter].
const reportInterval = time.Second

// Reporter logs that clients had to give way, at most once in an interval.
type Reporter struct {
	Budget *Budget
	Log    *logrus.Entry
}

// Run logs until ctx ends.
func (r Reporter) Run(ctx context.Context) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	last := r.Budget.Usage()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		u := r.Budget.Usage()
		if u.Evicted == last.Evicted && u.Refused == last.Refused {
			continue
		}
		r.Log.WithFields(logrus.Fields{
			"evicted": u.Evicted - last.Evicted, "refused": u.Refused - last.Refused, "held_bytes": u.Held, "limit_bytes": u.Limit,
			"connections": u.Connections, "max_connections": u.MaxConnections,
		}).Warn("no room for all callers")
		last = u
	}
}
