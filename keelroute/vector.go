package keelroute

import (
	"math"
	"slices"
	"strings"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// vector assigns every bucket of one source to a failure domain.
type vector struct {
	cap      keel.ShiftCap
	domains  []keel.DomainName
	assigned [Buckets]uint8
	// bucketCount is the number of buckets assigned to each domain.
	bucketCount []int
	// targetCount is the number of buckets that each domain should have.
	targetCount []int
	// unavailable marks the domains that take no traffic.
	unavailable []bool
	ledger      ledger
	traffic     traffic
	spread      keySpreader
	// lastDiverted is when the last request was diverted.
	lastDiverted time.Time
	// retention is the longest window that was ever in force. Older moves are
	// discarded from the ledger.
	retention time.Duration
	// nextShift is the earliest time at which calling shift can have an effect.
	nextShift   time.Time
	frozenUntil time.Time
	updated     time.Time
}

// maxDomains is the largest number of domains in one vector: the index of a
// bucket's domain is stored in a byte.
const maxDomains = 255

func newVector(c keel.ShiftCap) *vector {
	v := &vector{cap: c, retention: c.Window.Std()}
	v.traffic.setWindow(c.Window.Std())
	return v
}

// setCap changes the cap. The ledger covers only the longest window so far, so a
// longer window freezes the vector until the ledger covers that one.
func (v *vector) setCap(now time.Time, c keel.ShiftCap) {
	w := c.Window.Std()
	if w > v.retention {
		if v.cap.Percent > 0 || len(v.ledger.moves) > 0 {
			v.freeze(now.Add(w - v.retention))
		}
		v.retention = w
	}
	v.cap = c
	v.traffic.setWindow(w)
	v.nextShift = now
}

func (v *vector) freeze(until time.Time) {
	if until.After(v.frozenUntil) {
		v.frozenUntil = until
	}
}

// domainIndex returns the index of a domain, and adds the domain if it is new.
// It returns false if the vector has no space for another domain.
func (v *vector) domainIndex(d keel.DomainName) (int, bool) {
	if i := slices.Index(v.domains, d); i >= 0 {
		return i, true
	}
	if len(v.domains) >= maxDomains {
		return 0, false
	}
	v.domains = append(v.domains, d)
	v.targetCount = append(v.targetCount, 0)
	v.unavailable = append(v.unavailable, false)
	v.bucketCount = append(v.bucketCount, 0)
	return len(v.domains) - 1, true
}

// setTarget rounds the weights to whole buckets by the largest remainder.
func (v *vector) setTarget(weights []keel.DomainWeight) {
	clear(v.targetCount)
	for i, n := range apportion(weights, Buckets) {
		if at, ok := v.domainIndex(weights[i].Domain); ok {
			v.targetCount[at] += n
		}
	}
	v.nextShift = time.Time{}
}

// assignAll assigns all buckets at once by the weights. Each domain gets a
// contiguous range, so that most callers of a client block that spans several
// buckets are sent to the same domain.
func (v *vector) assignAll(weights []keel.DomainWeight) {
	v.setTarget(weights)
	b := 0
	for d, n := range v.targetCount {
		for range n {
			v.assigned[b] = uint8(d)
			b++
		}
		v.bucketCount[d] = n
	}
}

// allowance returns how many buckets may move at now. It is negative if more
// traffic was shifted than the cap, which may have been lowered, allows.
func (v *vector) allowance(now time.Time) int {
	if now.Before(v.frozenUntil) {
		return 0
	}
	left := v.capBuckets() - v.ledger.spent(now, v.cap.Window.Std())
	if n, diverted := v.traffic.totals(now); diverted > 0 {
		n = max(n, diverted) // the requests may have left the window before
		left -= (diverted*Buckets + n - 1) / n
	}
	return left
}

// divert counts one more request as diverted and returns true, if the given
// fraction of the cap allows it.
func (v *vector) divert(now time.Time, fraction float64) bool {
	if now.Before(v.frozenUntil) {
		return false
	}
	n, diverted := v.traffic.totals(now)
	moved := float64(v.ledger.spent(now, v.cap.Window.Std())) / Buckets
	if moved*float64(n)+float64(diverted+1) > fraction*v.cap.Percent/100*float64(n) {
		return false
	}
	v.traffic.interval(now).diverted++
	v.lastDiverted = now
	return true
}

func (v *vector) capBuckets() int {
	const epsilon = 1e-9 // without it, rounding errors make 0.7% of 1000 buckets six
	return int(math.Floor(v.cap.Percent/100*Buckets + epsilon))
}

// stepSize returns how many buckets one step of a planned shift moves.
func (v *vector) stepSize() int { return (v.capBuckets() + stepsPerWindow - 1) / stepsPerWindow }

// shift moves buckets of unavailable domains as far as the cap allows. If it
// moves none, it makes the next step of the planned shift when that is due.
func (v *vector) shift(now time.Time) {
	v.nextShift = now.Add(v.cap.Window.Std() / stepsPerWindow)
	moved := v.moveLost(v.allowance(now))
	if moved == 0 && v.stepDue(now) {
		moved = v.movePlanned(min(v.stepSize(), v.allowance(now)))
	}
	if moved == 0 {
		return
	}
	v.ledger.add(now, moved, v.retention)
	v.updated = now
}

func (v *vector) stepDue(now time.Time) bool {
	n := len(v.ledger.moves)
	if n == 0 {
		return true
	}
	return !now.Before(v.ledger.moves[n-1].At.Add(v.cap.Window.Std() / stepsPerWindow))
}

// moveLost moves up to most buckets of unavailable domains to the domains
// furthest below their target, and returns how many it moved.
func (v *vector) moveLost(most int) int {
	moved := 0
	if !slices.Contains(v.unavailable, true) {
		return 0
	}
	for b, from := range v.assigned {
		if moved >= most {
			break
		}
		if !v.unavailable[from] {
			continue
		}
		if to := v.mostUnderTarget(); to >= 0 {
			v.move(b, to)
			moved++
		}
	}
	return moved
}

// movePlanned moves up to most buckets from domains above their target to those
// below, and returns how many it moved.
func (v *vector) movePlanned(most int) int {
	moved := 0
	for b, from := range v.assigned {
		if moved >= most {
			break
		}
		if v.bucketCount[from] <= v.targetCount[from] {
			continue
		}
		to := v.mostUnderTarget()
		if to < 0 || v.bucketCount[to] >= v.targetCount[to] {
			break
		}
		v.move(b, to)
		moved++
	}
	return moved
}

func (v *vector) move(bucket, to int) {
	v.bucketCount[v.assigned[bucket]]--
	v.bucketCount[to]++
	v.assigned[bucket] = uint8(to)
}

// mostUnderTarget returns the available domain that has the smallest fraction of
// its target, or -1 if no available domain has a target.
func (v *vector) mostUnderTarget() int {
	best, least := -1, math.Inf(1)
	for i, want := range v.targetCount {
		if want == 0 || v.unavailable[i] {
			continue
		}
		if fraction := float64(v.bucketCount[i]) / float64(want); fraction < least {
			best, least = i, fraction
		}
	}
	return best
}

func (v *vector) pick(bucket int) (keel.DomainName, bool) {
	at := v.assigned[bucket]
	if v.unavailable[at] {
		return "", false
	}
	return v.domains[at], true
}

// retryAfter estimates how long it takes until a bucket may move again. It
// returns the whole window if the cap allows no bucket to move.
func (v *vector) retryAfter(now time.Time) time.Duration {
	if v.capBuckets() == 0 {
		return v.cap.Window.Std()
	}
	at := v.ledger.nextExpiry(now, v.cap.Window.Std())
	if v.frozenUntil.After(at) {
		at = v.frozenUntil
	}
	return max(at.Sub(now), time.Second)
}

func (v *vector) shares() []keel.DomainWeight {
	var list []keel.DomainWeight
	for i, n := range v.bucketCount {
		if n > 0 {
			list = append(list, keel.DomainWeight{Domain: v.domains[i], Weight: float64(n) / Buckets})
		}
	}
	slices.SortFunc(list, func(a, b keel.DomainWeight) int {
		return strings.Compare(string(a.Domain), string(b.Domain))
	})
	return list
}

// apportion splits total into integers in proportion to the weights, by the
// largest remainder method. Of equal remainders, the earlier one is rounded up.
func apportion(weights []keel.DomainWeight, total int) []int {
	sum := 0.0
	for _, w := range weights {
		sum += w.Weight
	}
	parts := make([]int, len(weights))
	remainders := make([]float64, len(weights))
	left := total
	for i, w := range weights {
		exact := w.Weight / sum * float64(total)
		parts[i] = int(exact)
		remainders[i] = exact - float64(parts[i])
		left -= parts[i]
	}
	for ; left > 0; left-- {
		i := maxIndex(remainders)
		parts[i]++
		remainders[i] = -1
	}
	return parts
}

func maxIndex(list []float64) int {
	best := 0
	for i, x := range list {
		if x > list[best] {
			best = i
		}
	}
	return best
}
