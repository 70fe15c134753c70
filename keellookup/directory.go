// Package keellookup selects the entry instances that a caller should use.
//
// [Directory] computes an ordered answer from the preferred sites of the
// caller's block, a failure domain chosen by the share vector, and the state of
// the instances. The package does no I/O, reads no clock, does not find the
// block of an address (a [keel.BlockTable] does) and does not decide how
// traffic is shared among failure domains.
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

// Candidate is an entry instance with its last reported state.
type Candidate struct {
	Instance keel.Instance
	// Live is set if the lease of the instance has not expired.
	Live bool
	// Leaving is set if the instance is stopping or is labelled to drain.
	Leaving bool
	// Capacity is the capacity of the instance relative to the others. Values
	// below 1 count as 1.
	Capacity float64
	// Utilisation is the part of the capacity in use, from 0 to 1.
	Utilisation float64
	// Owns lists the services of which the instance owns endpoints.
	Owns []keel.ServiceName
}

// DirectoryConfig holds the state from which a [Directory] answers.
type DirectoryConfig struct {
	Blocks     keel.BlockTable
	Sites      []keel.Site
	Domains    []keel.FailureDomain
	Candidates []Candidate
	// Home is the failure domain of the answering instance. Callers without a
	// client block are assigned to its region.
	Home keel.DomainName
	// TTL is how long a caller may use an answer.
	TTL time.Duration
	// ReshuffleInterval is the interval at which the callers of a block are
	// distributed anew among the instances. 0 means [DefaultReshuffleInterval].
	ReshuffleInterval time.Duration
}

// DefaultReshuffleInterval is the default of
// [DirectoryConfig.ReshuffleInterval].
const DefaultReshuffleInterval = 10 * time.Second

// Directory answers look-ups from an immutable snapshot of the system. It is
// safe for use by several goroutines. Build a new one when the state changes.
type Directory struct {
	cfg             DirectoryConfig
	siteDomain      map[keel.SiteName]keel.DomainName
	regions         map[keel.DomainName]keel.RegionName
	byDomain        map[keel.DomainName][]*Candidate
	domainsByRegion map[keel.RegionName][]keel.DomainName
}

// Query is a look-up by the caller at Addr, which requests Service.
type Query struct {
	Now     time.Time
	Addr    netip.Addr
	Service keel.ServiceName
	// Random is uniform over uint64 and varies the answer between the queries
	// of one caller. 0 keeps the answer stable within a reshuffle interval.
	Random uint64
}

// Answer lists entry instances for a caller, the best first.
type Answer struct {
	Instances []keel.Instance
	// TTL is how long the answer may be used.
	TTL time.Duration
	// Source is the region that the traffic of the caller is assigned to.
	Source keel.RegionName
	// Domain is the failure domain that the share vector chose.
	Domain keel.DomainName
	// Key identifies the caller's block. Callers with the same key move between
	// failure domains together.
	Key uint64
}

// Choose returns the destination failure domain for a caller of a source
// region, usually by the share vector of the selector. It returns false if
// there is no usable domain.
type Choose func(source keel.RegionName, key uint64) (keel.DomainName, bool)

// NewDirectory returns a directory for one state of the system.
func NewDirectory(cfg DirectoryConfig) *Directory {
	if cfg.ReshuffleInterval <= 0 {
		cfg.ReshuffleInterval = DefaultReshuffleInterval
	}
	d := &Directory{
		cfg:             cfg,
		siteDomain:      make(map[keel.SiteName]keel.DomainName, len(cfg.Sites)),
		regions:         make(map[keel.DomainName]keel.RegionName, len(cfg.Domains)),
		byDomain:        map[keel.DomainName][]*Candidate{},
		domainsByRegion: map[keel.RegionName][]keel.DomainName{},
	}
	for _, s := range cfg.Sites {
		d.siteDomain[s.Name] = s.Domain
	}
	for _, v := range cfg.Domains {
		d.regions[v.Name] = v.Region
		d.domainsByRegion[v.Region] = append(d.domainsByRegion[v.Region], v.Name)
	}
	for i := range cfg.Candidates {
		c := &cfg.Candidates[i]
		if c.Live && !c.Leaving {
			d.byDomain[c.Instance.Domain] = append(d.byDomain[c.Instance.Domain], c)
		}
	}
	return d
}

// Source returns the preferred failure domain and the region of a caller. For a
// caller without a client block these are the domain and the region of the
// answering instance.
func (d *Directory) Source(addr netip.Addr) (keel.DomainName, keel.RegionName) {
	domain := d.cfg.Home
	if sites, ok := d.cfg.Blocks.Find(addr); ok {
		for _, s := range sites {
			if home, ok := d.siteDomain[s]; ok {
				domain = home
				break
			}
		}
	}
	return domain, d.regions[domain]
}

// Answer returns up to [MaxInstances] live entry instances that are not
// leaving. Instances of the chosen domain come first, then those of the
// caller's preferred domain, of its region, and of its other preferred sites.
// Only if there are none, instances of the answering instance's domain are
// returned.
func (d *Directory) Answer(q Query, choose Choose) Answer {
	home, source := d.Source(q.Addr)
	a := Answer{TTL: d.cfg.TTL, Source: source, Key: BlockKey(q.Addr)}
	if domain, ok := choose(source, a.Key); ok {
		a.Domain = domain
		d.addDomain(&a, q, domain)
	}
	d.addDomain(&a, q, home)
	for _, near := range d.domainsByRegion[source] {
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
		d.addDomain(a, q, d.siteDomain[s])
	}
}

// ranked is a candidate with its sort keys.
type ranked struct {
	candidate *Candidate
	owns      bool
	score     float64
}

// before reports whether a is ordered before b: owners of the service first,
// then by ascending score.
func (a ranked) before(b ranked) bool {
	if a.owns != b.owns {
		return a.owns
	}
	return a.score < b.score
}

// addDomain appends the best instances of one domain that the answer does not
// list yet: owners of the service first, then by weighted rendezvous hashing of
// the caller address and the reshuffle interval.
func (d *Directory) addDomain(a *Answer, q Query, domain keel.DomainName) {
	var best [MaxInstances]ranked
	n, open := 0, MaxInstances-len(a.Instances)
	if open <= 0 {
		return
	}
	seed := d.seed(q)
	for _, c := range d.byDomain[domain] {
		if a.contains(c.Instance.Name) {
			continue
		}
		r := ranked{c, slices.Contains(c.Owns, q.Service), score(c, seed)}
		n = insertRanked(best[:open], n, r)
	}
	for _, r := range best[:n] {
		a.Instances = append(a.Instances, r.candidate.Instance)
	}
}

// insertRanked inserts r in order into the first n elements of best and returns
// their new number. The last element is dropped if best is full.
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

func (a *Answer) contains(name keel.InstanceName) bool {
	return slices.ContainsFunc(a.Instances, func(in keel.Instance) bool { return in.Name == name })
}

// minFreeFraction is the smallest free fraction assumed of an instance, so that
// an instance reported as full still gets some callers: its report may be out
// of date.
const minFreeFraction = 0.05

// seed returns a hash seed that is constant for a caller and Random within a
// reshuffle interval.
func (d *Directory) seed(q Query) uint64 {
	slot := uint64(q.Now.UnixNano() / int64(d.cfg.ReshuffleInterval))
	return hashUint64(addrHash(q.Addr)^slot) ^ q.Random
}

// score returns an exponentially distributed value whose rate is the free
// capacity of the instance, so that an instance has the smallest score with a
// probability proportional to its free capacity.
func score(c *Candidate, seed uint64) float64 {
	free := max(c.Capacity, 1) * max(1-c.Utilisation, minFreeFraction)
	h := xxh3.HashStringSeed(string(c.Instance.Name), seed)
	u := (float64(h>>11) + 1) / (1 << 53)
	return -math.Log(u) / free
}

// BlockKey returns a hash of the IPv4 /24 or IPv6 /48 of an address. It is the
// same at every instance.
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
	return hashUint64(addrHash(p.Addr()))
}

func addrHash(addr netip.Addr) uint64 {
	b := addr.As16()
	return xxh3.Hash(b[:])
}

func hashUint64(x uint64) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], x)
	return xxh3.Hash(b[:])
}
