package keelentry

import (
	"sync"
	"time"

	"github.com/greengagekeel/greengagekeel/keelsync"
	"github.com/greengagekeel/greengagekeel/keelworld"
)

// limitReports holds what this instance observed of the limits of endpoints until the
// replicated state has it. All instances follow that one, as those that send nothing to an
// endpoint get no answers which tell them.
type limitReports struct {
	mu      sync.Mutex
	pending map[string]limitReport
}

// limitReport is an observed limit, and the index of the one that the state had then.
type limitReport struct {
	limit      keelworld.RateLimit
	known      uint64
	observedAt time.Time
}

func newLimitReports() *limitReports { return &limitReports{pending: map[string]limitReport{}} }

// observe records a limit that is reported if the state does not have it.
func (lr *limitReports) observe(now time.Time, v *keelworld.View, l keelworld.RateLimit) {
	lr.mu.Lock()
	defer lr.mu.Unlock()
	if v.RateLimits.Agrees(&l) {
		delete(lr.pending, l.Endpoint)
		return
	}
	lr.pending[l.Endpoint] = limitReport{l, v.RateLimits[l.Endpoint].Index, now}
}

// due returns what the next poll is to report. A report ends once another one has changed the
// state, which may be newer: the next answer of the endpoint shows which one holds.
func (lr *limitReports) due(now time.Time, v *keelworld.View) []keelworld.RateLimit {
	lr.mu.Lock()
	defer lr.mu.Unlock()
	var due []keelworld.RateLimit
	for id, r := range lr.pending {
		if v.RateLimits.Agrees(&r.limit) || v.RateLimits[id].Index != r.known || now.Sub(r.observedAt) > reportTimeout {
			delete(lr.pending, id)
			continue
		}
		if len(due) < keelsync.MaxReported {
			due = append(due, r.limit)
		}
	}
	return due
}
