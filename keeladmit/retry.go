package keeladmit

// RetryBudget limits retries to a fraction of the requests, plus a small
// reserve. The limit applies to any sequence of consecutive requests.
type RetryBudget struct {
	ratio  float64
	tokens float64
}

// retryReserve is the largest number of unused retries that the budget keeps.
const retryReserve = 10

// NewRetryBudget returns a budget of ratio retries per request. The value is
// clamped to the range from 0 to 1.
func NewRetryBudget(ratio float64) *RetryBudget {
	return &RetryBudget{ratio: min(max(ratio, 0), 1)}
}

// Request records the first attempt of a request.
func (b *RetryBudget) Request() { b.tokens = min(b.tokens+b.ratio, retryReserve) }

// Retry uses one retry of the budget, or returns false if none is left.
func (b *RetryBudget) Retry() bool {
	const epsilon = 1e-9 // tolerates rounding errors: ten times 0.1 must make 1
	if b.tokens < 1-epsilon {
		return false
	}
	b.tokens--
	return true
}
