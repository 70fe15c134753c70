package keelquorum

import (
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// handOver is the state of a leadership transfer, started at a planned stop. From
// its start on the leader has no lease for the rest of its term, because the
// voters elect the target without waiting for the lease to end.
type handOver struct {
	target keel.InstanceName
	start  time.Time
	// sent means that the target was asked to start an election.
	sent bool
}

// HandOver stops accepting proposals and starts to transfer the leadership to the
// most up-to-date voter. It returns false if this instance is not the leader or
// no other voter has answered recently.
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

// bestSuccessor returns the most up-to-date voter among those that have answered
// recently.
func (c *Core) bestSuccessor() keel.InstanceName {
	var best keel.InstanceName
	var match uint64
	for _, v := range c.activeSet().voters {
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

// Resign gives up the leadership of an instance whose storage failed. It returns
// a message that asks the most up-to-date voter to start an election immediately,
// or false if no other voter is known to hold all committed entries. Afterwards
// the core must not be used any more.
func (c *Core) Resign(now time.Time) (Message, bool) {
	if !c.HandOver(now) {
		return Message{}, false
	}
	h := &c.lead.handOver
	h.sent = true
	if c.lead.progress[h.target].match < c.commit {
		return Message{}, false
	}
	return c.fillHeader(h.target, Message{Type: MessageCampaign}), true
}

// tryHandOver asks the target to start an election once it holds the whole log.
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
	c.sendAfterStore(h.target, Message{Type: MessageCampaign})
}

// handOverExpired reports whether the target has not been elected in time. The
// leader must then step down, because it can't hold a lease again in this term.
func (c *Core) handOverExpired() bool {
	h := &c.lead.handOver
	return h.target != "" && c.clock.now.Sub(h.start) >= c.cfg.Election
}
