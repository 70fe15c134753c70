package keelroute_test

import (
	"fmt"
	"slices"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keeladmit"
)

// pool holds the endpoints of one service in one domain and the queues of their
// owners.
type pool struct {
	queues       []*keeladmit.Queue
	domain       int
	slots        int
	running      int
	bySource     [regions]int // requests sent there that have not ended
	waiting      map[uint64]*request
	inFlight     map[uint64]*request
	endpoints    []keel.EndpointID
	runningAt    map[keel.EndpointID]int
	drainedAt    map[keel.EndpointID]time.Duration
	coldRequests map[keel.EndpointID]int // remaining slow requests
	generation   int                     // how often the domain was lost before
	report       poolReport              // last report to the other domains
}

type poolReport struct {
	at               time.Duration
	bySource         [regions]int
	smoothed         [regions]float64 // bySource, smoothed by its owner
	slots            int
	free             int
	delay            time.Duration
	currentDelay     time.Duration // delay, not smoothed
	reportedInFlight int           // requests in flight as the endpoints report them
}

// ownership says how the entry instances of a domain share its endpoints.
type ownership int

const (
	ownPools     ownership = iota // one instance owns all endpoints of a service
	ownEndpoints                  // each endpoint has an owner
	splitSlots                    // every instance has some of each endpoint's slots
)

func (o ownership) queues() int {
	if o == ownPools {
		return 1
	}
	return entriesPerDomain
}

// slotsOf returns how many slots of the domain's endpoint i the given owner
// instance may use.
func (o ownership) slotsOf(i, owner, total int) int {
	switch {
	case o == ownPools, o == ownEndpoints && i%entriesPerDomain == owner:
		return total
	case o == ownEndpoints:
		return 0
	case (owner+i)%entriesPerDomain < total%entriesPerDomain:
		return total/entriesPerDomain + 1
	default:
		return total / entriesPerDomain
	}
}

func (s *sim) newPool(d, svc int) *pool {
	w := s.dep.services[svc]
	p := &pool{
		domain: d, waiting: map[uint64]*request{}, inFlight: map[uint64]*request{},
		runningAt: map[keel.EndpointID]int{}, drainedAt: map[keel.EndpointID]time.Duration{}, coldRequests: map[keel.EndpointID]int{},
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
	s.reportEndpoints(p)
	p.report = poolReport{slots: p.slots, free: p.slots}
	return p
}

func (s *sim) offer(r *request) {
	p := s.pools[r.dest][r.svc]
	if r.ended || r.generation != p.generation {
		return
	}
	w := s.dep.services[r.svc]
	r.ownerIndex = s.ownerFor(p, r)
	d := p.queues[r.ownerIndex].Offer(s.clock(), keeladmit.Item{
		ID: r.id, Class: w.class, Deadline: epoch.Add(r.arrived + w.deadline), Selector: keel.SelectorName(w.name),
	})
	switch d.Action {
	case keeladmit.ActionStart:
		s.start(p, r, d.Endpoint)
	case keeladmit.ActionWait:
		p.waiting[r.id] = r
	case keeladmit.ActionRefuse:
		if d.Refusal.Verdict != keel.NotRun {
			s.fail("refused request %d has verdict %s", r.id, d.Refusal.Verdict)
		}
		s.end(r, endRefused)
	}
}

func (s *sim) start(p *pool, r *request, id keel.EndpointID) {
	w := s.dep.services[r.svc]
	r.endpoint, r.running = id, true
	p.runningAt[id]++
	p.running++
	if p.runningAt[id] > w.slots {
		s.fail("endpoint %s runs %d of %d", id, p.runningAt[id], w.slots)
	}
	if at, ok := p.drainedAt[id]; ok && s.now > at+2*time.Second {
		s.fail("endpoint %s got new work %s after it began to leave", id, s.now-at)
	}
	work := time.Duration(float64(w.time) * (0.5 + 0.5*s.rnd.ExpFloat64()))
	if p.coldRequests[id] > 0 {
		p.coldRequests[id]--
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
	p.runningAt[r.endpoint]--
	p.running--
	r.running = false
	if at, ok := p.drainedAt[r.endpoint]; ok && p.runningAt[r.endpoint] == 0 {
		s.figures.drain = max(s.figures.drain, s.now-at)
	}
	p.queues[r.ownerIndex].Done(s.clock(), r.endpoint, keeladmit.OutcomeOK, work)
	s.startWaiting(p)
	from, to := regionOf(r.dest), regionOf(r.entry/entriesPerDomain)
	if s.partitioned[from][to] {
		s.end(r, endFailed)
		return
	}
	s.transfer(r, from, to, s.dep.services[r.svc].answerBytes, func() {
		s.after(s.trip(r)/2, func() { s.end(r, endAnswered) })
	})
}

func (s *sim) startWaiting(p *pool) {
	for _, q := range p.queues {
		for st, ok := q.StartNext(s.clock()); ok; st, ok = q.StartNext(s.clock()) {
			r := p.waiting[st.ID]
			delete(p.waiting, st.ID)
			s.start(p, r, st.Endpoint)
		}
	}
}

// ownerFor draws an owner in proportion to its slots. If the slots are split
// among the instances, it returns the index of the entry instance.
func (s *sim) ownerFor(p *pool, r *request) int {
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

// end records the ending of a request. A request that was lost with its domain
// may still be answered later; any other second ending is a failure.
func (s *sim) end(r *request, how ending) {
	if r.ended {
		if how != endAnswered {
			s.fail("request %d ended twice", r.id)
		}
		return
	}
	r.ended = true
	s.unfinished--
	if r.dest >= 0 {
		p := s.pools[r.dest][r.svc]
		if r.generation == p.generation && p.inFlight[r.id] != nil {
			delete(p.inFlight, r.id)
			p.bySource[r.source]--
		}
		s.steer.ended(s, r)
	}
	s.figures.countEnding(s, r, how)
}

func (s *sim) tick() {
	for d := range s.pools {
		for svc, p := range s.pools[d] {
			s.figures.addUse(s, d, svc, p)
			s.reportEndpoints(p)
			if s.lost[d] {
				continue
			}
			rep := poolReport{at: s.now, bySource: p.bySource, reportedInFlight: s.reportedInFlight(p.running, p.slots)}
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

// reportEndpoints updates the endpoints and their load reports in the queues.
func (s *sim) reportEndpoints(p *pool) {
	for i, id := range p.endpoints {
		if _, leaving := p.drainedAt[id]; leaving {
			continue
		}
		for part, q := range p.queues {
			slots := p.slots / len(p.endpoints)
			if n := s.steer.ownership().slotsOf(i, part, slots); n > 0 {
				rep := keel.LoadReport{InFlight: s.reportedInFlight(p.runningAt[id], slots)}
				q.SetEndpoint(s.clock(), keeladmit.EndpointState{ID: id, Slots: n, Reported: rep, ReportedAt: s.clock()})
			}
		}
	}
	s.startWaiting(p)
}

func (s *sim) reportedInFlight(truth, slots int) int {
	switch s.falseReports {
	case "idle":
		return 0
	case "full":
		return slots
	default:
		return truth
	}
}

// loseDomain stops a domain. Requests that are in flight there fail.
func (s *sim) loseDomain(d int) {
	s.lost[d] = true
	for svc, p := range s.pools[d] {
		for _, id := range sortedKeys(p.inFlight) {
			s.end(p.inFlight[id], endFailed)
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

// drainEndpoint starts the drain of an endpoint.
func (s *sim) drainEndpoint(d, svc, i int) {
	p := s.pools[d][svc]
	id := p.endpoints[i]
	p.drainedAt[id] = s.now
	for _, q := range p.queues {
		q.Drain(id)
	}
}

func (s *sim) setPartitioned(a, b int, on bool) { s.partitioned[a][b], s.partitioned[b][a] = on, on }
