package keelsteer

import (
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keeladmit"
	"github.com/greengagekeel/greengagekeel/keelendpoint"
	"github.com/greengagekeel/greengagekeel/keelroute"
)

// Dump is the state of an [Engine].
type Dump struct {
	Version   keel.Version         `json:"version"`
	Leaving   bool                 `json:"leaving"`
	View      *View                `json:"view"`
	Endpoints []keelendpoint.Entry `json:"endpoints"`
	// Owners holds the owning instance of each endpoint of the failure domain.
	Owners []keeladmit.Ownership `json:"owners"`
	Pools  []PoolDump            `json:"pools"`
	Shares []ShareDump           `json:"shares"`
	Drains []DrainState          `json:"drains"`
	Links  []LinkDump            `json:"links"`
	// SilentClosed counts the silent connections to endpoints that were closed
	// since the start.
	SilentClosed int `json:"silent_connections_closed"`
}

// PoolDump is the state of the owned endpoints of one service.
type PoolDump struct {
	ServiceCapacity
	Waiting   int            `json:"waiting"`
	Endpoints []EndpointLoad `json:"owned_endpoints"`
}

// ShareDump is the share vector and the demand of one source.
type ShareDump struct {
	Source keelroute.Source    `json:"source"`
	Vector []keel.DomainWeight `json:"vector"`
	// Demand is the mean number of requests in flight.
	Demand float64 `json:"demand"`
}

// Dump returns the state of the engine.
func (e *Engine) Dump() Dump {
	p := e.plan.Load()
	d := Dump{
		Version:   p.snapshot.Version,
		Leaving:   e.leaving.Load(),
		View:      p.view,
		Endpoints: p.entries,
		Drains:    e.drains.list(),
		Links:     e.links.dump(time.Now()),
	}
	for service, pl := range p.pools {
		d.Pools = append(d.Pools, PoolDump{
			ServiceCapacity: pl.capacity(time.Now(), service), Waiting: pl.waiting(), Endpoints: pl.endpointLoads(),
		})
	}
	e.silence.mu.Lock()
	d.SilentClosed = e.silence.closedCount
	e.silence.mu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	d.Owners = e.owners.List()
	for src := range e.demand {
		d.Shares = append(d.Shares, ShareDump{Source: src, Vector: e.shares.Vector(src), Demand: e.totalDemand(src)})
	}
	return d
}

// Capacities returns the capacity of the endpoints that this instance owns, per
// service. Services without slots are left out.
func (e *Engine) Capacities() []ServiceCapacity {
	var capacities []ServiceCapacity
	for service, pl := range e.plan.Load().pools {
		if capacity := pl.capacity(time.Now(), service); capacity.Slots > 0 {
			capacities = append(capacities, capacity)
		}
	}
	return capacities
}

// Outstanding returns the number of requests that run at owned endpoints or
// wait for one.
func (e *Engine) Outstanding() int {
	n := 0
	for _, pl := range e.plan.Load().pools {
		n += pl.waiting()
		for _, l := range pl.endpointLoads() {
			n += l.InFlight
		}
	}
	return n
}
