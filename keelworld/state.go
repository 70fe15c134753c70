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

// State is the state as of one entry of the agreed log. It is not safe for use
// by several goroutines.
type State struct {
	index     uint64
	items     map[ItemKey]Item
	drains    map[keel.DomainName]bool
	endpoints map[string]Endpoint
	nodes     map[keel.InstanceName]Node
}

// NewState returns the state before the first entry.
func NewState() *State {
	return &State{
		items:     map[ItemKey]Item{},
		drains:    map[keel.DomainName]bool{},
		endpoints: map[string]Endpoint{},
		nodes:     map[keel.InstanceName]Node{},
	}
}

// Index returns the last entry that was applied.
func (s *State) Index() uint64 { return s.index }

// Skip notes that the state holds everything up to an entry.
func (s *State) Skip(index uint64) { s.index = max(s.index, index) }

// Apply applies the command of the entry at index.
func (s *State) Apply(index uint64, c *Command) Result {
	s.Skip(index)
	switch {
	case c.Patch != nil:
		return s.patch(c.Patch)
	case c.Drain != nil:
		if c.Drain.On {
			s.drains[c.Drain.Domain] = true
		} else {
			delete(s.drains, c.Drain.Domain)
		}
	}
	for i := range c.Endpoints {
		s.announce(&c.Endpoints[i])
	}
	for _, n := range c.Nodes {
		s.note(n)
	}
	return Result{}
}

// patch takes items into force if the whole stays valid.
func (s *State) patch(p *Patch) Result {
	if fs := p.Check(); len(fs) > 0 {
		return Result{Faults: fs}
	}
	next := maps.Clone(s.items)
	for _, it := range p.Items {
		held, ok := next[it.ItemKey]
		switch {
		case ok && held.Version == it.Version && !held.same(&it):
			var fs keel.Faults
			fs.Add(it.Name, "is held with version %d and other content", it.Version)
			return Result{Faults: fs, Conflict: true}
		case ok && held.Version >= it.Version:
		default:
			next[it.ItemKey] = it
		}
	}
	if fs := checkWhole(next); len(fs) > 0 {
		return Result{Faults: fs}
	}
	s.items = next
	return Result{}
}

// announce takes what is newer than what is known of an endpoint. One that leaves
// without telling when it started means its present incarnation.
func (s *State) announce(e *Endpoint) {
	o, ok := s.endpoints[e.ID]
	if e.State == EndpointLeft && e.Born == 0 {
		if ok {
			o.State = EndpointLeft
			s.endpoints[e.ID] = o
		}
		return
	}
	if e.State == EndpointSilent {
		// Silence counts only if nothing was heard after what it is based on.
		if ok && o.Born == e.Born && o.Sequence == e.Sequence && o.State != EndpointLeft {
			o.State = EndpointSilent
			s.endpoints[e.ID] = o
		}
		return
	}
	if ok && !e.supersedes(&o) {
		return
	}
	if e.State == EndpointLeft && ok && o.Born == e.Born {
		o.State = EndpointLeft
		s.endpoints[e.ID] = o
		return
	}
	s.endpoints[e.ID] = *e
	s.forgetOld()
}

// maxEndpoints bounds the endpoints that are remembered. It is some times the
// largest deployment, so that those that left are remembered for hours.
const maxEndpoints = 8192

// forgetOld drops endpoints that have left, the oldest first, if there are too
// many.
func (s *State) forgetOld() {
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
		return cmp.Or(cmp.Compare(a.Born, b.Born), strings.Compare(a.ID, b.ID))
	})
	for i := range min(len(old), maxEndpoints/4) {
		delete(s.endpoints, old[i].ID)
	}
}

// note takes what is newer than what is known of an entry instance.
func (s *State) note(n Node) {
	if o, ok := s.nodes[n.Name]; ok && !n.Up && !n.Voter && o.Started != n.Started {
		return // what went is an incarnation that was followed by another
	}
	s.nodes[n.Name] = n
}

// Endpoint returns what is known of an endpoint.
func (s *State) Endpoint(id string) (Endpoint, bool) {
	e, ok := s.endpoints[id]
	return e, ok
}

// Node returns what is known of an entry instance.
func (s *State) Node(name keel.InstanceName) (Node, bool) {
	n, ok := s.nodes[name]
	return n, ok
}

// Endpoints returns all endpoints that are known, in any order.
func (s *State) Endpoints() iter.Seq[Endpoint] { return maps.Values(s.endpoints) }

// Nodes returns all instances that are known, in any order.
func (s *State) Nodes() iter.Seq[Node] { return maps.Values(s.nodes) }

// Items returns the items in force that are not removed, in the order of their
// kinds and names.
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

// Snapshot is the whole state in a form that travels.
type Snapshot struct {
	Index     uint64            `cbor:"1,keyasint"`
	Items     []Item            `cbor:"2,keyasint,omitempty"`
	Drains    []keel.DomainName `cbor:"3,keyasint,omitempty"`
	Endpoints []Endpoint        `cbor:"4,keyasint,omitempty"`
	Nodes     []Node            `cbor:"5,keyasint,omitempty"`
}

// Check reports nothing: what a snapshot holds was checked when it was applied.
func (*Snapshot) Check() keel.Faults { return nil }

// Snapshot returns the whole state.
func (s *State) Snapshot() *Snapshot {
	sn := &Snapshot{Index: s.index, Drains: slices.Sorted(maps.Keys(s.drains))}
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

// Write writes the snapshot to w.
func (sn *Snapshot) Write(w io.Writer) error {
	return keel.NewCBORWriter(w).Write(sn)
}

// ReadSnapshot reads what [Snapshot.Write] wrote.
func ReadSnapshot(r io.Reader) (*Snapshot, error) {
	sn := &Snapshot{}
	if err := keel.NewCBORReader(r).Read(sn); err != nil {
		return nil, errors.Wrap(err, "read state")
	}
	return sn, nil
}
