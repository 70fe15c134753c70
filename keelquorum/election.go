package keelquorum

import (
	keel "github.com/greengagekeel/greengagekeel"
)

// mayStand says whether this disk is a voter by the set in force.
func (c *Core) mayStand() bool {
	return c.set().counts(c.cfg.Self, c.incarnation)
}

// preCampaign asks whether an election could be won, without disturbing a
// leader that others still hear.
func (c *Core) preCampaign() {
	c.fire(eventTimeout)
	c.leader = ""
	c.resetTimer()
	c.votes = map[keel.InstanceName]uint64{c.cfg.Self: c.incarnation}
	if c.votesWon() {
		c.campaign(false)
		return
	}
	c.askForVotes(Message{Type: MessagePreVote, Term: c.term + 1})
}

// campaign starts an election in a new term.
func (c *Core) campaign(handOver bool) {
	if c.role.State() == RolePreCandidate && !handOver {
		c.fire(eventPreVotesWon)
	} else {
		c.fire(eventCampaign)
	}
	c.term++
	c.vote = c.cfg.Self
	c.out.vote = true
	c.leader = ""
	c.resetTimer()
	c.votes = map[keel.InstanceName]uint64{c.cfg.Self: c.incarnation}
	if c.votesWon() {
		c.becomeLeader()
		return
	}
	c.askForVotes(Message{Type: MessageVote, Term: c.term, HandOver: handOver})
}

func (c *Core) askForVotes(m Message) {
	last := c.log.last()
	m.Index, m.LogTerm = last.index, last.term
	for _, v := range c.set().voters {
		if v.Name != c.cfg.Self && !v.Learner {
			c.send(v.Name, m)
		}
	}
}

// votesWon says whether the votes so far are a quorum. A vote counts only if
// the set in force names the disk that gave it.
func (c *Core) votesWon() bool {
	n := 0
	for name, incarnation := range c.votes {
		if c.set().counts(name, incarnation) {
			n++
		}
	}
	return n >= c.set().quorum()
}

// hearsLeader says whether a leader may hold a lease that this instance
// supported. Then it helps no other one into office.
func (c *Core) hearsLeader() bool {
	if c.isLeader() {
		return c.holdsLease() || c.clock.now.Sub(c.lead.since) < c.cfg.Election
	}
	return c.clock.patient-c.heard < c.cfg.Election
}

// mayVote says whether this disk's vote could count for a log that ends at
// last.
func (c *Core) mayVote(last position) bool {
	return !c.set().replaced(c.cfg.Self, c.incarnation) && !last.before(c.log.last())
}

func (c *Core) takePreVote(m *Message) {
	if c.hearsLeader() {
		return
	}
	if m.Term > c.term && c.mayVote(position{m.Index, m.LogTerm}) {
		if c.role.State() == RolePreCandidate && m.From < c.cfg.Self {
			// One of two that stand at once gives way.
			c.follow(c.term, "")
			c.resetTimer()
		}
		c.send(m.From, Message{Type: MessagePreVoteAnswer, Term: m.Term})
		return
	}
	c.send(m.From, Message{Type: MessagePreVoteAnswer, Reject: true})
}

func (c *Core) takeVote(m *Message) {
	if c.hearsLeader() && !m.HandOver {
		return
	}
	if m.Term > c.term {
		c.follow(m.Term, "")
	}
	free := c.vote == "" || c.vote == m.From
	if m.Term < c.term || !free || !c.mayVote(position{m.Index, m.LogTerm}) {
		c.send(m.From, Message{Type: MessageVoteAnswer, Reject: true})
		return
	}
	if c.vote == "" {
		c.vote = m.From
		c.out.vote = true
	}
	c.resetTimer()
	c.send(m.From, Message{Type: MessageVoteAnswer})
}

func (c *Core) takeVoteAnswer(m *Message) {
	if m.Reject {
		if m.Term > c.term {
			c.follow(m.Term, "")
		}
		return
	}
	state := c.role.State()
	preVote := state == RolePreCandidate && m.Type == MessagePreVoteAnswer && m.Term == c.term+1
	vote := state == RoleCandidate && m.Type == MessageVoteAnswer && m.Term == c.term
	if !preVote && !vote {
		return
	}
	if _, ok := c.votes[m.From]; !ok || c.set().counts(m.From, m.Incarnation) {
		c.votes[m.From] = m.Incarnation
	}
	if !c.votesWon() {
		return
	}
	if preVote {
		c.campaign(false)
		return
	}
	c.becomeLeader()
}

// takeCampaign takes over from a leader that hands over.
func (c *Core) takeCampaign(m *Message) {
	if m.Term == c.term && m.From == c.leader && !c.isLeader() && c.mayStand() {
		c.campaign(true)
	}
}

// follow makes this instance a follower in a term.
func (c *Core) follow(term uint64, leader keel.InstanceName) {
	if term > c.term {
		c.term, c.vote = term, ""
		c.out.vote = true
	}
	c.fire(eventStepDown)
	c.leader = leader
	c.lead = leadership{rounds: rounds{last: c.lead.rounds.last}}
	c.votes = nil
}
