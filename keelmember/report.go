package keelmember

import (
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// versionSummary summarizes the versions in force in another failure domain.
type versionSummary struct {
	sender          Contact
	lowest, highest keel.Version
	live, lagging   int
	lags            []LaggingInstance
	asOf            time.Time
}

func versionsOf(g *Digest, made time.Time) versionSummary {
	return versionSummary{
		sender: g.Sender, lowest: g.Lowest, highest: g.Highest,
		live: g.Live, lagging: g.Lagging, lags: g.Lags, asOf: made,
	}
}

// versions returns the latest summary of the versions in the domain.
func (d *domain) versions() versionSummary { return versionsOf(&d.digest, d.versionsAsOf) }

// setVersions replaces the versions of the stored digest by a summary, which
// may be newer than the rest of the digest.
func (d *domain) setVersions(v versionSummary) {
	g := &d.digest
	g.Sender, g.Lowest, g.Highest = v.sender, v.lowest, v.highest
	g.Live, g.Lagging, g.Lags = v.live, v.lagging, v.lags
	d.versionsAsOf = v.asOf
}

// isSupersededBy reports whether g is newer than v. A delayed digest appears to
// be newer than it is, since its age excludes the time in transit. The version
// of an instance never decreases, so a lower version soon after a higher one
// means that the digests were reordered.
func (v *versionSummary) isSupersededBy(g *Digest, made time.Time) bool {
	if made.Before(v.asOf) {
		return false
	}
	return g.Lowest >= v.lowest || made.Sub(v.asOf) >= reorderWindow
}

// reportRequest is the state of the requests of a voter for reports on one
// version from a domain.
type reportRequest struct {
	version keel.Version
	count   int
	next    time.Time
}

// exhausted reports whether the request for a version was sent as often as is
// allowed.
func (a *reportRequest) exhausted(v keel.Version) bool {
	return a.version == v && a.count >= maxReportRequests
}

// awaitsReport reports whether this instance is a voter without a report that
// its version is in force in a whole domain.
func (c *Core) awaitsReport(d *domain) bool {
	return c.self.Voter && d.digest.Lowest < c.local.Version
}

// requestReports sends the version of a voter again to the domains that did not
// report it in time. Each request goes to another representative, so that
// neither a lost message nor a dead representative blocks the confirmation.
func (c *Core) requestReports() {
	if !c.self.Voter || c.local.Leaving {
		return
	}
	for _, name := range c.domainNames() {
		d := c.domains[name]
		if !c.awaitsReport(d) {
			continue
		}
		if d.reportRequest.version < c.local.Version {
			d.reportRequest = reportRequest{version: c.local.Version, next: c.now.Add(reportRequestPeriod)}
		}
		if d.reportRequest.exhausted(c.local.Version) || c.now.Before(d.reportRequest.next) {
			continue
		}
		d.reportRequest.count++
		d.reportRequest.next = c.now.Add(reportRequestPeriod)
		c.sendBriefDigest(d, c.pushRank(name)+d.reportRequest.count, true)
	}
}

// reportDue reports whether this instance is the first representative of its
// domain and a version that was not reported yet is in force at all live
// instances there.
func (c *Core) reportDue() bool {
	if c.local.Version <= c.reportedVersion || c.representatives()[0] != c.self.Name {
		return false
	}
	return c.lowest() > c.reportedVersion
}

// lowest returns the lowest version in force at the live instances of the own
// domain.
func (c *Core) lowest() keel.Version {
	v := c.local.Version
	for _, m := range c.members {
		if m.countsForVersions() {
			v = min(v, m.version)
		}
	}
	return v
}

// sendReport reports to the voters of other domains that a version is in force
// in the whole domain. There is one report for each version.
func (c *Core) sendReport() {
	if c.now.Sub(c.lastReport) < pushGap || !c.reportDue() {
		return
	}
	g := c.buildReport()
	c.reportedVersion, c.lastReport = g.Lowest, c.now
	for _, name := range c.voterNames() {
		if _, own := c.members[name]; !own {
			c.send(c.voters[name].peer, keel.KindDigest, g)
		}
	}
}

// buildReport returns a brief digest with the versions in the own domain.
func (c *Core) buildReport() *Digest {
	g := c.briefDigest()
	members := c.countedMembers()
	g.Live = len(members)
	g.setVersions(members)
	return g
}

// answerReportRequest sends a report to the sender of a digest that requests
// one.
func (c *Core) answerReportRequest(g *Digest) {
	if g.ReportRequested && c.isRepresentative() {
		c.send(g.Sender.Peer, keel.KindDigest, c.buildReport())
	}
}
