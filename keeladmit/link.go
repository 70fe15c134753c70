package keeladmit

import (
	"math"
	"slices"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// LinkConfig describes one direction of a link as one instance may use it.
type LinkConfig struct {
	Link keel.Link
	// Instances is how many registered instances may send over the link,
	// whether they are alive or not. At least 1.
	Instances int
	// Burst is how long a full rate may be saved up. Default 50 ms.
	Burst time.Duration
}

// LinkBudget bounds the bytes that one instance sends over one direction of a
// link. Without loans it may use an equal part, over all registered instances,
// of the link less its control reserve. Instances that need less lend the rest
// for a short time, so that the sum over all instances never grows.
type LinkBudget struct {
	cfg    LinkConfig
	floor  float64
	lent   []loan
	got    []loan
	all    bucket
	shares map[keel.SelectorName]*bucketShare
}

// Loan is a rate that one instance lends to another.
type Loan struct {
	From keel.InstanceName `json:"from" cbor:"1,keyasint"`
	// Link is the name of the link.
	Link           string  `json:"link" cbor:"2,keyasint"`
	BytesPerSecond float64 `json:"bytes_per_second" cbor:"3,keyasint"`
	// TTL is how long the loan holds from its arrival on.
	TTL keel.Duration `json:"ttl" cbor:"4,keyasint"`
}

// Check reports the faults of the loan.
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

// bucket is a token bucket in bytes.
type bucket struct {
	tokens float64
	at     time.Time
}

type bucketShare struct {
	bucket
	part float64
}

const (
	bitsPerByte = 8
	bitsPerMega = 1e6
	loanMargin  = time.Second
	// highestLent is the part of its floor that an instance lends at most.
	highestLent = 0.9
)

// NewLinkBudget returns the budget of one instance.
func NewLinkBudget(cfg LinkConfig) *LinkBudget {
	setDefault(&cfg.Burst, 50*time.Millisecond)
	setDefault(&cfg.Instances, 1)
	usable := cfg.Link.MegabitsPerSecond * bitsPerMega / bitsPerByte * (1 - cfg.Link.ReservePercent/100)
	return &LinkBudget{
		cfg:    cfg,
		floor:  usable / float64(cfg.Instances),
		shares: map[keel.SelectorName]*bucketShare{},
	}
}

// SetShare bounds a selector to percent of the budget. 0 means no bound.
func (b *LinkBudget) SetShare(selector keel.SelectorName, percent float64) {
	if percent <= 0 {
		delete(b.shares, selector)
		return
	}
	if s, ok := b.shares[selector]; ok {
		s.part = percent / 100
		return
	}
	b.shares[selector] = &bucketShare{part: percent / 100}
}

// Floor returns the rate, in bytes per second, that holds without loans.
func (b *LinkBudget) Floor() float64 { return b.floor }

// Rate returns the rate in force, in bytes per second.
func (b *LinkBudget) Rate(now time.Time) float64 {
	b.lent = dropExpired(b.lent, now)
	b.got = dropExpired(b.got, now)
	return max(0, b.floor-sum(b.lent)+sum(b.got))
}

func dropExpired(list []loan, now time.Time) []loan {
	return slices.DeleteFunc(list, func(l loan) bool { return !now.Before(l.expires) })
}

func sum(list []loan) float64 {
	r := 0.0
	for _, l := range list {
		r += l.rate
	}
	return r
}

// Lend gives away up to rate bytes per second for ttl and returns the loan to
// send to the borrower. The lender goes without it for a while longer, so that
// both never use it. The lender never lends what it borrowed.
func (b *LinkBudget) Lend(now time.Time, self keel.InstanceName, rate float64, ttl time.Duration) Loan {
	b.Rate(now)
	rate = min(rate, max(0, b.floor*highestLent-sum(b.lent)))
	if rate > 0 {
		b.refill(now)
		b.lent = append(b.lent, loan{rate: rate, expires: now.Add(ttl + loanMargin)})
	}
	return Loan{From: self, Link: b.cfg.Link.Name(), BytesPerSecond: rate, TTL: keel.Duration(ttl)}
}

// Borrow takes in a loan of another instance.
func (b *LinkBudget) Borrow(now time.Time, l Loan) {
	if l.Link != b.cfg.Link.Name() || !(l.BytesPerSecond > 0) {
		return
	}
	b.refill(now)
	b.got = append(b.got, loan{rate: l.BytesPerSecond, expires: now.Add(l.TTL.Std())})
}

// Take asks to send n bytes now. It returns how many of them may be sent and
// how long to wait before asking for the rest.
func (b *LinkBudget) Take(now time.Time, n int) (granted int, wait time.Duration) {
	return b.take(now, n, nil)
}

// TakeFor is like Take for the traffic of a selector, which keeps to the
// selector's share as well.
func (b *LinkBudget) TakeFor(now time.Time, selector keel.SelectorName, n int) (granted int, wait time.Duration) {
	return b.take(now, n, b.shares[selector])
}

func (b *LinkBudget) take(now time.Time, n int, s *bucketShare) (int, time.Duration) {
	rate := b.refill(now)
	left := b.all.tokens
	if s != nil {
		s.fill(now, rate*s.part, b.cfg.Burst)
		left = min(left, s.tokens)
		rate *= s.part
	}
	granted := max(0, min(n, int(left)))
	b.all.tokens -= float64(granted)
	if s != nil {
		s.tokens -= float64(granted)
	}
	if granted == n {
		return n, 0
	}
	return granted, waitFor(float64(n-granted), rate, b.cfg.Burst)
}

// waitFor returns how long it takes to save up bytes, or a whole burst.
func waitFor(bytes, rate float64, burst time.Duration) time.Duration {
	if rate <= 0 {
		return time.Second
	}
	need := time.Duration(math.Ceil(bytes / rate * float64(time.Second)))
	return max(time.Millisecond, min(need, burst))
}

func (b *LinkBudget) refill(now time.Time) float64 {
	rate := b.Rate(now)
	b.all.fill(now, rate, b.cfg.Burst)
	return rate
}

func (b *bucket) fill(now time.Time, rate float64, burst time.Duration) {
	most := rate * burst.Seconds()
	if b.at.IsZero() {
		b.at = now
	}
	if age := now.Sub(b.at); age > 0 {
		b.tokens += rate * age.Seconds()
		b.at = now
	}
	b.tokens = min(b.tokens, most)
}
