package keelmember

import (
	"slices"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// domain is what is known of another failure domain.
type domain struct {
	name     keel.DomainName
	digest   Digest
	made     time.Time
	heard    time.Time // when the versions of the digest were true
	version  keel.Version
	contacts []Contact
	told     keel.Version // the version that this instance last told it
	asked    asked
}

// maxDomains bounds the failure domains that are remembered.
const maxDomains = 256

func (d *domain) view() DomainView {
	return DomainView{Domain: d.name, Digest: d.digest, Made: d.made, Heard: d.heard, Version: d.version, Contacts: d.contacts}
}

func (c *Core) domainNames() []keel.DomainName {
	names := make([]keel.DomainName, 0, len(c.domains))
	for name := range c.domains {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// domain returns the record of another failure domain, or nil for the own one.
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

// addContacts puts contacts before those that were known.
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

// storeDigest keeps a digest if it is later than the one that is there. It
// reports whether it did.
func (c *Core) storeDigest(g *Digest) bool {
	d := c.domain(g.Domain)
	if d == nil {
		return false
	}
	d.version = max(d.version, g.Version, g.Highest)
	c.noteBeacon(g.Beacon)
	made := c.now.Add(-time.Duration(g.AgeMillis) * time.Millisecond)
	versions := d.versions()
	newer := g.Live > 0 && versions.followedBy(g, made)
	if newer {
		versions = versionsOf(g, made)
		c.changed = true
	}
	stored := !g.Brief && made.After(d.made)
	if stored {
		d.digest, d.made = *g, made
		d.addContacts(g.Representatives)
		for i := range g.Instances {
			in := &g.Instances[i]
			c.noteVoter(Contact{Name: in.Name, Peer: in.Peer}, in.Voter)
		}
	}
	d.setVersions(versions)
	return stored
}

// takeDigest takes a digest that another instance sent.
func (c *Core) takeDigest(from keel.InstanceName, g *Digest) {
	if g.Domain == c.self.Domain {
		return
	}
	direct := g.Sender.Name == from
	if direct {
		c.noticeVersion(g.Sender.Peer, g.Version, false)
		c.answerAsk(g)
	}
	if !c.storeDigest(g) {
		return
	}
	c.relay(g, direct)
}

// relay has a digest passed on inside the own domain. One member is in charge
// of each other domain, so that the work is spread evenly.
func (c *Core) relay(g *Digest, direct bool) {
	if last, ok := c.relayed[g.Domain]; ok && c.now.Sub(last) < c.relayPeriod() {
		return
	}
	if len(c.relayed) > maxDomains {
		clear(c.relayed)
	}
	keeper := c.keeperOf(g.Domain)
	if keeper == c.self.Name {
		c.relayed[g.Domain] = c.now
		c.pendingRelays = append(c.pendingRelays, g.Domain)
		return
	}
	if direct {
		c.relayed[g.Domain] = c.now
		c.send(c.peerOf(keeper), keel.KindDigest, g)
	}
}

// keeperOf returns the live member that passes on the digests of a domain. The
// domains are dealt out in turn, so that no member has two more than another;
// representatives, whose names are the lowest, come last.
func (c *Core) keeperOf(d keel.DomainName) keel.InstanceName {
	names := c.liveNames()
	if len(names) == 0 {
		return c.self.Name
	}
	place, _ := slices.BinarySearch(c.domainNames(), d)
	return names[len(names)-1-place%len(names)]
}

// relayPeriod returns the least time between two digests of one domain that are
// passed on. It is a little less than the time between two that arrive.
func (c *Core) relayPeriod() time.Duration {
	return max(c.digestPeriod()*3/4, time.Duration(len(c.members))*relayPerMember)
}

// takeRelays returns the digests that the next heartbeats pass on.
func (c *Core) takeRelays() []Digest {
	var out []Digest
	for _, name := range c.pendingRelays[:min(len(c.pendingRelays), maxRelayed)] {
		d := c.domains[name]
		g := d.digest
		g.AgeMillis = max(0, c.now.Sub(d.made).Milliseconds())
		g.Beacon = nil // the heartbeat carries the latest one
		out = append(out, g)
	}
	c.pendingRelays = c.pendingRelays[len(out):]
	return out
}

// digestPeriod returns the time between two digests to one domain.
func (c *Core) digestPeriod() time.Duration {
	return max(minDigestPeriod, time.Duration(len(c.domains))*digestStep)
}

// digests sends the next digest if one is due and this instance is a
// representative.
func (c *Core) digests() {
	if c.now.Before(c.nextDigest) {
		return
	}
	names := c.domainNames()
	c.nextDigest = c.now.Add(max(digestStep, c.digestPeriod()/time.Duration(max(1, len(names)))))
	if len(names) == 0 || !c.isRepresentative() {
		return
	}
	d := c.nextTarget(names)
	own := slices.Index(c.representatives(), c.self.Name)
	g := c.makeDigest()
	c.sendTo(d, own+c.digestRound, g)
}

// nextTarget returns the domain whose turn it is. A domain that lags and was
// not told the present version comes first.
func (c *Core) nextTarget(names []keel.DomainName) *domain {
	for i := range names {
		d := c.domains[names[(c.digestCursor+i)%len(names)]]
		if d.version < c.local.Version && d.told < c.local.Version && len(d.contacts) > 0 {
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

// sendTo sends a digest to one of the representatives of d. Later rounds choose
// others, so that a dead one does not cut the domains off.
func (c *Core) sendTo(d *domain, choice int, g *Digest) {
	if len(d.contacts) == 0 {
		return
	}
	d.told = max(d.told, g.Version)
	c.send(d.contacts[choice%len(d.contacts)].Peer, keel.KindDigest, g)
}

// sign has a voter with a working majority send a sign of it to other domains.
// Digests alone would take long to carry it through many domains.
func (c *Core) sign() {
	if !c.local.QuorumBacked || c.now.Before(c.nextSign) {
		return
	}
	c.nextSign = c.now.Add(max(minSignPeriod, time.Duration(len(c.domains))*signPerDomain))
	c.raiseBeacon()
	c.pushVersion()
}

// pushVersion has a voter tell the representatives of other domains of a new
// version. Voters share the domains.
func (c *Core) pushVersion() {
	if !c.self.Voter || c.local.Leaving {
		return
	}
	for _, name := range c.domainNames() {
		if place := c.pushPlace(name); place < pushersPerDomain {
			d := c.domains[name]
			c.tell(d, place, c.lacks(d) && d.asked.exhausted(c.local.Version))
		}
	}
}

// tell sends a brief digest to one of the representatives of d, which may ask
// for the versions there.
func (c *Core) tell(d *domain, choice int, ask bool) {
	n := min(len(d.contacts), representatives)
	if n == 0 {
		return
	}
	g := c.briefDigest()
	g.Ask = ask
	d.told = max(d.told, g.Version)
	c.send(d.contacts[choice%n].Peer, keel.KindDigest, g)
}

// pushPlace returns how many voters come before this one in telling a domain.
func (c *Core) pushPlace(name keel.DomainName) int {
	own := rank(string(name), string(c.self.Name))
	place := 0
	for voter := range c.voters {
		if voter != c.self.Name && rank(string(name), string(voter)) > own {
			place++
		}
	}
	return place
}

func (c *Core) briefDigest() *Digest {
	return &Digest{
		Domain: c.self.Domain, Region: c.self.Region,
		Sender: Contact{Name: c.self.Name, Peer: c.self.Peer}, Version: c.local.Version,
		Brief: true, Beacon: c.agedBeacon(),
	}
}
