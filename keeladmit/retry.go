package keeladmit

// RetryBudget bounds retries to a part of the requests. It holds for any
// stretch of requests, plus a small reserve.
type RetryBudget struct {
	part   float64
	tokens float64
}

// retryReserve is how many retries the budget saves up at most.
const retryReserve = 10

// NewRetryBudget returns a budget of part retries, from 0 to 1, per request.
func NewRetryBudget(part float64) *RetryBudget {
	return &RetryBudget{part: min(max(part, 0), 1)}
}

// Request counts one first try.
func (b *RetryBudget) Request() { b.tokens = min(b.tokens+b.part, retryReserve) }

// Retry spends one retry, or returns false if none is left.
func (b *RetryBudget) Retry() bool {
	const epsilon = 1e-9 // ten tenths make one in spite of rounding
	if b.tokens < 1-epsilon {
		return false
	}
	b.tokens--
	return true
}
