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

// staleAfter is how long after the last sign of a working majority of voters
// the declarations count as possibly out of date.
const staleAfter = 15 * time.Second

func (in *Instance) declarations() *keel.Declarations {
	return in.control.replica.Current().Declarations
}

// onDeclared is called with every new state of the declarations.
func (in *Instance) onDeclared(s *keeldeclare.Snapshot) {
	in.log.WithField("version", s.Version).Info("declarations in force")
	if in.holders != nil {
		in.holders.update(time.Now(), s.Declarations, in.currency.wasCurrent(s.Version))
	}
	in.replan()
	if in.members != nil {
		in.members.Notify()
	}
}

// replan is called from parts that are made before the engine.
func (in *Instance) replan() {
	if in.engine != nil {
		in.engine.Replan()
	}
}

// local is what heartbeats tell about this instance.
func (in *Instance) local() keelmember.Local {
	l := keelmember.Local{
		Version: in.control.replica.Current().Version,
		Leaving: in.leaving.Load(),
	}
	l.Registered = slices.Contains(in.holdersHere(), in.self.Name)
	if in.control.node != nil {
		l.QuorumBacked = quorumHeard(in.control.node.Status())
	}
	if in.engine == nil {
		return l
	}
	for _, r := range in.engine.Capacities() {
		l.Room = append(l.Room, keelmember.ServiceRoom{
			Service: r.Service, Slots: r.Slots, Free: r.Free, QueueDelay: r.QueueDelay,
		})
	}
	return l
}

// quorumHeard reports whether a voter leads with a lease or follows a leader.
func quorumHeard(st keelquorum.Status) bool {
	return st.LeaseValid || st.Role == "follower" && st.Leader != ""
}

func (in *Instance) resolve(name keel.InstanceName) (netip.AddrPort, bool) {
	if in.members == nil {
		return netip.AddrPort{}, false
	}
	return in.members.View().Resolve(name)
}

// voters returns the peer addresses of known voters.
func (in *Instance) voters() []netip.AddrPort {
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

func (in *Instance) domainMembers() []keelendpoint.Member {
	var out []keelendpoint.Member
	for _, m := range in.members.View().Members(in.self.Domain) {
		if m.Instance.Name != in.self.Name {
			out = append(out, keelendpoint.Member{Name: m.Instance.Name, Peer: m.Instance.Peer})
		}
	}
	return out
}

// view returns what the engine decides from.
func (in *Instance) view() *keelsteer.View {
	v := in.members.View()
	now := time.Now()
	out := &keelsteer.View{}
	if age, ok := v.Staleness(now); !ok || age > staleAfter {
		out.Stale = true
	}
	own := keelsteer.Domain{Name: in.self.Domain}
	own.Members = membersOf(now, present(v.Domain))
	out.Domains = append(out.Domains, own)
	for _, d := range v.Domains() {
		out.Domains = append(out.Domains, keelsteer.Domain{
			Name:       d.Domain,
			Members:    membersOf(now, v.Members(d.Domain)),
			Capacities: roomsOf(d.Digest.Room),
			Age:        keel.Duration(d.Age(now)),
		})
	}
	return out
}

// present returns the members that are not given up.
func present(members []keelmember.Member) []keelmember.Member {
	var out []keelmember.Member
	for _, m := range members {
		switch m.State {
		case keelmember.StateAlive, keelmember.StateSuspect, keelmember.StateLeaving:
			out = append(out, m)
		}
	}
	return out
}

func membersOf(now time.Time, members []keelmember.Member) []keelsteer.Member {
	out := make([]keelsteer.Member, 0, len(members))
	for _, m := range members {
		out = append(out, keelsteer.Member{
			Instance:   m.Instance,
			Leaving:    m.State == keelmember.StateLeaving,
			Suspect:    m.State == keelmember.StateSuspect,
			Capacities: roomsOf(m.Room),
			Age:        keel.Duration(now.Sub(m.Heard)),
		})
	}
	return out
}

func roomsOf(rooms []keelmember.ServiceRoom) []keelsteer.ServiceCapacity {
	out := make([]keelsteer.ServiceCapacity, 0, len(rooms))
	for _, r := range rooms {
		out = append(out, keelsteer.ServiceCapacity{Service: r.Service, Slots: r.Slots, Free: r.Free, QueueDelay: r.QueueDelay})
	}
	return out
}

func (in *Instance) domains() []keel.DomainName {
	var out []keel.DomainName
	for _, d := range in.declarations().Domains {
		out = append(out, d.Name)
	}
	return out
}

// holdersHere returns the instances that hold the claims of the own failure
// domain.
func (in *Instance) holdersHere() []keel.InstanceName {
	var out []keel.InstanceName
	for _, r := range in.declarations().Instances {
		if r.Domain == in.self.Domain && !r.NoClaims {
			out = append(out, r.Name)
		}
	}
	return out
}

// registered returns the registered instances of all failure domains, among
// which the homes of suspect requests are chosen.
func (in *Instance) registered() []keel.InstanceName {
	var out []keel.InstanceName
	for _, r := range in.declarations().Instances {
		out = append(out, r.Name)
	}
	return out
}

// guardPeers returns the instances that poison evidence is shared with: those
// of the own failure domain and one of each other domain.
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

// reachable returns the instances that are live in failure domains which can be
// reached.
func (in *Instance) reachable() map[keel.InstanceName]bool {
	out := make(map[keel.InstanceName]bool)
	v := in.view()
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

// lifted returns the fingerprints that operators have lifted.
func (in *Instance) lifted() []string {
	var out []string
	d := in.declarations()
	for _, s := range d.Services {
		if fp := d.LabelsOf(keel.TargetService, string(s.Name), nil)[keel.LabelPoisonLift]; fp != "" {
			out = append(out, fp)
		}
	}
	return out
}

func (in *Instance) barrierLifted() bool {
	return in.declarations().LabelsOf(keel.TargetDomain, string(in.self.Domain), nil).On(keel.LabelClaimBarrierLift)
}
