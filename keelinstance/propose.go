package keelinstance

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelpeer"
	"github.com/greengagekeel/greengagekeel/keelquorum"
	"github.com/sirupsen/logrus"
)

const (
	// proposeRetryDelay is the pause between two rounds of attempts to reach the
	// leader.
	proposeRetryDelay = 100 * time.Millisecond
	// proposeTimeout limits the wait for one voter, so that others are tried
	// too. A change extends it by its encoded length divided by
	// proposeBytesPerSecond.
	proposeTimeout        = 2 * time.Second
	proposeBytesPerSecond = 1 << 20
)

// Submit implements [keeloperate.Control]. It retries until ctx ends, which is
// safe because the state machine recognizes a change by its id.
func (c *control) Submit(ctx context.Context, change keel.Change) (keel.Outcome, error) {
	s := submission{control: c, change: change, failures: map[netip.AddrPort]int{}}
	for {
		o, err := s.try(ctx)
		if err == nil {
			return o, nil
		}
		select {
		case <-ctx.Done():
			return keel.Outcome{}, s.refusal(err)
		case <-time.After(proposeRetryDelay):
		}
	}
}

// submission is an attempt to have the leader commit a change.
type submission struct {
	control *control
	change  keel.Change
	// relayed is set if a voter forwarded the change to this instance. It is not
	// forwarded again then.
	relayed bool
	// maybeProposed is set if the change may have been proposed.
	maybeProposed bool
	// failures counts failed calls by voter address.
	failures map[netip.AddrPort]int
}

// refusal returns the refusal for a submission whose last attempt failed with err.
func (s *submission) refusal(err error) *keel.Refusal {
	verdict := keel.NotRun
	if s.maybeProposed {
		verdict = keel.MayHaveRun
	}
	return keel.Refuse(verdict, keel.ReasonPeerFailed, time.Second, "no voter accepted the change; send it again with the same id: %v", err)
}

// try makes one round of attempts. A voter proposes the change itself or forwards
// it to the current leader. Any other instance sends it to the known voters in
// turn, those with the fewest failed calls first.
func (s *submission) try(ctx context.Context) (keel.Outcome, error) {
	c := s.control
	if c.node != nil {
		return s.proposeHere(ctx)
	}
	voters := c.in.voterAddrs()
	slices.SortStableFunc(voters, func(a, b netip.AddrPort) int { return cmp.Compare(s.failures[a], s.failures[b]) })
	err := errors.New("no voter is known")
	for _, peer := range voters {
		var o keel.Outcome
		if o, err = s.sendTo(ctx, peer); err == nil {
			return o, nil
		}
	}
	return keel.Outcome{}, err
}

// proposeHere proposes the change through this voter. If another voter is the
// leader, the change is forwarded to that one, unless it was relayed already.
func (s *submission) proposeHere(ctx context.Context) (keel.Outcome, error) {
	o, sent, err := s.control.propose(ctx, s.change)
	s.maybeProposed = s.maybeProposed || sent
	var notLeader *keelquorum.NotLeaderError
	if err == nil || s.relayed || !errors.As(err, &notLeader) {
		return o, err
	}
	if peer, ok := s.control.in.resolve(notLeader.Leader); ok {
		return s.sendTo(ctx, peer)
	}
	return o, err
}

// sendTo sends the change to one voter and returns the outcome that it answers.
func (s *submission) sendTo(ctx context.Context, to netip.AddrPort) (keel.Outcome, error) {
	body, err := keel.EncodeCBOR(&proposal{Change: &s.change, Relayed: s.control.node != nil})
	if err != nil {
		return keel.Outcome{}, err
	}
	limit := proposeTimeout + time.Duration(len(body))*time.Second/proposeBytesPerSecond
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	e, err := s.control.in.peer.Call(ctx, to, keel.Envelope{Kind: keel.KindPropose, Body: body})
	if err != nil {
		s.failures[to]++
		s.maybeProposed = s.maybeProposed || !errors.Is(err, keelpeer.ErrUnreachable)
		return keel.Outcome{}, errors.Wrapf(err, "propose to instance at %s", to)
	}
	var answer proposal
	if err := keel.DecodeCBOR(e.Body, &answer); err != nil {
		s.maybeProposed = true
		return keel.Outcome{}, err
	}
	if answer.Outcome == nil {
		s.maybeProposed = s.maybeProposed || answer.Sent
		return keel.Outcome{}, errors.Errorf("instance at %s: %s", to, answer.Error)
	}
	return *answer.Outcome, nil
}

// propose commits a change through this voter, which must be the leader. The
// second result reports whether the change may have been proposed.
func (c *control) propose(ctx context.Context, change keel.Change) (keel.Outcome, bool, error) {
	if o, ok := c.machine.Outcome(change.ID); ok && c.node.ReadIndex(ctx) == nil {
		return o, false, nil
	}
	entry, err := keel.EncodeCBOR(&change)
	if err != nil {
		return keel.Outcome{}, false, err
	}
	if _, err := c.node.Propose(ctx, entry); err != nil {
		return keel.Outcome{}, errors.Is(err, keelquorum.ErrUnknownOutcome), err
	}
	o, ok := c.machine.Outcome(change.ID)
	if !ok {
		return keel.Outcome{}, true, errors.Errorf("change %q was applied without an outcome", change.ID)
	}
	c.in.log.WithFields(logrus.Fields{"change": change.ID, "author": change.Author, "status": o.Status, "version": o.Version}).Info("change decided")
	return o, true, nil
}

// proposal is the message that carries a change to the leader, and the answer
// with its outcome.
type proposal struct {
	Change  *keel.Change  `cbor:"1,keyasint,omitempty"`
	Outcome *keel.Outcome `cbor:"2,keyasint,omitempty"`
	// Sent is set if the change may have been proposed, also without an outcome.
	Sent  bool   `cbor:"3,keyasint,omitempty"`
	Error string `cbor:"5,keyasint,omitempty"`
	// Relayed is set if a voter forwards the change.
	Relayed bool `cbor:"6,keyasint,omitempty"`
}

// Check reports the faults of the change and the outcome.
func (p *proposal) Check() keel.Faults {
	var fs keel.Faults
	if p.Change != nil {
		fs.Under("change", p.Change.Check())
	}
	if p.Outcome != nil {
		fs.Under("outcome", p.Outcome.Check())
	}
	return fs
}

// HandleMessage implements [keel.Handler] for [keel.KindPropose].
func (c *control) HandleMessage(ctx context.Context, e keel.Envelope) (keel.Envelope, error) {
	var p proposal
	if err := keel.DecodeCBOR(e.Body, &p); err != nil {
		return keel.Envelope{}, err
	}
	answer := proposal{Error: "this instance is not a voter"}
	if c.node != nil && p.Change != nil {
		answer = c.handleProposal(ctx, &p)
	}
	body, err := keel.EncodeCBOR(&answer)
	return keel.Envelope{Kind: keel.KindPropose, Body: body}, err
}

func (c *control) handleProposal(ctx context.Context, p *proposal) proposal {
	s := submission{control: c, change: *p.Change, relayed: p.Relayed, failures: map[netip.AddrPort]int{}}
	o, err := s.proposeHere(ctx)
	if err != nil {
		return proposal{Error: err.Error(), Sent: s.maybeProposed}
	}
	return proposal{Outcome: &o, Sent: true}
}
