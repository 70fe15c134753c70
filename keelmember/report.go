package keelmember

import (
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// versionSummary is what is known of the versions in force in another failure
// domain.
type versionSummary struct {
	sender          Contact
	lowest, highest keel.Version
	live, lagging   int
	lags            []Lag
	made            time.Time
}

func versionsOf(g *Digest, made time.Time) versionSummary {
	return versionSummary{
		sender: g.Sender, lowest: g.Lowest, highest: g.Highest,
		live: g.Live, lagging: g.Lagging, lags: g.Lags, made: made,
	}
}

// versions returns what is known of the domain's versions.
func (d *domain) versions() versionSummary { return versionsOf(&d.digest, d.heard) }

// setVersions puts a summary in the place of the digest's own, which may be
// older.
func (d *domain) setVersions(v versionSummary) {
	g := &d.digest
	g.Sender, g.Lowest, g.Highest = v.sender, v.lowest, v.highest
	g.Live, g.Lagging, g.Lags = v.live, v.lagging, v.lags
	d.heard = v.made
}

// followedBy reports whether g tells more than v. One that comes late says that
// it is new, since the time on the wire is not part of its age; versions only
// rise at an instance, so a lower one right after a higher one was overtaken.
func (v *versionSummary) followedBy(g *Digest, made time.Time) bool {
	if made.Before(v.made) {
		return false
	}
	return g.Lowest >= v.lowest || made.Sub(v.made) >= overtakenWithin
}

// asked is what a voter asked a domain about a version.
type asked struct {
	version keel.Version
	count   int
	next    time.Time
}

// exhausted reports whether the domain was asked about a version as often as it
// is asked.
func (a *asked) exhausted(v keel.Version) bool { return a.version == v && a.count >= maxAsks }

// lacks reports whether this instance is a voter that does not know its version
// to be in force in a domain.
func (c *Core) lacks(d *domain) bool {
	return c.self.Voter && d.digest.Lowest < c.local.Version
}

// askAgain has a voter tell its version again to the domains that did not report
// it in time. The question goes to another representative each time, so that
// neither a lost message nor a dead representative keeps it waiting.
func (c *Core) askAgain() {
	if !c.self.Voter || c.local.Leaving {
		return
	}
	for _, name := range c.domainNames() {
		d := c.domains[name]
		if !c.lacks(d) {
			continue
		}
		if d.asked.version < c.local.Version {
			d.asked = asked{version: c.local.Version, next: c.now.Add(askPeriod)}
		}
		if d.asked.exhausted(c.local.Version) || c.now.Before(d.asked.next) {
			continue
		}
		d.asked.count++
		d.asked.next = c.now.Add(askPeriod)
		c.tell(d, c.pushPlace(name)+d.asked.count, true)
	}
}

// reportDue reports whether this instance speaks for a domain in which a version
// came in force at the last instance.
func (c *Core) reportDue() bool {
	if c.local.Version <= c.reported || c.representatives()[0] != c.self.Name {
		return false
	}
	return c.lowest() > c.reported
}

// lowest returns the lowest version in force among the live instances of the
// own domain.
func (c *Core) lowest() keel.Version {
	v := c.local.Version
	for _, m := range c.members {
		if m.counts() {
			v = min(v, m.version)
		}
	}
	return v
}

// report tells all voters that a version is in force in the whole domain: one
// report for the domain and version.
func (c *Core) report() {
	if c.now.Sub(c.lastReport) < pushGap || !c.reportDue() {
		return
	}
	g := c.makeReport()
	c.reported, c.lastReport = g.Lowest, c.now
	for _, name := range c.voterNames() {
		if _, own := c.members[name]; !own {
			c.send(c.voters[name].peer, keel.KindDigest, g)
		}
	}
}

// makeReport sums up the versions in the own domain.
func (c *Core) makeReport() *Digest {
	g := c.briefDigest()
	live := c.liveMembers()
	g.Live = len(live)
	g.setVersions(live)
	return g
}

// answerAsk tells a voter what is in force here, if it asks.
func (c *Core) answerAsk(g *Digest) {
	if g.Ask && c.isRepresentative() {
		c.send(g.Sender.Peer, keel.KindDigest, c.makeReport())
	}
}
