package keelclaim

import (
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// Message is a request of a claimant or a holder to a holder. Exactly one field
// is set.
type Message struct {
	VoteRequest *VoteRequest `cbor:"1,keyasint,omitempty"`
	Settle      *Settle      `cbor:"2,keyasint,omitempty"`
	Release     *Release     `cbor:"3,keyasint,omitempty"`
	Fetch       *Fetch       `cbor:"4,keyasint,omitempty"`
	Refill      *Refill      `cbor:"5,keyasint,omitempty"`
	Push        *Push        `cbor:"6,keyasint,omitempty"`
	Hello       *Hello       `cbor:"7,keyasint,omitempty"`
}

// Attempt identifies one try to dispatch a keyed request.
type Attempt struct {
	Instance    keel.InstanceName `json:"instance" cbor:"1,keyasint"`
	Incarnation uint64            `json:"incarnation" cbor:"2,keyasint"`
	Counter     uint64            `json:"counter" cbor:"3,keyasint"`
}

// VoteRequest asks for a holder's vote.
type VoteRequest struct {
	Key      KeyID   `cbor:"1,keyasint"`
	Attempt  Attempt `cbor:"2,keyasint"`
	BodyHash uint64  `cbor:"3,keyasint"`
	// Remaining is the time until the deadline of the request.
	Remaining keel.Duration `cbor:"4,keyasint"`
	// Ticket is set if the key is a ticket.
	Ticket *TicketFacts `cbor:"5,keyasint,omitempty"`
}

// TicketFacts is the part of a ticket that holders check.
type TicketFacts struct {
	IssuedAt     time.Time        `cbor:"1,keyasint"`
	Incarnations []IncarnationTag `cbor:"2,keyasint,omitempty"`
}

// Outcome is the result of an attempt that dispatched its request.
type Outcome uint8

// Outcomes of an attempt.
const (
	// OutcomeUnknown means that bytes reached an endpoint and no whole answer
	// came back.
	OutcomeUnknown Outcome = iota + 1
	// OutcomeRan means that the request ran.
	OutcomeRan
)

// Settle records the outcome of an attempt.
type Settle struct {
	Key      KeyID   `cbor:"1,keyasint"`
	Attempt  Attempt `cbor:"2,keyasint"`
	BodyHash uint64  `cbor:"3,keyasint"`
	Outcome  Outcome `cbor:"4,keyasint"`
	// Answer is the whole answer; only the holders that are to keep it receive
	// it.
	Answer *Answer `cbor:"5,keyasint,omitempty"`
}

// Release withdraws the vote for an attempt that has dispatched nothing and
// never will.
type Release struct {
	Key     KeyID   `cbor:"1,keyasint"`
	Attempt Attempt `cbor:"2,keyasint"`
}

// Fetch asks for the recorded answer of a key.
type Fetch struct {
	Key      KeyID  `cbor:"1,keyasint"`
	BodyHash uint64 `cbor:"2,keyasint"`
}

// Refill asks a holder for the claims after a position in its list.
type Refill struct {
	// Incarnation is the incarnation number of the asking holder. For every
	// attempt that the receiver votes for from now on, the votes of earlier
	// incarnations are void.
	Incarnation uint64 `cbor:"1,keyasint"`
	After       uint64 `cbor:"2,keyasint"`
}

// Push carries the claims of a holder that leaves.
type Push struct {
	Records []PageRecord `cbor:"1,keyasint"`
}

// Hello asks a holder for its incarnation number.
type Hello struct{}

// Reply is a holder's answer to a [Message].
type Reply struct {
	// Incarnation is the incarnation number of the holder that replies.
	Incarnation uint64  `cbor:"1,keyasint"`
	Phase       Phase   `cbor:"2,keyasint"`
	Vote        *Vote   `cbor:"3,keyasint,omitempty"`
	Answer      *Answer `cbor:"4,keyasint,omitempty"`
	Page        *Page   `cbor:"5,keyasint,omitempty"`
}

// VoteType is a holder's answer to a [VoteRequest].
type VoteType uint8

// Answers to a vote request.
const (
	// VoteGranted means that the holder votes for the attempt and for no other.
	VoteGranted VoteType = iota + 1
	// VoteHeld means that the holder has a record of another attempt for the
	// key.
	VoteHeld
	// VoteAbstain means that the holder can't vote for the attempt, or not yet.
	VoteAbstain
	// VoteBarrier means that the holder has lost its claims, and that the key
	// may have been used before the loss.
	VoteBarrier
	// VoteFull means that the holder has reached its limit of claims.
	VoteFull
	// VoteExpired means that the ticket is too old, or that the holder's clock
	// and the issuer's don't agree.
	VoteExpired
)

// Vote answers a [VoteRequest].
type Vote struct {
	Type VoteType `cbor:"1,keyasint"`
	// State is the state of the claim that holds the key.
	State State `cbor:"2,keyasint,omitempty"`
	// BodyHash is the body hash of the claim that holds the key.
	BodyHash uint64 `cbor:"3,keyasint,omitempty"`
	// MixedBodies says that the claim has attempts with several bodies, of
	// which at most one may dispatch.
	MixedBodies bool `cbor:"6,keyasint,omitempty"`
	// Wait is the time until the deadline of the running attempt, or until the
	// barrier ends.
	Wait keel.Duration `cbor:"4,keyasint,omitempty"`
	// Fences lists the holders whose votes from earlier incarnations are void.
	Fences []Fence `cbor:"5,keyasint,omitempty"`
	// Former lists former sets, for a claimant that does not have them.
	Former []FormerSet `cbor:"7,keyasint,omitempty"`
}

// FormerSet is a set of holders that was replaced within the retention.
type FormerSet struct {
	Holders []keel.InstanceName `cbor:"1,keyasint"`
	// Age is the time since the set was replaced.
	Age keel.Duration `cbor:"2,keyasint"`
}

// Limits of former sets.
const (
	maxFormerSets = 16
	maxSetHolders = 64
)

func checkFormerSets(sets []FormerSet) keel.Faults {
	var fs keel.Faults
	if len(sets) > maxFormerSets {
		fs.Add("former", "has %d sets, the limit is %d", len(sets), maxFormerSets)
	}
	for _, s := range sets {
		if len(s.Holders) == 0 || len(s.Holders) > maxSetHolders || s.Age < 0 {
			fs.Add("former", "has a set of %d holders and age %s", len(s.Holders), s.Age)
		}
	}
	return fs
}

// Fence says that the votes which a holder gave in incarnations before this one
// are void.
type Fence struct {
	Holder      keel.InstanceName `cbor:"1,keyasint"`
	Incarnation uint64            `cbor:"2,keyasint"`
}

// Page is a part of a holder's claims.
type Page struct {
	Records []PageRecord `cbor:"1,keyasint"`
	// Next is the position for the next [Refill].
	Next   uint64  `cbor:"2,keyasint"`
	Last   bool    `cbor:"3,keyasint"`
	Fences []Fence `cbor:"4,keyasint,omitempty"`
	// WholeIn lists the sets of which the holder has every claim that may have
	// been acted on.
	WholeIn []SetTag `cbor:"5,keyasint,omitempty"`
	// Former lists former sets, for a holder that does not have them.
	Former []FormerSet `cbor:"6,keyasint,omitempty"`
}

// PageRecord is one claim without its recorded answer.
type PageRecord struct {
	Key      KeyID     `cbor:"1,keyasint"`
	Attempts []Attempt `cbor:"2,keyasint"`
	BodyHash uint64    `cbor:"3,keyasint"`
	State    State     `cbor:"4,keyasint"`
	// MixedBodies says that the attempts have different bodies.
	MixedBodies bool `cbor:"6,keyasint,omitempty"`
	// Age is the time since the claim was last used.
	Age keel.Duration `cbor:"5,keyasint"`
}

// pageRecords limits the claims in one page.
const pageRecords = 512

// Check reports a message with no field set, or with several.
func (m *Message) Check() keel.Faults {
	var fs keel.Faults
	set := 0
	for _, given := range []bool{
		m.VoteRequest != nil, m.Settle != nil, m.Release != nil, m.Fetch != nil,
		m.Refill != nil, m.Push != nil, m.Hello != nil,
	} {
		if given {
			set++
		}
	}
	if set != 1 {
		fs.Add("", "has %d fields set, must have 1", set)
	}
	m.checkFields(&fs)
	return fs
}

func (m *Message) checkFields(fs *keel.Faults) {
	switch {
	case m.VoteRequest != nil:
		fs.Under("ask.attempt", m.VoteRequest.Attempt.Check())
		if m.VoteRequest.Ticket != nil && len(m.VoteRequest.Ticket.Incarnations) > maxTicketIncarnations {
			fs.Add("ask.ticket", "has %d incarnation tags, the limit is %d", len(m.VoteRequest.Ticket.Incarnations), maxTicketIncarnations)
		}
	case m.Settle != nil:
		fs.Under("settle", m.Settle.check())
	case m.Release != nil:
		fs.Under("release.attempt", m.Release.Attempt.Check())
	case m.Push != nil:
		fs.Under("push", checkRecords(m.Push.Records))
	}
}

// attempt returns the attempt that the message concerns, if any.
func (m *Message) attempt() (Attempt, bool) {
	switch {
	case m.VoteRequest != nil:
		return m.VoteRequest.Attempt, true
	case m.Settle != nil:
		return m.Settle.Attempt, true
	case m.Release != nil:
		return m.Release.Attempt, true
	default:
		return Attempt{}, false
	}
}

// Check reports a malformed instance name.
func (a Attempt) Check() keel.Faults { return keel.CheckName("instance", a.Instance) }

func (s *Settle) check() keel.Faults {
	var fs keel.Faults
	fs.Under("attempt", s.Attempt.Check())
	if s.Outcome != OutcomeUnknown && s.Outcome != OutcomeRan {
		fs.Add("outcome", "is %d, must be %d or %d", s.Outcome, OutcomeUnknown, OutcomeRan)
	}
	if s.Answer != nil {
		fs.Under("answer", s.Answer.Check())
	}
	return fs
}

// Check reports every fault of the reply.
func (r *Reply) Check() keel.Faults {
	var fs keel.Faults
	if r.Phase > PhaseLeaving {
		fs.Add("phase", "is %d, the highest value is %d", r.Phase, PhaseLeaving)
	}
	if r.Vote != nil && (r.Vote.Type < VoteGranted || r.Vote.Type > VoteExpired) {
		fs.Add("vote.type", "is %d, must lie between %d and %d", r.Vote.Type, VoteGranted, VoteExpired)
	}
	if r.Vote != nil && r.Vote.Type == VoteHeld && !claimStates[r.Vote.State] {
		fs.Add("vote.state", "is %q, which is not the state of a claim", r.Vote.State)
	}
	if r.Answer != nil {
		fs.Under("answer", r.Answer.Check())
	}
	if r.Vote != nil {
		fs.Under("vote", checkFormerSets(r.Vote.Former))
	}
	if r.Page != nil {
		fs.Under("page", checkFormerSets(r.Page.Former))
		fs.Under("page", checkRecords(r.Page.Records))
	}
	return fs
}

func checkRecords(records []PageRecord) keel.Faults {
	var fs keel.Faults
	if len(records) > pageRecords {
		fs.Add("records", "has %d claims, the limit is %d", len(records), pageRecords)
	}
	for _, r := range records {
		if len(r.Attempts) == 0 || !claimStates[r.State] || r.Age < 0 {
			fs.Add("records", "has a claim with %d attempts in state %q of age %s", len(r.Attempts), r.State, r.Age)
		}
		for _, a := range r.Attempts {
			fs = append(fs, a.Check()...)
		}
	}
	return fs
}
