package keelroute_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keeladmit"
)

// deployment holds the sizes of one of the users' systems: three regions with
// two failure domains each, and three entry instances in each domain.
type deployment struct {
	name                            string
	regionTrip, domainTrip, callers time.Duration
	linkBytes                       float64 // per second and direction
	services                        []workload
}

type workload struct {
	name                   keel.ServiceName
	class                  keel.Class
	endpoints, slots       int
	time, deadline         time.Duration
	answerBytes, bodyBytes int
}

const (
	regions          = 3
	domains          = 6
	entriesPerDomain = 3
)

// callerShare is the part of the callers in each region. The first region's
// callers want more than its slots at a load of 0.8.
var callerShare = [regions]float64{0.44, 0.32, 0.24}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func deployments() []deployment {
	return []deployment{
		{"teranga", ms(12), ms(1), ms(1), 4000e6 / 8, []workload{
			{"gallery", keel.ClassLive, 14, 6, ms(40), 2 * time.Second, 200_000, 500},
			{"scores", keel.ClassLive, 12, 4, ms(50), 2 * time.Second, 5_000, 1_000},
			{"fees", keel.ClassAtMostOnce, 12, 3, ms(80), 5 * time.Second, 2_000, 2_000},
			{"archives", keel.ClassPatient, 12, 4, ms(300), time.Minute, 400_000, 500},
		}},
		{"sampaguita", ms(20), ms(1), ms(3), 280e6 / 8, []workload{
			{"stock", keel.ClassLive, 12, 3, ms(60), 2 * time.Second, 20_000, 500},
			{"payouts", keel.ClassAtMostOnce, 12, 3, ms(90), 5 * time.Second, 2_000, 2_000},
			{"pickups", keel.ClassBulk, 12, 3, ms(120), 5 * time.Second, 2_000, 300_000},
			{"schedules", keel.ClassPatient, 12, 3, ms(60), time.Minute, 30_000, 500},
		}},
	}
}

// event is something that happens at a time. Equal times keep their order.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// request is one request from its arrival to its single end.
type request struct {
	id                uint64
	svc, source, dest int
	entry             int
	key               uint64
	arrived, started  time.Duration
	endpoint          keel.EndpointID
	remote            bool // holds a credit
	grantor           keel.InstanceName
	running, ended    bool
	part              int // the owner instance in the destination domain
	generation        int
}

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

// steering is a policy or a baseline.
type steering interface {
	// route returns the domain for r, or -1 to refuse it.
	route(s *sim, r *request) int
	// ended is called once for each request that was routed.
	ended(s *sim, r *request)
	// tick is called every tickEvery.
	tick(s *sim)
	picker() keel.Picker
	ownership() ownership
	// budgets says whether the policy keeps to link budgets.
	budgets() bool
}

const (
	tickEvery   = 250 * time.Millisecond
	expireEvery = 10 * time.Millisecond
)

// sim is the event loop over the cores.
type sim struct {
	dep       deployment
	times     timing
	rnd       *rand.Rand
	now       time.Duration
	seq       int
	queue     events
	pools     [domains][]*pool
	lost      [domains]bool
	cut       [regions][regions]bool
	entryPart [regions * 2 * entriesPerDomain]float64
	lie       string // what endpoints report: "", "idle" or "full"
	load      func(now time.Duration, svc int) float64
	steer     steering
	requests  uint64
	open      int
	links     [regions][regions]linkState
	figures   figures
	broken    func(format string, args ...any)
}

type linkState struct {
	budget *keeladmit.LinkBudget
	free   time.Duration // when the last byte sent so far is through
	second int
	bytes  float64 // in this second
}

func newSim(dep deployment, steer steering, seed uint64, broken func(string, ...any)) *sim {
	s := &sim{dep: dep, rnd: rand.New(rand.NewPCG(seed, 7)), steer: steer, broken: broken}
	s.load = func(time.Duration, int) float64 { return 0.8 }
	s.figures.init(dep)
	for i := range s.entryPart {
		s.entryPart[i] = 1
	}
	for d := range domains {
		for svc := range dep.services {
			s.pools[d] = append(s.pools[d], s.newPool(d, svc))
		}
	}
	for a := range regions {
		for b := range regions {
			s.links[a][b].budget = keeladmit.NewLinkBudget(keeladmit.LinkConfig{Instances: 1, Link: keel.Link{
				From: regionName(a), To: regionName(b), MegabitsPerSecond: dep.linkBytes * 8 / 1e6, ReservePercent: 5,
			}})
		}
	}
	return s
}

func regionOf(domain int) int                  { return domain / 2 }
func regionName(r int) keel.RegionName         { return keel.RegionName(fmt.Sprint("r", r)) }
func domainName(d int) keel.DomainName         { return keel.DomainName(fmt.Sprint("d", d)) }
func (s *sim) clock() time.Time                { return epoch.Add(s.now) }
func (s *sim) after(d time.Duration, f func()) { s.at(s.now+d, f) }

func (s *sim) at(t time.Duration, f func()) {
	s.seq++
	heap.Push(&s.queue, event{t, s.seq, f})
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

// totalSlots returns the slots of a service in all domains.
func (d deployment) totalSlots(svc int) float64 {
	return float64(d.services[svc].endpoints * d.services[svc].slots)
}

// run lets arrivals happen until end, and then everything else.
func (s *sim) run(end time.Duration) {
	for svc := range s.dep.services {
		s.arriveNext(svc, end)
	}
	s.everyUntil(tickEvery, end+time.Minute, s.tick)
	s.everyUntil(expireEvery, end+time.Minute, s.expire)
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		if s.now > end && s.open == 0 {
			break
		}
		e.do()
	}
	if s.open != 0 {
		s.broken("%d requests never ended", s.open)
	}
}

func (s *sim) everyUntil(period, end time.Duration, f func()) {
	if s.now > end {
		return
	}
	f()
	s.after(period, func() { s.everyUntil(period, end, f) })
}

func (s *sim) arriveNext(svc int, end time.Duration) {
	rate := s.load(s.now, svc) * s.dep.totalSlots(svc) / s.dep.services[svc].time.Seconds()
	s.after(time.Duration(s.rnd.ExpFloat64()/rate*float64(time.Second)), func() {
		if s.now < end {
			s.arrive(svc)
			s.arriveNext(svc, end)
		}
	})
}

func (s *sim) arrive(svc int) {
	s.requests++
	s.open++
	r := &request{id: s.requests, svc: svc, arrived: s.now, key: s.rnd.Uint64(), dest: -1}
	for x := s.rnd.Float64(); r.source < regions-1 && x >= callerShare[r.source]; r.source++ {
		x -= callerShare[r.source]
	}
	r.entry = s.entryFor(r.source)
	if r.entry < 0 {
		s.end(r, endRefused)
		return
	}
	r.dest = s.steer.route(s, r)
	if r.dest < 0 {
		s.end(r, endRefused)
		return
	}
	from, to := regionOf(r.entry/entriesPerDomain), regionOf(r.dest)
	if s.lost[r.dest] || s.cut[from][to] {
		s.end(r, endRefused) // the connection is refused, so nothing ran
		return
	}
	p := s.pools[r.dest][svc]
	p.bySource[r.source]++
	p.inside[r.id] = r
	r.generation = p.generation
	delay := s.transfer(r, from, to, s.dep.services[svc].bodyBytes)
	s.after(delay+s.trip(r)/2, func() { s.offer(r) })
}

// entryFor draws a live entry instance of the caller's region by weight, or of
// another region if there is none.
func (s *sim) entryFor(region int) int {
	for i := range regions {
		first := (region + i) % regions * 2 * entriesPerDomain
		sum := 0.0
		for e := first; e < first+2*entriesPerDomain; e++ {
			if !s.lost[e/entriesPerDomain] {
				sum += s.entryPart[e]
			}
		}
		x := s.rnd.Float64() * sum
		for e := first; e < first+2*entriesPerDomain && sum > 0; e++ {
			if s.lost[e/entriesPerDomain] {
				continue
			}
			if x -= s.entryPart[e]; x < 0 {
				return e
			}
		}
	}
	return -1
}

// trip returns the time there and back between the entry and the destination.
func (s *sim) trip(r *request) time.Duration {
	from := r.entry / entriesPerDomain
	switch {
	case from == r.dest:
		return 0
	case regionOf(from) == regionOf(r.dest):
		return s.dep.domainTrip
	default:
		return s.dep.regionTrip
	}
}

// transfer returns how long bytes take over a link beside its round trip.
func (s *sim) transfer(_ *request, from, to, bytes int) time.Duration {
	if from == to {
		return 0
	}
	l := &s.links[from][to]
	if s.steer.budgets() {
		at := max(l.free, s.now)
		for left := bytes; left > 0; {
			n, wait := l.budget.Take(epoch.Add(at), left)
			s.countBytes(l, at, n)
			left -= n
			at += wait
		}
		l.free = at
		return at - s.now
	}
	s.countBytes(l, s.now, bytes)
	l.free = max(l.free, s.now) + time.Duration(float64(bytes)/s.dep.linkBytes*float64(time.Second))
	return l.free - s.now
}

func (s *sim) countBytes(l *linkState, at time.Duration, n int) {
	if second := int(at / time.Second); second != l.second {
		l.second, l.bytes = second, 0
	}
	l.bytes += float64(n)
	use := l.bytes / s.dep.linkBytes
	if at >= s.figures.from {
		s.figures.linkPeak = max(s.figures.linkPeak, use)
	}
	if s.steer.budgets() && use > 1 {
		s.broken("link carries %.2f of its limit in second %d", use, l.second)
	}
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
	r.endpoint, r.started, r.running = id, s.now, true
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
	delay := s.transfer(r, from, to, s.dep.services[r.svc].answerBytes)
	s.after(delay+s.trip(r)/2, func() { s.end(r, endAnswered) })
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
