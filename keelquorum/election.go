package keelquorum

import (
	keel "github.com/greengagekeel/greengagekeel"
)

// canCampaign reports whether this disk is a voter in the set in force.
func (c *Core) canCampaign() bool {
	return c.activeSet().isVoter(c.cfg.Self, c.incarnation)
}

// preCampaign requests pre-votes, to find out whether an election could be won
// without disturbing a leader that others still follow.
func (c *Core) preCampaign() {
	c.fire(eventTimeout)
	c.preCampaigns++
	c.leader = ""
	c.resetTimer()
	c.votes = map[keel.InstanceName]uint64{c.cfg.Self: c.incarnation}
	if c.votesWon() {
		c.campaign(false)
		return
	}
	c.requestVotes(Message{Type: MessagePreVote, Term: c.term + 1})
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
	c.requestVotes(Message{Type: MessageVote, Term: c.term, HandOver: handOver})
}

func (c *Core) requestVotes(m Message) {
	last := c.log.last()
	m.Index, m.LogTerm = last.index, last.term
	for _, v := range c.activeSet().voters {
		if v.Name != c.cfg.Self && !v.Learner {
			c.sendAfterStore(v.Name, m)
		}
	}
}

// votesWon reports whether the votes received form a quorum. A vote counts only
// if the set in force contains the incarnation that granted it.
func (c *Core) votesWon() bool {
	n := 0
	for name, incarnation := range c.votes {
		if c.activeSet().isVoter(name, incarnation) {
			n++
		}
	}
	return n >= c.activeSet().quorum()
}

// leaseMayExist reports whether a leader may hold a lease that this instance has
// acknowledged, or this instance itself has led for less than an election
// timeout. Unless that leader hands over, this instance then grants no votes.
func (c *Core) leaseMayExist() bool {
	if c.isLeader() {
		return c.holdsLease() || c.clock.now.Sub(c.lead.since) < c.cfg.Election
	}
	return c.clock.elapsed-c.leaderSeen < c.cfg.Election
}

// canVoteFor reports whether this instance can grant a vote to a candidate whose
// log ends at last: its disk must not have been replaced in the voter set, and
// the candidate's log must be up to date.
func (c *Core) canVoteFor(last position) bool {
	return !c.activeSet().hasOtherIncarnation(c.cfg.Self, c.incarnation) && !last.before(c.log.last())
}

func (c *Core) handlePreVote(m *Message) {
	if c.leaseMayExist() {
		return
	}
	if m.Term > c.term && c.canVoteFor(position{m.Index, m.LogTerm}) {
		if c.role.State() == RolePreCandidate && m.From < c.cfg.Self {
			// Of two concurrent candidates, the one with the greater name yields.
			c.becomeFollower(c.term, "")
			c.resetTimer()
		}
		c.sendAfterStore(m.From, Message{Type: MessagePreVoteAnswer, Term: m.Term})
		return
	}
	c.sendAfterStore(m.From, Message{Type: MessagePreVoteAnswer, Reject: true})
}

func (c *Core) handleVote(m *Message) {
	if c.leaseMayExist() && !m.HandOver {
		return
	}
	if m.Term > c.term {
		c.becomeFollower(m.Term, "")
	}
	voteAvailable := c.vote == "" || c.vote == m.From
	if m.Term < c.term || !voteAvailable || !c.canVoteFor(position{m.Index, m.LogTerm}) {
		c.sendAfterStore(m.From, Message{Type: MessageVoteAnswer, Reject: true})
		return
	}
	if c.vote == "" {
		c.vote = m.From
		c.out.vote = true
	}
	c.resetTimer()
	c.sendAfterStore(m.From, Message{Type: MessageVoteAnswer})
}

func (c *Core) handleVoteAnswer(m *Message) {
	if m.Reject {
		if m.Term > c.term {
			c.becomeFollower(m.Term, "")
		}
		return
	}
	state := c.role.State()
	preVote := state == RolePreCandidate && m.Type == MessagePreVoteAnswer && m.Term == c.term+1
	vote := state == RoleCandidate && m.Type == MessageVoteAnswer && m.Term == c.term
	if !preVote && !vote {
		return
	}
	if _, ok := c.votes[m.From]; !ok || c.activeSet().isVoter(m.From, m.Incarnation) {
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

// handleCampaign starts an election at the request of a leader that hands over.
func (c *Core) handleCampaign(m *Message) {
	if m.Term == c.term && m.From == c.leader && !c.isLeader() && c.canCampaign() {
		c.campaign(true)
	}
}

// becomeFollower makes this instance a follower in a term. leader is empty if it
// is unknown.
func (c *Core) becomeFollower(term uint64, leader keel.InstanceName) {
	if term > c.term {
		c.term, c.vote = term, ""
		c.out.vote = true
	}
	c.fire(eventStepDown)
	c.leader = leader
	c.lead = leaderState{rounds: rounds{last: c.lead.rounds.last}}
	c.votes = nil
}
