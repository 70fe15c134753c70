package keelmember

import (
	"cmp"
	"slices"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// buildDigest summarizes the own failure domain.
func (c *Core) buildDigest() *Digest {
	g := c.briefDigest()
	g.Brief = false
	for _, name := range c.representatives() {
		g.Representatives = append(g.Representatives, Contact{Name: name, Peer: c.peerOf(name)})
	}
	members := c.countedMembers()
	g.Live = len(members)
	g.setVersions(members)
	g.Capacity = sumCapacity(members)
	g.Instances = chooseInstances(members)
	for i := range g.Instances {
		g.setInstanceCapacity(&g.Instances[i])
	}
	return g
}

// countedMembers returns this instance and the members that count for the
// versions of the own domain.
func (c *Core) countedMembers() []Member {
	members := []Member{c.selfMember()}
	for _, name := range c.memberNames() {
		if m := c.members[name]; m.countsForVersions() {
			members = append(members, m.view())
		}
	}
	return members
}

// setVersions sets the fields about versions from the members that count for
// them.
func (g *Digest) setVersions(members []Member) {
	g.Lowest, g.Highest = members[0].Version, members[0].Version
	for _, m := range members {
		g.Lowest, g.Highest = min(g.Lowest, m.Version), max(g.Highest, m.Version)
	}
	var lags []LaggingInstance
	for _, m := range members {
		if m.Version < g.Highest {
			lags = append(lags, LaggingInstance{Name: m.Instance.Name, Version: m.Version})
		}
	}
	slices.SortFunc(lags, func(a, b LaggingInstance) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Name, b.Name))
	})
	g.Lagging = len(lags)
	g.Lags = lags[:min(len(lags), maxLagging)]
}

// setInstanceCapacity sets the capacity of an instance, in the order of the
// services of the digest.
func (g *Digest) setInstanceCapacity(in *DigestInstance) {
	for _, sum := range g.Capacity {
		r := ServiceCapacity{}
		if i := slices.IndexFunc(in.capacity, func(r ServiceCapacity) bool { return r.Service == sum.Service }); i >= 0 {
			r = in.capacity[i]
		}
		in.Free, in.Slots = append(in.Free, r.Free), append(in.Slots, r.Slots)
	}
	in.capacity = nil
}

// chooseInstances returns the instances that a digest names, in order of
// preference.
func chooseInstances(members []Member) []DigestInstance {
	chosen := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.State != StateAlive })
	slices.SortFunc(chosen, func(a, b Member) int {
		return cmp.Or(
			compareBools(a.Instance.Voter, b.Instance.Voter),
			compareBools(a.Registered, b.Registered),
			cmp.Compare(freeSlots(b.Capacity), freeSlots(a.Capacity)),
			cmp.Compare(a.Instance.Name, b.Instance.Name),
		)
	})
	var out []DigestInstance
	for _, m := range chosen[:min(len(chosen), maxDigestInstances)] {
		out = append(out, DigestInstance{
			Name: m.Instance.Name, Caller: m.Instance.Caller, Peer: m.Instance.Peer,
			Voter: m.Instance.Voter, capacity: m.Capacity,
		})
	}
	return out
}

// compareBools orders true before false.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

func freeSlots(list []ServiceCapacity) int {
	n := 0
	for _, r := range list {
		n += r.Free
	}
	return n
}

// sumCapacity adds up the capacity of the members by service. The queue delay
// is the mean weighted by slots.
func sumCapacity(members []Member) []ServiceCapacity {
	sums := map[keel.ServiceName]*ServiceCapacity{}
	delays := map[keel.ServiceName]time.Duration{}
	for _, m := range members {
		for _, r := range m.Capacity {
			s, ok := sums[r.Service]
			if !ok {
				s = &ServiceCapacity{Service: r.Service}
				sums[r.Service] = s
			}
			s.Slots += r.Slots
			s.Free += r.Free
			delays[r.Service] += r.QueueDelay.Std() * time.Duration(r.Slots)
		}
	}
	out := make([]ServiceCapacity, 0, len(sums))
	for name, s := range sums {
		if s.Slots > 0 {
			s.QueueDelay = keel.Duration(delays[name] / time.Duration(s.Slots))
		}
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b ServiceCapacity) int { return cmp.Compare(a.Service, b.Service) })
	return out[:min(len(out), maxCapacityEntries)]
}
