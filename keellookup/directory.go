// Package keellookup answers which entry instances a caller should use.
//
// [Directory] turns the preferred sites of the caller's block, a domain chosen
// by the share vector and the state of the instances into an ordered answer. The
// package does no input or output, keeps no clock, does not find the block of an
// address (a [keel.BlockTable] does) and does not decide how traffic is shared
// among failure domains.
package keellookup

import (
	"encoding/binary"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	keel "github.com/greengagekeel/greengagekeel"
)

// MaxInstances is the largest number of instances that an answer names.
const MaxInstances = 3

// Candidate is an entry instance and what is known of it.
type Candidate struct {
	Instance keel.Instance
	// Live says that the instance was heard of within its lease.
	Live bool
	// Leaving says that the instance is stopping or is labelled to drain.
	Leaving bool
	// Capacity is how much the instance can carry, relative to the others.
	Capacity float64
	// Busy is the part of the capacity in use, from 0 to 1.
	Busy float64
	// Owns lists the services of which the instance owns endpoints.
	Owns []keel.ServiceName
}

// DirectoryConfig holds everything that a [Directory] answers from.
type DirectoryConfig struct {
	Blocks     keel.BlockTable
	Sites      []keel.Site
	Domains    []keel.FailureDomain
	Candidates []Candidate
	// Home is the failure domain of the answering instance. Callers without a
	// client block count as coming from its region.
	Home keel.DomainName
	// TTL is how long a caller may use an answer.
	TTL time.Duration
	// Slot is the time after which callers of a block are spread anew.
	// 0 means [DefaultSlot].
	Slot time.Duration
}

// DefaultSlot is the usual time after which callers of a block are spread anew.
const DefaultSlot = 10 * time.Second

// Directory answers look-ups from one state of the system. It never changes
// and is safe for use by several goroutines. Build a new one when the state
// changes.
type Directory struct {
	cfg       DirectoryConfig
	siteHome  map[keel.SiteName]keel.DomainName
	regions   map[keel.DomainName]keel.RegionName
	byDomain  map[keel.DomainName][]*Candidate
	neighbour map[keel.RegionName][]keel.DomainName
}

// Query asks for entry instances.
type Query struct {
	Now     time.Time
	Addr    netip.Addr
	Service keel.ServiceName
	// Random is uniform over uint64.
	Random uint64
}

// Answer names entry instances for a caller, the best first.
type Answer struct {
	Instances []keel.Instance
	// TTL is how long the answer may be used.
	TTL time.Duration
	// Source is the region that the caller's traffic counts for.
	Source keel.RegionName
	// Domain is the failure domain that the share vector chose.
	Domain keel.DomainName
	// Key identifies the caller's block. Calls with the same key move together.
	Key uint64
}

// Choose picks the destination failure domain of a source's caller, as by the
// share vector of the selector. It returns false if no domain may be used.
type Choose func(source keel.RegionName, key uint64) (keel.DomainName, bool)

// NewDirectory returns a directory of one state of the system.
func NewDirectory(cfg DirectoryConfig) *Directory {
	if cfg.Slot <= 0 {
		cfg.Slot = DefaultSlot
	}
	d := &Directory{
		cfg:       cfg,
		siteHome:  make(map[keel.SiteName]keel.DomainName, len(cfg.Sites)),
		regions:   make(map[keel.DomainName]keel.RegionName, len(cfg.Domains)),
		byDomain:  map[keel.DomainName][]*Candidate{},
		neighbour: map[keel.RegionName][]keel.DomainName{},
	}
	for _, s := range cfg.Sites {
		d.siteHome[s.Name] = s.Domain
	}
	for _, v := range cfg.Domains {
		d.regions[v.Name] = v.Region
		d.neighbour[v.Region] = append(d.neighbour[v.Region], v.Name)
	}
	for i := range cfg.Candidates {
		c := &cfg.Candidates[i]
		if c.Live && !c.Leaving {
			d.byDomain[c.Instance.Domain] = append(d.byDomain[c.Instance.Domain], c)
		}
	}
	return d
}

// Source returns the preferred failure domain and the region of a caller.
// Unknown callers get those of the answering instance.
func (d *Directory) Source(addr netip.Addr) (keel.DomainName, keel.RegionName) {
	domain := d.cfg.Home
	if sites, ok := d.cfg.Blocks.Find(addr); ok {
		for _, s := range sites {
			if home, ok := d.siteHome[s]; ok {
				domain = home
				break
			}
		}
	}
	return domain, d.regions[domain]
}

// Answer returns up to [MaxInstances] live entry instances that are not
// leaving. Instances of the chosen domain come first, then those of the
// caller's own domain, then of its region, then of the other preferred sites.
func (d *Directory) Answer(q Query, choose Choose) Answer {
	home, source := d.Source(q.Addr)
	a := Answer{TTL: d.cfg.TTL, Source: source, Key: BlockKey(q.Addr)}
	if domain, ok := choose(source, a.Key); ok {
		a.Domain = domain
		d.addDomain(&a, q, domain)
	}
	d.addDomain(&a, q, home)
	for _, near := range d.neighbour[source] {
		d.addDomain(&a, q, near)
	}
	d.addSites(&a, q)
	if len(a.Instances) == 0 {
		d.addDomain(&a, q, d.cfg.Home)
	}
	return a
}

func (d *Directory) addSites(a *Answer, q Query) {
	sites, _ := d.cfg.Blocks.Find(q.Addr)
	for _, s := range sites {
		d.addDomain(a, q, d.siteHome[s])
	}
}

// ranked is a candidate with its place in the order of an answer.
type ranked struct {
	c     *Candidate
	owns  bool
	score float64
}

// before reports whether a comes before b: owners of the service first, then
// the smaller score.
func (a ranked) before(b ranked) bool {
	if a.owns != b.owns {
		return a.owns
	}
	return a.score < b.score
}

// addDomain appends the best instances of one domain that the answer does not
// name yet, in the order of a weighted rendezvous by caller address and time
// slot, owners of the service first.
func (d *Directory) addDomain(a *Answer, q Query, domain keel.DomainName) {
	var best [MaxInstances]ranked
	n, room := 0, MaxInstances-len(a.Instances)
	if room <= 0 {
		return
	}
	seed := d.seed(q)
	for _, c := range d.byDomain[domain] {
		if a.names(c.Instance.Name) {
			continue
		}
		r := ranked{c, slices.Contains(c.Owns, q.Service), score(c, seed)}
		n = insertRanked(best[:room], n, r)
	}
	for _, r := range best[:n] {
		a.Instances = append(a.Instances, r.c.Instance)
	}
}

// insertRanked puts r into its place among the first n of best and returns how
// many there are then. The last one drops out if there is no space.
func insertRanked(best []ranked, n int, r ranked) int {
	i := n
	for i > 0 && r.before(best[i-1]) {
		i--
	}
	if i == len(best) {
		return n
	}
	n = min(n+1, len(best))
	copy(best[i+1:n], best[i:])
	best[i] = r
	return n
}

func (a *Answer) names(name keel.InstanceName) bool {
	return slices.ContainsFunc(a.Instances, func(in keel.Instance) bool { return in.Name == name })
}

// minRoom keeps a full instance in the choice, since its report may be wrong.
const minRoom = 0.05

// seed is the same for a caller within a time slot.
func (d *Directory) seed(q Query) uint64 {
	slot := uint64(q.Now.UnixNano() / int64(d.cfg.Slot))
	return mix(addrKey(q.Addr)^slot) ^ q.Random
}

// score is an exponential draw whose rate is the instance's room, so that the
// smallest score falls on each instance in proportion to its room.
func score(c *Candidate, seed uint64) float64 {
	room := max(c.Capacity, 1) * max(1-c.Busy, minRoom)
	h := xxh3.HashStringSeed(string(c.Instance.Name), seed)
	u := (float64(h>>11) + 1) / (1 << 53)
	return -math.Log(u) / room
}

// BlockKey returns a number that is the same for all callers of an IPv4 /24 or
// an IPv6 /48, and the same at every instance.
func BlockKey(addr netip.Addr) uint64 {
	const v4Bits, v6Bits = 24, 48
	addr = addr.Unmap()
	bits := v6Bits
	if addr.Is4() {
		bits = v4Bits
	}
	p, err := addr.Prefix(bits)
	if err != nil {
		return 0
	}
	return mix(addrKey(p.Addr()))
}

func addrKey(addr netip.Addr) uint64 {
	b := addr.As16()
	return xxh3.Hash(b[:])
}

// mix spreads the bits of x over the whole number.
func mix(x uint64) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], x)
	return xxh3.Hash(b[:])
}
