package keelmember

import (
	"slices"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// domain holds the state of another failure domain.
type domain struct {
	name           keel.DomainName
	digest         Digest
	digestMade     time.Time
	versionsAsOf   time.Time // when the versions of the digest were current
	highestVersion keel.Version
	contacts       []Contact
	sentVersion    keel.Version // the latest version that this instance sent to the domain
	reportRequest  reportRequest
}

// maxDomains limits the number of other failure domains that are tracked.
const maxDomains = 256

func (d *domain) view() DomainView {
	return DomainView{Domain: d.name, Digest: d.digest, DigestMade: d.digestMade, VersionsAsOf: d.versionsAsOf, Version: d.highestVersion, Contacts: d.contacts}
}

func (c *Core) domainNames() []keel.DomainName {
	names := make([]keel.DomainName, 0, len(c.domains))
	for name := range c.domains {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// domain returns the state of another failure domain and adds it if it is new.
// It returns nil for the own domain and beyond maxDomains.
func (c *Core) domain(name keel.DomainName) *domain {
	if name == c.self.Domain {
		return nil
	}
	d, ok := c.domains[name]
	if !ok {
		if len(c.domains) >= maxDomains {
			return nil
		}
		d = &domain{name: name}
		c.domains[name] = d
		c.changed = true
	}
	return d
}

// addContacts puts contacts before those that were known already.
func (d *domain) addContacts(list []Contact) {
	merged := slices.Clone(list)
	for _, old := range d.contacts {
		same := func(c Contact) bool { return c.Name == old.Name }
		if len(merged) < maxContacts && !slices.ContainsFunc(merged, same) {
			merged = append(merged, old)
		}
	}
	d.contacts = merged
}

// storeDigest stores a digest if it is newer than the stored one, and reports
// whether it did. The versions of a brief digest are stored as well.
func (c *Core) storeDigest(g *Digest) bool {
	d := c.domain(g.Domain)
	if d == nil {
		return false
	}
	d.highestVersion = max(d.highestVersion, g.Version, g.Highest)
	c.recordBeacon(g.Beacon)
	made := c.now.Add(-time.Duration(g.AgeMillis) * time.Millisecond)
	versions := d.versions()
	newer := g.Live > 0 && versions.isSupersededBy(g, made)
	if newer {
		versions = versionsOf(g, made)
		c.changed = true
	}
	stored := !g.Brief && made.After(d.digestMade)
	if stored {
		d.digest, d.digestMade = *g, made
		d.addContacts(g.Representatives)
		for i := range g.Instances {
			in := &g.Instances[i]
			c.recordVoter(Contact{Name: in.Name, Peer: in.Peer}, in.Voter)
		}
	}
	d.setVersions(versions)
	return stored
}

// handleDigest handles a digest that another instance sent or relayed.
func (c *Core) handleDigest(from keel.InstanceName, g *Digest) {
	if g.Domain == c.self.Domain {
		return
	}
	direct := g.Sender.Name == from
	if direct {
		c.addVersionNotice(g.Sender.Peer, g.Version, false)
		c.answerReportRequest(g)
	}
	if !c.storeDigest(g) {
		return
	}
	c.scheduleRelay(g, direct)
}

// scheduleRelay has a digest relayed inside the own domain. For each other
// domain one member is responsible, which spreads the work evenly.
func (c *Core) scheduleRelay(g *Digest, direct bool) {
	if last, ok := c.lastRelayed[g.Domain]; ok && c.now.Sub(last) < c.relayPeriod() {
		return
	}
	if len(c.lastRelayed) > maxDomains {
		clear(c.lastRelayed)
	}
	relayer := c.relayerOf(g.Domain)
	if relayer == c.self.Name {
		c.lastRelayed[g.Domain] = c.now
		c.pendingRelays = append(c.pendingRelays, g.Domain)
		return
	}
	if direct {
		c.lastRelayed[g.Domain] = c.now
		c.send(c.peerOf(relayer), keel.KindDigest, g)
	}
}

// relayerOf returns the live member that relays the digests of a domain.
// Domains are assigned round-robin, so that the loads of two members differ by
// one domain at most. Representatives, which have the lowest names, are
// assigned last.
func (c *Core) relayerOf(d keel.DomainName) keel.InstanceName {
	names := c.liveNames()
	if len(names) == 0 {
		return c.self.Name
	}
	index, _ := slices.BinarySearch(c.domainNames(), d)
	return names[len(names)-1-index%len(names)]
}

// relayPeriod returns the minimum time between two digests of one domain that
// are relayed. It is a little shorter than the time between two that arrive.
func (c *Core) relayPeriod() time.Duration {
	return max(c.digestPeriod()*3/4, time.Duration(len(c.members))*relayPeriodPerMember)
}

// dequeueRelays returns the digests that the next heartbeats carry, and removes
// them from the queue.
func (c *Core) dequeueRelays() []Digest {
	var out []Digest
	for _, name := range c.pendingRelays[:min(len(c.pendingRelays), maxRelayed)] {
		d := c.domains[name]
		g := d.digest
		g.AgeMillis = max(0, c.now.Sub(d.digestMade).Milliseconds())
		g.Beacon = nil // the heartbeat itself carries the latest one
		out = append(out, g)
	}
	c.pendingRelays = c.pendingRelays[len(out):]
	return out
}

// digestPeriod returns the time between two digests to one domain.
func (c *Core) digestPeriod() time.Duration {
	return max(minDigestPeriod, time.Duration(len(c.domains))*digestGap)
}

// sendNextDigest sends the next digest if one is due and this instance is a
// representative.
func (c *Core) sendNextDigest() {
	if c.now.Before(c.nextDigest) {
		return
	}
	names := c.domainNames()
	c.nextDigest = c.now.Add(max(digestGap, c.digestPeriod()/time.Duration(max(1, len(names)))))
	if len(names) == 0 || !c.isRepresentative() {
		return
	}
	d := c.nextTarget(names)
	own := slices.Index(c.representatives(), c.self.Name)
	g := c.buildDigest()
	c.sendDigest(d, own+c.digestRound, g)
}

// nextTarget returns the domain to send the next digest to. A domain that lags
// and was not sent the current version comes first.
func (c *Core) nextTarget(names []keel.DomainName) *domain {
	for i := range names {
		d := c.domains[names[(c.digestCursor+i)%len(names)]]
		if d.highestVersion < c.local.Version && d.sentVersion < c.local.Version && len(d.contacts) > 0 {
			return d
		}
	}
	if c.digestCursor >= len(names) {
		c.digestCursor = 0
		c.digestRound++
	}
	d := c.domains[names[c.digestCursor]]
	c.digestCursor++
	return d
}

// sendDigest sends a digest to one of the contacts of d. Later rounds choose
// other contacts, so that a dead one does not cut the domain off.
func (c *Core) sendDigest(d *domain, choice int, g *Digest) {
	if len(d.contacts) == 0 {
		return
	}
	d.sentVersion = max(d.sentVersion, g.Version)
	c.send(d.contacts[choice%len(d.contacts)].Peer, keel.KindDigest, g)
}

// sendBeacons sends beacons to other domains if this instance is a voter with a
// working majority. Through digests alone, a beacon would take long to reach
// all of many domains.
func (c *Core) sendBeacons() {
	if !c.local.QuorumBacked || c.now.Before(c.nextBeacon) {
		return
	}
	c.nextBeacon = c.now.Add(max(minBeaconPeriod, time.Duration(len(c.domains))*beaconPeriodPerDomain))
	c.advanceBeacon()
	c.pushVersion()
}

// pushVersion sends a new version from a voter to the representatives of other
// domains. The domains are divided among the voters.
func (c *Core) pushVersion() {
	if !c.self.Voter || c.local.Leaving {
		return
	}
	for _, name := range c.domainNames() {
		if pushRank := c.pushRank(name); pushRank < pushersPerDomain {
			d := c.domains[name]
			c.sendBriefDigest(d, pushRank, c.awaitsReport(d) && d.reportRequest.exhausted(c.local.Version))
		}
	}
}

// sendBriefDigest sends a brief digest to one of the representatives of d. It
// can request a report on the versions in d.
func (c *Core) sendBriefDigest(d *domain, choice int, requestReport bool) {
	n := min(len(d.contacts), representativesPerDomain)
	if n == 0 {
		return
	}
	g := c.briefDigest()
	g.ReportRequested = requestReport
	d.sentVersion = max(d.sentVersion, g.Version)
	c.send(d.contacts[choice%n].Peer, keel.KindDigest, g)
}

// pushRank returns how many voters rank before this one for pushing versions to
// a domain.
func (c *Core) pushRank(name keel.DomainName) int {
	own := rank(string(name), string(c.self.Name))
	higher := 0
	for voter := range c.voters {
		if voter != c.self.Name && rank(string(name), string(voter)) > own {
			higher++
		}
	}
	return higher
}

func (c *Core) briefDigest() *Digest {
	return &Digest{
		Domain: c.self.Domain, Region: c.self.Region,
		Sender: Contact{Name: c.self.Name, Peer: c.self.Peer}, Version: c.local.Version,
		Brief: true, Beacon: c.currentBeacon(),
	}
}
