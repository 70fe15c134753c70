package keelsteer

import (
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keeladmit"
	"github.com/greengagekeel/greengagekeel/keelendpoint"
	"github.com/greengagekeel/greengagekeel/keelroute"
)

// Dump is the state of an engine.
type Dump struct {
	Version   keel.Version         `json:"version"`
	Leaving   bool                 `json:"leaving"`
	View      *View                `json:"view"`
	Endpoints []keelendpoint.Entry `json:"endpoints"`
	// Owners says which instance of the failure domain owns each endpoint.
	Owners  []keeladmit.Ownership `json:"owners"`
	Pools   []PoolDump            `json:"pools"`
	Shares  []ShareDump           `json:"shares"`
	Drains  []DrainState          `json:"drains"`
	Links   []LinkDump            `json:"links"`
	Retired int                   `json:"silent_connections_closed"`
}

// PoolDump is the state of the owned endpoints of one service.
type PoolDump struct {
	Room
	Waiting   int            `json:"waiting"`
	Endpoints []EndpointLoad `json:"owned_endpoints"`
}

// ShareDump is one share vector.
type ShareDump struct {
	Source keelroute.Source    `json:"source"`
	Vector []keel.DomainWeight `json:"vector"`
	Demand float64             `json:"demand"`
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
			Room: pl.room(time.Now(), service), Waiting: pl.waiting(), Endpoints: pl.loads(),
		})
	}
	e.silence.mu.Lock()
	d.Retired = e.silence.retired
	e.silence.mu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	d.Owners = e.owners.List()
	for src := range e.demand {
		d.Shares = append(d.Shares, ShareDump{Source: src, Vector: e.shares.Vector(src), Demand: e.totalDemand(src)})
	}
	return d
}

// Rooms returns the room of the endpoints that this instance owns.
func (e *Engine) Rooms() []Room {
	var rooms []Room
	for service, pl := range e.plan.Load().pools {
		if room := pl.room(time.Now(), service); room.Slots > 0 {
			rooms = append(rooms, room)
		}
	}
	return rooms
}

// Busy returns how many requests run at or wait for owned endpoints.
func (e *Engine) Busy() int {
	n := 0
	for _, pl := range e.plan.Load().pools {
		n += pl.waiting()
		for _, l := range pl.loads() {
			n += l.InFlight
		}
	}
	return n
}
