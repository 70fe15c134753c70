package keelmember

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// View is the state of all instances as seen by one of them at one moment. It
// is immutable.
type View struct {
	Time time.Time     `json:"time"`
	Self keel.Instance `json:"self"`
	// Domain lists the members of the own failure domain, including this
	// instance, sorted by name.
	Domain []Member `json:"domain"`
	// Others lists the other failure domains, sorted by name.
	Others []DomainView `json:"others"`
	// Representatives lists the representatives of the own failure domain.
	Representatives []keel.InstanceName `json:"representatives"`
	// QuorumSeen is when a voter with a working majority created the latest
	// beacon that was received, or zero. QuorumVersion is the version that the
	// voter had in force.
	QuorumSeen    time.Time    `json:"quorum_heard,omitzero"`
	QuorumVersion keel.Version `json:"quorum_version"`
	// Superseded means that a later incarnation of this instance is alive.
	Superseded bool `json:"superseded,omitempty"`
}

// Member is an instance of the own failure domain, or one that the digest of
// another domain lists.
type Member struct {
	Instance keel.Instance `json:"instance"`
	State    MemberState   `json:"state"`
	// Version is the version of the declarations in force. For an instance of
	// another domain it is the lowest one there.
	Version  keel.Version      `json:"version"`
	Capacity []ServiceCapacity `json:"room,omitempty"`
	// AsOf is when this information was current.
	AsOf time.Time `json:"heard"`
	// Acknowledged means that the member receives heartbeats from this instance.
	Acknowledged bool `json:"hears_us"`
	// Registered means that the member holds claims for its domain.
	Registered bool `json:"registered,omitempty"`
}

// DomainView is the state of another failure domain.
type DomainView struct {
	Domain keel.DomainName `json:"domain"`
	// Digest is the latest full digest. Without one, DigestMade is zero.
	Digest     Digest    `json:"digest"`
	DigestMade time.Time `json:"made,omitzero"`
	// VersionsAsOf is when the digest's fields about versions were current.
	// Reports update only these.
	VersionsAsOf time.Time `json:"heard,omitzero"`
	// Version is the highest version that any message about the domain reported.
	Version  keel.Version `json:"version"`
	Contacts []Contact    `json:"contacts"`
}

// Age returns the time since the digest was created.
func (d *DomainView) Age(now time.Time) time.Duration { return now.Sub(d.DigestMade) }

// Resolve returns the peer address of an instance, and false if the instance is
// unknown.
func (v *View) Resolve(name keel.InstanceName) (netip.AddrPort, bool) {
	if m, ok := v.Member(name); ok {
		return m.Instance.Peer, true
	}
	for i := range v.Others {
		if peer, ok := v.Others[i].resolve(name); ok {
			return peer, true
		}
	}
	return netip.AddrPort{}, false
}

func (d *DomainView) resolve(name keel.InstanceName) (netip.AddrPort, bool) {
	for i := range d.Digest.Instances {
		if in := &d.Digest.Instances[i]; in.Name == name {
			return in.Peer, true
		}
	}
	for _, c := range d.Contacts {
		if c.Name == name {
			return c.Peer, true
		}
	}
	return netip.AddrPort{}, false
}

// Member returns a member of the own failure domain.
func (v *View) Member(name keel.InstanceName) (*Member, bool) {
	i, ok := slices.BinarySearchFunc(v.Domain, name, func(m Member, name keel.InstanceName) int {
		return strings.Compare(string(m.Instance.Name), string(name))
	})
	if !ok {
		return nil, false
	}
	return &v.Domain[i], true
}

// Members returns the instances of a failure domain that are alive or leaving:
// all of them for the own domain, and those that the digest lists for another
// one.
func (v *View) Members(domain keel.DomainName) []Member {
	if domain != v.Self.Domain {
		return v.domainMembers(domain)
	}
	var out []Member
	for _, m := range v.Domain {
		if m.State == StateAlive || m.State == StateLeaving {
			out = append(out, m)
		}
	}
	return out
}

func (v *View) domainMembers(domain keel.DomainName) []Member {
	for i := range v.Others {
		if d := &v.Others[i]; d.Domain == domain {
			return d.members()
		}
	}
	return nil
}

func (d *DomainView) members() []Member {
	out := make([]Member, 0, len(d.Digest.Instances))
	for _, in := range d.Digest.Instances {
		out = append(out, Member{
			Instance: keel.Instance{
				Name: in.Name, Domain: d.Domain, Region: d.Digest.Region,
				Caller: in.Caller, Peer: in.Peer, Voter: in.Voter,
			},
			State:    StateAlive,
			Version:  d.Digest.Lowest,
			Capacity: d.Digest.capacityOf(&in),
			AsOf:     d.DigestMade,
		})
	}
	return out
}

// capacityOf returns the capacity of an instance of the digest by service. The
// queue delays are those of the whole domain.
func (g *Digest) capacityOf(in *DigestInstance) []ServiceCapacity {
	var out []ServiceCapacity
	for i := range in.Free {
		if r := g.Capacity[i]; in.Slots[i] > 0 {
			r.Free, r.Slots = in.Free[i], in.Slots[i]
			out = append(out, r)
		}
	}
	return out
}

// Domains returns the other failure domains.
func (v *View) Domains() []DomainView { return v.Others }

// Staleness returns the time since the latest beacon of a voter with a working
// majority, and false if none was received. The declarations in force may be
// out of date by about as much.
func (v *View) Staleness(now time.Time) (time.Duration, bool) {
	if v.QuorumSeen.IsZero() {
		return 0, false
	}
	return now.Sub(v.QuorumSeen), true
}

// maxConfirmAge is the age above which a digest neither confirms the version in
// force nor counts as contact with its domain.
const maxConfirmAge = time.Minute

// Confirmation reports at which instances a version is in force.
type Confirmation struct {
	Version keel.Version `json:"version"`
	// InForce means that every live instance of every requested domain has it.
	InForce bool `json:"in_force"`
	// Lagging is the number of instances with a lower version. Lags lists some
	// of them, the furthest behind first.
	Lagging int               `json:"lagging"`
	Lags    []LaggingInstance `json:"lags,omitempty"`
	// Unreported lists the domains without a recent report.
	Unreported []keel.DomainName `json:"unheard,omitempty"`
}

// Confirm reports whether a version is in force in the given domains, or in all
// known domains if none are given.
func (v *View) Confirm(version keel.Version, domains []keel.DomainName) Confirmation {
	c := Confirmation{Version: version}
	if len(domains) == 0 {
		domains = v.domainNames()
	}
	for _, d := range domains {
		if d == v.Self.Domain {
			c.addOwnDomain(v)
		} else {
			c.addOtherDomain(v, d)
		}
	}
	slices.SortFunc(c.Lags, func(a, b LaggingInstance) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Name, b.Name))
	})
	c.InForce = c.Lagging == 0 && len(c.Unreported) == 0
	return c
}

func (v *View) domainNames() []keel.DomainName {
	names := []keel.DomainName{v.Self.Domain}
	for i := range v.Others {
		names = append(names, v.Others[i].Domain)
	}
	return names
}

func (c *Confirmation) addOwnDomain(v *View) {
	for _, m := range v.Domain {
		live := m.State == StateAlive || m.State == StateSuspect || m.State == StateLeaving
		if live && m.Version < c.Version {
			c.Lagging++
			c.Lags = append(c.Lags, LaggingInstance{Name: m.Instance.Name, Version: m.Version})
		}
	}
}

// namedInstances returns the instances that a digest lists, all with the
// highest version in the domain, or the sender if the digest lists none.
func (g *Digest) namedInstances() []LaggingInstance {
	if len(g.Instances) == 0 {
		return []LaggingInstance{{Name: g.Sender.Name, Version: g.Version}}
	}
	lags := make([]LaggingInstance, 0, len(g.Instances))
	for _, in := range g.Instances {
		lags = append(lags, LaggingInstance{Name: in.Name, Version: g.Highest})
	}
	return lags
}

func (c *Confirmation) addOtherDomain(v *View, domain keel.DomainName) {
	i := slices.IndexFunc(v.Others, func(d DomainView) bool { return d.Domain == domain })
	if i < 0 || v.Others[i].VersionsAsOf.IsZero() || v.Time.Sub(v.Others[i].VersionsAsOf) > maxConfirmAge {
		c.Unreported = append(c.Unreported, domain)
		return
	}
	d := &v.Others[i].Digest
	if d.Lowest >= c.Version {
		return
	}
	if d.Highest < c.Version {
		c.Lagging += d.Live
		c.Lags = append(c.Lags, d.namedInstances()...)
		return
	}
	for _, l := range d.Lags {
		if l.Version < c.Version {
			c.Lags = append(c.Lags, l)
		}
	}
	c.Lagging += max(1, d.Lagging)
}
