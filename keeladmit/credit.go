package keeladmit

import (
	"cmp"
	"slices"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// Want is a failure domain's request for credits: how many requests of a service
// it needs to have in flight at another domain.
type Want struct {
	Domain  keel.DomainName  `json:"domain" cbor:"1,keyasint"`
	Service keel.ServiceName `json:"service" cbor:"2,keyasint"`
	Slots   int              `json:"slots" cbor:"3,keyasint"`
}

// Grant gives a failure domain credits: until it expires, the domain may have
// Slots requests of a service in flight at Grantor.
type Grant struct {
	Grantor keel.InstanceName `json:"grantor" cbor:"1,keyasint"`
	// Domain is the failure domain that receives the credits.
	Domain  keel.DomainName  `json:"domain" cbor:"2,keyasint"`
	Service keel.ServiceName `json:"service" cbor:"3,keyasint"`
	Slots   int              `json:"slots" cbor:"4,keyasint"`
	// TTL is how long the grant is valid, counted from its arrival. The grantor
	// counts it as valid for longer, so that no synchronized clocks are needed.
	TTL keel.Duration `json:"ttl" cbor:"5,keyasint"`
	// Members lists the domain's instances that share the grant, sorted by name.
	// The slots are split among exactly these.
	Members []keel.InstanceName `json:"members" cbor:"6,keyasint"`
	// Number increases with each grant of the grantor. It orders the grants and
	// determines which members get the remainder; see [SplitCredit].
	Number uint64 `json:"number" cbor:"7,keyasint"`
}

const (
	maxGrantSlots   = 1_000_000
	maxGrantTTL     = keel.Duration(time.Minute)
	maxGrantMembers = 10_000
)

// Check validates the want and returns its faults.
func (w *Want) Check() keel.Faults {
	fs := keel.CheckName("domain", w.Domain)
	fs = append(fs, keel.CheckName("service", w.Service)...)
	return append(fs, checkSlots(w.Slots)...)
}

func checkSlots(n int) keel.Faults {
	var fs keel.Faults
	if n < 0 || n > maxGrantSlots {
		fs.Add("slots", "is %d, must lie between 0 and %d", n, maxGrantSlots)
	}
	return fs
}

// Check validates the grant and returns its faults.
func (g *Grant) Check() keel.Faults {
	fs := keel.CheckName("grantor", g.Grantor)
	fs = append(fs, keel.CheckName("domain", g.Domain)...)
	fs = append(fs, keel.CheckName("service", g.Service)...)
	fs = append(fs, checkSlots(g.Slots)...)
	if g.TTL <= 0 || g.TTL > maxGrantTTL {
		fs.Add("ttl", "is %s, must lie between 0s and %s", g.TTL, maxGrantTTL)
	}
	if len(g.Members) == 0 || len(g.Members) > maxGrantMembers {
		fs.Add("members", "has %d instances, must have 1 to %d", len(g.Members), maxGrantMembers)
	}
	for i := 1; i < len(g.Members); i++ {
		if g.Members[i-1] >= g.Members[i] {
			fs.Add("members", "must be sorted and without duplicates")
			break
		}
	}
	return fs
}

// GrantorConfig configures a [Grantor]. Zero values mean the defaults.
type GrantorConfig struct {
	Self keel.InstanceName
	// TTL is how long a grant is valid at its receiver. Default 2 s.
	TTL time.Duration
	// Margin is how much longer the grantor counts a grant as valid. It covers
	// the delivery of the grant and clock drift. Default 1 s.
	Margin time.Duration
}

// Grantor grants credits for the endpoints that this instance owns to other
// failure domains. The unexpired grants of a service never add up to more than
// the spare slots that were set when they were issued.
type Grantor struct {
	cfg      GrantorConfig
	services map[keel.ServiceName]*serviceGrants
	number   uint64
}

// serviceGrants holds the spare slots of one service and the grants issued from
// them.
type serviceGrants struct {
	spare   int
	senders []*sender
}

// sender is a failure domain that requests credits for a service.
type sender struct {
	domain  keel.DomainName
	members []keel.InstanceName
	want    int
	wantAt  time.Time
	// issued holds the grants that may still be valid, the oldest first.
	issued []issuedGrant
}

type issuedGrant struct {
	Grant
	expires time.Time
}

// NewGrantor returns a grantor without spare slots.
func NewGrantor(cfg GrantorConfig) *Grantor {
	setDefault(&cfg.TTL, 2*time.Second)
	setDefault(&cfg.Margin, time.Second)
	return &Grantor{cfg: cfg, services: map[keel.ServiceName]*serviceGrants{}}
}

// SetSpare sets how many requests of other failure domains may be in flight for
// a service, including those that are in flight already.
func (g *Grantor) SetSpare(service keel.ServiceName, slots int) {
	g.serviceGrants(service).spare = max(0, slots)
}

// SetWant records the want of a failure domain and the domain's instances that
// share its grants, which must be sorted by name. A want that isn't renewed
// within the TTL expires.
func (g *Grantor) SetWant(now time.Time, w Want, members []keel.InstanceName) {
	s := g.serviceGrants(w.Service).findOrAddSender(w.Domain)
	s.want = max(0, w.Slots)
	s.wantAt = now
	s.members = slices.Clone(members)
}

func (g *Grantor) serviceGrants(service keel.ServiceName) *serviceGrants {
	b, ok := g.services[service]
	if !ok {
		b = &serviceGrants{}
		g.services[service] = b
	}
	return b
}

func (b *serviceGrants) findOrAddSender(domain keel.DomainName) *sender {
	i, ok := slices.BinarySearchFunc(b.senders, domain, func(s *sender, d keel.DomainName) int {
		return cmp.Compare(s.domain, d)
	})
	if !ok {
		b.senders = slices.Insert(b.senders, i, &sender{domain: domain})
	}
	return b.senders[i]
}

// IssueGrants issues new grants for a service, one for each failure domain with
// a want. If the spare slots don't suffice, they are divided in proportion to
// the wants. Call it about four times per TTL, so that a lost grant is replaced
// before the one before it expires.
func (g *Grantor) IssueGrants(now time.Time, service keel.ServiceName) []Grant {
	b := g.serviceGrants(service)
	outstanding := 0
	for _, s := range b.senders {
		s.expire(now, g.cfg.TTL)
		outstanding += s.outstanding()
	}
	free := max(0, b.spare-outstanding)
	var list []Grant
	for i, slots := range b.splitSpare() {
		s := b.senders[i]
		if s.want == 0 && slots == 0 || len(s.members) == 0 {
			continue
		}
		before := s.outstanding()
		grant := g.issue(now, service, s, slots)
		for s.outstanding()-before > free {
			grant.Slots--
			s.issued[len(s.issued)-1].Slots--
		}
		free -= s.outstanding() - before
		list = append(list, grant)
	}
	return list
}

func (g *Grantor) issue(now time.Time, service keel.ServiceName, s *sender, slots int) Grant {
	g.number++
	grant := Grant{
		Grantor: g.cfg.Self, Domain: s.domain, Service: service, Slots: slots,
		TTL: keel.Duration(g.cfg.TTL), Members: s.members, Number: g.number,
	}
	s.issued = append(s.issued, issuedGrant{Grant: grant, expires: now.Add(g.cfg.TTL + g.cfg.Margin)})
	return grant
}

// Granted returns how many slots of a service are covered by unexpired grants.
func (g *Grantor) Granted(now time.Time, service keel.ServiceName) int {
	n := 0
	for _, s := range g.serviceGrants(service).senders {
		s.expire(now, g.cfg.TTL)
		n += s.outstanding()
	}
	return n
}

// splitSpare divides the spare slots among the senders in proportion to their
// wants. No sender gets more than it wants.
func (b *serviceGrants) splitSpare() []int {
	sum := 0
	for _, s := range b.senders {
		sum += s.want
	}
	parts := make([]int, len(b.senders))
	if sum <= b.spare {
		for i, s := range b.senders {
			parts[i] = s.want
		}
		return parts
	}
	return b.largestRemainders(parts, sum)
}

// largestRemainders sets parts to the spare slots divided in proportion to the
// wants, whose sum is given. Those left over by rounding down go to the largest
// remainders.
func (b *serviceGrants) largestRemainders(parts []int, sum int) []int {
	order := make([]int, len(parts))
	left := b.spare
	for i, s := range b.senders {
		parts[i] = s.want * b.spare / sum
		left -= parts[i]
		order[i] = i
	}
	slices.SortStableFunc(order, func(i, j int) int {
		return cmp.Compare(b.senders[j].want*b.spare%sum, b.senders[i].want*b.spare%sum)
	})
	for _, i := range order[:left] {
		parts[i]++
	}
	return parts
}

func (s *sender) expire(now time.Time, ttl time.Duration) {
	s.issued = slices.DeleteFunc(s.issued, func(g issuedGrant) bool { return !now.Before(g.expires) })
	if now.Sub(s.wantAt) > ttl {
		s.want = 0
	}
}

// outstanding returns the largest number of credits that the sender's members
// may hold together. A later grant replaces an earlier one, but some members may
// not have received it.
func (s *sender) outstanding() int {
	n := 0
	for i := range s.issued {
		for _, m := range s.issued[i].Members {
			n += s.addedSlots(i, m)
		}
	}
	return n
}

// addedSlots returns by how much the member's share of issued grant i exceeds
// its share of each earlier one.
func (s *sender) addedSlots(i int, member keel.InstanceName) int {
	most := 0
	for j := range i {
		most = max(most, SplitCredit(s.issued[j].Grant, member))
	}
	return max(0, SplitCredit(s.issued[i].Grant, member)-most)
}
