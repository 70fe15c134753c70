package keelguard_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelguard"
)

// Sizes of the simulated failure domain.
const (
	simInstances = 4
	simEndpoints = 12
	simSlots     = 4 // requests in flight per endpoint
	simStep      = 10 * time.Millisecond
	simDown      = time.Second // outage of a crashed endpoint
)

// guardCase is one row of TestPoisonFaults.
type guardCase struct {
	name   string
	poison int
	copies int
	sends  int
	// unrelatedCrash is the probability per step that an endpoint crashes
	// independently of its requests.
	unrelatedCrash float64
	// limit is the number of endpoints that one poison request may crash.
	limit int
}

// simCall is one caller's request with its resends.
type simCall struct {
	fp           keelguard.ID
	poison       bool
	attemptsLeft int
	nextTry      time.Time
	running      bool
	done         bool
	refusals     int
}

// simRun is one request at an endpoint.
type simRun struct {
	call  *simCall
	owner int
	at    int
	end   time.Time
}

// domain is a failure domain whose endpoints have one owner each.
type domain struct {
	rng       *rand.Rand
	now       time.Time
	instances []*keelguard.PoisonDetector
	down      [simEndpoints]time.Time
	running   []simRun
	calls     []*simCall
	crashedBy map[keelguard.ID]map[int]bool
}

func (d *domain) share() {
	for i, from := range d.instances {
		evidence := from.Evidence(d.now)
		for j, to := range d.instances {
			if i != j {
				to.Merge(d.now, evidence)
			}
		}
	}
}

// dispatch makes one try to dispatch the call.
func (d *domain) dispatch(c *simCall) {
	at := d.rng.IntN(simEndpoints)
	owner := at % simInstances
	p := d.instances[owner]
	decision := p.Check(d.now, c.fp)
	c.nextTry = d.now.Add(200 * time.Millisecond)
	inFlight := 0
	for _, r := range d.running {
		if r.at == at {
			inFlight++
		}
	}
	if d.now.Before(d.down[at]) || inFlight >= simSlots || slices.Contains(decision.AvoidEndpoints, endpoint(at)) {
		return
	}
	home := d.instances[int(c.fp)%simInstances]
	if !decision.Allow && !(decision.AskHome && home.Permit(d.now, c.fp)) {
		c.refusals++
		c.attemptsLeft--
		return
	}
	c.attemptsLeft--
	c.running = true
	p.Dispatched(d.now, c.fp, endpoint(at))
	takes := time.Duration(20+d.rng.IntN(80)) * time.Millisecond
	d.running = append(d.running, simRun{call: c, owner: owner, at: at, end: d.now.Add(takes)})
}

// crash ends all requests in flight at an endpoint.
func (d *domain) crash(at int) {
	d.down[at] = d.now.Add(simDown)
	p := d.instances[at%simInstances]
	d.running = slices.DeleteFunc(d.running, func(r simRun) bool {
		if r.at == at {
			p.ConnectionBroke(d.now, r.call.fp, endpoint(at))
			r.call.running = false
		}
		return r.at == at
	})
	p.Probed(d.now, endpoint(at), false)
	d.share()
}

func (d *domain) step(c guardCase) {
	d.now = d.now.Add(simStep)
	for i := 0; i < len(d.running); i++ {
		r := d.running[i]
		if d.now.Before(r.end) {
			continue
		}
		if r.call.poison {
			if d.crashedBy[r.call.fp] == nil {
				d.crashedBy[r.call.fp] = map[int]bool{}
			}
			d.crashedBy[r.call.fp][r.at] = true
			d.crash(r.at)
			i = -1
			continue
		}
		d.running = slices.Delete(d.running, i, i+1)
		i--
		r.call.running, r.call.done = false, true
		d.instances[r.owner].Answered(r.call.fp, endpoint(r.at))
		d.share()
	}
	if d.rng.Float64() < c.unrelatedCrash {
		d.crash(d.rng.IntN(simEndpoints))
	}
	for _, call := range d.calls {
		if !call.running && !call.done && call.attemptsLeft > 0 && !d.now.Before(call.nextTry) {
			d.dispatch(call)
		}
	}
}

func newDomain(seed uint64, c guardCase) *domain {
	d := &domain{
		rng: rand.New(rand.NewPCG(seed, 2)), now: guardStart,
		crashedBy: map[keelguard.ID]map[int]bool{},
	}
	for i := range simInstances {
		d.instances = append(d.instances, newDetector([]keel.InstanceName{"k0", "k1", "k2", "k3"}[i]))
	}
	for i := range c.poison {
		for range c.copies {
			d.calls = append(d.calls, &simCall{fp: keelguard.ID(1_000_000 + i), poison: true, attemptsLeft: c.sends, nextTry: d.now})
		}
	}
	for i := range 2000 {
		start := d.now.Add(time.Duration(d.rng.IntN(10_000)) * time.Millisecond)
		d.calls = append(d.calls, &simCall{fp: keelguard.ID(i), attemptsLeft: 1 << 20, nextTry: start})
	}
	return d
}

// TestPoisonFaults resends poison requests among 2000 innocent ones. A poison
// request may crash at most the row's limit of endpoints, and every innocent
// request must be answered in the end.
func TestPoisonFaults(t *testing.T) {
	const seeds = 4
	tests := []guardCase{
		{"one, resent ten times", 1, 1, 11, 0, 2},
		{"five, resent ten times", 5, 1, 11, 0, 2},
		{"among other crashes", 5, 1, 11, 0.02, 2},
		{"other crashes only", 0, 0, 0, 0.05, 0},
		{"three copies at once", 1, 3, 11, 0, 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			worst, refused, late := 0, 0, 0
			for seed := range uint64(seeds) {
				d := newDomain(seed, tt)
				for range 30 * 100 {
					d.step(tt)
				}
				late += d.unanswered()
				d.now = d.now.Add(guardRetention + time.Second)
				quiet := tt
				quiet.unrelatedCrash = 0
				for range 200 {
					d.step(quiet)
				}
				if n := d.unanswered(); n > 0 {
					t.Errorf("seed %d: %d innocent requests are still refused", seed, n)
				}
				for fp, endpoints := range d.crashedBy {
					worst = max(worst, len(endpoints))
					if len(endpoints) > tt.limit {
						t.Errorf("seed %d: request %s crashed %d endpoints, the limit is %d", seed, fp, len(endpoints), tt.limit)
					}
				}
				for _, c := range d.calls {
					if !c.poison {
						refused += c.refusals
					}
				}
			}
			t.Logf("%d seeds: at most %d endpoints crashed by one request, %d refusals of innocent requests, %d answered only after the retention",
				seeds, worst, refused, late)
		})
	}
}

func (d *domain) unanswered() int {
	n := 0
	for _, c := range d.calls {
		if !c.poison && !c.done {
			n++
		}
	}
	return n
}
