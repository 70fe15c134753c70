package keelplace

import (
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelworld"
)

// Place is where an endpoint or an instance stands.
type Place struct {
	Domain keel.DomainName
	Region keel.RegionName
}

// Config says where a pool works.
type Config struct {
	Self  keel.InstanceName
	Place Place
	// MaxShift is the part of a region's requests that may change the region in
	// which they run, in a window of 2 s.
	MaxShift float64
	// Region returns the region of a failure domain.
	Region func(keel.DomainName) keel.RegionName
}

// Pool is what one entry instance knows of the endpoints of one service.
type Pool struct {
	cfg       Config
	service   keel.ServiceName
	endpoints map[string]*endpoint
	// order is the endpoints that take work, in the order of their ids.
	order    []*endpoint
	room     room
	nodes    []keelworld.Node
	budget   budget
	spec     keelworld.Service
	local    local
	limit    limit
	inFlight int
	refusals int
	// work is the mean time that requests of each route take.
	work map[string]*workTime
}

// endpoint is what is known of one endpoint.
type endpoint struct {
	keelworld.Endpoint
	region   keel.RegionName
	inFlight int
	// started are the beginnings of the requests in flight, the oldest first.
	started []time.Time
	// answeredAt is when the last answer came.
	answeredAt time.Time
	// others is the load by other instances that the last answer told of, at
	// othersAt, and usual its mean.
	others   float64
	othersAt time.Time
	usual    average
	// slow is how many times longer than usual requests took, as of slowAt.
	slow   float64
	slowAt time.Time
	// failing is the part of the latest requests that failed, from 0 to 1.
	failing   float64
	failingAt time.Time
	// ejectedUntil is when work may be sent again after failures in a row.
	ejectedUntil time.Time
	failures     int
	// doubted says that the endpoint was put out of use and has not answered
	// since, so that it gets one request at a time.
	doubted   bool
	coldUntil time.Time
	pace      pace
	// warm are the objects that the endpoint answered to this instance, missed
	// those whose work was lost there since.
	warm, missed objectSet
}

// room is what the endpoints and instances of a view come to.
type room struct {
	// own and all are the slots of the endpoints in this region and in all.
	own, all int
	// regions is the number of regions with entry instances, senders that of
	// entry instances, and near that of those in this region.
	regions, senders, near int
	// domains is the number of failure domains with entry instances, and beside
	// that of entry instances in this one.
	domains, beside int
}

func (p *Pool) countRoom() room {
	r := room{senders: max(len(p.nodes), 1)}
	for _, e := range p.order {
		r.all += e.Slots
		if e.region == p.cfg.Place.Region {
			r.own += e.Slots
		}
	}
	regions := map[keel.RegionName]bool{p.cfg.Place.Region: true}
	domains := map[keel.DomainName]bool{p.cfg.Place.Domain: true}
	for i := range p.nodes {
		n := &p.nodes[i]
		regions[n.Region], domains[n.Domain] = true, true
		if n.Region == p.cfg.Place.Region {
			r.near++
		}
		if n.Domain == p.cfg.Place.Domain {
			r.beside++
		}
	}
	r.regions, r.domains = len(regions), len(domains)
	r.near, r.beside = max(r.near, 1), max(r.beside, 1)
	return r
}

// workTime is the mean time that requests of a route take: at endpoints that
// know the object, at others, and at all.
type workTime struct{ warm, cold, all average }

// NewPool returns a pool without endpoints.
func NewPool(cfg Config, service keel.ServiceName) *Pool {
	return &Pool{cfg: cfg, service: service, endpoints: map[string]*endpoint{}, work: map[string]*workTime{}}
}

// Update takes the endpoints and instances of a view. An endpoint that is cold
// counts as such from now on.
func (p *Pool) Update(now time.Time, v *keelworld.View, warmed map[keel.DomainName]bool) {
	if s := v.Services[p.service]; s != nil {
		p.spec = *s
	}
	p.nodes = v.Nodes
	listed := v.Endpoints[p.service]
	seen := make(map[string]bool, len(listed))
	p.order = p.order[:0]
	for i := range listed {
		a := &listed[i]
		seen[a.ID] = true
		e := p.take(now, a)
		if warmed[a.Domain] {
			// The domain was drained until now, so that its endpoints may be cold.
			e.chill(now, p.spec.ColdTime)
		}
		if a.State == keelworld.EndpointServing && !v.Drained[a.Domain] {
			p.order = append(p.order, e)
		}
	}
	p.room = p.countRoom()
	for id, e := range p.endpoints {
		if !seen[id] && e.inFlight == 0 {
			delete(p.endpoints, id)
		}
	}
}

// take notes an endpoint as it was announced.
func (p *Pool) take(now time.Time, a *keelworld.Endpoint) *endpoint {
	e := p.endpoints[a.ID]
	if e == nil || e.Born != a.Born || e.Address != a.Address {
		e = &endpoint{region: p.cfg.Region(a.Domain), slow: 1}
		p.endpoints[a.ID] = e
	}
	if e.Sequence != a.Sequence || e.Born != a.Born {
		e.coldUntil = now.Add(a.Cold) // the endpoint knows best
	}
	e.Endpoint = *a
	return e
}

// chill makes an endpoint count as cold for some time.
func (e *endpoint) chill(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(e.coldUntil) {
		e.coldUntil = until
	}
}

// average is a mean in which later values weigh more.
type average struct {
	value float64
	n     int
}

const (
	// averageWeight is the weight of a new value. With it about the last ten
	// values count.
	averageWeight = 0.2
)

func (a *average) add(x float64) {
	a.n++
	a.value += (x - a.value) * max(averageWeight, 1/float64(a.n))
}

func (a *average) or(x float64) float64 {
	if a.n == 0 {
		return x
	}
	return a.value
}
