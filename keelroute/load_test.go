package keelroute_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keeladmit"
)

// deployment is the model of a deployment: three regions with two failure
// domains each, and three entry instances in each domain. Its fields hold the
// round-trip times, the link rate and the services.
type deployment struct {
	name                               string
	regionTrip, domainTrip, callerTrip time.Duration
	linkBytes                          float64 // per second and direction
	services                           []workload
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

// callerShare is the fraction of the requests that come from callers of each
// region. At a load of 0.8 the first region's callers need more slots than it
// has.
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

// event is a scheduled call. Events with equal times run in the order in which
// they were scheduled.
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

// request is the state of one request.
type request struct {
	id                uint64
	svc, source, dest int
	entry             int
	key               uint64
	arrived, work     time.Duration
	endpoint          keel.EndpointID
	remote            bool // holds a credit
	grantor           keel.InstanceName
	running, ended    bool
	ownerIndex        int // index of the owner instance in the destination domain
	generation        int // generation of the pool that the request was sent to
}

// steering is the interface of the policy under test and of the baselines.
type steering interface {
	// route returns the domain for r, or -1 to refuse it.
	route(s *sim, r *request) int
	// ended is called once for each request that was routed.
	ended(s *sim, r *request)
	// tick is called every tickEvery.
	tick(s *sim)
	picker() keel.Picker
	ownership() ownership
	// budgets reports whether transfers are limited by link budgets.
	budgets() bool
}

const (
	tickEvery   = 250 * time.Millisecond
	expireEvery = 10 * time.Millisecond
)

// bulkLinkPercent is the link share of the selectors of bulk and patient
// requests.
const bulkLinkPercent = 40

// sim is a discrete-event simulation of a deployment. It drives the
// deterministic code of keelroute and keeladmit and checks their guarantees.
type sim struct {
	dep          deployment
	times        timing
	rnd          *rand.Rand
	now          time.Duration
	seq          int
	queue        events
	pools        [domains][]*pool
	lost         [domains]bool
	partitioned  [regions][regions]bool
	entryWeight  [regions * 2 * entriesPerDomain]float64
	falseReports string // what endpoints report: "", "idle" or "full"
	load         func(now time.Duration, svc int) float64
	steer        steering
	requests     uint64
	unfinished   int
	links        [regions][regions]linkState
	figures      figures
	fail         func(format string, args ...any)
}

type linkState struct {
	budget *keeladmit.LinkBudget
	free   time.Duration // when the last byte sent so far has been transferred
	second int
	bytes  float64 // in this second
}

func newSim(dep deployment, steer steering, seed uint64, fail func(string, ...any)) *sim {
	s := &sim{dep: dep, rnd: rand.New(rand.NewPCG(seed, 7)), steer: steer, fail: fail}
	s.load = func(time.Duration, int) float64 { return 0.8 }
	s.figures.init(dep)
	for i := range s.entryWeight {
		s.entryWeight[i] = 1
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
			for _, w := range dep.services {
				if w.class == keel.ClassBulk || w.class == keel.ClassPatient {
					s.links[a][b].budget.SetShare(keel.SelectorName(w.name), bulkLinkPercent)
				}
			}
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

// totalSlots returns the slots of a service in all domains.
func (d deployment) totalSlots(svc int) float64 {
	return float64(d.services[svc].endpoints * d.services[svc].slots)
}

// run generates arrivals until end and then runs until every request has ended.
func (s *sim) run(end time.Duration) {
	for svc := range s.dep.services {
		s.scheduleArrival(svc, end)
	}
	s.everyUntil(tickEvery, end+time.Minute, s.tick)
	s.everyUntil(expireEvery, end+time.Minute, s.expire)
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		if s.now > end && s.unfinished == 0 {
			break
		}
		e.do()
	}
	if s.unfinished != 0 {
		s.fail("%d requests never ended", s.unfinished)
	}
}

func (s *sim) everyUntil(period, end time.Duration, f func()) {
	if s.now > end {
		return
	}
	f()
	s.after(period, func() { s.everyUntil(period, end, f) })
}

func (s *sim) scheduleArrival(svc int, end time.Duration) {
	rate := s.load(s.now, svc) * s.dep.totalSlots(svc) / s.dep.services[svc].time.Seconds()
	s.after(time.Duration(s.rnd.ExpFloat64()/rate*float64(time.Second)), func() {
		if s.now < end {
			s.arrive(svc)
			s.scheduleArrival(svc, end)
		}
	})
}

func (s *sim) arrive(svc int) {
	s.requests++
	s.unfinished++
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
	if s.lost[r.dest] || s.partitioned[from][to] {
		s.end(r, endRefused) // the connection is refused, so nothing ran
		return
	}
	p := s.pools[r.dest][svc]
	p.bySource[r.source]++
	p.inFlight[r.id] = r
	r.generation = p.generation
	s.transfer(r, from, to, s.dep.services[svc].bodyBytes, func() {
		s.after(s.trip(r)/2, func() { s.offer(r) })
	})
}

// entryFor draws a live entry instance of the caller's region by weight. If the
// region has none, it tries the next regions. It returns -1 if there is none.
func (s *sim) entryFor(region int) int {
	for i := range regions {
		first := (region + i) % regions * 2 * entriesPerDomain
		sum := 0.0
		for e := first; e < first+2*entriesPerDomain; e++ {
			if !s.lost[e/entriesPerDomain] {
				sum += s.entryWeight[e]
			}
		}
		x := s.rnd.Float64() * sum
		for e := first; e < first+2*entriesPerDomain && sum > 0; e++ {
			if s.lost[e/entriesPerDomain] {
				continue
			}
			if x -= s.entryWeight[e]; x < 0 {
				return e
			}
		}
	}
	return -1
}

// trip returns the round-trip time between the entry and the destination.
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

// transfer sends bytes over a link and then calls then. It models the limited
// rate of the link but not its round trip.
func (s *sim) transfer(r *request, from, to, bytes int, then func()) {
	l := &s.links[from][to]
	switch {
	case from == to:
		then()
	case s.steer.budgets():
		n, wait := l.budget.TakeFor(s.clock(), keel.SelectorName(s.dep.services[r.svc].name), bytes)
		s.countBytes(l, s.now, n)
		if n == bytes {
			then()
			return
		}
		s.after(wait, func() { s.transfer(r, from, to, bytes-n, then) })
	default:
		s.countBytes(l, s.now, bytes)
		l.free = max(l.free, s.now) + time.Duration(float64(bytes)/s.dep.linkBytes*float64(time.Second))
		s.at(l.free, then)
	}
}

func (s *sim) countBytes(l *linkState, at time.Duration, n int) {
	if second := int(at / time.Second); second != l.second {
		l.second, l.bytes = second, 0
	}
	l.bytes += float64(n)
	use := l.bytes / s.dep.linkBytes
	if at >= s.figures.measureFrom {
		s.figures.linkPeak = max(s.figures.linkPeak, use)
	}
	if s.steer.budgets() && use > 1 {
		s.fail("link carries %.2f of its limit in second %d", use, l.second)
	}
}
