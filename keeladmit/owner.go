package keeladmit

import (
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	keel "github.com/greengagekeel/greengagekeel"
)

// OwnersConfig configures [Owners]. Zero values mean the defaults.
type OwnersConfig struct {
	Self keel.InstanceName
	// Lease is how long a successor waits after the owner before it was last
	// heard. It must be longer than it takes any instance to notice that it no
	// longer hears the others. Default 3 s.
	Lease time.Duration
	// Shards is into how many parts, by hash, the endpoints of a service in the
	// domain are cut. All endpoints of a part have the same owner and so share
	// one queue. It must be the same at all instances of the domain. Default 1.
	Shards int
}

// Owners says which entry instance of a failure domain owns an endpoint, that
// is, which one sends work to it.
//
// The owner is the live member with the highest rendezvous hash for the
// endpoint's part of its service. One that
// becomes owner waits until the lease of the one before has run out, or until
// that one hands over. While some registered instances are not heard, each
// endpoint's slots are split: its keeper, a registered instance by hash, is on
// one side, and that side may use the keeper's part of the slots without a
// majority. The side with the majority uses the rest.
type Owners struct {
	cfg        OwnersConfig
	live       []keel.InstanceName
	registered []keel.InstanceName
	endpoints  map[keel.EndpointID]*ownership
	// before is what was live until changed. Slots that only the present side
	// has are used after one lease.
	before  []keel.InstanceName
	changed time.Time
}

type ownership struct {
	owner keel.InstanceName
	// readyAt is when the owner may start.
	readyAt time.Time
	// busy is what the owner before still runs there.
	busy int
}

// NewOwners returns an empty set of ownerships.
func NewOwners(cfg OwnersConfig) *Owners {
	setDefault(&cfg.Lease, 3*time.Second)
	setDefault(&cfg.Shards, 1)
	return &Owners{cfg: cfg, endpoints: map[keel.EndpointID]*ownership{}}
}

// Track makes the endpoint known. The first owner of an endpoint that was not
// known waits for one lease as well, since another instance may have owned it.
func (o *Owners) Track(now time.Time, id keel.EndpointID) {
	if _, ok := o.endpoints[id]; ok {
		return
	}
	o.endpoints[id] = &ownership{owner: o.choose(id), readyAt: now.Add(o.cfg.Lease)}
}

// Forget drops an endpoint that has left.
func (o *Owners) Forget(id keel.EndpointID) { delete(o.endpoints, id) }

// Update tells which members of the domain are heard, this instance included,
// and which are registered. It returns the endpoints that this instance owned
// and that another one owns now, in order; the instance must start nothing new
// there and hand them over.
func (o *Owners) Update(now time.Time, live, registered []keel.InstanceName) []keel.EndpointID {
	live = sortedCopy(live)
	if !slices.Equal(live, o.live) {
		o.before, o.live, o.changed = o.live, live, now
	}
	o.registered = sortedCopy(registered)
	var moved []keel.EndpointID
	for id, e := range o.endpoints {
		next := o.choose(id)
		if next == e.owner {
			continue
		}
		if e.owner == o.cfg.Self {
			moved = append(moved, id)
		}
		e.owner = next
		e.readyAt = now.Add(o.cfg.Lease)
		e.busy = 0
	}
	slices.SortFunc(moved, compareIDs)
	return moved
}

func sortedCopy(list []keel.InstanceName) []keel.InstanceName {
	list = slices.Clone(list)
	slices.Sort(list)
	return slices.Compact(list)
}

func compareIDs(a, b keel.EndpointID) int {
	if a.Service != b.Service {
		return compareNames(a.Service, b.Service)
	}
	return compareNames(a.Name, b.Name)
}

func compareNames[T ~string](a, b T) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

// HandOver takes in word of the owner before that it starts nothing new at the
// endpoint and still runs busy requests there. It returns false if this
// instance is not the owner.
func (o *Owners) HandOver(now time.Time, id keel.EndpointID, busy int) bool {
	e, ok := o.endpoints[id]
	if !ok || e.owner != o.cfg.Self {
		return false
	}
	e.readyAt = now
	e.busy = max(0, busy)
	return true
}

// Owner returns the owner of an endpoint and whether it may start work there.
// The name is empty if the endpoint is not known or nobody is live.
func (o *Owners) Owner(now time.Time, id keel.EndpointID) (owner keel.InstanceName, ready bool) {
	e, ok := o.endpoints[id]
	if !ok {
		return "", false
	}
	return e.owner, e.owner != "" && !now.Before(e.readyAt)
}

// Ownership is the state of one endpoint in [Owners].
type Ownership struct {
	Endpoint keel.EndpointID   `json:"endpoint"`
	Owner    keel.InstanceName `json:"owner"`
	// ReadyAt is when the owner may start work there.
	ReadyAt time.Time `json:"ready_at"`
	// Busy is how many requests the owner before still runs there.
	Busy int `json:"busy"`
}

// List returns the state of every known endpoint, in order.
func (o *Owners) List() []Ownership {
	out := make([]Ownership, 0, len(o.endpoints))
	for id, e := range o.endpoints {
		out = append(out, Ownership{Endpoint: id, Owner: e.owner, ReadyAt: e.readyAt, Busy: e.busy})
	}
	slices.SortFunc(out, func(a, b Ownership) int { return compareIDs(a.Endpoint, b.Endpoint) })
	return out
}

// SlotsOf returns how many of an endpoint's slots its owner may use now, as
// this instance sees it.
func (o *Owners) SlotsOf(now time.Time, id keel.EndpointID, slots int) int {
	e, ok := o.endpoints[id]
	if !ok || now.Before(e.readyAt) {
		return 0
	}
	n := o.side(o.live, id, slots)
	if len(o.before) > 0 && now.Before(o.changed.Add(o.cfg.Lease)) {
		n = min(n, o.side(o.before, id, slots))
	}
	return max(0, n-e.busy)
}

// side returns the slots that belong to the part of the domain that hears the
// live members.
func (o *Owners) side(live []keel.InstanceName, id keel.EndpointID, slots int) int {
	heard := 0
	for _, r := range o.registered {
		if contains(live, r) {
			heard++
		}
	}
	if heard == len(o.registered) {
		return slots
	}
	kept := slots / 2
	keeperHere := contains(live, highest(o.registered, xxh3.HashString(id.String())))
	majority := heard > len(o.registered)/2
	switch {
	case majority && keeperHere:
		return slots
	case majority:
		return slots - kept
	case keeperHere:
		return kept
	default:
		return 0
	}
}

func contains(sorted []keel.InstanceName, name keel.InstanceName) bool {
	_, ok := slices.BinarySearch(sorted, name)
	return ok
}

func (o *Owners) choose(id keel.EndpointID) keel.InstanceName {
	part := xxh3.HashString(string(id.Name)) % uint64(o.cfg.Shards)
	return highest(o.live, xxh3.HashStringSeed(string(id.Service), part))
}

// highest returns the member with the highest rendezvous hash for a seed.
func highest(members []keel.InstanceName, seed uint64) keel.InstanceName {
	var best keel.InstanceName
	var most uint64
	for _, m := range members {
		if h := xxh3.HashStringSeed(string(m), seed); best == "" || h > most {
			best, most = m, h
		}
	}
	return best
}
