package keelplace

import "time"

// RetryBudget limits the retries of all instances together. Each instance uses its
// own share of the budget, so that no coordination is needed.
type RetryBudget struct {
	// Ratio is the fraction of requests that may be retried.
	Ratio float64
	// Slack is the number of retries allowed in each Window in addition to Ratio.
	Slack  float64
	Window time.Duration
}

// budgetSafetyFactor is the fraction of the budget that is used. The rest covers
// instances that disagree about the number of instances, as in a partition.
const budgetSafetyFactor = 0.6

// budget is a token bucket with this instance's share of a [RetryBudget]. It holds
// at most the slack of half a window, or one token.
type budget struct {
	tokens     float64
	refilledAt time.Time
}

func (b *budget) refill(now time.Time, cfg RetryBudget, instances int) {
	limit := budgetSafetyFactor * cfg.Slack / float64(instances)
	if b.refilledAt.IsZero() {
		b.tokens = limit / 2
	} else if cfg.Window > 0 {
		b.tokens += limit / 2 * float64(now.Sub(b.refilledAt)) / float64(cfg.Window)
	}
	b.refilledAt = now
	b.tokens = min(b.tokens, max(limit/2, 1))
}

// earn adds the tokens that one new request is worth.
func (b *budget) earn(now time.Time, cfg RetryBudget, instances int) {
	b.refill(now, cfg, instances)
	b.tokens += budgetSafetyFactor * cfg.Ratio
}

// spend takes a token for a retry and reports whether there was one.
func (b *budget) spend(now time.Time, cfg RetryBudget, instances int) bool {
	b.refill(now, cfg, instances)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
