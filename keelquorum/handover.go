package keelquorum

import (
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// handOver is a leader's planned stop. From its start on the leader has no
// lease for the rest of its term, since the election that follows does not wait
// for one.
type handOver struct {
	target keel.InstanceName
	start  time.Time
	sent   bool
}

// HandOver stops the leader from accepting and passes the leadership to the
// voter that holds the most. It returns false if there is no such voter or this
// instance does not lead.
func (c *Core) HandOver(now time.Time) bool {
	c.advance(now)
	if !c.isLeader() {
		return false
	}
	if c.lead.handOver.target != "" {
		return true
	}
	target := c.bestSuccessor()
	if target == "" {
		return false
	}
	c.lead.handOver = handOver{target: target, start: c.clock.now}
	c.tryHandOver()
	return true
}

// bestSuccessor returns the voter with the most entries among those that were
// heard lately.
func (c *Core) bestSuccessor() keel.InstanceName {
	var best keel.InstanceName
	var match uint64
	for _, v := range c.set().voters {
		p := c.lead.progress[v.Name]
		if p == nil || v.Learner || c.clock.now.Sub(p.acked) >= c.cfg.Election {
			continue
		}
		if best == "" || p.match > match {
			best, match = v.Name, p.match
		}
	}
	return best
}

// Abdicate gives up the leadership of an instance whose storage failed. It
// returns a message by which the voter that holds the most stands for election
// at once, or false if there is none that is known to hold everything committed.
// The core must not be used for agreement afterwards.
func (c *Core) Abdicate(now time.Time) (Message, bool) {
	if !c.HandOver(now) {
		return Message{}, false
	}
	h := &c.lead.handOver
	h.sent = true
	if c.lead.progress[h.target].match < c.commit {
		return Message{}, false
	}
	return c.seal(h.target, Message{Type: MessageCampaign}), true
}

// tryHandOver asks the successor to stand for election once it holds the whole
// log.
func (c *Core) tryHandOver() {
	h := &c.lead.handOver
	if h.target == "" || h.sent {
		return
	}
	p := c.lead.progress[h.target]
	if p == nil || p.match < c.log.last().index {
		return
	}
	h.sent = true
	c.send(h.target, Message{Type: MessageCampaign})
}

// handOverExpired says whether the successor took too long. The leader then
// steps down, since it can't have a lease again in this term.
func (c *Core) handOverExpired() bool {
	h := &c.lead.handOver
	return h.target != "" && c.clock.now.Sub(h.start) >= c.cfg.Election
}
