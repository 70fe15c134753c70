package keelworld

import (
	"maps"
	"slices"
	"strings"

	keel "github.com/greengagekeel/greengagekeel"
)

// View is the state as of one log entry, for look-ups on the request path. It must
// not be modified.
type View struct {
	// Index is the index of the log entry.
	Index uint64
	// Configured is whether any configuration has been applied.
	Configured bool
	Limits     Limits
	Services   map[keel.ServiceName]*Service
	// Endpoints holds the serving and draining endpoints by service, ordered by
	// id.
	Endpoints map[keel.ServiceName][]Endpoint
	// Drained holds the drained failure domains.
	Drained map[keel.DomainName]bool
	// DrainEndedAt is the index of the last order to end the drain of a failure domain, for
	// each that was drained before and is not now. A drain that began and ended between two
	// views shows by a higher index.
	DrainEndedAt map[keel.DomainName]uint64
	// Nodes holds the entry instances that take callers, ordered by name.
	Nodes []Node
	// Suspects holds the requests that crash endpoints.
	Suspects Suspects
	// RateLimits holds the limits of the endpoints that named one.
	RateLimits RateLimits
	// routes holds the routes by host, the longest prefix first.
	routes map[string][]namedRoute
}

type namedRoute struct {
	name  string
	route *Route
}

// View returns a view of the current state.
func (s *State) View() *View {
	v := &View{
		Index:        s.index,
		Services:     map[keel.ServiceName]*Service{},
		Endpoints:    map[keel.ServiceName][]Endpoint{},
		Drained:      maps.Clone(s.drains),
		DrainEndedAt: map[keel.DomainName]uint64{},
		Suspects:     s.suspects,
		RateLimits:   s.rateLimits,
		routes:       map[string][]namedRoute{},
	}
	for d, index := range s.drainOrderedAt {
		if !s.drains[d] {
			v.DrainEndedAt[d] = index
		}
	}
	for k, it := range s.items {
		v.Configured = true
		switch {
		case it.Removed:
		case it.Route != nil:
			v.routes[it.Route.Host] = append(v.routes[it.Route.Host], namedRoute{k.Name, it.Route})
		case it.Service != nil:
			v.Services[keel.ServiceName(k.Name)] = it.Service
		case it.Limits != nil:
			v.Limits = *it.Limits
		}
	}
	for _, rs := range v.routes {
		slices.SortFunc(rs, func(a, b namedRoute) int { return len(b.route.Prefix) - len(a.route.Prefix) })
	}
	v.addEndpoints(s.endpoints)
	for _, n := range s.nodes {
		if n.Up {
			v.Nodes = append(v.Nodes, n)
		}
	}
	slices.SortFunc(v.Nodes, func(a, b Node) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return v
}

// addEndpoints adds the serving and draining endpoints. Of several endpoints with
// one address, only the one that started last can still be there. The others are
// left out even if that one is silent.
func (v *View) addEndpoints(all map[string]Endpoint) {
	latest := map[string]Endpoint{}
	for _, e := range all {
		address := e.Address.String()
		if o, ok := latest[address]; !ok || e.Incarnation > o.Incarnation || e.Incarnation == o.Incarnation && e.ID > o.ID {
			latest[address] = e
		}
	}
	for _, e := range latest {
		if e.State != EndpointServing && e.State != EndpointDraining {
			continue
		}
		v.Endpoints[e.Service] = append(v.Endpoints[e.Service], e)
	}
	for _, es := range v.Endpoints {
		slices.SortFunc(es, func(a, b Endpoint) int { return strings.Compare(a.ID, b.ID) })
	}
}

// Endpoint returns a serving or draining endpoint of a service by its id.
func (v *View) Endpoint(service keel.ServiceName, id string) (*Endpoint, bool) {
	for i := range v.Endpoints[service] {
		if e := &v.Endpoints[service][i]; e.ID == id {
			return e, true
		}
	}
	return nil, false
}

// Route returns the route of a request and its name: the one of the host with the
// longest matching path prefix. It returns nil if there is none.
func (v *View) Route(host, path string) (name string, r *Route) {
	for _, n := range v.routes[hostOnly(host)] {
		if strings.HasPrefix(path, n.route.Prefix) {
			return n.name, n.route
		}
	}
	return "", nil
}

// hostOnly returns a host in lower case and without its port.
func hostOnly(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
