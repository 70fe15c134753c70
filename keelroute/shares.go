// Package keelroute decides where requests go: which fraction of a source's
// traffic each failure domain gets, and which of the endpoints that an instance
// owns serves a request.
//
// [Shares] moves share vectors towards their targets within the operator's cap
// on shift, and [Targets] computes those targets. [PowerOfTwo] and the baselines
// beside it choose endpoints; [Ejector] excludes outliers and [Ramp] limits
// endpoints that have just started. The package admits and sends no requests;
// see package keeladmit for admission.
//
// Everything here is deterministic: the package reads no clock, draws no random
// numbers and does no I/O; callers pass these in. Nothing in it is safe for
// concurrent use unless its documentation says so.
package keelroute

import (
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// Buckets is the number of equal parts into which a source's traffic is
// divided. The random number or caller key of a request determines its bucket,
// and traffic is shifted in whole buckets.
const Buckets = 1000

// stepsPerWindow is the number of steps in which a planned shift uses up the
// cap of one window, so that a destination can fill its caches between them.
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
	// FirstStart means that there was no traffic before this start, so that none
	// can have been shifted. Otherwise a source without a digest shifts nothing
	// for one window.
	FirstStart bool
}

// Shares holds the share vectors of the traffic that enters through one
// instance.
type Shares struct {
	cfg  SharesConfig
	caps map[keel.SelectorName]keel.ShiftCap
	lost map[keel.DomainName]bool
	// closed holds the domains that have no endpoint for a selector.
	closed  map[selectorDomain]bool
	vectors map[Source]*vector
	// received holds the vectors of merged digests for sources that have no
	// vector here yet.
	received map[Source]VectorDigest
}

// selectorDomain is the pair of a selector and a failure domain.
type selectorDomain struct {
	selector keel.SelectorName
	domain   keel.DomainName
}

// NewShares returns an empty set of share vectors.
func NewShares(cfg SharesConfig) *Shares {
	return &Shares{
		cfg:      cfg,
		caps:     map[keel.SelectorName]keel.ShiftCap{},
		lost:     map[keel.DomainName]bool{},
		closed:   map[selectorDomain]bool{},
		vectors:  map[Source]*vector{},
		received: map[Source]VectorDigest{},
	}
}

// SetCap sets the cap on shift of a selector. Moves within the new window count
// against the new cap. A selector without a cap shifts nothing.
func (s *Shares) SetCap(now time.Time, selector keel.SelectorName, c keel.ShiftCap) {
	s.caps[selector] = c
	for src, v := range s.vectors {
		if src.Selector == selector {
			v.setCap(now, c)
		}
	}
}

// SetTarget sets the weights that the vector of src is shifted towards. The
// first target of a source becomes its vector at once, unless a merged digest
// has a vector for it. A target with a negative weight, or with no positive one,
// is ignored.
func (s *Shares) SetTarget(now time.Time, src Source, target []keel.DomainWeight) {
	if !validWeights(target) {
		return
	}
	v, ok := s.vectors[src]
	if !ok {
		v = s.addVector(now, src, target)
	}
	v.setTarget(target)
	s.refresh(now, src, v)
}

// refresh updates which of the vector's domains are unavailable, and shifts
// traffic accordingly.
func (s *Shares) refresh(now time.Time, src Source, v *vector) {
	for i, d := range v.domains {
		v.unavailable[i] = s.lost[d] || s.closed[selectorDomain{src.Selector, d}]
	}
	v.shift(now)
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

func (s *Shares) addVector(now time.Time, src Source, target []keel.DomainWeight) *vector {
	v := newVector(s.caps[src.Selector])
	if d, ok := s.received[src]; ok {
		v.restore(d)
		delete(s.received, src)
	} else {
		v.assignAll(target)
		v.updated = now
		if !s.cfg.FirstStart {
			v.frozenUntil = now.Add(v.cap.Window.Std())
		}
	}
	s.vectors[src] = v
	return v
}

// Pick counts a request of src and returns its failure domain. random is
// uniform over uint64, or the hash of the caller's block, which keeps a caller
// in the same domain. A key with more traffic than one bucket stands for is
// spread over a proportional number of buckets, so that moving a bucket never
// moves more traffic than it counts as. Pick returns false if src has no vector,
// or if the domain of the bucket is unavailable and the cap doesn't permit
// moving the bucket yet; see [Shares.Refusal].
func (s *Shares) Pick(now time.Time, src Source, random uint64) (keel.DomainName, bool) {
	v, ok := s.vectors[src]
	if !ok {
		return "", false
	}
	if !now.Before(v.nextShift) {
		v.shift(now)
	}
	v.traffic.interval(now).requests++
	return v.pick(v.spread.recordKey(random))
}

// Peek is like [Shares.Pick] but counts no request and shifts no traffic. It
// answers look-ups.
func (s *Shares) Peek(src Source, random uint64) (keel.DomainName, bool) {
	v, ok := s.vectors[src]
	if !ok {
		return "", false
	}
	return v.pick(v.spread.bucketOf(random))
}

// Divert reports whether one request of src may be sent to a different domain
// than Pick returned, for example because that domain has granted no credit. It
// counts the request as diverted if so. Diverted requests and moved buckets
// share the cap on shift. If Divert returns false, the request must be refused.
func (s *Shares) Divert(now time.Time, src Source) bool {
	v, ok := s.vectors[src]
	if !ok {
		return false
	}
	return v.divert(now, 1)
}

// optionalCapFraction is the fraction of the cap up to which optional
// diversions are allowed. The rest is left to moves and to requests that would
// otherwise be refused.
const optionalCapFraction = 0.9

// DivertOptional is like [Shares.Divert] for a request that the domain returned
// by Pick could also serve, only later. It returns false once nine tenths of the
// cap are used. After false, send the request to the domain that Pick returned.
func (s *Shares) DivertOptional(now time.Time, src Source) bool {
	v, ok := s.vectors[src]
	if !ok {
		return false
	}
	return v.divert(now, optionalCapFraction)
}

// Refusal returns the refusal for a request for which Pick returned no domain.
func (s *Shares) Refusal(now time.Time, src Source) *keel.Refusal {
	v, ok := s.vectors[src]
	if !ok {
		return keel.Refuse(keel.NotRun, keel.ReasonNoEndpoint, 0,
			"selector %q has no failure domain for region %q", src.Selector, src.Region)
	}
	return keel.Refuse(keel.NotRun, keel.ReasonShiftCap, v.retryAfter(now),
		"failure domain is lost or has no endpoint, and the cap on shift of selector %q allows no more traffic of region %q to move",
		src.Selector, src.Region)
}

// Vector returns the shares of src, sorted by domain name. They add up to 1. It
// returns nil if src has no vector.
func (s *Shares) Vector(src Source) []keel.DomainWeight {
	v, ok := s.vectors[src]
	if !ok {
		return nil
	}
	return v.shares()
}

// HasVector reports whether src has a vector.
func (s *Shares) HasVector(src Source) bool {
	_, ok := s.vectors[src]
	return ok
}

// MovedFraction returns the fraction of src's buckets, counted once per move,
// that moved within the window of the cap that ends at now.
func (s *Shares) MovedFraction(now time.Time, src Source) float64 {
	v, ok := s.vectors[src]
	if !ok {
		return 0
	}
	return float64(v.ledger.spent(now, v.cap.Window.Std())) / Buckets
}

// MarkLost marks a failure domain as unavailable, because it is unreachable or
// is labelled to drain. Its buckets move at once as far as the cap allows;
// requests of the buckets that can't move are refused.
func (s *Shares) MarkLost(now time.Time, domain keel.DomainName) {
	s.lost[domain] = true
	s.refreshAll(now, "")
}

// MarkReturned marks a lost failure domain as available again. Buckets that did
// not move away are served there at once; the others move back within the cap.
func (s *Shares) MarkReturned(now time.Time, domain keel.DomainName) {
	delete(s.lost, domain)
	s.refreshAll(now, "")
}

// CloseDomain is like [Shares.MarkLost] for the traffic of one selector, for
// example when all endpoints in the domain that match it are leaving.
func (s *Shares) CloseDomain(now time.Time, selector keel.SelectorName, domain keel.DomainName) {
	s.closed[selectorDomain{selector, domain}] = true
	s.refreshAll(now, selector)
}

// OpenDomain reverts [Shares.CloseDomain].
func (s *Shares) OpenDomain(now time.Time, selector keel.SelectorName, domain keel.DomainName) {
	delete(s.closed, selectorDomain{selector, domain})
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

// Sources returns the sources that have a vector, in unspecified order.
func (s *Shares) Sources() []Source {
	list := make([]Source, 0, len(s.vectors))
	for src := range s.vectors {
		list = append(list, src)
	}
	return list
}
