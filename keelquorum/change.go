package keelquorum

import (
	"time"

	keel "github.com/greengagekeel/greengagekeel"

	"github.com/go-faster/errors"
)

// contact records the incarnation with which an instance last sent a message, and
// when.
type contact struct {
	incarnation uint64
	// since is when the instance was first seen with this incarnation. If it was
	// seen with another one in between, since starts again. Both times are
	// readings of clock.elapsed.
	since    time.Duration
	lastSeen time.Duration
}

// recordContact records that a message arrived from an instance.
func (c *Core) recordContact(name keel.InstanceName, incarnation uint64) {
	s := c.contacts[name]
	if s == nil || s.incarnation != incarnation {
		s = &contact{incarnation: incarnation, since: c.clock.elapsed}
		c.contacts[name] = s
	}
	s.lastSeen = c.clock.elapsed
}

// hasStableIncarnation reports whether an instance has sent messages recently and
// for at least an election timeout with the same incarnation only.
func (c *Core) hasStableIncarnation(s *contact) bool {
	now := c.clock.elapsed
	return s != nil && now-s.since >= c.cfg.Election && now-s.lastSeen < c.cfg.Election
}

// canChangeVoters reports whether the leader may propose a new voter set: the
// current one and an entry of the leader's term must be committed, and no
// handover may be in progress.
func (c *Core) canChangeVoters() bool {
	return c.committedInTerm() && c.activeSet().index <= c.commit && c.lead.handOver.target == ""
}

func (c *Core) proposeVoters(voters []keel.Voter) {
	c.appendEntry(keel.LogEntry{Type: keel.EntryVoters, Voters: voters})
}

// changeVoters proposes the next change that is due: a voter that lost its disk
// becomes a learner, a learner that holds all committed entries becomes a voter,
// and a joining instance becomes a learner.
func (c *Core) changeVoters() {
	if !c.canChangeVoters() {
		return
	}
	for _, v := range c.activeSet().voters {
		if next, ok := c.dueChange(v); ok {
			c.proposeVoters(c.activeSet().withVoter(next))
			return
		}
	}
	c.addJoining()
}

// dueChange returns the record that a member is to have next, or false if no
// change is due.
func (c *Core) dueChange(v keel.Voter) (keel.Voter, bool) {
	if v.Name == c.cfg.Self {
		return v, false
	}
	if s := c.contacts[v.Name]; c.hasStableIncarnation(s) && s.incarnation != v.Incarnation {
		return keel.Voter{Name: v.Name, Incarnation: s.incarnation, Learner: true}, true
	}
	p := c.lead.progress[v.Name]
	if !v.Learner || p.probing || p.match < c.commit {
		return v, false
	}
	v.Learner = false
	return v, true
}

// addJoining adds the joining instance as a learner once its incarnation is
// known.
func (c *Core) addJoining() {
	name := c.lead.joining
	if name == "" {
		return
	}
	if _, ok := c.activeSet().find(name); ok {
		c.lead.joining = ""
		return
	}
	if s := c.contacts[name]; s != nil && c.clock.elapsed-s.lastSeen < c.cfg.Election {
		c.lead.joining = ""
		c.proposeVoters(c.activeSet().withVoter(keel.Voter{Name: name, Incarnation: s.incarnation, Learner: true}))
	}
}

// AddVoter starts to add an instance: it becomes a learner once it sends a
// message, and a voter once it holds all committed entries. It fails with
// [*NotLeaderError] without a valid lease, and with [ErrChangePending] while
// another instance is joining.
func (c *Core) AddVoter(now time.Time, name keel.InstanceName) error {
	c.advance(now)
	if err := c.checkLease(); err != nil {
		return err
	}
	if _, ok := c.activeSet().find(name); ok {
		return nil
	}
	if c.lead.joining != "" && c.lead.joining != name {
		return errors.Wrapf(ErrChangePending, "add voter %q", name)
	}
	c.lead.joining = name
	return nil
}

// RemoveVoter proposes a voter set without an instance. It fails with
// [*NotLeaderError] without a valid lease, with [ErrLeaderRemoval] if the
// instance is this one, and with [ErrChangePending] during another change or a
// handover, or before the first commit of the leader's term.
func (c *Core) RemoveVoter(now time.Time, name keel.InstanceName) error {
	c.advance(now)
	if err := c.checkLease(); err != nil {
		return err
	}
	if c.lead.joining == name {
		c.lead.joining = ""
	}
	if _, ok := c.activeSet().find(name); !ok {
		return nil
	}
	if name == c.cfg.Self {
		return ErrLeaderRemoval
	}
	if !c.canChangeVoters() {
		return errors.Wrapf(ErrChangePending, "remove voter %q", name)
	}
	c.proposeVoters(c.activeSet().withoutVoter(name))
	return nil
}

// CommittedVoter returns the member with a name in the last committed voter set.
func (c *Core) CommittedVoter(name keel.InstanceName) (keel.Voter, bool) {
	return c.voterSets[c.voterSetAt(c.commit)].find(name)
}
