package keelmember

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// View is what an instance knows of all instances at one moment. It is
// immutable.
type View struct {
	Time time.Time     `json:"time"`
	Self keel.Instance `json:"self"`
	// Domain lists the members of the own failure domain, with this instance,
	// by name.
	Domain []Member `json:"domain"`
	// Others lists what is known of other failure domains, by name.
	Others []DomainView `json:"others"`
	// Representatives of the own failure domain.
	Representatives []keel.InstanceName `json:"representatives"`
	// QuorumHeard is when a voter with a working majority made the latest sign
	// that came in; zero means never. QuorumVersion is what it had in force.
	QuorumHeard   time.Time    `json:"quorum_heard,omitzero"`
	QuorumVersion keel.Version `json:"quorum_version"`
	// Superseded says that a later incarnation of this instance is alive.
	Superseded bool `json:"superseded,omitempty"`
}

// Member is an instance of the own failure domain, or one that the digest of
// another domain names.
type Member struct {
	Instance keel.Instance `json:"instance"`
	State    MemberState   `json:"state"`
	Version  keel.Version  `json:"version"`
	Room     []ServiceRoom `json:"room,omitempty"`
	// Heard is when the knowledge was true.
	Heard time.Time `json:"heard"`
	// HearsUs says that the member hears this instance too.
	HearsUs bool `json:"hears_us"`
	// Registered says that the member holds claims of its domain.
	Registered bool `json:"registered,omitempty"`
}

// DomainView is what is known of another failure domain.
type DomainView struct {
	Domain keel.DomainName `json:"domain"`
	// Digest is the last one; without one Made is zero.
	Digest Digest    `json:"digest"`
	Made   time.Time `json:"made,omitzero"`
	// Heard is when the versions of the digest were true, which reports renew
	// without the rest.
	Heard time.Time `json:"heard,omitzero"`
	// Version is the highest version that any message named.
	Version  keel.Version `json:"version"`
	Contacts []Contact    `json:"contacts"`
}

// Age returns the time since the digest was made.
func (d *DomainView) Age(now time.Time) time.Duration { return now.Sub(d.Made) }

// Resolve returns the peer address of an instance that is known by name.
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
// all of the own domain, and those that the digest names of another one.
func (v *View) Members(domain keel.DomainName) []Member {
	if domain != v.Self.Domain {
		return v.others(domain)
	}
	var out []Member
	for _, m := range v.Domain {
		if m.State == StateAlive || m.State == StateLeaving {
			out = append(out, m)
		}
	}
	return out
}

func (v *View) others(domain keel.DomainName) []Member {
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
			State:   StateAlive,
			Version: d.Digest.Lowest,
			Room:    d.Digest.roomOf(&in),
			Heard:   d.Made,
		})
	}
	return out
}

// roomOf returns the room of an instance of the digest. Its delays are those of
// the whole domain.
func (g *Digest) roomOf(in *DigestInstance) []ServiceRoom {
	var out []ServiceRoom
	for i := range in.Free {
		if r := g.Room[i]; in.Slots[i] > 0 {
			r.Free, r.Slots = in.Free[i], in.Slots[i]
			out = append(out, r)
		}
	}
	return out
}

// Domains returns what is known of the other failure domains.
func (v *View) Domains() []DomainView { return v.Others }

// Staleness returns the time since a sign of a working majority of voters, and
// false if there never was one. The declarations in force may be out of date by
// about as much.
func (v *View) Staleness(now time.Time) (time.Duration, bool) {
	if v.QuorumHeard.IsZero() {
		return 0, false
	}
	return now.Sub(v.QuorumHeard), true
}

// maxConfirmAge is the age above which a digest says nothing about the version
// in force.
const maxConfirmAge = time.Minute

// Confirmation says at which instances a version is in force.
type Confirmation struct {
	Version keel.Version `json:"version"`
	// InForce says that every live instance of every asked domain has it.
	InForce bool `json:"in_force"`
	// Lagging counts the instances that have less, and Lags names some, the
	// furthest behind first.
	Lagging int   `json:"lagging"`
	Lags    []Lag `json:"lags,omitempty"`
	// Unheard names the domains of which too little is known.
	Unheard []keel.DomainName `json:"unheard,omitempty"`
}

// Confirm reports whether a version is in force in the given domains, or in
// all that are known if none are given.
func (v *View) Confirm(version keel.Version, domains []keel.DomainName) Confirmation {
	c := Confirmation{Version: version}
	if len(domains) == 0 {
		domains = v.domainNames()
	}
	for _, d := range domains {
		if d == v.Self.Domain {
			c.addOwn(v)
		} else {
			c.addOther(v, d)
		}
	}
	slices.SortFunc(c.Lags, func(a, b Lag) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Name, b.Name))
	})
	c.InForce = c.Lagging == 0 && len(c.Unheard) == 0
	return c
}

func (v *View) domainNames() []keel.DomainName {
	names := []keel.DomainName{v.Self.Domain}
	for i := range v.Others {
		names = append(names, v.Others[i].Domain)
	}
	return names
}

func (c *Confirmation) addOwn(v *View) {
	for _, m := range v.Domain {
		live := m.State == StateAlive || m.State == StateSuspect || m.State == StateLeaving
		if live && m.Version < c.Version {
			c.Lagging++
			c.Lags = append(c.Lags, Lag{Name: m.Instance.Name, Version: m.Version})
		}
	}
}

// named returns the instances that a digest names, all with the highest version
// there, or the sender if it names none.
func (g *Digest) named() []Lag {
	if len(g.Instances) == 0 {
		return []Lag{{Name: g.Sender.Name, Version: g.Version}}
	}
	lags := make([]Lag, 0, len(g.Instances))
	for _, in := range g.Instances {
		lags = append(lags, Lag{Name: in.Name, Version: g.Highest})
	}
	return lags
}

func (c *Confirmation) addOther(v *View, domain keel.DomainName) {
	i := slices.IndexFunc(v.Others, func(d DomainView) bool { return d.Domain == domain })
	if i < 0 || v.Others[i].Heard.IsZero() || v.Time.Sub(v.Others[i].Heard) > maxConfirmAge {
		c.Unheard = append(c.Unheard, domain)
		return
	}
	d := &v.Others[i].Digest
	if d.Lowest >= c.Version {
		return
	}
	if d.Highest < c.Version {
		c.Lagging += d.Live
		c.Lags = append(c.Lags, d.named()...)
		return
	}
	for _, l := range d.Lags {
		if l.Version < c.Version {
			c.Lags = append(c.Lags, l)
		}
	}
	c.Lagging += max(1, d.Lagging)
}
