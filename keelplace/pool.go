package keelplace

import (
	"slices"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelworld"
)

// Location is the failure domain and the region of an endpoint or an instance.
type Location struct {
	Domain keel.DomainName
	Region keel.RegionName
}

// Config configures a [Pool].
type Config struct {
	// Self and Location are the name and the location of this instance.
	Self     keel.InstanceName
	Location Location
	// MaxShift is the cap on shift: the fraction of a region's requests that may
	// move to another region within 2 s.
	MaxShift float64
	// Region returns the region of a failure domain.
	Region func(keel.DomainName) keel.RegionName
}

// Pool holds what one entry instance has observed of the endpoints of one
// service. It is not safe for concurrent use.
type Pool struct {
	cfg       Config
	service   keel.ServiceName
	endpoints map[string]*endpoint
	// serving holds the endpoints that take new requests, in the order of their ids.
	serving  []*endpoint
	capacity capacity
	// nodes holds the entry instances that send requests to endpoints.
	nodes []keelworld.Node
	// nodesVersion counts the changes of nodes.
	nodesVersion int
	// unconfirmed is whether the view was not confirmed recently to be current.
	unconfirmed bool
	budget      budget
	spec        keelworld.Service
	regionShare regionShare
	limit       concurrencyLimit
	inFlight    int
	refusals    int
	// shedRate is the moving average of requests that endpoints with free slots shed, from
	// 0 to 1.
	shedRate float64
	// processing holds the processing times by route.
	processing map[string]*processingTimes
}

// endpoint holds the announcement of one endpoint and what was observed of it.
type endpoint struct {
	keelworld.Endpoint
	region   keel.RegionName
	inFlight int
	// started holds the times at which the requests in flight were sent, the
	// oldest first.
	started []time.Time
	// answeredAt is when the last answer was received.
	answeredAt time.Time
	// otherLoad is the load of other instances by the last report, which was
	// received at reportedAt, and meanLoad its mean.
	otherLoad  float64
	reportedAt time.Time
	meanLoad   average
	// slowdown is the moving average, as of slowdownAt, of how many times longer
	// than expected requests took.
	slowdown   float64
	slowdownAt time.Time
	// failureRate is the moving average of failed requests as of failureRateAt,
	// from 0 to 1.
	failureRate   float64
	failureRateAt time.Time
	// ejectedUntil is when requests may be sent again after an ejection.
	ejectedUntil time.Time
	failures     int
	// suspected is whether the endpoint was ejected and has not answered since. It
	// then gets one request at a time.
	suspected bool
	// setAsideUntil is until when the endpoint is used only if there is no healthy one, since
	// it shed requests with free slots, and sheds the number of those since it answered.
	setAsideUntil time.Time
	sheds         int
	// coldUntil is until when it said that it is cold, and assumedColdUntil until when that is
	// assumed, since it was unreachable and may have restarted.
	coldUntil, assumedColdUntil time.Time
	// pausedUntil is until when the endpoint wants no requests from this instance, and
	// leavingSince since when none at all; zero if it did not say so.
	pausedUntil, leavingSince time.Time
	pace                      coldPace
	rateLimit                 rateLimit
	unconfirmed               unconfirmedShare
	// sentAt holds when requests were sent within the last [unconfirmedWindow] or so, the
	// oldest first.
	sentAt []time.Time
	// cached holds the objects for which the endpoint answered a request of this
	// instance, timedOut those for which a request has timed out there since.
	cached, timedOut objectSet
}

// capacity counts the serving endpoints' slots and the entry instances of a view.
type capacity struct {
	// localSlots and totalSlots are the slots of the endpoints in this region and in
	// all regions.
	localSlots, totalSlots int
	// regions is the number of regions with entry instances, instances the number
	// of entry instances, and regionInstances the number of those in this region.
	regions, instances, regionInstances int
	// domains is the number of failure domains with entry instances, and
	// domainInstances the number of entry instances in this one.
	domains, domainInstances int
}

func (p *Pool) countCapacity() capacity {
	r := capacity{instances: max(len(p.nodes), 1)}
	for _, e := range p.serving {
		r.totalSlots += e.Slots
		if e.region == p.cfg.Location.Region {
			r.localSlots += e.Slots
		}
	}
	regions := map[keel.RegionName]bool{p.cfg.Location.Region: true}
	domains := map[keel.DomainName]bool{p.cfg.Location.Domain: true}
	for i := range p.nodes {
		n := &p.nodes[i]
		regions[n.Region], domains[n.Domain] = true, true
		if n.Region == p.cfg.Location.Region {
			r.regionInstances++
		}
		if n.Domain == p.cfg.Location.Domain {
			r.domainInstances++
		}
	}
	r.regions, r.domains = len(regions), len(domains)
	r.regionInstances, r.domainInstances = max(r.regionInstances, 1), max(r.domainInstances, 1)
	return r
}

// processingTimes holds the mean processing times of a route in nanoseconds: where
// the object is cached, where it is not, and over all requests.
type processingTimes struct{ cached, uncached, overall average }

// NewPool returns a pool without endpoints.
func NewPool(cfg Config, service keel.ServiceName) *Pool {
	return &Pool{cfg: cfg, service: service, endpoints: map[string]*endpoint{}, processing: map[string]*processingTimes{}}
}

// Update replaces the endpoints and instances by those of a newer view. A newly
// announced cold time counts from now. The endpoints of the failure domains in
// undrained, whose drain has just ended, count as cold.
func (p *Pool) Update(now time.Time, v *keelworld.View, undrained map[keel.DomainName]bool) {
	if s := v.Services[p.service]; s != nil {
		p.spec = *s
	}
	nodes := Reaching(v.Nodes)
	if !slices.Equal(p.nodes, nodes) || p.nodesVersion == 0 {
		p.nodesVersion++
	}
	p.nodes = nodes
	announced := v.Endpoints[p.service]
	seen := make(map[string]bool, len(announced))
	p.serving = p.serving[:0]
	for i := range announced {
		a := &announced[i]
		seen[a.ID] = true
		e := p.updateEndpoint(now, a)
		p.followLimit(now, e, v)
		if undrained[a.Domain] {
			// The domain was drained until now, so its endpoints may have become cold.
			e.markCold(now, p.spec.ColdTime)
		}
		if a.State == keelworld.EndpointServing && !v.Drained[a.Domain] && !e.leaving() {
			p.serving = append(p.serving, e)
		}
	}
	p.capacity = p.countCapacity()
	for id, e := range p.endpoints {
		if !seen[id] && e.inFlight == 0 && !e.noticed(now) {
			delete(p.endpoints, id)
		}
	}
}

// updateEndpoint records an announced endpoint and returns it. Observations of an
// earlier incarnation or address are dropped.
func (p *Pool) updateEndpoint(now time.Time, a *keelworld.Endpoint) *endpoint {
	e := p.endpoints[a.ID]
	if e == nil || e.Incarnation != a.Incarnation || e.Address != a.Address {
		fresh := &endpoint{region: p.cfg.Region(a.Domain), slowdown: 1}
		if e != nil && e.Incarnation == a.Incarnation {
			fresh.pausedUntil, fresh.leavingSince, fresh.rateLimit = e.pausedUntil, e.leavingSince, e.rateLimit
		}
		e = fresh
		p.endpoints[a.ID] = e
	}
	if e.Sequence != a.Sequence || e.Incarnation != a.Incarnation {
		e.coldUntil, e.assumedColdUntil = now.Add(a.Cold), time.Time{}
	}
	e.Endpoint = *a
	return e
}

func (e *endpoint) isCold(now time.Time) bool {
	return now.Before(e.coldUntil) || now.Before(e.assumedColdUntil)
}

// markCold makes an endpoint count as cold for at least d.
func (e *endpoint) markCold(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(e.coldUntil) {
		e.coldUntil = until
	}
}

// average is an exponential moving average. The first values are weighted equally.
type average struct {
	value float64
	n     int
}

const (
	// averageWeight is the weight of a new value. With 0.2, about the last ten
	// values count.
	averageWeight = 0.2
)

func (a *average) add(x float64) {
	a.n++
	a.value += (x - a.value) * max(averageWeight, 1/float64(a.n))
}

// valueOr returns the average, or x if there are no values.
func (a *average) valueOr(x float64) float64 {
	if a.n == 0 {
		return x
	}
	return a.value
}
