package keelquorum

import "time"

// clock keeps two readings of the times that callers pass in. The lease is
// measured by now, so that it ends if the process was suspended. Time without a
// leader is measured by elapsed, which grows by at most maxStep per call, so that
// neither a clock jump nor a suspended process starts an election or breaks the
// lease of another instance.
type clock struct {
	now     time.Time
	elapsed time.Duration
	maxStep time.Duration
}

// advance sets the current time. It returns false if the time went back.
func (c *clock) advance(now time.Time) bool {
	step := now.Sub(c.now)
	c.now = now
	if step < 0 {
		return false
	}
	c.elapsed += min(step, c.maxStep)
	return true
}

// round is a numbered heartbeat and the time when the leader sent it.
type round struct {
	number uint64
	sent   time.Time
}

// rounds are the heartbeats whose answers may still extend the lease.
type rounds struct {
	last uint64
	sent []round
}

// start begins a new round and drops the rounds older than keep.
func (r *rounds) start(now time.Time, keep time.Duration) {
	r.last++
	for len(r.sent) > 0 && now.Sub(r.sent[0].sent) > keep {
		r.sent = r.sent[1:]
	}
	r.sent = append(r.sent, round{r.last, now})
}

// find returns when a round was sent, or false if it was dropped.
func (r *rounds) find(number uint64) (time.Time, bool) {
	for _, s := range r.sent {
		if s.number == number {
			return s.sent, true
		}
	}
	return time.Time{}, false
}

// invalidate drops all rounds, so that later answers to them do not extend the
// lease.
func (r *rounds) invalidate() { r.sent = nil }
