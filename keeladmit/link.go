package keeladmit

import (
	"math"
	"slices"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// LinkConfig configures a [LinkBudget]. Zero values of Instances and Burst mean
// the defaults.
type LinkConfig struct {
	Link keel.Link
	// Instances is how many registered instances may send over the link,
	// whether they are alive or not. Default 1.
	Instances int
	// Burst is the capacity of the token buckets, as the time in which they fill
	// at the full rate. Default 50 ms.
	Burst time.Duration
}

// LinkBudget limits the bytes that one instance sends over one direction of a
// link. Its base rate is the rate of the link, less the reserve for control
// traffic, divided equally among all registered instances. Instances that need
// less lend the rest to others for a short time, so that the sum of the rates of
// all instances never exceeds that of the link.
type LinkBudget struct {
	cfg      LinkConfig
	baseRate float64
	lent     []loan
	borrowed []loan
	total    tokenBucket
	shares   map[keel.SelectorName]*selectorBucket
}

// Loan is a rate that one instance lends to another.
type Loan struct {
	From keel.InstanceName `json:"from" cbor:"1,keyasint"`
	// Link is the name of the link.
	Link           string  `json:"link" cbor:"2,keyasint"`
	BytesPerSecond float64 `json:"bytes_per_second" cbor:"3,keyasint"`
	// TTL is how long the loan is valid, counted from its arrival.
	TTL keel.Duration `json:"ttl" cbor:"4,keyasint"`
}

// Check validates the loan and returns its faults.
func (l *Loan) Check() keel.Faults {
	fs := keel.CheckName("from", l.From)
	if !(l.BytesPerSecond >= 0) || math.IsInf(l.BytesPerSecond, 0) {
		fs.Add("bytes_per_second", "is %v, must be a number that is not negative", l.BytesPerSecond)
	}
	if l.TTL <= 0 || l.TTL > maxGrantTTL {
		fs.Add("ttl", "is %s, must lie between 0s and %s", l.TTL, maxGrantTTL)
	}
	return fs
}

type loan struct {
	rate    float64
	expires time.Time
}

// tokenBucket is a token bucket whose tokens are bytes.
type tokenBucket struct {
	tokens   float64
	filledAt time.Time
}

type selectorBucket struct {
	tokenBucket
	fraction float64
}

const (
	bitsPerByte = 8
	bitsPerMega = 1e6
	loanMargin  = time.Second
	// maxLentFraction is the largest fraction of its base rate that an instance
	// lends.
	maxLentFraction = 0.9
)

// NewLinkBudget returns the budget of one instance.
func NewLinkBudget(cfg LinkConfig) *LinkBudget {
	setDefault(&cfg.Burst, 50*time.Millisecond)
	setDefault(&cfg.Instances, 1)
	usable := cfg.Link.MegabitsPerSecond * bitsPerMega / bitsPerByte * (1 - cfg.Link.ReservePercent/100)
	return &LinkBudget{
		cfg:      cfg,
		baseRate: usable / float64(cfg.Instances),
		shares:   map[keel.SelectorName]*selectorBucket{},
	}
}

// SetShare limits a selector to percent of the rate. 0 removes the limit.
func (b *LinkBudget) SetShare(selector keel.SelectorName, percent float64) {
	if percent <= 0 {
		delete(b.shares, selector)
		return
	}
	if s, ok := b.shares[selector]; ok {
		s.fraction = percent / 100
		return
	}
	b.shares[selector] = &selectorBucket{fraction: percent / 100}
}

// BaseRate returns the base rate, in bytes per second: the rate without loans.
func (b *LinkBudget) BaseRate() float64 { return b.baseRate }

// Rate returns the present rate, in bytes per second, including loans.
func (b *LinkBudget) Rate(now time.Time) float64 {
	b.lent = dropExpired(b.lent, now)
	b.borrowed = dropExpired(b.borrowed, now)
	return max(0, b.baseRate-totalRate(b.lent)+totalRate(b.borrowed))
}

func dropExpired(list []loan, now time.Time) []loan {
	return slices.DeleteFunc(list, func(l loan) bool { return !now.Before(l.expires) })
}

func totalRate(list []loan) float64 {
	r := 0.0
	for _, l := range list {
		r += l.rate
	}
	return r
}

// Lend reduces this budget by up to rate bytes per second and returns the loan,
// valid for ttl, to send to the borrower. The lender's rate stays reduced for
// loanMargin longer, so that both never use the lent rate at once. A borrowed
// rate is never lent on.
func (b *LinkBudget) Lend(now time.Time, self keel.InstanceName, rate float64, ttl time.Duration) Loan {
	b.Rate(now)
	rate = min(rate, max(0, b.baseRate*maxLentFraction-totalRate(b.lent)))
	if rate > 0 {
		b.refillTokens(now)
		b.lent = append(b.lent, loan{rate: rate, expires: now.Add(ttl + loanMargin)})
	}
	return Loan{From: self, Link: b.cfg.Link.Name(), BytesPerSecond: rate, TTL: keel.Duration(ttl)}
}

// Borrow adds a loan of another instance. Loans for other links are ignored.
func (b *LinkBudget) Borrow(now time.Time, l Loan) {
	if l.Link != b.cfg.Link.Name() || !(l.BytesPerSecond > 0) {
		return
	}
	b.refillTokens(now)
	b.borrowed = append(b.borrowed, loan{rate: l.BytesPerSecond, expires: now.Add(l.TTL.Std())})
}

// Take requests to send n bytes at now. It returns how many of them may be sent,
// and how long to wait before requesting the rest.
func (b *LinkBudget) Take(now time.Time, n int) (granted int, wait time.Duration) {
	return b.take(now, n, nil)
}

// TakeFor is like [LinkBudget.Take] for the traffic of a selector, which is also
// limited by the selector's share.
func (b *LinkBudget) TakeFor(now time.Time, selector keel.SelectorName, n int) (granted int, wait time.Duration) {
	return b.take(now, n, b.shares[selector])
}

func (b *LinkBudget) take(now time.Time, n int, s *selectorBucket) (int, time.Duration) {
	rate := b.refillTokens(now)
	available := b.total.tokens
	if s != nil {
		s.fill(now, rate*s.fraction, b.cfg.Burst)
		available = min(available, s.tokens)
		rate *= s.fraction
	}
	granted := max(0, min(n, int(available)))
	b.total.tokens -= float64(granted)
	if s != nil {
		s.tokens -= float64(granted)
	}
	if granted == n {
		return n, 0
	}
	return granted, waitFor(float64(n-granted), rate, b.cfg.Burst)
}

// waitFor returns how long it takes to refill the given number of bytes, but at
// most burst and at least a millisecond. It returns a second if the rate is 0.
func waitFor(bytes, rate float64, burst time.Duration) time.Duration {
	if rate <= 0 {
		return time.Second
	}
	need := time.Duration(math.Ceil(bytes / rate * float64(time.Second)))
	return max(time.Millisecond, min(need, burst))
}

func (b *LinkBudget) refillTokens(now time.Time) float64 {
	rate := b.Rate(now)
	b.total.fill(now, rate, b.cfg.Burst)
	return rate
}

func (b *tokenBucket) fill(now time.Time, rate float64, burst time.Duration) {
	most := rate * burst.Seconds()
	if b.filledAt.IsZero() {
		b.filledAt = now
	}
	if age := now.Sub(b.filledAt); age > 0 {
		b.tokens += rate * age.Seconds()
		b.filledAt = now
	}
	b.tokens = min(b.tokens, most)
}
