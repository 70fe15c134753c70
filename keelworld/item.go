package keelworld

import (
	"bytes"
	"reflect"
	"slices"
	"strings"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// Version is the version of one item. Versions of different items are independent.
type Version uint32

// ItemKind says what an item declares.
type ItemKind uint8

// Kinds of items.
const (
	ItemRoute   ItemKind = 1
	ItemService ItemKind = 2
	ItemLimits  ItemKind = 3
)

// ItemKey identifies an item.
type ItemKey struct {
	Kind ItemKind `cbor:"1,keyasint"`
	Name string   `cbor:"2,keyasint"`
}

// Item is one versioned part of the configuration. The highest version of an item
// is in force, whether it sets or removes the item.
type Item struct {
	ItemKey
	Version Version  `cbor:"3,keyasint"`
	Removed bool     `cbor:"4,keyasint,omitempty"`
	Route   *Route   `cbor:"5,keyasint,omitempty"`
	Service *Service `cbor:"6,keyasint,omitempty"`
	Limits  *Limits  `cbor:"7,keyasint,omitempty"`
	// Source is the declaration as its author wrote it. It is returned when the
	// configuration is read.
	Source []byte `cbor:"8,keyasint,omitempty"`
}

// Share assigns a weighted share of a route's requests to a service.
type Share struct {
	Service keel.ServiceName `cbor:"1,keyasint"`
	Weight  float64          `cbor:"2,keyasint"`
}

// Route describes how requests for a host and a path prefix are handled.
type Route struct {
	Host   string `cbor:"1,keyasint"`
	Prefix string `cbor:"2,keyasint"`
	// Idempotent is whether a request may run more than once.
	Idempotent bool `cbor:"3,keyasint,omitempty"`
	// Shares divides the requests among services.
	Shares []Share `cbor:"4,keyasint"`
	// Timeout is the longest time that a request may take.
	Timeout time.Duration `cbor:"5,keyasint"`
	// TargetLatency is the time within which a request should be answered; 0 means
	// the time limit.
	TargetLatency time.Duration `cbor:"6,keyasint,omitempty"`
	// Priority is the priority of the requests; 0 is the highest.
	Priority int `cbor:"7,keyasint,omitempty"`
	// Attempts is how many times one request may be sent to endpoints.
	Attempts int `cbor:"8,keyasint"`
	// Affinity is whether requests for one object run faster at an endpoint that
	// has the object cached.
	Affinity bool `cbor:"9,keyasint,omitempty"`
	// HomeRegions holds the regions in which the requests may run; empty means all.
	HomeRegions []keel.RegionName `cbor:"10,keyasint,omitempty"`
}

// Service describes the endpoints of one service.
type Service struct {
	// HealthPath is the path of an endpoint's health check.
	HealthPath string `cbor:"1,keyasint,omitempty"`
	// MaxConns limits the connections of all instances to one endpoint.
	MaxConns int `cbor:"2,keyasint,omitempty"`
	// ColdTime is how long an endpoint is cold after its start.
	ColdTime time.Duration `cbor:"3,keyasint,omitempty"`
	// ColdRate is the rate limit of a cold endpoint, in requests per second.
	ColdRate float64 `cbor:"4,keyasint,omitempty"`
}

// Limits limits the size and the timing of what a caller sends.
type Limits struct {
	HeaderBytes int `cbor:"1,keyasint,omitempty"`
	// BodyBytes is the highest Content-Length of a request; 0 means no limit.
	BodyBytes     int64         `cbor:"2,keyasint,omitempty"`
	HeaderTimeout time.Duration `cbor:"3,keyasint,omitempty"`
	IdleTimeout   time.Duration `cbor:"4,keyasint,omitempty"`
}

// maxRouteTimeout is the highest time limit of a route.
const maxRouteTimeout = 10 * time.Minute

const maxItemNameBytes = 256

// Check reports all faults that can be found without other items.
func (it *Item) Check() keel.Faults {
	var fs keel.Faults
	if it.Kind < ItemRoute || it.Kind > ItemLimits {
		fs.Add("kind", "is %d, must be %d to %d", it.Kind, ItemRoute, ItemLimits)
	}
	if len(it.Name) > maxItemNameBytes || it.Name == "" && it.Kind != ItemLimits {
		fs.Add("name", "has %d bytes, must have 1 to %d", len(it.Name), maxItemNameBytes)
	}
	if it.Removed {
		return fs
	}
	switch {
	case it.Kind == ItemRoute && it.Route != nil:
		fs.Under(it.Name, it.Route.Check())
	case it.Kind == ItemService && it.Service != nil, it.Kind == ItemLimits && it.Limits != nil:
	default:
		fs.Add(it.Name, "has no content")
	}
	return fs
}

// Check reports all faults of the route except unknown services.
func (r *Route) Check() keel.Faults {
	var fs keel.Faults
	if r.Host == "" {
		fs.Add("host", "must not be empty")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		fs.Add("prefix", "is %q, must begin and end with a slash", r.Prefix)
	}
	if r.Timeout <= 0 || r.Timeout > maxRouteTimeout {
		fs.Add("timeout", "is %s, must be more than 0 and at most %s", r.Timeout, maxRouteTimeout)
	}
	if r.Attempts < 1 {
		fs.Add("attempts", "is %d, must be at least 1", r.Attempts)
	}
	var sum float64
	for _, s := range r.Shares {
		if s.Weight < 0 {
			fs.Add("shares", "has the weight %g for service %q, must not be negative", s.Weight, s.Service)
		}
		sum += s.Weight
	}
	if len(r.Shares) == 0 {
		fs.Add("shares", "must name a service")
	}
	if sum <= 0 && len(r.Shares) > 0 {
		fs.Add("shares", "have no weight above 0")
	}
	return fs
}

// sameContent reports whether two items of one key have the same content,
// whatever their versions.
func (it *Item) sameContent(o *Item) bool {
	if it.Removed != o.Removed {
		return false
	}
	return bytes.Equal(it.Source, o.Source) || (reflect.DeepEqual(it.Route, o.Route) &&
		reflect.DeepEqual(it.Service, o.Service) && reflect.DeepEqual(it.Limits, o.Limits))
}

// Patch is a set of items that are accepted together or not at all.
type Patch struct {
	Items []Item `cbor:"1,keyasint"`
}

// Check reports all faults of the single items, and items that appear twice with
// the same version and different content.
func (p *Patch) Check() keel.Faults {
	var fs keel.Faults
	seen := map[ItemKey]*Item{}
	for i := range p.Items {
		it := &p.Items[i]
		fs = append(fs, it.Check()...)
		if o := seen[it.ItemKey]; o != nil && o.Version == it.Version && !it.sameContent(o) {
			fs.Add(it.Name, "appears twice with version %d and different content", it.Version)
		}
		seen[it.ItemKey] = it
	}
	return fs
}

// routeMatch is the host and path prefix that a route matches.
type routeMatch struct{ host, prefix string }

// checkConsistency reports references to unknown services and routes that match the
// same requests.
func checkConsistency(items map[ItemKey]Item) keel.Faults {
	var fs keel.Faults
	names := map[routeMatch]string{}
	keys := make([]ItemKey, 0, len(items))
	for k := range items {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b ItemKey) int { return strings.Compare(a.Name, b.Name) })
	for _, k := range keys {
		it := items[k]
		if it.Removed || it.Route == nil {
			continue
		}
		for _, s := range it.Route.Shares {
			if o, ok := items[ItemKey{ItemService, string(s.Service)}]; !ok || o.Removed {
				fs.Add(k.Name, "names the unknown service %q", s.Service)
			}
		}
		match := routeMatch{it.Route.Host, it.Route.Prefix}
		if other, ok := names[match]; ok {
			fs.Add(k.Name, "has the host %q and prefix %q of route %q", match.host, match.prefix, other)
		}
		names[match] = k.Name
	}
	return fs
}
