package keelworld

import (
	"cmp"
	"io"
	"iter"
	"maps"
	"slices"
	"strings"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
)

// State is the replicated state as of one entry of the log. It is not safe for
// concurrent use.
type State struct {
	index     uint64
	items     map[ItemKey]Item
	drains    map[keel.DomainName]bool
	endpoints map[string]Endpoint
	nodes     map[keel.InstanceName]Node
	// drainOrderedAt is the index of the last accepted order to start or end the drain
	// of a failure domain.
	drainOrderedAt map[keel.DomainName]uint64
	// patchRefusedAt is the index of the last patch that was refused.
	patchRefusedAt uint64
	// registeredAt is the index that registered the incarnation of an endpoint.
	registeredAt map[string]uint64
	suspects     Suspects
	rateLimits   RateLimits
}

// NewState returns the state before the first log entry.
func NewState() *State {
	return &State{
		items:     map[ItemKey]Item{},
		drains:    map[keel.DomainName]bool{},
		endpoints: map[string]Endpoint{},
		nodes:     map[keel.InstanceName]Node{},

		drainOrderedAt: map[keel.DomainName]uint64{},
		registeredAt:   map[string]uint64{},
		suspects:       Suspects{},
		rateLimits:     RateLimits{},
	}
}

// Index returns the index of the last entry that was applied or skipped.
func (s *State) Index() uint64 { return s.index }

// Skip advances the index of the state to index without a change.
func (s *State) Skip(index uint64) { s.index = max(s.index, index) }

// Apply applies the command of the entry at index. It does not set the index of the
// result.
func (s *State) Apply(index uint64, c *Command) Result {
	s.Skip(index)
	switch {
	case c.Patch != nil:
		if s.IsOutdated(c) {
			return Result{Outdated: true}
		}
		r := s.applyPatch(c.Patch)
		if len(r.Faults) > 0 {
			s.patchRefusedAt = index
		}
		return r
	case c.Drain != nil:
		return s.applyDrain(index, c)
	}
	var r Result
	for i := range c.Endpoints {
		if e := &c.Endpoints[i]; !s.applyAnnouncement(index, e) {
			r.OutdatedLeaves = append(r.OutdatedLeaves, e.ID)
		}
	}
	for _, n := range c.Nodes {
		s.applyNode(n)
	}
	s.applyCrashes(index, c.Answered, c.Crashes)
	s.applyRateLimits(index, c.RateLimits)
	return r
}

// IsOutdated reports whether the state ignores an order, or a notice of leaving without an
// incarnation, because a later entry than AsOf conflicts with it. See [Command.AsOf].
func (s *State) IsOutdated(c *Command) bool {
	switch {
	case c.Patch != nil:
		// A patch that was refused may have become valid, so a copy of it must not come
		// into force later. Others are ordered by the versions of their items.
		return s.patchRefusedAt > c.AsOf
	case c.Drain != nil:
		d := c.Drain
		return s.drainOrderedAt[d.Domain] > c.AsOf && s.drains[d.Domain] != d.On
	}
	return slices.ContainsFunc(c.Endpoints, func(e Endpoint) bool { return s.isOutdatedLeave(&e) })
}

// isOutdatedLeave reports whether a notice of leaving without an incarnation was sent before
// the current incarnation was registered.
func (s *State) isOutdatedLeave(e *Endpoint) bool {
	o, ok := s.endpoints[e.ID]
	return e.State == EndpointLeft && e.Incarnation == 0 && ok && o.State != EndpointLeft && s.registeredAt[e.ID] > e.AsOf
}

// applyDrain starts or ends the drain of a failure domain. An outdated order that asks
// for what is the case is not refused: it is a copy of the one that came first.
func (s *State) applyDrain(index uint64, c *Command) Result {
	d := c.Drain
	if s.drainOrderedAt[d.Domain] > c.AsOf {
		return Result{Outdated: s.IsOutdated(c)}
	}
	s.drainOrderedAt[d.Domain] = index
	if d.On {
		s.drains[d.Domain] = true
	} else {
		delete(s.drains, d.Domain)
	}
	return Result{}
}

// applyPatch puts the items of a patch into force if the resulting configuration is
// consistent. Items with an older version than the one in force are ignored.
func (s *State) applyPatch(p *Patch) Result {
	if fs := p.Check(); len(fs) > 0 {
		return Result{Faults: fs}
	}
	next := maps.Clone(s.items)
	for _, it := range p.Items {
		current, ok := next[it.ItemKey]
		switch {
		case ok && current.Version == it.Version && !current.sameContent(&it):
			var fs keel.Faults
			fs.Add(it.Name, "already exists with version %d and different content", it.Version)
			return Result{Faults: fs, Conflict: true}
		case ok && current.Version >= it.Version:
		default:
			next[it.ItemKey] = it
		}
	}
	if fs := checkConsistency(next); len(fs) > 0 {
		return Result{Faults: fs}
	}
	s.items = next
	return Result{}
}

// applyAnnouncement applies an announcement if it supersedes the state of its
// endpoint. A notice of leaving without an incarnation refers to the current one; it
// returns false if that was registered after the notice was sent.
func (s *State) applyAnnouncement(index uint64, e *Endpoint) bool {
	o, ok := s.endpoints[e.ID]
	if e.State == EndpointLeft && e.Incarnation == 0 {
		if s.isOutdatedLeave(e) {
			return false
		}
		if ok && o.State != EndpointLeft {
			o.State = EndpointLeft
			s.endpoints[e.ID] = o
		}
		return true
	}
	if e.State == EndpointSilent {
		// The silence is void if an announcement was applied after the one that it
		// refers to.
		if ok && o.Incarnation == e.Incarnation && o.Sequence == e.Sequence && o.State != EndpointLeft {
			o.State = EndpointSilent
			s.endpoints[e.ID] = o
		}
		return true
	}
	if ok && !e.supersedes(&o) {
		return true
	}
	if e.State == EndpointLeft && ok && o.Incarnation == e.Incarnation {
		o.State = EndpointLeft
		s.endpoints[e.ID] = o
		return true
	}
	if !ok || o.Incarnation != e.Incarnation {
		s.registeredAt[e.ID] = index
		s.dropRateLimit(e.ID)
	}
	s.endpoints[e.ID] = *e
	s.evictDeparted()
	return true
}

// maxEndpoints is the number of endpoints above which departed ones are evicted. It
// is several times the size of the largest deployment, so that departed endpoints
// are kept for hours and their late announcements are ignored.
const maxEndpoints = 8192

// evictDeparted removes endpoints that have left or are silent, the oldest
// incarnations first, if there are more than [maxEndpoints].
func (s *State) evictDeparted() {
	if len(s.endpoints) <= maxEndpoints {
		return
	}
	var old []Endpoint
	for _, e := range s.endpoints {
		if e.State == EndpointLeft || e.State == EndpointSilent {
			old = append(old, e)
		}
	}
	slices.SortFunc(old, func(a, b Endpoint) int {
		return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), strings.Compare(a.ID, b.ID))
	})
	for i := range min(len(old), maxEndpoints/4) {
		delete(s.endpoints, old[i].ID)
		delete(s.registeredAt, old[i].ID)
		s.dropRateLimit(old[i].ID)
	}
}

// applyNode replaces the state of an instance. It ignores the stop of another
// incarnation than the current one, so that the late stop of an earlier
// incarnation does not end the current one.
func (s *State) applyNode(n Node) {
	if o, ok := s.nodes[n.Name]; ok && !n.Up && !n.Voter && o.Incarnation != n.Incarnation {
		return
	}
	s.nodes[n.Name] = n
}

// Endpoint returns the state of an endpoint, and whether it is known.
func (s *State) Endpoint(id string) (Endpoint, bool) {
	e, ok := s.endpoints[id]
	return e, ok
}

// Node returns the state of an instance, and whether it is known.
func (s *State) Node(name keel.InstanceName) (Node, bool) {
	n, ok := s.nodes[name]
	return n, ok
}

// Drained returns the drained failure domains in the order of their names.
func (s *State) Drained() []keel.DomainName { return slices.Sorted(maps.Keys(s.drains)) }

// Suspects returns the requests that crash endpoints.
func (s *State) Suspects() Suspects { return s.suspects }

// RateLimits returns the limits of the endpoints that named one.
func (s *State) RateLimits() RateLimits { return s.rateLimits }

// Endpoints returns all known endpoints in no particular order, including those
// that left or are silent.
func (s *State) Endpoints() iter.Seq[Endpoint] { return maps.Values(s.endpoints) }

// Nodes returns all known instances in no particular order.
func (s *State) Nodes() iter.Seq[Node] { return maps.Values(s.nodes) }

// Items returns the items that are not removed, ordered by kind and name.
func (s *State) Items() []Item {
	var all []Item
	for _, it := range s.items {
		if !it.Removed {
			all = append(all, it)
		}
	}
	slices.SortFunc(all, compareItems)
	return all
}

func compareItems(a, b Item) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), strings.Compare(a.Name, b.Name))
}

// Snapshot is the encoded form of the whole state.
type Snapshot struct {
	Index     uint64            `cbor:"1,keyasint"`
	Items     []Item            `cbor:"2,keyasint,omitempty"`
	Drains    []keel.DomainName `cbor:"3,keyasint,omitempty"`
	Endpoints []Endpoint        `cbor:"4,keyasint,omitempty"`
	Nodes     []Node            `cbor:"5,keyasint,omitempty"`
	// The following hold the fields of [State] with these names.
	DrainOrderedAt map[keel.DomainName]uint64 `cbor:"6,keyasint,omitempty"`
	PatchRefusedAt uint64                     `cbor:"7,keyasint,omitempty"`
	RegisteredAt   map[string]uint64          `cbor:"8,keyasint,omitempty"`
	Suspects       Suspects                   `cbor:"9,keyasint,omitempty"`
	RateLimits     RateLimits                 `cbor:"10,keyasint,omitempty"`
}

// Check reports no faults: the contents of a snapshot were checked before they were
// applied.
func (*Snapshot) Check() keel.Faults { return nil }

// Snapshot returns a snapshot of the whole state.
func (s *State) Snapshot() *Snapshot {
	sn := &Snapshot{
		Index: s.index, Drains: s.Drained(),
		DrainOrderedAt: maps.Clone(s.drainOrderedAt), PatchRefusedAt: s.patchRefusedAt, RegisteredAt: maps.Clone(s.registeredAt),
		Suspects: s.suspects, RateLimits: s.rateLimits,
	}
	for _, it := range s.items {
		sn.Items = append(sn.Items, it)
	}
	slices.SortFunc(sn.Items, compareItems)
	for _, id := range slices.Sorted(maps.Keys(s.endpoints)) {
		sn.Endpoints = append(sn.Endpoints, s.endpoints[id])
	}
	for _, name := range slices.Sorted(maps.Keys(s.nodes)) {
		sn.Nodes = append(sn.Nodes, s.nodes[name])
	}
	return sn
}

// Restore replaces the state by that of a snapshot.
func (s *State) Restore(sn *Snapshot) {
	*s = *NewState()
	s.index = sn.Index
	s.patchRefusedAt = sn.PatchRefusedAt
	maps.Copy(s.drainOrderedAt, sn.DrainOrderedAt)
	maps.Copy(s.registeredAt, sn.RegisteredAt)
	maps.Copy(s.suspects, sn.Suspects)
	maps.Copy(s.rateLimits, sn.RateLimits)
	for _, it := range sn.Items {
		s.items[it.ItemKey] = it
	}
	for _, d := range sn.Drains {
		s.drains[d] = true
	}
	for _, e := range sn.Endpoints {
		s.endpoints[e.ID] = e
	}
	for _, n := range sn.Nodes {
		s.nodes[n.Name] = n
	}
}

// Write encodes the snapshot to w.
func (sn *Snapshot) Write(w io.Writer) error {
	return keel.NewCBORWriter(w).Write(sn)
}

// ReadSnapshot decodes a snapshot that [Snapshot.Write] wrote.
func ReadSnapshot(r io.Reader) (*Snapshot, error) {
	sn := &Snapshot{}
	if err := keel.NewCBORReader(r).Read(sn); err != nil {
		return nil, errors.Wrap(err, "read state")
	}
	return sn, nil
}
