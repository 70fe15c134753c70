package keelinstance

import (
	"net/netip"
	"slices"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keeldeclare"
	"github.com/greengagekeel/greengagekeel/keelendpoint"
	"github.com/greengagekeel/greengagekeel/keelmember"
	"github.com/greengagekeel/greengagekeel/keelquorum"
	"github.com/greengagekeel/greengagekeel/keelsteer"
)

// staleAfter is the age of the latest evidence of a working majority of voters
// from which on the declarations are treated as possibly outdated.
const staleAfter = 15 * time.Second

func (in *Instance) declarations() *keel.Declarations {
	return in.control.replica.Current().Declarations
}

// onDeclared is called with every new version of the declarations, and again when
// a partial one has been completed. The replica is locked during the call, so that
// of its methods only Current may be called. The first call may come before the
// other components exist.
func (in *Instance) onDeclared(s *keeldeclare.Snapshot) {
	in.log.WithField("version", s.Version).Info("declarations in force")
	if in.holders != nil {
		in.holders.update(time.Now(), s.Declarations, in.current.follows(s.Version))
	}
	in.replan()
}

// onVersion is called after the engine has begun to use another version of the
// declarations. Voters wait for its report.
func (in *Instance) onVersion() { in.members.Notify() }

// versionInForce returns the version of the declarations by which requests are handled.
func (in *Instance) versionInForce() keel.Version {
	if in.engine == nil {
		return in.control.replica.Current().Version
	}
	return in.engine.Version()
}

// replan makes the engine plan again. It is called by components that are created
// before the engine, and does nothing until the engine exists.
func (in *Instance) replan() {
	if in.engine != nil {
		in.engine.Replan()
	}
}

// localStatus returns the state of this instance that heartbeats report.
func (in *Instance) localStatus() keelmember.Local {
	l := keelmember.Local{
		Version: in.versionInForce(),
		Leaving: in.leaving.Load(),
	}
	l.Registered = slices.Contains(in.ownClaimHolders(), in.self.Name)
	if in.control.node != nil {
		l.QuorumBacked = quorumBacked(in.control.node.Status())
	}
	if in.engine == nil {
		return l
	}
	for _, r := range in.engine.Capacities() {
		l.Capacity = append(l.Capacity, keelmember.ServiceCapacity{
			Service: r.Service, Slots: r.Slots, Free: r.Free, QueueDelay: r.QueueDelay,
		})
	}
	return l
}

// quorumBacked reports whether a voter is the leader with a valid lease or follows
// a leader.
func quorumBacked(st keelquorum.Status) bool {
	return st.LeaseValid || st.Role == "follower" && st.Leader != ""
}

// resolve returns the peer address of an instance, if it is in the membership view.
func (in *Instance) resolve(name keel.InstanceName) (netip.AddrPort, bool) {
	if in.members == nil {
		return netip.AddrPort{}, false
	}
	return in.members.View().Resolve(name)
}

// voterAddrs returns the peer addresses of the other voters in the membership view.
func (in *Instance) voterAddrs() []netip.AddrPort {
	var out []netip.AddrPort
	view := in.members.View()
	for _, m := range view.Domain {
		if m.Instance.Voter && m.Instance.Name != in.self.Name {
			out = append(out, m.Instance.Peer)
		}
	}
	for _, d := range view.Domains() {
		for _, m := range view.Members(d.Domain) {
			if m.Instance.Voter {
				out = append(out, m.Instance.Peer)
			}
		}
	}
	return out
}

// domainMembers returns the other instances of the own failure domain.
func (in *Instance) domainMembers() []keelendpoint.Member {
	var out []keelendpoint.Member
	for _, m := range in.members.View().Members(in.self.Domain) {
		if m.Instance.Name != in.self.Name {
			out = append(out, keelendpoint.Member{Name: m.Instance.Name, Peer: m.Instance.Peer})
		}
	}
	return out
}

// steeringView returns the membership view in the form that the engine uses.
func (in *Instance) steeringView() *keelsteer.View {
	v := in.members.View()
	now := time.Now()
	out := &keelsteer.View{}
	if age, ok := v.Staleness(now); !ok || age > staleAfter {
		out.Stale = true
	}
	own := keelsteer.Domain{Name: in.self.Domain}
	own.Members = membersOf(now, activeMembers(v.Domain))
	out.Domains = append(out.Domains, own)
	for _, d := range v.Domains() {
		out.Domains = append(out.Domains, keelsteer.Domain{
			Name:       d.Domain,
			Members:    membersOf(now, v.Members(d.Domain)),
			Capacities: capacitiesOf(d.Digest.Capacity),
			Age:        keel.Duration(d.Age(now)),
		})
	}
	return out
}

// activeMembers returns the members that are alive, suspect or leaving.
func activeMembers(members []keelmember.Member) []keelmember.Member {
	var out []keelmember.Member
	for _, m := range members {
		switch m.State {
		case keelmember.StateAlive, keelmember.StateSuspect, keelmember.StateLeaving:
			out = append(out, m)
		}
	}
	return out
}

// membersOf converts members to the form that the engine uses.
func membersOf(now time.Time, members []keelmember.Member) []keelsteer.Member {
	out := make([]keelsteer.Member, 0, len(members))
	for _, m := range members {
		out = append(out, keelsteer.Member{
			Instance:   m.Instance,
			Leaving:    m.State == keelmember.StateLeaving,
			Suspect:    m.State == keelmember.StateSuspect,
			Capacities: capacitiesOf(m.Capacity),
			Age:        keel.Duration(now.Sub(m.AsOf)),
		})
	}
	return out
}

// capacitiesOf converts reported capacities to the form that the engine uses.
func capacitiesOf(reported []keelmember.ServiceCapacity) []keelsteer.ServiceCapacity {
	out := make([]keelsteer.ServiceCapacity, 0, len(reported))
	for _, r := range reported {
		out = append(out, keelsteer.ServiceCapacity{Service: r.Service, Slots: r.Slots, Free: r.Free, QueueDelay: r.QueueDelay})
	}
	return out
}

// domainNames returns the declared failure domains.
func (in *Instance) domainNames() []keel.DomainName {
	var out []keel.DomainName
	for _, d := range in.declarations().Domains {
		out = append(out, d.Name)
	}
	return out
}

// ownClaimHolders returns the instances that hold the claims of the own failure
// domain.
func (in *Instance) ownClaimHolders() []keel.InstanceName {
	var out []keel.InstanceName
	for _, r := range in.declarations().Instances {
		if r.Domain == in.self.Domain && !r.NoClaims {
			out = append(out, r.Name)
		}
	}
	return out
}

// registeredInstances returns the registered instances of all failure domains. The
// homes of suspect requests are chosen among them.
func (in *Instance) registeredInstances() []keel.InstanceName {
	var out []keel.InstanceName
	for _, r := range in.declarations().Instances {
		out = append(out, r.Name)
	}
	return out
}

// guardPeers returns the instances with which evidence of poison requests is
// shared: the others of the own failure domain and one of each other domain.
func (in *Instance) guardPeers() []keel.InstanceName {
	var out []keel.InstanceName
	v := in.members.View()
	for _, m := range v.Members(in.self.Domain) {
		if m.Instance.Name != in.self.Name {
			out = append(out, m.Instance.Name)
		}
	}
	for _, d := range v.Domains() {
		if members := v.Members(d.Domain); len(members) > 0 {
			out = append(out, members[0].Instance.Name)
		}
	}
	return out
}

// reachableInstances returns the active instances of the reachable failure domains.
func (in *Instance) reachableInstances() map[keel.InstanceName]bool {
	out := make(map[keel.InstanceName]bool)
	v := in.steeringView()
	for i := range v.Domains {
		if !v.Domains[i].Reachable() {
			continue
		}
		for _, m := range v.Domains[i].Members {
			out[m.Instance.Name] = true
		}
	}
	return out
}

// liftedFingerprints returns the fingerprints of poison requests whose refusal
// operators have lifted by a label.
func (in *Instance) liftedFingerprints() []string {
	var out []string
	d := in.declarations()
	for _, s := range d.Services {
		if fp := d.LabelsOf(keel.TargetService, string(s.Name), nil)[keel.LabelPoisonLift]; fp != "" {
			out = append(out, fp)
		}
	}
	return out
}

// barrierLifted reports whether operators have lifted the claim barrier of the own
// failure domain by a label.
func (in *Instance) barrierLifted() bool {
	return in.declarations().LabelsOf(keel.TargetDomain, string(in.self.Domain), nil).On(keel.LabelClaimBarrierLift)
}
