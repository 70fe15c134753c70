package keelmember

import (
	"net/netip"

	keel "github.com/greengagekeel/greengagekeel"
)

// Limits on lists in messages.
const (
	maxRooms           = 64
	maxLagging         = 8
	maxDigestInstances = 8
	maxContacts        = 4
	maxHelloMembers    = 64
	maxHelloDomains    = 256
	maxRelayed         = 64
)

// ServiceRoom is how much work of a service can be taken.
type ServiceRoom struct {
	Service keel.ServiceName `json:"service" cbor:"1,keyasint"`
	// Slots and Free are numbers of requests at once.
	Slots int `json:"slots" cbor:"2,keyasint"`
	Free  int `json:"free" cbor:"3,keyasint"`
	// QueueDelay is how long new work waits for a slot.
	QueueDelay keel.Duration `json:"queue_delay" cbor:"4,keyasint,omitempty"`
}

// Beacon is a sign that a voter belongs to a working majority. Its number rises
// as long as it does.
type Beacon struct {
	Voter       keel.InstanceName `json:"voter" cbor:"1,keyasint"`
	Incarnation uint64            `json:"incarnation" cbor:"2,keyasint"`
	Number      uint64            `json:"number" cbor:"3,keyasint"`
	// Version is what the voter had in force.
	Version keel.Version `json:"version" cbor:"4,keyasint"`
	// AgeMillis is the time since the voter made it, in milliseconds, without
	// the time that it spent on the wire.
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

// Heartbeat is the sign of life of an instance to one other instance of its
// failure domain.
type Heartbeat struct {
	// Instance is left out once the receiver is known to know it.
	Instance    *keel.Instance `cbor:"1,keyasint,omitempty"`
	Incarnation uint64         `cbor:"2,keyasint"`
	// Number rises with each heartbeat of one incarnation.
	Number     uint64        `cbor:"3,keyasint"`
	Version    keel.Version  `cbor:"4,keyasint"`
	Leaving    bool          `cbor:"5,keyasint,omitempty"`
	Registered bool          `cbor:"6,keyasint,omitempty"`
	Room       []ServiceRoom `cbor:"7,keyasint,omitempty"`
	// HearsYou says that the sender hears the receiver.
	HearsYou bool    `cbor:"8,keyasint,omitempty"`
	Beacon   *Beacon `cbor:"9,keyasint,omitempty"`
	// Digests are those of other domains that the sender passes on.
	Digests []Digest `cbor:"10,keyasint,omitempty"`
}

// Contact is an instance that can be sent to.
type Contact struct {
	Name keel.InstanceName `json:"name" cbor:"1,keyasint"`
	Peer netip.AddrPort    `json:"peer" cbor:"2,keyasint"`
}

// Lag is an instance with an older version in force than others of its domain.
type Lag struct {
	Name    keel.InstanceName `json:"name" cbor:"1,keyasint"`
	Version keel.Version      `json:"version" cbor:"2,keyasint"`
}

// DigestInstance is one of the instances that a digest names.
type DigestInstance struct {
	Name   keel.InstanceName `json:"name" cbor:"1,keyasint"`
	Caller netip.AddrPort    `json:"caller" cbor:"2,keyasint"`
	Peer   netip.AddrPort    `json:"peer" cbor:"3,keyasint"`
	Voter  bool              `json:"voter,omitempty" cbor:"4,keyasint,omitempty"`
	// Free and Slots are the instance's part of the digest's room, in the order
	// of its services.
	Free  []int `json:"free,omitempty" cbor:"5,keyasint,omitempty"`
	Slots []int `json:"slots,omitempty" cbor:"6,keyasint,omitempty"`

	room []ServiceRoom // while the digest is made
}

// Digest is what a representative tells other domains about its own.
type Digest struct {
	Domain keel.DomainName `json:"domain" cbor:"1,keyasint"`
	Region keel.RegionName `json:"region" cbor:"2,keyasint"`
	// Sender made the digest; Version is what it has in force.
	Sender  Contact      `json:"sender" cbor:"3,keyasint"`
	Version keel.Version `json:"version" cbor:"4,keyasint"`
	// Brief says that only the fields above are given, and the versions if Live
	// is above 0.
	Brief bool `json:"brief,omitempty" cbor:"5,keyasint,omitempty"`
	// Lowest and Highest are versions in force among the Live instances, of
	// which Lagging have less than Highest.
	Lowest  keel.Version `json:"lowest" cbor:"6,keyasint,omitempty"`
	Highest keel.Version `json:"highest" cbor:"7,keyasint,omitempty"`
	Live    int          `json:"live" cbor:"8,keyasint,omitempty"`
	Lagging int          `json:"lagging,omitempty" cbor:"9,keyasint,omitempty"`
	// Lags names some of those that lag, the furthest behind first.
	Lags []Lag `json:"lags,omitempty" cbor:"10,keyasint,omitempty"`
	// Representatives are those that take digests for the domain.
	Representatives []Contact `json:"representatives" cbor:"11,keyasint,omitempty"`
	// Instances names some live instances: voters, registered ones, then those
	// with most room.
	Instances []DigestInstance `json:"instances" cbor:"12,keyasint,omitempty"`
	// Room is the sum over all live instances; its delay is the mean over the
	// slots.
	Room []ServiceRoom `json:"room,omitempty" cbor:"13,keyasint,omitempty"`
	// AgeMillis is the time since the digest was made, in milliseconds,
	// without the time that it spent on the wire.
	AgeMillis int64   `json:"age_millis" cbor:"14,keyasint,omitempty"`
	Beacon    *Beacon `json:"beacon,omitempty" cbor:"15,keyasint,omitempty"`
	// Ask says that the sender, a voter, has not heard that its version is in
	// force in the whole domain of the receiver.
	Ask bool `json:"ask,omitempty" cbor:"16,keyasint,omitempty"`
}

// DomainContacts names representatives of a domain.
type DomainContacts struct {
	Domain   keel.DomainName `cbor:"1,keyasint"`
	Contacts []Contact       `cbor:"2,keyasint"`
}

// Hello asks an instance what it knows of others, or answers.
type Hello struct {
	Instance keel.Instance `cbor:"1,keyasint"`
	Answer   bool          `cbor:"2,keyasint,omitempty"`
	// WantDomains asks for contacts in all failure domains. Without it those of
	// the answering and of the asking one are given.
	WantDomains bool `cbor:"6,keyasint,omitempty"`
	// Newer is an incarnation of the receiver's name that is above the
	// receiver's own.
	Newer uint64 `cbor:"3,keyasint,omitempty"`
	// Members are the instances of the receiver's domain, if it is the
	// sender's.
	Members []keel.Instance  `cbor:"4,keyasint,omitempty"`
	Domains []DomainContacts `cbor:"5,keyasint,omitempty"`
}

// Check reports negative or impossible numbers.
func (r *ServiceRoom) Check() keel.Faults {
	fs := keel.CheckName("service", r.Service)
	if r.Slots < 0 || r.Free < 0 || r.Free > r.Slots {
		fs.Add("free", "is %d of %d slots", r.Free, r.Slots)
	}
	if r.QueueDelay < 0 {
		fs.Add("queue_delay", "is %s, must not be negative", r.QueueDelay)
	}
	return fs
}

func checkRooms(rooms []ServiceRoom) keel.Faults {
	fs := checkLength("room", len(rooms), maxRooms)
	for i := range rooms {
		fs.Under("room", rooms[i].Check())
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
	fs := checkRooms(h.Room)
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
	fs = append(fs, checkRooms(g.Room)...)
	fs = append(fs, checkLength("lags", len(g.Lags), maxLagging)...)
	fs = append(fs, checkLength("instances", len(g.Instances), maxDigestInstances)...)
	fs.Under("sender", g.Sender.Check())
	fs.Under("representatives", checkContacts(g.Representatives))
	if g.AgeMillis < 0 || g.Live < 0 || g.Lagging < 0 {
		fs.Add("age_millis", "must not be negative, like live and lagging")
	}
	if g.Beacon != nil {
		fs.Under("beacon", g.Beacon.Check())
	}
	for i := range g.Instances {
		in := &g.Instances[i]
		fs.Under("instances", (&Contact{Name: in.Name, Peer: in.Peer}).Check())
		if len(in.Free) > len(g.Room) || len(in.Slots) != len(in.Free) {
			fs.Add("instances", "have %d and %d values of room for %d services", len(in.Free), len(in.Slots), len(g.Room))
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
