package keelquorum

import (
	"time"

	keel "github.com/greengagekeel/greengagekeel"

	"github.com/go-faster/errors"
)

// sighting is the disk with which an instance was heard last.
type sighting struct {
	incarnation uint64
	// since is when this disk was first heard without another one between.
	since time.Duration
	at    time.Duration
}

func (c *Core) sight(name keel.InstanceName, incarnation uint64) {
	s := c.seen[name]
	if s == nil || s.incarnation != incarnation {
		s = &sighting{incarnation: incarnation, since: c.clock.patient}
		c.seen[name] = s
	}
	s.at = c.clock.patient
}

// settled says whether an instance was heard with one disk only for an election
// timeout.
func (c *Core) settled(s *sighting) bool {
	now := c.clock.patient
	return s != nil && now-s.since >= c.cfg.Election && now-s.at < c.cfg.Election
}

// mayChange says whether the leader may put a new voter set in force: the one
// before is committed, and so is an entry of its own term.
func (c *Core) mayChange() bool {
	return c.established() && c.set().index <= c.commit && c.lead.handOver.target == ""
}

func (c *Core) putVoters(voters []keel.Voter) {
	c.propose(keel.LogEntry{Type: keel.EntryVoters, Voters: voters})
}

// changeVoters makes the next change that is due: a voter that lost its disk
// becomes a learner, a learner that holds everything becomes a voter, and an
// instance that joins becomes a learner.
func (c *Core) changeVoters() {
	if !c.mayChange() {
		return
	}
	for _, v := range c.set().voters {
		if next, ok := c.nextVoter(v); ok {
			c.putVoters(c.set().with(next))
			return
		}
	}
	c.admitJoining()
}

// nextVoter returns what a member is to become.
func (c *Core) nextVoter(v keel.Voter) (keel.Voter, bool) {
	if v.Name == c.cfg.Self {
		return v, false
	}
	if s := c.seen[v.Name]; c.settled(s) && s.incarnation != v.Incarnation {
		return keel.Voter{Name: v.Name, Incarnation: s.incarnation, Learner: true}, true
	}
	p := c.lead.progress[v.Name]
	if !v.Learner || p.probing || p.match < c.commit {
		return v, false
	}
	v.Learner = false
	return v, true
}

func (c *Core) admitJoining() {
	name := c.lead.joining
	if name == "" {
		return
	}
	if _, ok := c.set().find(name); ok {
		c.lead.joining = ""
		return
	}
	if s := c.seen[name]; s != nil && c.clock.patient-s.at < c.cfg.Election {
		c.lead.joining = ""
		c.putVoters(c.set().with(keel.Voter{Name: name, Incarnation: s.incarnation, Learner: true}))
	}
}

// AddVoter lets an instance join: it becomes a learner once it is heard, and a
// voter once it holds everything that is committed.
func (c *Core) AddVoter(now time.Time, name keel.InstanceName) error {
	c.advance(now)
	if err := c.checkLease(); err != nil {
		return err
	}
	if _, ok := c.set().find(name); ok {
		return nil
	}
	if c.lead.joining != "" && c.lead.joining != name {
		return errors.Wrapf(ErrChangePending, "add voter %q", name)
	}
	c.lead.joining = name
	return nil
}

// RemoveVoter removes an instance from the set.
func (c *Core) RemoveVoter(now time.Time, name keel.InstanceName) error {
	c.advance(now)
	if err := c.checkLease(); err != nil {
		return err
	}
	if c.lead.joining == name {
		c.lead.joining = ""
	}
	if _, ok := c.set().find(name); !ok {
		return nil
	}
	if name == c.cfg.Self {
		return ErrLeaderRemoval
	}
	if !c.mayChange() {
		return errors.Wrapf(ErrChangePending, "remove voter %q", name)
	}
	c.putVoters(c.set().without(name))
	return nil
}

// Voter returns the member of that name in the last committed voter set.
func (c *Core) Voter(name keel.InstanceName) (keel.Voter, bool) {
	return c.sets[c.setAt(c.commit)].find(name)
}
