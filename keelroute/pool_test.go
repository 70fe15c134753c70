package keelroute_test

import (
	"fmt"
	"slices"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keeladmit"
)

// pool is the endpoints of one service in one domain, with its owner's queue.
type pool struct {
	queues     []*keeladmit.Queue
	domain     int
	slots      int
	running    int
	bySource   [regions]int // sent there and not ended
	waiting    map[uint64]*request
	inside     map[uint64]*request
	endpoints  []keel.EndpointID
	busy       map[keel.EndpointID]int
	drained    map[keel.EndpointID]time.Duration
	cold       map[keel.EndpointID]int // slow requests still to come
	generation int
	report     poolReport // as others know it
}

type poolReport struct {
	at       time.Duration
	bySource [regions]int
	smooth   [regions]float64 // bySource, smoothed by its owner
	slots    int
	free     int
	delay    time.Duration
	fresh    time.Duration // delay, not smoothed
	told     int           // what the endpoints say that they run
}

// ownership says how the entry instances of a domain share its endpoints.
type ownership int

const (
	ownPools     ownership = iota // one instance owns all endpoints of a service
	ownEndpoints                  // each endpoint has an owner
	splitSlots                    // every instance has a part of each endpoint's slots
)

func (o ownership) queues() int {
	if o == ownPools {
		return 1
	}
	return entriesPerDomain
}

// slots returns how many slots of the domain's endpoint i the instance part has.
func (o ownership) slots(i, part, slots int) int {
	switch {
	case o == ownPools, o == ownEndpoints && i%entriesPerDomain == part:
		return slots
	case o == ownEndpoints:
		return 0
	case (part+i)%entriesPerDomain < slots%entriesPerDomain:
		return slots/entriesPerDomain + 1
	default:
		return slots / entriesPerDomain
	}
}

func (s *sim) newPool(d, svc int) *pool {
	w := s.dep.services[svc]
	p := &pool{
		domain: d, waiting: map[uint64]*request{}, inside: map[uint64]*request{},
		busy: map[keel.EndpointID]int{}, drained: map[keel.EndpointID]time.Duration{}, cold: map[keel.EndpointID]int{},
	}
	for range s.steer.ownership().queues() {
		p.queues = append(p.queues, keeladmit.NewQueue(keeladmit.QueueConfig{
			Service: w.name, Picker: s.steer.picker(), Random: s.rnd.Uint64, ServiceTime: w.time,
		}))
	}
	for i := d; i < w.endpoints; i += domains {
		id := keel.EndpointID{Service: w.name, Name: keel.EndpointName(fmt.Sprint("e", i))}
		p.endpoints = append(p.endpoints, id)
		p.slots += w.slots
	}
	s.tellReports(p)
	p.report = poolReport{slots: p.slots, free: p.slots}
	return p
}

func (s *sim) offer(r *request) {
	p := s.pools[r.dest][r.svc]
	if r.ended || r.generation != p.generation {
		return
	}
	w := s.dep.services[r.svc]
	r.part = s.partFor(p, r)
	d := p.queues[r.part].Offer(s.clock(), keeladmit.Item{
		ID: r.id, Class: w.class, Deadline: epoch.Add(r.arrived + w.deadline), Selector: keel.SelectorName(w.name),
	})
	switch d.Action {
	case keeladmit.ActionStart:
		s.start(p, r, d.Endpoint)
	case keeladmit.ActionWait:
		p.waiting[r.id] = r
	case keeladmit.ActionRefuse:
		if d.Refusal.Verdict != keel.NotRun {
			s.broken("refused request %d has verdict %s", r.id, d.Refusal.Verdict)
		}
		s.end(r, endRefused)
	}
}

func (s *sim) start(p *pool, r *request, id keel.EndpointID) {
	w := s.dep.services[r.svc]
	r.endpoint, r.running = id, true
	p.busy[id]++
	p.running++
	if p.busy[id] > w.slots {
		s.broken("endpoint %s runs %d of %d", id, p.busy[id], w.slots)
	}
	if at, ok := p.drained[id]; ok && s.now > at+2*time.Second {
		s.broken("endpoint %s got new work %s after it began to leave", id, s.now-at)
	}
	work := time.Duration(float64(w.time) * (0.5 + 0.5*s.rnd.ExpFloat64()))
	if p.cold[id] > 0 {
		p.cold[id]--
		work *= 4
	}
	r.work = work
	s.figures.longest = max(s.figures.longest, work)
	s.after(work, func() { s.finish(p, r, work) })
}

func (s *sim) finish(p *pool, r *request, work time.Duration) {
	if r.ended || r.generation != p.generation {
		return
	}
	p.busy[r.endpoint]--
	p.running--
	r.running = false
	if at, ok := p.drained[r.endpoint]; ok && p.busy[r.endpoint] == 0 {
		s.figures.drain = max(s.figures.drain, s.now-at)
	}
	p.queues[r.part].Done(s.clock(), r.endpoint, keeladmit.OutcomeOK, work)
	s.startWaiting(p)
	from, to := regionOf(r.dest), regionOf(r.entry/entriesPerDomain)
	if s.cut[from][to] {
		s.end(r, endFailed)
		return
	}
	s.transfer(r, from, to, s.dep.services[r.svc].answerBytes, func() {
		s.after(s.trip(r)/2, func() { s.end(r, endAnswered) })
	})
}

func (s *sim) startWaiting(p *pool) {
	for _, q := range p.queues {
		for st, ok := q.Next(s.clock()); ok; st, ok = q.Next(s.clock()) {
			r := p.waiting[st.ID]
			delete(p.waiting, st.ID)
			s.start(p, r, st.Endpoint)
		}
	}
}

// partFor draws an owner by its slots, or takes the entry's own part if the
// slots are split.
func (s *sim) partFor(p *pool, r *request) int {
	if s.steer.ownership() == splitSlots {
		return r.entry % entriesPerDomain
	}
	x := s.rnd.IntN(max(1, p.slots))
	for part, q := range p.queues {
		slots, _ := q.Slots(s.clock())
		if x -= slots; x < 0 {
			return part
		}
	}
	return 0
}

func (s *sim) expire() {
	for d := range s.pools {
		for _, p := range s.pools[d] {
			for _, q := range p.queues {
				for _, x := range q.Expire(s.clock()) {
					r := p.waiting[x.ID]
					delete(p.waiting, x.ID)
					s.end(r, endRefused)
				}
			}
			s.startWaiting(p)
		}
	}
}

// end gives a request its only end.
func (s *sim) end(r *request, how ending) {
	if r.ended {
		if how != endAnswered {
			s.broken("request %d ended twice", r.id)
		}
		return
	}
	r.ended = true
	s.open--
	if r.dest >= 0 {
		p := s.pools[r.dest][r.svc]
		if r.generation == p.generation && p.inside[r.id] != nil {
			delete(p.inside, r.id)
			p.bySource[r.source]--
		}
		s.steer.ended(s, r)
	}
	s.figures.count(s, r, how)
}

func (s *sim) tick() {
	for d := range s.pools {
		for svc, p := range s.pools[d] {
			s.figures.use(s, d, svc, p)
			s.tellReports(p)
			if s.lost[d] {
				continue
			}
			rep := poolReport{at: s.now, bySource: p.bySource, told: s.lied(p.running, p.slots)}
			for _, q := range p.queues {
				slots, free := q.Slots(s.clock())
				rep.slots += slots
				rep.free += free
				rep.delay += q.Delay(s.clock(), s.dep.services[svc].class) / time.Duration(len(p.queues))
			}
			p.report = rep
		}
	}
	s.figures.endTick()
	s.steer.tick(s)
}

// tellReports gives the queues their endpoints with what these say about
// themselves.
func (s *sim) tellReports(p *pool) {
	for i, id := range p.endpoints {
		if _, leaving := p.drained[id]; leaving {
			continue
		}
		for part, q := range p.queues {
			slots := p.slots / len(p.endpoints)
			if n := s.steer.ownership().slots(i, part, slots); n > 0 {
				rep := keel.LoadReport{InFlight: s.lied(p.busy[id], slots)}
				q.SetEndpoint(s.clock(), keeladmit.EndpointState{ID: id, Slots: n, Reported: rep, ReportedAt: s.clock()})
			}
		}
	}
	s.startWaiting(p)
}

func (s *sim) lied(truth, slots int) int {
	switch s.lie {
	case "idle":
		return 0
	case "full":
		return slots
	default:
		return truth
	}
}

// loseDomain stops a domain. Everything inside it ends without an answer.
func (s *sim) loseDomain(d int) {
	s.lost[d] = true
	for svc, p := range s.pools[d] {
		for _, id := range sortedKeys(p.inside) {
			s.end(p.inside[id], endFailed)
		}
		fresh := s.newPool(d, svc)
		fresh.generation = p.generation + 1
		fresh.report = p.report
		s.pools[d][svc] = fresh
	}
}

func sortedKeys(m map[uint64]*request) []uint64 {
	keys := make([]uint64, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// drainEndpoint lets an endpoint leave.
func (s *sim) drainEndpoint(d, svc, i int) {
	p := s.pools[d][svc]
	id := p.endpoints[i]
	p.drained[id] = s.now
	for _, q := range p.queues {
		q.Drain(id)
	}
}

func (s *sim) setCut(a, b int, on bool) { s.cut[a][b], s.cut[b][a] = on, on }
