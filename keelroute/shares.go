// Package keelroute decides where requests go: the share of each failure
// domain in a source's traffic, and the endpoint among those of one owner.
//
// [Shares] moves share vectors towards their targets within the operator's cap
// on shift. [Targets] computes those targets. [PowerOfTwo] and the baselines
// beside it choose endpoints; [Ejector] and [Ramp] say which of them to avoid
// or to spare. All of it is deterministic: the package reads no clock, draws no
// random number and does no input or output. Nothing in it is safe for use by
// several goroutines unless it says so.
package keelroute

import (
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// Buckets is the number of equal parts into which a source's traffic is cut.
// A request belongs to the bucket that its random number or caller key falls
// into, and a share moves in whole buckets.
const Buckets = 1000

// stepsPerWindow is into how many steps a shift of a whole cap is cut, so that
// a destination's cache warms between them.
const stepsPerWindow = 10

// Source is a stream of traffic that has its own share vector.
type Source struct {
	Selector keel.SelectorName `json:"selector" cbor:"1,keyasint"`
	// Region is the region of the callers' client blocks.
	Region keel.RegionName `json:"region" cbor:"2,keyasint"`
}

// SharesConfig configures [Shares].
type SharesConfig struct {
	// Self names the instance in its digests.
	Self keel.InstanceName
	// FirstStart says that no traffic flowed before, so that nothing can have
	// been shifted yet. Otherwise a source without a digest moves nothing for
	// one window.
	FirstStart bool
}

// Shares holds the share vectors of the traffic that enters through one
// instance.
type Shares struct {
	cfg     SharesConfig
	caps    map[keel.SelectorName]keel.ShiftCap
	lost    map[keel.DomainName]bool
	closed  map[closure]bool
	vectors map[Source]*vector
	// learnt holds vectors of other instances for sources that have no vector
	// here yet.
	learnt map[Source]VectorDigest
}

// closure is a failure domain that has no endpoint for a selector.
type closure struct {
	selector keel.SelectorName
	domain   keel.DomainName
}

// NewShares returns an empty set of share vectors.
func NewShares(cfg SharesConfig) *Shares {
	return &Shares{
		cfg:     cfg,
		caps:    map[keel.SelectorName]keel.ShiftCap{},
		lost:    map[keel.DomainName]bool{},
		closed:  map[closure]bool{},
		vectors: map[Source]*vector{},
		learnt:  map[Source]VectorDigest{},
	}
}

// SetCap sets the cap of a selector. What was moved within the new window
// counts against the new cap. A selector without a cap moves nothing.
func (s *Shares) SetCap(now time.Time, selector keel.SelectorName, c keel.ShiftCap) {
	s.caps[selector] = c
	for src, v := range s.vectors {
		if src.Selector == selector {
			v.setCap(now, c)
		}
	}
}

// SetTarget sets what the vector of src moves towards. The first target of a
// source without a known vector becomes its vector at once. Weights that are
// negative or all zero leave the target as it is.
func (s *Shares) SetTarget(now time.Time, src Source, target []keel.DomainWeight) {
	if !validWeights(target) {
		return
	}
	v, ok := s.vectors[src]
	if !ok {
		v = s.start(now, src, target)
	}
	v.setTarget(target)
	s.refresh(now, src, v)
}

// refresh tells the vector which of its domains take no traffic, and lets it
// move.
func (s *Shares) refresh(now time.Time, src Source, v *vector) {
	for i, d := range v.domains {
		v.down[i] = s.lost[d] || s.closed[closure{src.Selector, d}]
	}
	v.advance(now)
}

func validWeights(target []keel.DomainWeight) bool {
	sum := 0.0
	for _, w := range target {
		if !(w.Weight >= 0) {
			return false
		}
		sum += w.Weight
	}
	return sum > 0
}

func (s *Shares) start(now time.Time, src Source, target []keel.DomainWeight) *vector {
	v := newVector(s.caps[src.Selector])
	if d, ok := s.learnt[src]; ok {
		v.restore(d)
		delete(s.learnt, src)
	} else {
		v.fill(target)
		v.updated = now
		if !s.cfg.FirstStart {
			v.frozenUntil = now.Add(v.cap.Window.Std())
		}
	}
	s.vectors[src] = v
	return v
}

// Pick returns the failure domain for a request of src. random is uniform over
// uint64, or the hash of the caller's block, so that a caller stays where it
// is. Requests of a key with more than a bucket's part of the traffic are spread
// over as many buckets as their part, so that moving a bucket never moves more
// than it counts for. It returns false if src has no vector, or if the bucket's domain is lost
// and the cap does not let the bucket move yet; see [Shares.Refusal].
func (s *Shares) Pick(now time.Time, src Source, random uint64) (keel.DomainName, bool) {
	v, ok := s.vectors[src]
	if !ok {
		return "", false
	}
	if !now.Before(v.nextMove) {
		v.advance(now)
	}
	v.traffic.slot(now).requests++
	return v.pick(v.spread.count(random))
}

// Peek returns what Pick would return for a look-up. It counts no request.
func (s *Shares) Peek(src Source, random uint64) (keel.DomainName, bool) {
	v, ok := s.vectors[src]
	if !ok {
		return "", false
	}
	return v.pick(v.spread.bucket(random))
}

// Divert asks leave to send one request of src elsewhere than Pick said, as
// when that domain gives no credit. Diverted requests count as shifted traffic:
// together with the buckets that moved they keep within the cap, in whole
// requests. If Divert returns false, the request must be refused.
func (s *Shares) Divert(now time.Time, src Source) bool {
	v, ok := s.vectors[src]
	if !ok {
		return false
	}
	return v.divert(now, 1)
}

// optionalPart is the part of a cap that requests may use up which would also
// be served where Pick said.
const optionalPart = 0.9

// DivertOptional is like [Shares.Divert] for a request that Pick's domain would
// serve as well, only later. It leaves a tenth of the cap to moves and to requests
// that would be refused.
func (s *Shares) DivertOptional(now time.Time, src Source) bool {
	v, ok := s.vectors[src]
	if !ok {
		return false
	}
	return v.divert(now, optionalPart)
}

// Refusal returns the refusal for a request that Pick found no domain for.
func (s *Shares) Refusal(now time.Time, src Source) *keel.Refusal {
	v, ok := s.vectors[src]
	if !ok {
		return keel.Refuse(keel.NotRun, keel.ReasonNoEndpoint, 0,
			"selector %q has no failure domain for region %q", src.Selector, src.Region)
	}
	return keel.Refuse(keel.NotRun, keel.ReasonShiftCap, v.retryAfter(now),
		"failure domain is lost and the cap of selector %q lets no more traffic of region %q move",
		src.Selector, src.Region)
}

// Vector returns the shares of src in the order of the domains' names. They add
// up to 1. It returns nil if src has no vector.
func (s *Shares) Vector(src Source) []keel.DomainWeight {
	v, ok := s.vectors[src]
	if !ok {
		return nil
	}
	return v.shares()
}

// Known reports whether src has a vector.
func (s *Shares) Known(src Source) bool {
	_, ok := s.vectors[src]
	return ok
}

// Spent returns the part of src's traffic, from 0 to 1, that moved within the
// cap's window that ends now.
func (s *Shares) Spent(now time.Time, src Source) float64 {
	v, ok := s.vectors[src]
	if !ok {
		return 0
	}
	return float64(v.ledger.spent(now, v.cap.Window.Std())) / Buckets
}

// Lost says that a failure domain takes no traffic, because it can't be reached
// or is labelled to drain. Its buckets move at once as far as the cap allows.
func (s *Shares) Lost(now time.Time, domain keel.DomainName) {
	s.lost[domain] = true
	s.refreshAll(now, "")
}

// Returned says that a lost failure domain takes traffic again. Buckets that
// did not move away are served there at once; the others move back under the
// cap.
func (s *Shares) Returned(now time.Time, domain keel.DomainName) {
	delete(s.lost, domain)
	s.refreshAll(now, "")
}

// Close is like Lost for the traffic of one selector, as when all endpoints
// that it matches in the domain leave.
func (s *Shares) Close(now time.Time, selector keel.SelectorName, domain keel.DomainName) {
	s.closed[closure{selector, domain}] = true
	s.refreshAll(now, selector)
}

// Open ends what Close began.
func (s *Shares) Open(now time.Time, selector keel.SelectorName, domain keel.DomainName) {
	delete(s.closed, closure{selector, domain})
	s.refreshAll(now, selector)
}

// refreshAll refreshes the vectors of one selector, or of all for "".
func (s *Shares) refreshAll(now time.Time, selector keel.SelectorName) {
	for src, v := range s.vectors {
		if selector == "" || src.Selector == selector {
			s.refresh(now, src, v)
		}
	}
}

// Sources returns the sources that have a vector, in no certain order.
func (s *Shares) Sources() []Source {
	list := make([]Source, 0, len(s.vectors))
	for src := range s.vectors {
		list = append(list, src)
	}
	return list
}
