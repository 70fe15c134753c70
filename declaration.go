package keel

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Declarations is everything that operators declare. Lists are sorted by name, so
// that two equal sets encode to the same bytes.
type Declarations struct {
	Regions   []Region             `json:"regions,omitempty" cbor:"1,keyasint,omitempty"`
	Domains   []FailureDomain      `json:"domains,omitempty" cbor:"2,keyasint,omitempty"`
	Sites     []Site               `json:"sites,omitempty" cbor:"3,keyasint,omitempty"`
	Links     []Link               `json:"links,omitempty" cbor:"4,keyasint,omitempty"`
	Services  []Service            `json:"services,omitempty" cbor:"5,keyasint,omitempty"`
	Selectors []Selector           `json:"selectors,omitempty" cbor:"6,keyasint,omitempty"`
	Labels    []LabelRule          `json:"labels,omitempty" cbor:"7,keyasint,omitempty"`
	Blocks    []ClientBlock        `json:"blocks,omitempty" cbor:"8,keyasint,omitempty"`
	Instances []RegisteredInstance `json:"instances,omitempty" cbor:"9,keyasint,omitempty"`
}

// Region is a group of failure domains with low network latency between them.
type Region struct {
	Name RegionName `json:"name" cbor:"1,keyasint"`
}

// FailureDomain is a set of instances and endpoints that can become unreachable
// together.
type FailureDomain struct {
	Name   DomainName `json:"name" cbor:"1,keyasint"`
	Region RegionName `json:"region" cbor:"2,keyasint"`
}

// Site is a location of endpoints inside a failure domain. Client blocks refer to
// sites by name.
type Site struct {
	Name   SiteName   `json:"name" cbor:"1,keyasint"`
	Domain DomainName `json:"domain" cbor:"2,keyasint"`
}

// Link is the network connection from one region to another, in one direction.
type Link struct {
	From RegionName `json:"from" cbor:"1,keyasint"`
	To   RegionName `json:"to" cbor:"2,keyasint"`
	// MegabitsPerSecond is the capacity of the link for all traffic.
	MegabitsPerSecond float64 `json:"megabits_per_second" cbor:"3,keyasint"`
	// RoundTrip is the round-trip time of the idle link.
	RoundTrip Duration `json:"round_trip" cbor:"4,keyasint"`
	// ReservePercent is the share of the capacity reserved for control traffic.
	ReservePercent float64 `json:"reserve_percent,omitempty" cbor:"5,keyasint,omitempty"`
}

// Name returns the name of the link, such as "dakar/thies".
func (l Link) Name() string { return string(l.From) + "/" + string(l.To) }

// Service is a type of work that a group of endpoints serves.
type Service struct {
	Name ServiceName `json:"name" cbor:"1,keyasint"`
	// AnnounceFrom lists the address prefixes of the service's endpoints. An
	// announcement of an address outside them is refused.
	AnnounceFrom []netip.Prefix `json:"announce_from" cbor:"2,keyasint"`
}

// Selector assigns requests of a service to the endpoints with certain labels,
// and sets the class and the limits of those requests.
type Selector struct {
	Name    SelectorName `json:"name" cbor:"1,keyasint"`
	Service ServiceName  `json:"service" cbor:"2,keyasint"`
	// Methods lists the HTTP methods that the selector matches; empty means all.
	Methods []string `json:"methods,omitempty" cbor:"3,keyasint,omitempty"`
	// PathPrefix is the prefix of the paths that the selector matches. Of several
	// selectors that match a request, the one with the longest prefix wins,
	// then the one with methods, then the first by name.
	PathPrefix string `json:"path_prefix,omitempty" cbor:"4,keyasint,omitempty"`
	// Endpoints holds the labels that an endpoint must have.
	Endpoints Labels `json:"endpoints,omitempty" cbor:"5,keyasint,omitempty"`
	Class     Class  `json:"class" cbor:"6,keyasint"`
	// Cap limits how fast the traffic may shift to other failure domains.
	Cap ShiftCap `json:"cap" cbor:"7,keyasint"`
	// LinkSharePercent is the share of each link's capacity, without its
	// reserve for control traffic, that the selector's traffic may use; 0 means
	// no limit.
	LinkSharePercent float64 `json:"link_share_percent,omitempty" cbor:"8,keyasint,omitempty"`
	// Deadline is the time limit of requests that set none.
	Deadline Duration `json:"deadline" cbor:"9,keyasint"`
	// Weights are the desired traffic shares of the failure domains, relative
	// to each other. If empty, shares follow from distance and free capacity.
	Weights []DomainWeight `json:"weights,omitempty" cbor:"10,keyasint,omitempty"`
}

// AtMostOnce reports whether the selector's requests must carry an idempotency
// key.
func (s *Selector) AtMostOnce() bool { return s.Class == ClassAtMostOnce }

// Takes reports whether the selector matches a request.
func (s *Selector) Takes(service ServiceName, method, path string) bool {
	if s.Service != service || !strings.HasPrefix(path, s.PathPrefix) {
		return false
	}
	return len(s.Methods) == 0 || slices.Contains(s.Methods, method)
}

// ShiftCap limits how fast traffic shifts: of the traffic of one source region,
// at most Percent changes its destination failure domain within any Window.
type ShiftCap struct {
	Percent float64  `json:"percent" cbor:"1,keyasint"`
	Window  Duration `json:"window" cbor:"2,keyasint"`
}

// DomainWeight is the relative traffic share of one failure domain.
type DomainWeight struct {
	Domain DomainName `json:"domain" cbor:"1,keyasint"`
	Weight float64    `json:"weight" cbor:"2,keyasint"`
}

// LabelTarget is the kind of object that a label rule applies to.
type LabelTarget string

// Targets of label rules.
const (
	TargetEndpoint LabelTarget = "endpoint"
	TargetDomain   LabelTarget = "domain"
	TargetInstance LabelTarget = "instance"
	TargetService  LabelTarget = "service"
)

// LabelRule sets labels on objects. They override the labels that the objects
// announce.
type LabelRule struct {
	// Name identifies the rule. Rules are applied in the order of their names.
	Name   string      `json:"name" cbor:"1,keyasint"`
	Target LabelTarget `json:"target" cbor:"2,keyasint"`
	// Names lists the objects by name; empty means all that have the labels of
	// Match.
	Names []string `json:"names,omitempty" cbor:"3,keyasint,omitempty"`
	// Match holds labels that an object must already have.
	Match Labels `json:"match,omitempty" cbor:"4,keyasint,omitempty"`
	Set   Labels `json:"set" cbor:"5,keyasint"`
}

// ClientBlock maps a block of caller addresses to its preferred sites.
type ClientBlock struct {
	Prefix netip.Prefix `json:"prefix" cbor:"1,keyasint"`
	// Sites lists the preferred sites, the best one first.
	Sites []SiteName `json:"sites" cbor:"2,keyasint"`
}

// RegisteredInstance declares an instance. The capacity of links and the slots of
// endpoints are divided among the registered instances, whether they are alive
// or not.
type RegisteredInstance struct {
	Name   InstanceName `json:"name" cbor:"1,keyasint"`
	Domain DomainName   `json:"domain" cbor:"2,keyasint"`
	// NoClaims excludes the instance from holding claims of its failure domain.
	// The majority that a claim needs is counted over the remaining instances.
	// Three or five holders are enough for a domain of any size.
	NoClaims bool `json:"no_claims,omitempty" cbor:"3,keyasint,omitempty"`
}

// Limits on declared values.
const (
	maxPercent      = 100
	minCapWindow    = Duration(time.Second)
	maxCapWindow    = Duration(24 * time.Hour)
	maxDeadline     = Duration(time.Hour)
	maxBlockSites   = 8
	maxPathBytes    = 1024
	maxLinkMegabits = 10_000_000
)

// Check reports every fault of the declarations, including duplicate names and
// references to names that are not declared.
func (d *Declarations) Check() Faults {
	c := declarationChecker{decl: d}
	c.checkTopology()
	c.checkTraffic()
	return c.faults
}

// Sort sorts every list by name.
func (d *Declarations) Sort() {
	sortBy(d.Regions, func(v Region) string { return string(v.Name) })
	sortBy(d.Domains, func(v FailureDomain) string { return string(v.Name) })
	sortBy(d.Sites, func(v Site) string { return string(v.Name) })
	sortBy(d.Links, Link.Name)
	sortBy(d.Services, func(v Service) string { return string(v.Name) })
	sortBy(d.Selectors, func(v Selector) string { return string(v.Name) })
	sortBy(d.Labels, func(v LabelRule) string { return v.Name })
	slices.SortFunc(d.Blocks, func(a, b ClientBlock) int { return a.Prefix.Compare(b.Prefix) })
	sortBy(d.Instances, func(v RegisteredInstance) string { return string(v.Name) })
}

func sortBy[T any](list []T, name func(T) string) {
	slices.SortFunc(list, func(a, b T) int { return strings.Compare(name(a), name(b)) })
}

// declarationChecker collects the faults of one set of declarations.
type declarationChecker struct {
	decl     *Declarations
	faults   Faults
	regions  map[RegionName]bool
	domains  map[DomainName]bool
	sites    map[SiteName]bool
	services map[ServiceName]bool
}

func (c *declarationChecker) checkTopology() {
	c.regions = collectNames(&c.faults, "regions", c.decl.Regions, func(v Region) RegionName { return v.Name })
	c.domains = collectNames(&c.faults, "domains", c.decl.Domains, func(v FailureDomain) DomainName { return v.Name })
	c.sites = collectNames(&c.faults, "sites", c.decl.Sites, func(v Site) SiteName { return v.Name })
	collectNames(&c.faults, "instances", c.decl.Instances, func(v RegisteredInstance) InstanceName { return v.Name })
	for i, v := range c.decl.Domains {
		checkRef(&c.faults, elementPath("domains", i, "region"), v.Region, c.regions)
	}
	for i, v := range c.decl.Sites {
		checkRef(&c.faults, elementPath("sites", i, "domain"), v.Domain, c.domains)
	}
	for i, v := range c.decl.Instances {
		checkRef(&c.faults, elementPath("instances", i, "domain"), v.Domain, c.domains)
	}
	c.checkLinks()
}

func (c *declarationChecker) checkLinks() {
	seen := map[string]bool{}
	for i, v := range c.decl.Links {
		at := elementPath("links", i, "")
		if seen[v.Name()] {
			c.faults.Add(at, "link %q is declared twice", v.Name())
		}
		seen[v.Name()] = true
		checkRef(&c.faults, joinPath(at, "from"), v.From, c.regions)
		checkRef(&c.faults, joinPath(at, "to"), v.To, c.regions)
		c.checkRange(joinPath(at, "megabits_per_second"), v.MegabitsPerSecond, maxLinkMegabits)
		c.checkRange(joinPath(at, "reserve_percent"), v.ReservePercent, maxPercent)
		if v.RoundTrip < 0 {
			c.faults.Add(joinPath(at, "round_trip"), "is %s, must not be negative", v.RoundTrip)
		}
	}
}

func (c *declarationChecker) checkTraffic() {
	c.services = collectNames(&c.faults, "services", c.decl.Services, func(v Service) ServiceName { return v.Name })
	collectNames(&c.faults, "selectors", c.decl.Selectors, func(v Selector) SelectorName { return v.Name })
	collectNames(&c.faults, "labels", c.decl.Labels, func(v LabelRule) string { return v.Name })
	for i, v := range c.decl.Services {
		c.checkService(elementPath("services", i, ""), v)
	}
	for i := range c.decl.Selectors {
		c.checkSelector(elementPath("selectors", i, ""), &c.decl.Selectors[i])
	}
	for i, v := range c.decl.Labels {
		c.faults.Under(elementPath("labels", i, ""), v.Check())
	}
	c.checkBlocks()
}

func (c *declarationChecker) checkService(at string, v Service) {
	if len(v.AnnounceFrom) == 0 {
		c.faults.Add(joinPath(at, "announce_from"), "must name at least one prefix")
	}
	for i, p := range v.AnnounceFrom {
		if !p.IsValid() {
			c.faults.Add(joinPath(at, elementPath("announce_from", i, "")), "is not a prefix")
		}
	}
}

func (c *declarationChecker) checkSelector(at string, v *Selector) {
	checkRef(&c.faults, joinPath(at, "service"), v.Service, c.services)
	c.faults.Under(at, v.Check())
	for i, w := range v.Weights {
		checkRef(&c.faults, joinPath(at, elementPath("weights", i, "domain")), w.Domain, c.domains)
	}
}

func (c *declarationChecker) checkBlocks() {
	seen := make(map[netip.Prefix]bool, len(c.decl.Blocks))
	for i, v := range c.decl.Blocks {
		at := elementPath("blocks", i, "")
		c.faults.Under(at, v.Check())
		if seen[v.Prefix] {
			c.faults.Add(joinPath(at, "prefix"), "block %s is declared twice", v.Prefix)
		}
		seen[v.Prefix] = true
		for j, s := range v.Sites {
			checkRef(&c.faults, joinPath(at, elementPath("sites", j, "")), s, c.sites)
		}
	}
}

func (c *declarationChecker) checkRange(field string, v, limit float64) {
	c.faults = append(c.faults, checkRange(field, v, limit)...)
}

// checkRange reports a value outside 0 to limit, or NaN.
func checkRange(field string, v, limit float64) Faults {
	var fs Faults
	if !(v >= 0 && v <= limit) {
		fs.Add(field, "is %v, must lie between 0 and %v", v, limit)
	}
	return fs
}

// Check reports the faults of the selector itself. [Declarations.Check] checks the
// names that it refers to.
func (s *Selector) Check() Faults {
	fs := CheckName("name", s.Name)
	fs = append(fs, CheckName("service", s.Service)...)
	fs = append(fs, checkRange("cap.percent", s.Cap.Percent, maxPercent)...)
	fs = append(fs, checkRange("link_share_percent", s.LinkSharePercent, maxPercent)...)
	fs.Under("endpoints", s.Endpoints.Check())
	if s.Cap.Window < minCapWindow || s.Cap.Window > maxCapWindow {
		fs.Add("cap.window", "is %s, must lie between %s and %s", s.Cap.Window, minCapWindow, maxCapWindow)
	}
	if s.Deadline <= 0 || s.Deadline > maxDeadline {
		fs.Add("deadline", "is %s, must lie between 0s and %s", s.Deadline, maxDeadline)
	}
	if !slices.Contains(Classes(), s.Class) {
		fs.Add("class", "is %q, must be one of %q", s.Class, Classes())
	}
	if s.PathPrefix != "" && !strings.HasPrefix(s.PathPrefix, "/") || len(s.PathPrefix) > maxPathBytes {
		fs.Add("path_prefix", "must start with / and have at most %d bytes", maxPathBytes)
	}
	for i, w := range s.Weights {
		if !(w.Weight >= 0) {
			fs.Add(elementPath("weights", i, "weight"), "is %v, must not be negative", w.Weight)
		}
	}
	return fs
}

// Check reports the faults of the rule.
func (r LabelRule) Check() Faults {
	fs := CheckName("name", r.Name)
	targets := []LabelTarget{TargetEndpoint, TargetDomain, TargetInstance, TargetService}
	if !slices.Contains(targets, r.Target) {
		fs.Add("target", "is %q, must be one of %q", r.Target, targets)
	}
	if len(r.Names) == 0 && len(r.Match) == 0 {
		fs.Add("names", "must name something, unless match is given")
	}
	if len(r.Set) == 0 {
		fs.Add("set", "must set at least one label")
	}
	fs.Under("match", r.Match.Check())
	fs.Under("set", r.Set.Check())
	return fs
}

// Apply returns base overridden by the labels of r if r applies to the object of
// that target and name, otherwise base.
func (r LabelRule) Apply(target LabelTarget, name string, base Labels) Labels {
	if r.Target != target || !base.Matches(r.Match) {
		return base
	}
	if len(r.Names) > 0 && !slices.Contains(r.Names, name) {
		return base
	}
	return r.Set.Over(base)
}

// LabelsOf returns the effective labels of an object: those that it announced,
// overridden by every label rule that applies to it.
func (d *Declarations) LabelsOf(target LabelTarget, name string, announced Labels) Labels {
	for _, rule := range d.Labels {
		announced = rule.Apply(target, name, announced)
	}
	return announced
}

// Check reports the faults of the block.
func (b ClientBlock) Check() Faults {
	var fs Faults
	if !b.Prefix.IsValid() || b.Prefix != b.Prefix.Masked() {
		fs.Add("prefix", "is %s, must be a prefix without host bits", b.Prefix)
	}
	if len(b.Sites) == 0 || len(b.Sites) > maxBlockSites {
		fs.Add("sites", "has %d sites, must have 1 to %d", len(b.Sites), maxBlockSites)
	}
	return fs
}

// collectNames checks the names of a list and returns the set of them. It adds
// faults for invalid and duplicate names to fs.
func collectNames[T any, N ~string](fs *Faults, list string, values []T, name func(T) N) map[N]bool {
	seen := make(map[N]bool, len(values))
	for i, v := range values {
		at := elementPath(list, i, "name")
		*fs = append(*fs, CheckName(at, name(v))...)
		if seen[name(v)] {
			fs.Add(at, "%q is declared twice", name(v))
		}
		seen[name(v)] = true
	}
	return seen
}

func checkRef[N ~string](fs *Faults, field string, name N, known map[N]bool) {
	if !known[name] {
		fs.Add(field, "%q is not declared", name)
	}
}

// elementPath returns the field path of a list element, or of one of its fields.
func elementPath(list string, i int, field string) string {
	return joinPath(list+"["+strconv.Itoa(i)+"]", field)
}
