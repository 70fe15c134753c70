package keeladmit

import (
	"cmp"
	"slices"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// Want is how many requests of a service a failure domain would like to have in
// flight at another one.
type Want struct {
	Domain  keel.DomainName  `json:"domain" cbor:"1,keyasint"`
	Service keel.ServiceName `json:"service" cbor:"2,keyasint"`
	Slots   int              `json:"slots" cbor:"3,keyasint"`
}

// Grant allows a failure domain to have Slots requests of a service in flight
// at Grantor, until it expires.
type Grant struct {
	Grantor keel.InstanceName `json:"grantor" cbor:"1,keyasint"`
	// Domain is the failure domain that may send.
	Domain  keel.DomainName  `json:"domain" cbor:"2,keyasint"`
	Service keel.ServiceName `json:"service" cbor:"3,keyasint"`
	Slots   int              `json:"slots" cbor:"4,keyasint"`
	// TTL is how long the grant holds from its arrival on. The grantor counts
	// it for longer, so that their clocks need not agree.
	TTL keel.Duration `json:"ttl" cbor:"5,keyasint"`
	// Members lists the registered instances of the domain as the grantor knows
	// them, in order. The slots are split among just these.
	Members []keel.InstanceName `json:"members" cbor:"6,keyasint"`
	// Number rises with each grant of the grantor. It decides, slowly, which
	// members get a remainder.
	Number uint64 `json:"number" cbor:"7,keyasint"`
}

const (
	maxGrantSlots   = 1_000_000
	maxGrantTTL     = keel.Duration(time.Minute)
	maxGrantMembers = 10_000
)

// Check reports the faults of the want.
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

// Check reports the faults of the grant.
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
			fs.Add("members", "must be in order and without doubles")
			break
		}
	}
	return fs
}

// GrantorConfig configures a [Grantor]. Zero values mean the defaults.
type GrantorConfig struct {
	Self keel.InstanceName
	// TTL is how long a grant holds at the sender. Default 2 s.
	TTL time.Duration
	// Margin is how much longer it counts at the grantor, for its way there and
	// clocks that run at different speeds. Default 1 s.
	Margin time.Duration
}

// Grantor grants other failure domains slots of the endpoints that this
// instance owns. Grants that have not expired never add up to more than the
// spare slots that were known when they were made.
type Grantor struct {
	cfg      GrantorConfig
	services map[keel.ServiceName]*grantBook
	number   uint64
}

// grantBook holds what one service has to give and what was given.
type grantBook struct {
	spare   int
	senders []*sender
}

type sender struct {
	domain  keel.DomainName
	members []keel.InstanceName
	want    int
	wantAt  time.Time
	issued  []issuedGrant
}

type issuedGrant struct {
	Grant
	expires time.Time
}

// NewGrantor returns a grantor that has nothing to give.
func NewGrantor(cfg GrantorConfig) *Grantor {
	setDefault(&cfg.TTL, 2*time.Second)
	setDefault(&cfg.Margin, time.Second)
	return &Grantor{cfg: cfg, services: map[keel.ServiceName]*grantBook{}}
}

// SetSpare says how many slots of a service may run requests of other failure
// domains, counting those that do so now.
func (g *Grantor) SetSpare(service keel.ServiceName, slots int) {
	g.book(service).spare = max(0, slots)
}

// SetWant records what a failure domain wants and which instances it has.
// Members must be in order. A want that is not renewed within the TTL lapses.
func (g *Grantor) SetWant(now time.Time, w Want, members []keel.InstanceName) {
	s := g.book(w.Service).sender(w.Domain)
	s.want = max(0, w.Slots)
	s.wantAt = now
	s.members = slices.Clone(members)
}

func (g *Grantor) book(service keel.ServiceName) *grantBook {
	b, ok := g.services[service]
	if !ok {
		b = &grantBook{}
		g.services[service] = b
	}
	return b
}

func (b *grantBook) sender(domain keel.DomainName) *sender {
	i, ok := slices.BinarySearchFunc(b.senders, domain, func(s *sender, d keel.DomainName) int {
		return cmp.Compare(s.domain, d)
	})
	if !ok {
		b.senders = slices.Insert(b.senders, i, &sender{domain: domain})
	}
	return b.senders[i]
}

// Grants makes new grants of a service, one for each failure domain that wants
// some, in proportion to the wants. Call it about four times per TTL.
func (g *Grantor) Grants(now time.Time, service keel.ServiceName) []Grant {
	b := g.book(service)
	held := 0
	for _, s := range b.senders {
		s.expire(now, g.cfg.TTL)
		held += s.held()
	}
	free := max(0, b.spare-held)
	var list []Grant
	for i, part := range b.split() {
		s := b.senders[i]
		if s.want == 0 && part == 0 || len(s.members) == 0 {
			continue
		}
		before := s.held()
		grant := g.issue(now, service, s, part)
		for s.held()-before > free {
			grant.Slots--
			s.issued[len(s.issued)-1].Slots--
		}
		free -= s.held() - before
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

// Granted returns the slots of a service that unexpired grants hold.
func (g *Grantor) Granted(now time.Time, service keel.ServiceName) int {
	n := 0
	for _, s := range g.book(service).senders {
		s.expire(now, g.cfg.TTL)
		n += s.held()
	}
	return n
}

// split divides the spare slots among the senders by their wants.
func (b *grantBook) split() []int {
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

func (b *grantBook) largestRemainders(parts []int, sum int) []int {
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

// held returns the most slots that the sender's members may believe to have
// together. A later grant replaces an earlier one, but may have been lost on
// the way to some of them.
func (s *sender) held() int {
	n := 0
	for i := range s.issued {
		for _, m := range s.issued[i].Members {
			n += s.raise(i, m)
		}
	}
	return n
}

// raise returns by how much the member's part of grant i exceeds all of its
// earlier ones.
func (s *sender) raise(i int, member keel.InstanceName) int {
	most := 0
	for j := range i {
		most = max(most, SplitCredit(s.issued[j].Grant, member))
	}
	return max(0, SplitCredit(s.issued[i].Grant, member)-most)
}
