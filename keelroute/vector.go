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
	cap     keel.ShiftCap
	domains []keel.DomainName
	bucket  [Buckets]uint8
	// have counts the buckets of each domain.
	have []int
	// target counts the buckets that each domain should have.
	target []int
	// down marks domains that take no traffic.
	down    []bool
	ledger  ledger
	traffic traffic
	spread  spread
	// diverted is when the last request was diverted.
	diverted time.Time
	// keep is the longest window that was ever in force. Older moves are
	// forgotten.
	keep time.Duration
	// nextMove is the earliest time at which advance can have an effect.
	nextMove    time.Time
	frozenUntil time.Time
	updated     time.Time
}

// maxDomains bounds the domains of one vector, since buckets hold a byte.
const maxDomains = 255

func newVector(c keel.ShiftCap) *vector {
	v := &vector{cap: c, keep: c.Window.Std()}
	v.traffic.setWindow(c.Window.Std())
	return v
}

// setCap puts another cap in force. The ledger reaches back only as far as the
// longest window so far, so that a longer one freezes the vector until the
// ledger covers it.
func (v *vector) setCap(now time.Time, c keel.ShiftCap) {
	w := c.Window.Std()
	if w > v.keep {
		if v.cap.Percent > 0 || len(v.ledger.moves) > 0 {
			v.freeze(now.Add(w - v.keep))
		}
		v.keep = w
	}
	v.cap = c
	v.traffic.setWindow(w)
	v.nextMove = now
}

func (v *vector) freeze(until time.Time) {
	if until.After(v.frozenUntil) {
		v.frozenUntil = until
	}
}

// index returns the position of a domain, which it adds if it is new.
func (v *vector) index(d keel.DomainName) (int, bool) {
	if i := slices.Index(v.domains, d); i >= 0 {
		return i, true
	}
	if len(v.domains) >= maxDomains {
		return 0, false
	}
	v.domains = append(v.domains, d)
	v.target = append(v.target, 0)
	v.down = append(v.down, false)
	v.have = append(v.have, 0)
	return len(v.domains) - 1, true
}

// setTarget rounds the weights to whole buckets by the largest remainder.
func (v *vector) setTarget(weights []keel.DomainWeight) {
	clear(v.target)
	for i, n := range apportion(weights, Buckets) {
		if at, ok := v.index(weights[i].Domain); ok {
			v.target[at] += n
		}
	}
	v.nextMove = time.Time{}
}

// fill assigns all buckets at once by the weights, each domain's in one run, so
// that most callers of a block that spans several buckets share a domain.
func (v *vector) fill(weights []keel.DomainWeight) {
	v.setTarget(weights)
	b := 0
	for d, n := range v.target {
		for range n {
			v.bucket[b] = uint8(d)
			b++
		}
		v.have[d] = n
	}
}

// allowance returns how many buckets may move now.
func (v *vector) allowance(now time.Time) int {
	if now.Before(v.frozenUntil) {
		return 0
	}
	left := v.limit() - v.ledger.spent(now, v.cap.Window.Std())
	if n, diverted := v.traffic.sums(now); diverted > 0 {
		left -= (diverted*Buckets + n - 1) / n
	}
	return left
}

// divert counts one more diverted request if that part of the cap allows it.
func (v *vector) divert(now time.Time, part float64) bool {
	if now.Before(v.frozenUntil) {
		return false
	}
	n, diverted := v.traffic.sums(now)
	moved := float64(v.ledger.spent(now, v.cap.Window.Std())) / Buckets
	if moved*float64(n)+float64(diverted+1) > part*v.cap.Percent/100*float64(n) {
		return false
	}
	v.traffic.slot(now).diverted++
	v.diverted = now
	return true
}

func (v *vector) limit() int {
	const epsilon = 1e-9 // makes 0.3 % of 1000 three buckets in spite of rounding
	return int(math.Floor(v.cap.Percent/100*Buckets + epsilon))
}

// step is how many buckets a planned shift moves at a time.
func (v *vector) step() int { return (v.limit() + stepsPerWindow - 1) / stepsPerWindow }

// advance moves buckets of lost domains as far as the cap allows, and then one
// step of the planned shift.
func (v *vector) advance(now time.Time) {
	v.nextMove = now.Add(v.cap.Window.Std() / stepsPerWindow)
	moved := v.moveLost(v.allowance(now))
	if moved == 0 && v.stepDue(now) {
		moved = v.movePlanned(min(v.step(), v.allowance(now)))
	}
	if moved == 0 {
		return
	}
	v.ledger.add(now, moved, v.keep)
	v.updated = now
}

func (v *vector) stepDue(now time.Time) bool {
	n := len(v.ledger.moves)
	if n == 0 {
		return true
	}
	return !now.Before(v.ledger.moves[n-1].At.Add(v.cap.Window.Std() / stepsPerWindow))
}

// moveLost moves buckets of lost domains to the domains furthest below their
// target, and returns how many it moved.
func (v *vector) moveLost(most int) int {
	moved := 0
	if !slices.Contains(v.down, true) {
		return 0
	}
	for b, from := range v.bucket {
		if moved >= most {
			break
		}
		if !v.down[from] {
			continue
		}
		if to := v.neediest(); to >= 0 {
			v.move(b, to)
			moved++
		}
	}
	return moved
}

// movePlanned moves buckets from domains above their target to those below.
func (v *vector) movePlanned(most int) int {
	moved := 0
	for b, from := range v.bucket {
		if moved >= most {
			break
		}
		if v.have[from] <= v.target[from] {
			continue
		}
		to := v.neediest()
		if to < 0 || v.have[to] >= v.target[to] {
			break
		}
		v.move(b, to)
		moved++
	}
	return moved
}

func (v *vector) move(bucket, to int) {
	v.have[v.bucket[bucket]]--
	v.have[to]++
	v.bucket[bucket] = uint8(to)
}

// neediest returns the usable domain with a target that has the smallest part
// of it, or -1.
func (v *vector) neediest() int {
	best, least := -1, math.Inf(1)
	for i, want := range v.target {
		if want == 0 || v.down[i] {
			continue
		}
		if part := float64(v.have[i]) / float64(want); part < least {
			best, least = i, part
		}
	}
	return best
}

func (v *vector) pick(bucket int) (keel.DomainName, bool) {
	at := v.bucket[bucket]
	if v.down[at] {
		return "", false
	}
	return v.domains[at], true
}

// retryAfter returns how long it takes until a bucket may move again.
func (v *vector) retryAfter(now time.Time) time.Duration {
	if v.limit() == 0 {
		return v.cap.Window.Std()
	}
	at := v.ledger.freeAt(now, v.cap.Window.Std())
	if v.frozenUntil.After(at) {
		at = v.frozenUntil
	}
	return max(at.Sub(now), time.Second)
}

func (v *vector) shares() []keel.DomainWeight {
	var list []keel.DomainWeight
	for i, n := range v.have {
		if n > 0 {
			list = append(list, keel.DomainWeight{Domain: v.domains[i], Weight: float64(n) / Buckets})
		}
	}
	slices.SortFunc(list, func(a, b keel.DomainWeight) int {
		return strings.Compare(string(a.Domain), string(b.Domain))
	})
	return list
}

// apportion splits total into whole parts in proportion to the weights, by the
// largest remainder. Equal remainders go to the earlier weight.
func apportion(weights []keel.DomainWeight, total int) []int {
	sum := 0.0
	for _, w := range weights {
		sum += w.Weight
	}
	parts := make([]int, len(weights))
	rest := make([]float64, len(weights))
	left := total
	for i, w := range weights {
		exact := w.Weight / sum * float64(total)
		parts[i] = int(exact)
		rest[i] = exact - float64(parts[i])
		left -= parts[i]
	}
	for ; left > 0; left-- {
		i := maxIndex(rest)
		parts[i]++
		rest[i] = -1
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
