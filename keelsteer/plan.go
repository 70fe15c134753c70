package keelsteer

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keeladmit"
	"github.com/greengagekeel/greengagekeel/keeldeclare"
	"github.com/greengagekeel/greengagekeel/keelendpoint"
	"github.com/greengagekeel/greengagekeel/keellookup"
	"github.com/greengagekeel/greengagekeel/keelproxy"
	"github.com/greengagekeel/greengagekeel/keelroute"
)

// plan is an immutable snapshot of the declarations, the view and the
// endpoints. Requests are run by the current plan.
type plan struct {
	snapshot  *keeldeclare.Snapshot
	view      *View
	lookup    *keellookup.Directory
	selectors map[keel.ServiceName][]*keel.Selector
	byName    map[keel.SelectorName]*keel.Selector
	services  map[keel.ServiceName]bool
	regions   map[keel.DomainName]keel.RegionName
	pools     map[keel.ServiceName]*pool
	// owners lists, per selector, the instances of the own failure domain that own
	// matching endpoints.
	owners  map[keel.SelectorName][]owner
	entries []keelendpoint.Entry
}

// owner is an instance and the number of slots of its endpoints that match a
// selector.
type owner struct {
	instance keel.Instance
	slots    int
}

// makePlan builds a plan and makes it the current one.
func (e *Engine) makePlan(now time.Time) {
	snapshot := e.cfg.Declared()
	p := &plan{
		snapshot: snapshot,
		view:     e.cfg.View(),
		entries:  e.cfg.Endpoints.Entries(),
	}
	p.indexDeclarations()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.updateEndpoints(now, p)
	e.setPools(now, p)
	e.setShares(now, p)
	e.links.update(p.snapshot.Declarations)
	p.lookup = e.lookupDirectory(p)
	p.pools = maps.Clone(e.pools)
	e.plan.Store(p)
}

func (p *plan) indexDeclarations() {
	d := p.snapshot.Declarations
	p.selectors = make(map[keel.ServiceName][]*keel.Selector)
	p.byName = make(map[keel.SelectorName]*keel.Selector, len(d.Selectors))
	p.services = make(map[keel.ServiceName]bool, len(d.Services))
	p.regions = make(map[keel.DomainName]keel.RegionName, len(d.Domains))
	for _, s := range d.Services {
		p.services[s.Name] = true
	}
	for _, v := range d.Domains {
		p.regions[v.Name] = v.Region
	}
	for i := range d.Selectors {
		s := &d.Selectors[i]
		p.byName[s.Name] = s
		p.selectors[s.Service] = append(p.selectors[s.Service], s)
	}
	for _, list := range p.selectors {
		slices.SortStableFunc(list, compareSelectors)
	}
}

// compareSelectors orders selectors from the most to the least specific: by
// length of the path prefix, then those with methods first, then by name.
func compareSelectors(a, b *keel.Selector) int {
	if c := cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)); c != 0 {
		return c
	}
	if (len(a.Methods) > 0) != (len(b.Methods) > 0) {
		if len(a.Methods) > 0 {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.Name, b.Name)
}

// selectorOf returns the first selector that matches a request.
func (p *plan) selectorOf(r *keelproxy.Request) (*keel.Selector, *keel.Refusal) {
	if !p.services[r.Service] {
		return nil, keel.Refuse(keel.NotRun, keel.ReasonUnknownService, 0, "service %q is not declared", r.Service)
	}
	path := r.Path()
	for _, s := range p.selectors[r.Service] {
		if s.Takes(r.Service, r.Method, path) {
			return s, nil
		}
	}
	return nil, keel.Refuse(keel.NotRun, keel.ReasonNoSelector, 0, "no selector of service %q matches %s %s", r.Service, r.Method, path)
}

// hasDrainLabel reports whether the labels of the target, announced or set by a
// label rule, drain it.
func (p *plan) hasDrainLabel(target keel.LabelTarget, name string, announced keel.Labels) bool {
	return p.snapshot.Declarations.LabelsOf(target, name, announced).On(keel.LabelDrain)
}

// updateEndpoints adds new endpoints to the ownership and the ramp, removes
// those that are gone, and updates the owners. The caller holds mu.
func (e *Engine) updateEndpoints(now time.Time, p *plan) {
	present := make(map[keel.EndpointID]bool, len(p.entries))
	for i := range p.entries {
		id := p.entries[i].Announcement.ID()
		present[id] = true
		e.owners.Track(now, id)
	}
	for id := range e.knownEndpoints {
		if !present[id] {
			e.owners.Untrack(id)
			delete(e.handOvers.outgoing, id)
			delete(e.handOvers.incoming, id)
			e.ramp.Remove(id)
		}
	}
	for id := range present {
		if !e.knownEndpoints[id] {
			e.ramp.RecordStart(now, id)
		}
	}
	e.knownEndpoints = present
	e.updateOwners(now, p)
}

// ownerCandidates returns the instances of the own failure domain that may own
// endpoints: those that are neither leaving nor drained. If there are none, it
// returns this instance.
func (p *plan) ownerCandidates(self keel.Instance, leaving bool) []keel.InstanceName {
	var names []keel.InstanceName
	if !leaving && !p.hasDrainLabel(keel.TargetInstance, string(self.Name), nil) {
		names = append(names, self.Name)
	}
	if d := p.view.domain(self.Domain); d != nil {
		for _, m := range d.Members {
			// A suspected instance keeps its endpoints until it is declared dead.
			if m.Instance.Name != self.Name && !m.Leaving && !p.hasDrainLabel(keel.TargetInstance, string(m.Instance.Name), nil) {
				names = append(names, m.Instance.Name)
			}
		}
	}
	if len(names) == 0 {
		names = append(names, self.Name)
	}
	return names
}

func (p *plan) registeredInstances(domain keel.DomainName) []keel.InstanceName {
	var names []keel.InstanceName
	for _, in := range p.snapshot.Declarations.Instances {
		if in.Domain == domain {
			names = append(names, in.Name)
		}
	}
	return names
}

// setPools sets the owned endpoints of each pool and the owners of the
// endpoints of each selector. The caller holds mu.
func (e *Engine) setPools(now time.Time, p *plan) {
	ownEndpoints := make(map[keel.ServiceName][]ownedEndpoint)
	p.owners = make(map[keel.SelectorName][]owner)
	for i := range p.entries {
		a := &p.entries[i].Announcement
		labels := p.snapshot.Declarations.LabelsOf(keel.TargetEndpoint, string(a.Name), a.Labels)
		drain := e.isDraining(p, a, labels)
		e.drains.record(now, a.ID(), drain)
		name, _ := e.owners.Owner(now, a.ID())
		if name == e.cfg.Self.Name {
			ownEndpoints[a.Service] = append(ownEndpoints[a.Service], e.newOwnedEndpoint(now, p, i, labels, drain))
		}
		if !drain {
			p.addOwner(e.cfg.Self, name, a, labels)
		}
	}
	for service := range p.services {
		if e.pools[service] == nil {
			e.pools[service] = e.newPool(service)
		}
	}
	for service, pl := range e.pools {
		pl.setEndpoints(now, ownEndpoints[service], e.hasAlternative(p, service))
	}
	e.recordDrainedEndpoints(now, ownEndpoints)
}

// hasAlternative reports whether endpoints of a service that this instance does not
// own accept work, in the own failure domain or in another one.
func (e *Engine) hasAlternative(p *plan, service keel.ServiceName) bool {
	for i := range p.view.Domains {
		d := &p.view.Domains[i]
		switch {
		case d.Name == e.cfg.Self.Domain:
			if slices.ContainsFunc(d.Members, func(m Member) bool {
				return m.Instance.Name != e.cfg.Self.Name && !m.Leaving && !m.Suspect && capacityOf(m.Capacities, service).Slots > 0
			}) {
				return true
			}
		case d.Reachable() && !p.hasDrainLabel(keel.TargetDomain, string(d.Name), nil) && capacityOf(d.Capacities, service).Slots > 0:
			return true
		}
	}
	return false
}

// recordDrainedEndpoints completes the drain of owned endpoints that have no
// requests in flight.
func (e *Engine) recordDrainedEndpoints(now time.Time, ownEndpoints map[keel.ServiceName][]ownedEndpoint) {
	for service, list := range ownEndpoints {
		for _, o := range list {
			if o.drain {
				e.recordDrained(now, e.pools[service], o.state.ID)
			}
		}
	}
}

// recordDrained records and logs the end of the last request at an endpoint
// that takes no new work.
func (e *Engine) recordDrained(now time.Time, pl *pool, id keel.EndpointID) {
	if pl.inFlight(id) > 0 {
		return
	}
	if s, ok := e.drains.finish(now, id); ok {
		e.cfg.Log.WithField("endpoint", s.Endpoint.String()).WithField("drain_ms", s.Took.Std().Milliseconds()).Info("endpoint drained")
	}
}

// isDraining reports whether an endpoint takes no new requests: it is leaving,
// or it or the own failure domain is labelled to drain.
func (e *Engine) isDraining(p *plan, a *keel.Announcement, labels keel.Labels) bool {
	return a.State == keel.EndpointLeaving || labels.On(keel.LabelDrain) ||
		p.hasDrainLabel(keel.TargetDomain, string(e.cfg.Self.Domain), nil)
}

func (e *Engine) newOwnedEndpoint(now time.Time, p *plan, i int, labels keel.Labels, drain bool) ownedEndpoint {
	a := &p.entries[i].Announcement
	id := a.ID()
	slots := e.owners.SlotsOf(now, id, a.Slots)
	return ownedEndpoint{
		state: keeladmit.EndpointState{
			ID: id, Labels: labels, Slots: slots,
			Ramp:       e.ramp.SlotFraction(now, id),
			Reported:   a.Report,
			ReportedAt: p.entries[i].RenewedAt,
		},
		target: keelproxy.Target{ID: id, Incarnation: a.Incarnation, Address: a.Address, Domain: e.cfg.Self.Domain},
		drain:  drain || slots == 0,
	}
}

// addOwner adds the slots of an endpoint to its owner for each selector that
// matches the endpoint. An owner that the view does not list is skipped.
func (p *plan) addOwner(self keel.Instance, name keel.InstanceName, a *keel.Announcement, labels keel.Labels) {
	instance := self
	if name != self.Name {
		d := p.view.domain(self.Domain)
		if d == nil || d.member(name) == nil {
			return
		}
		instance = d.member(name).Instance
	}
	for _, s := range p.selectors[a.Service] {
		if !labels.Matches(s.Endpoints) {
			continue
		}
		list := p.owners[s.Name]
		at := slices.IndexFunc(list, func(o owner) bool { return o.instance.Name == name })
		if at < 0 {
			p.owners[s.Name] = append(list, owner{instance: instance, slots: a.Slots})
			continue
		}
		list[at].slots += a.Slots
	}
}

func (e *Engine) newPool(service keel.ServiceName) *pool {
	random := rand.New(rand.NewPCG(e.cfg.Seed, uint64(len(e.pools))))
	return newPool(keeladmit.QueueConfig{
		Service: service,
		Picker:  keelroute.PowerOfTwo{},
		Random:  random.Uint64,
	})
}

// lookupDirectory returns the directory from which look-ups are answered.
func (e *Engine) lookupDirectory(p *plan) *keellookup.Directory {
	d := p.snapshot.Declarations
	cfg := keellookup.DirectoryConfig{
		Blocks:  p.snapshot.Blocks,
		Sites:   d.Sites,
		Domains: d.Domains,
		Home:    e.cfg.Self.Domain,
		TTL:     e.cfg.LookupTTL,
	}
	for i := range p.view.Domains {
		for _, m := range p.view.Domains[i].Members {
			if m.Instance.Name != e.cfg.Self.Name {
				cfg.Candidates = append(cfg.Candidates, p.candidate(m))
			}
		}
	}
	self := Member{Instance: e.cfg.Self, Leaving: e.leaving.Load()}
	for service, pl := range e.pools {
		self.Capacities = append(self.Capacities, pl.capacity(time.Now(), service))
	}
	cfg.Candidates = append(cfg.Candidates, p.candidate(self))
	return keellookup.NewDirectory(cfg)
}

// candidate returns an instance as a candidate for look-ups.
func (p *plan) candidate(m Member) keellookup.Candidate {
	c := keellookup.Candidate{
		Instance: m.Instance,
		Live:     !m.Suspect,
		Leaving:  m.Leaving || p.hasDrainLabel(keel.TargetInstance, string(m.Instance.Name), nil) || p.hasDrainLabel(keel.TargetDomain, string(m.Instance.Domain), nil),
		Capacity: 1,
	}
	slots, free := 0, 0
	for _, capacity := range m.Capacities {
		slots += capacity.Slots
		free += capacity.Free
		if capacity.Slots > 0 {
			c.Owns = append(c.Owns, capacity.Service)
		}
	}
	if slots > 0 {
		c.Utilisation = 1 - float64(free)/float64(slots)
	}
	return c
}
