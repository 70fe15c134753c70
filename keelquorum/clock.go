package keelquorum

import "time"

// clock keeps two readings of the time that callers pass in. The lease is
// measured by the plain time, so that it ends when a process was stopped. Time
// without a leader is measured by a reading that rises by a bounded step for
// each call, so that a jump of the clock or a stopped process starts no
// election and breaks no other instance's lease.
type clock struct {
	now     time.Time
	patient time.Duration
	maxStep time.Duration
}

// advance takes the present time. It returns false if the time went back.
func (c *clock) advance(now time.Time) bool {
	step := now.Sub(c.now)
	c.now = now
	if step < 0 {
		return false
	}
	c.patient += min(step, c.maxStep)
	return true
}

// round is the time when the leader sent a numbered heartbeat.
type round struct {
	number uint64
	sent   time.Time
}

// rounds are the heartbeats whose answers may still extend the lease.
type rounds struct {
	last uint64
	sent []round
}

func (r *rounds) start(now time.Time, keep time.Duration) {
	r.last++
	for len(r.sent) > 0 && now.Sub(r.sent[0].sent) > keep {
		r.sent = r.sent[1:]
	}
	r.sent = append(r.sent, round{r.last, now})
}

func (r *rounds) find(number uint64) (time.Time, bool) {
	for _, s := range r.sent {
		if s.number == number {
			return s.sent, true
		}
	}
	return time.Time{}, false
}

// forget makes answers to all earlier heartbeats worthless.
func (r *rounds) forget() { r.sent = nil }
