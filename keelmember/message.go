package keelmember

import (
	"net/netip"

	keel "github.com/greengagekeel/greengagekeel"
)

// Limits on the lengths of lists in messages.
const (
	maxCapacityEntries = 64
	maxLagging         = 8
	maxDigestInstances = 8
	maxContacts        = 4
	maxHelloMembers    = 64
	maxHelloDomains    = 256
	maxRelayed         = 64
)

// ServiceCapacity is the capacity for requests of one service.
type ServiceCapacity struct {
	Service keel.ServiceName `json:"service" cbor:"1,keyasint"`
	// Slots and Free are numbers of concurrent requests.
	Slots int `json:"slots" cbor:"2,keyasint"`
	Free  int `json:"free" cbor:"3,keyasint"`
	// QueueDelay is how long a new request waits for a slot.
	QueueDelay keel.Duration `json:"queue_delay" cbor:"4,keyasint,omitempty"`
}

// Beacon proves that a voter was in contact with a working majority when it was
// created. The voter increments its number for as long as that is so.
type Beacon struct {
	Voter       keel.InstanceName `json:"voter" cbor:"1,keyasint"`
	Incarnation uint64            `json:"incarnation" cbor:"2,keyasint"`
	Number      uint64            `json:"number" cbor:"3,keyasint"`
	// Version is the version of the declarations that the voter had in force.
	Version keel.Version `json:"version" cbor:"4,keyasint"`
	// AgeMillis is the time since the voter created it, in milliseconds, without
	// the time in transit.
	AgeMillis int64 `json:"age_millis" cbor:"5,keyasint,omitempty"`
}

// Check reports a malformed name or a negative age.
func (b *Beacon) Check() keel.Faults {
	fs := keel.CheckName("voter", b.Voter)
	if b.AgeMillis < 0 {
		fs.Add("age_millis", "is %d, must not be negative", b.AgeMillis)
	}
	return fs
}

// Heartbeat is the periodic message from an instance to another instance of its
// failure domain.
type Heartbeat struct {
	// Instance is omitted once the receiver has acknowledged this incarnation.
	Instance    *keel.Instance `cbor:"1,keyasint,omitempty"`
	Incarnation uint64         `cbor:"2,keyasint"`
	// Number increases with each heartbeat of one incarnation.
	Number     uint64            `cbor:"3,keyasint"`
	Version    keel.Version      `cbor:"4,keyasint"`
	Leaving    bool              `cbor:"5,keyasint,omitempty"`
	Registered bool              `cbor:"6,keyasint,omitempty"`
	Capacity   []ServiceCapacity `cbor:"7,keyasint,omitempty"`
	// Acknowledged means that the sender receives heartbeats from the receiver.
	Acknowledged bool    `cbor:"8,keyasint,omitempty"`
	Beacon       *Beacon `cbor:"9,keyasint,omitempty"`
	// Digests are digests of other domains that the sender relays.
	Digests []Digest `cbor:"10,keyasint,omitempty"`
}

// Contact is the name and peer address of an instance.
type Contact struct {
	Name keel.InstanceName `json:"name" cbor:"1,keyasint"`
	Peer netip.AddrPort    `json:"peer" cbor:"2,keyasint"`
}

// LaggingInstance is an instance with an older version in force than others of
// its domain.
type LaggingInstance struct {
	Name    keel.InstanceName `json:"name" cbor:"1,keyasint"`
	Version keel.Version      `json:"version" cbor:"2,keyasint"`
}

// DigestInstance is one of the instances that a digest lists.
type DigestInstance struct {
	Name   keel.InstanceName `json:"name" cbor:"1,keyasint"`
	Caller netip.AddrPort    `json:"caller" cbor:"2,keyasint"`
	Peer   netip.AddrPort    `json:"peer" cbor:"3,keyasint"`
	Voter  bool              `json:"voter,omitempty" cbor:"4,keyasint,omitempty"`
	// Free and Slots are the share of the instance in the total capacity of the
	// digest, in the order of its services.
	Free  []int `json:"free,omitempty" cbor:"5,keyasint,omitempty"`
	Slots []int `json:"slots,omitempty" cbor:"6,keyasint,omitempty"`

	capacity []ServiceCapacity // used while the digest is built
}

// Digest is the summary of a failure domain that a representative or a voter
// sends to other domains.
type Digest struct {
	Domain keel.DomainName `json:"domain" cbor:"1,keyasint"`
	Region keel.RegionName `json:"region" cbor:"2,keyasint"`
	// Sender created the digest; Version is the version in force at the sender.
	Sender  Contact      `json:"sender" cbor:"3,keyasint"`
	Version keel.Version `json:"version" cbor:"4,keyasint"`
	// Brief means that only the fields above, Beacon and ReportRequested are
	// set, and those about versions if Live is above 0.
	Brief bool `json:"brief,omitempty" cbor:"5,keyasint,omitempty"`
	// Live is the number of instances of the domain that are alive, suspect or
	// leaving. Lowest and Highest are the extreme versions in force at these. At
	// Lagging of them the version is below Highest.
	Lowest  keel.Version `json:"lowest" cbor:"6,keyasint,omitempty"`
	Highest keel.Version `json:"highest" cbor:"7,keyasint,omitempty"`
	Live    int          `json:"live" cbor:"8,keyasint,omitempty"`
	Lagging int          `json:"lagging,omitempty" cbor:"9,keyasint,omitempty"`
	// Lags lists some of the lagging instances, the furthest behind first.
	Lags []LaggingInstance `json:"lags,omitempty" cbor:"10,keyasint,omitempty"`
	// Representatives are the instances that receive digests for the domain.
	Representatives []Contact `json:"representatives" cbor:"11,keyasint,omitempty"`
	// Instances lists some live instances: first voters, then registered ones,
	// then those with most free slots.
	Instances []DigestInstance `json:"instances" cbor:"12,keyasint,omitempty"`
	// Capacity is the total capacity of the Live instances by service. The queue
	// delay is the mean weighted by slots.
	Capacity []ServiceCapacity `json:"room,omitempty" cbor:"13,keyasint,omitempty"`
	// AgeMillis is the time since the digest was created, in milliseconds,
	// without the time in transit.
	AgeMillis int64   `json:"age_millis" cbor:"14,keyasint,omitempty"`
	Beacon    *Beacon `json:"beacon,omitempty" cbor:"15,keyasint,omitempty"`
	// ReportRequested asks the receiver for a report on the versions in its
	// domain. The sender is a voter that has no report yet that its version is
	// in force in the whole domain.
	ReportRequested bool `json:"ask,omitempty" cbor:"16,keyasint,omitempty"`
}

// DomainContacts lists representatives of a domain.
type DomainContacts struct {
	Domain   keel.DomainName `cbor:"1,keyasint"`
	Contacts []Contact       `cbor:"2,keyasint"`
}

// Hello requests the instances and contacts that the receiver knows, or is the
// answer to such a request.
type Hello struct {
	Instance keel.Instance `cbor:"1,keyasint"`
	Answer   bool          `cbor:"2,keyasint,omitempty"`
	// WantDomains requests contacts in all failure domains. Without it the
	// answer covers the domains of both sides only.
	WantDomains bool `cbor:"6,keyasint,omitempty"`
	// Newer is an incarnation number of the receiver's name that is above the
	// receiver's own.
	Newer uint64 `cbor:"3,keyasint,omitempty"`
	// Members lists the instances of the domain, if sender and receiver share
	// it.
	Members []keel.Instance  `cbor:"4,keyasint,omitempty"`
	Domains []DomainContacts `cbor:"5,keyasint,omitempty"`
}

// Check reports negative or impossible numbers.
func (r *ServiceCapacity) Check() keel.Faults {
	fs := keel.CheckName("service", r.Service)
	if r.Slots < 0 || r.Free < 0 || r.Free > r.Slots {
		fs.Add("free", "is %d of %d slots", r.Free, r.Slots)
	}
	if r.QueueDelay < 0 {
		fs.Add("queue_delay", "is %s, must not be negative", r.QueueDelay)
	}
	return fs
}

func checkCapacity(list []ServiceCapacity) keel.Faults {
	fs := checkLength("room", len(list), maxCapacityEntries)
	for i := range list {
		fs.Under("room", list[i].Check())
	}
	return fs
}

func checkLength(field string, n, limit int) keel.Faults {
	var fs keel.Faults
	if n > limit {
		fs.Add(field, "has %d entries, the limit is %d", n, limit)
	}
	return fs
}

// Check reports every fault of the heartbeat.
func (h *Heartbeat) Check() keel.Faults {
	fs := checkCapacity(h.Capacity)
	fs = append(fs, checkLength("digests", len(h.Digests), maxRelayed)...)
	if h.Instance != nil {
		fs.Under("instance", h.Instance.Check())
		if h.Instance.Incarnation != h.Incarnation {
			fs.Add("incarnation", "is %d, the instance's is %d", h.Incarnation, h.Instance.Incarnation)
		}
	}
	if h.Beacon != nil {
		fs.Under("beacon", h.Beacon.Check())
	}
	for i := range h.Digests {
		fs.Under("digests", h.Digests[i].Check())
	}
	return fs
}

// Check reports a malformed name or address.
func (c *Contact) Check() keel.Faults {
	fs := keel.CheckName("name", c.Name)
	if !c.Peer.IsValid() {
		fs.Add("peer", "must be an IP address and a port")
	}
	return fs
}

// Check reports every fault of the digest.
func (g *Digest) Check() keel.Faults {
	fs := keel.CheckName("domain", g.Domain)
	fs = append(fs, keel.CheckName("region", g.Region)...)
	fs = append(fs, checkCapacity(g.Capacity)...)
	fs = append(fs, checkLength("lags", len(g.Lags), maxLagging)...)
	fs = append(fs, checkLength("instances", len(g.Instances), maxDigestInstances)...)
	fs.Under("sender", g.Sender.Check())
	fs.Under("representatives", checkContacts(g.Representatives))
	if g.AgeMillis < 0 || g.Live < 0 || g.Lagging < 0 {
		fs.Add("age_millis", "must not be negative, nor must live and lagging")
	}
	if g.Beacon != nil {
		fs.Under("beacon", g.Beacon.Check())
	}
	for i := range g.Instances {
		in := &g.Instances[i]
		fs.Under("instances", (&Contact{Name: in.Name, Peer: in.Peer}).Check())
		if len(in.Free) > len(g.Capacity) || len(in.Slots) != len(in.Free) {
			fs.Add("instances", "have %d values of free and %d of slots for %d services", len(in.Free), len(in.Slots), len(g.Capacity))
		}
	}
	return fs
}

func checkContacts(list []Contact) keel.Faults {
	fs := checkLength("", len(list), maxContacts)
	for i := range list {
		fs = append(fs, list[i].Check()...)
	}
	return fs
}

// Check reports every fault of the message.
func (h *Hello) Check() keel.Faults {
	var fs keel.Faults
	fs.Under("instance", h.Instance.Check())
	fs = append(fs, checkLength("members", len(h.Members), maxHelloMembers)...)
	fs = append(fs, checkLength("domains", len(h.Domains), maxHelloDomains)...)
	for i := range h.Members {
		fs.Under("members", h.Members[i].Check())
	}
	for _, d := range h.Domains {
		fs.Under("domains", keel.CheckName("domain", d.Domain))
		fs.Under("domains", checkContacts(d.Contacts))
	}
	return fs
}
