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
	// Lease is how long a new owner waits before it starts work, unless the
	// previous owner hands the endpoint over. It must be longer than any instance
	// takes to detect that it has lost contact with the others. Default 3 s.
	Lease time.Duration
	// Shards is the number of shards into which the endpoints of a service in the
	// domain are divided by hash. All endpoints of a shard have the same owner
	// and so share one queue. It must be the same at all instances of the domain.
	// Default 1.
	Shards int
}

// Owners determines which entry instance of a failure domain owns an endpoint.
// Only the owner sends work to it.
//
// The owner is the live member with the highest rendezvous hash for the
// endpoint's shard. A new owner waits until the lease of the previous one has
// expired, or until that one hands over.
//
// While some registered instances are not live, as seen from this instance, the
// domain may be partitioned, with an owner on each side. So each endpoint's
// slots are split. A registered instance, chosen by hash, is the endpoint's
// keeper. The side with the keeper may use half of the slots even without a
// majority of the registered instances; the side with the majority may use the
// others.
type Owners struct {
	cfg        OwnersConfig
	live       []keel.InstanceName
	registered []keel.InstanceName
	endpoints  map[keel.EndpointID]*ownership
	// previousLive holds the members that were live until changedAt. For one
	// lease after it, only slots to which both the previous and the present
	// members are entitled are used.
	previousLive []keel.InstanceName
	changedAt    time.Time
}

type ownership struct {
	owner keel.InstanceName
	// readyAt is when the owner may start work there.
	readyAt time.Time
	// previousInFlight is how many requests of the previous owner are still in
	// flight there.
	previousInFlight int
}

// NewOwners returns an Owners without endpoints and members.
func NewOwners(cfg OwnersConfig) *Owners {
	setDefault(&cfg.Lease, 3*time.Second)
	setDefault(&cfg.Shards, 1)
	return &Owners{cfg: cfg, endpoints: map[keel.EndpointID]*ownership{}}
}

// Track adds an endpoint, unless it is tracked already. Its first owner waits
// for one lease as well, since another instance may have owned it before.
func (o *Owners) Track(now time.Time, id keel.EndpointID) {
	if _, ok := o.endpoints[id]; ok {
		return
	}
	o.endpoints[id] = &ownership{owner: o.chooseOwner(id), readyAt: now.Add(o.cfg.Lease)}
}

// Untrack removes an endpoint that has left.
func (o *Owners) Untrack(id keel.EndpointID) { delete(o.endpoints, id) }

// Update sets which members of the domain are live, this instance included, and
// which are registered. It returns the endpoints, sorted, that this instance
// owned and that another one owns now. This instance must start no new work
// there and must hand them over.
func (o *Owners) Update(now time.Time, live, registered []keel.InstanceName) []keel.EndpointID {
	live = sortedCopy(live)
	if !slices.Equal(live, o.live) {
		o.previousLive, o.live, o.changedAt = o.live, live, now
	}
	o.registered = sortedCopy(registered)
	var moved []keel.EndpointID
	for id, e := range o.endpoints {
		next := o.chooseOwner(id)
		if next == e.owner {
			continue
		}
		if e.owner == o.cfg.Self {
			moved = append(moved, id)
		}
		e.owner = next
		e.readyAt = now.Add(o.cfg.Lease)
		e.previousInFlight = 0
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

// AcceptHandOver records that the previous owner of the endpoint starts no new
// work there, and how many of its requests are still in flight there. It returns
// false if this instance is not the new owner.
func (o *Owners) AcceptHandOver(now time.Time, id keel.EndpointID, inFlight int) bool {
	e, ok := o.endpoints[id]
	if !ok || e.owner != o.cfg.Self {
		return false
	}
	e.readyAt = now
	e.previousInFlight = max(0, inFlight)
	return true
}

// Owner returns the owner of an endpoint and whether it may start work there.
// The name is empty if the endpoint is not tracked or no member is live.
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
	// Busy is how many requests of the previous owner are still in flight there.
	Busy int `json:"busy"`
}

// List returns the state of every tracked endpoint, sorted by ID.
func (o *Owners) List() []Ownership {
	out := make([]Ownership, 0, len(o.endpoints))
	for id, e := range o.endpoints {
		out = append(out, Ownership{Endpoint: id, Owner: e.owner, ReadyAt: e.readyAt, Busy: e.previousInFlight})
	}
	slices.SortFunc(out, func(a, b Ownership) int { return compareIDs(a.Endpoint, b.Endpoint) })
	return out
}

// SlotsOf returns how many of an endpoint's slots its owner may use at now,
// given the members that are live as seen from this instance.
func (o *Owners) SlotsOf(now time.Time, id keel.EndpointID, slots int) int {
	e, ok := o.endpoints[id]
	if !ok || now.Before(e.readyAt) {
		return 0
	}
	n := o.partitionSlots(o.live, id, slots)
	if len(o.previousLive) > 0 && now.Before(o.changedAt.Add(o.cfg.Lease)) {
		n = min(n, o.partitionSlots(o.previousLive, id, slots))
	}
	return max(0, n-e.previousInFlight)
}

// partitionSlots returns how many of an endpoint's slots may be used by the side
// of a possible partition that consists of the live members.
func (o *Owners) partitionSlots(live []keel.InstanceName, id keel.EndpointID, slots int) int {
	reachable := 0
	for _, r := range o.registered {
		if contains(live, r) {
			reachable++
		}
	}
	if reachable == len(o.registered) {
		return slots
	}
	keeperSlots := slots / 2
	keeperReachable := contains(live, highestHash(o.registered, xxh3.HashString(id.String())))
	majority := reachable > len(o.registered)/2
	switch {
	case majority && keeperReachable:
		return slots
	case majority:
		return slots - keeperSlots
	case keeperReachable:
		return keeperSlots
	default:
		return 0
	}
}

func contains(sorted []keel.InstanceName, name keel.InstanceName) bool {
	_, ok := slices.BinarySearch(sorted, name)
	return ok
}

func (o *Owners) chooseOwner(id keel.EndpointID) keel.InstanceName {
	shard := xxh3.HashString(string(id.Name)) % uint64(o.cfg.Shards)
	return highestHash(o.live, xxh3.HashStringSeed(string(id.Service), shard))
}

// highestHash returns the member with the highest rendezvous hash for a seed.
func highestHash(members []keel.InstanceName, seed uint64) keel.InstanceName {
	var best keel.InstanceName
	var most uint64
	for _, m := range members {
		if h := xxh3.HashStringSeed(string(m), seed); best == "" || h > most {
			best, most = m, h
		}
	}
	return best
}
