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
	// proposePause is the time between two rounds of tries to reach the leader.
	proposePause = 100 * time.Millisecond
	// proposeTime is how long one voter may take to answer, so that the others
	// are tried too, and proposeRate what is added for a long change, in bytes
	// a second.
	proposeTime = 2 * time.Second
	proposeRate = 1 << 20
)

// Submit implements [keeloperate.Control]. It keeps trying to reach the leader
// until ctx ends, which is harmless since a change has an id.
func (c *control) Submit(ctx context.Context, change keel.Change) (keel.Outcome, error) {
	of := offer{control: c, change: change, failed: map[netip.AddrPort]int{}}
	for {
		o, err := of.once(ctx)
		if err == nil {
			return o, nil
		}
		select {
		case <-ctx.Done():
			return keel.Outcome{}, of.refusal(err)
		case <-time.After(proposePause):
		}
	}
}

// offer is a change on its way to the leader.
type offer struct {
	control *control
	change  keel.Change
	// relayed says that another instance sent it here, so that a voter which is
	// not the leader passes it on only once.
	relayed bool
	// sent says that the change may have been proposed.
	sent bool
	// failed counts the tries that a voter did not answer.
	failed map[netip.AddrPort]int
}

func (of *offer) refusal(err error) *keel.Refusal {
	verdict := keel.NotRun
	if of.sent {
		verdict = keel.MayHaveRun
	}
	return keel.Refuse(verdict, keel.ReasonPeerFailed, time.Second, "no voter accepted the change; send it again with the same id: %v", err)
}

// once offers the change to this voter and the one that it takes for the leader,
// or to every known voter, those first that did not fail to answer.
func (of *offer) once(ctx context.Context) (keel.Outcome, error) {
	c := of.control
	if c.node != nil {
		return of.here(ctx)
	}
	voters := c.in.voters()
	slices.SortStableFunc(voters, func(a, b netip.AddrPort) int { return cmp.Compare(of.failed[a], of.failed[b]) })
	err := errors.New("no voter is known")
	for _, peer := range voters {
		var o keel.Outcome
		if o, err = of.send(ctx, peer); err == nil {
			return o, nil
		}
	}
	return keel.Outcome{}, err
}

// here offers the change to this voter, and if it does not lead, to the one that
// it takes for the leader.
func (of *offer) here(ctx context.Context) (keel.Outcome, error) {
	o, sent, err := of.control.propose(ctx, of.change)
	of.sent = of.sent || sent
	var notLeader *keelquorum.NotLeaderError
	if err == nil || of.relayed || !errors.As(err, &notLeader) {
		return o, err
	}
	if peer, ok := of.control.in.resolve(notLeader.Leader); ok {
		return of.send(ctx, peer)
	}
	return o, err
}

// send offers the change to one voter.
func (of *offer) send(ctx context.Context, to netip.AddrPort) (keel.Outcome, error) {
	body, err := keel.EncodeCBOR(&proposal{Change: &of.change, Relayed: of.control.node != nil})
	if err != nil {
		return keel.Outcome{}, err
	}
	limit := proposeTime + time.Duration(len(body))*time.Second/proposeRate
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	e, err := of.control.in.peer.Call(ctx, to, keel.Envelope{Kind: keel.KindPropose, Body: body})
	if err != nil {
		of.failed[to]++
		of.sent = of.sent || !errors.Is(err, keelpeer.ErrUnreachable)
		return keel.Outcome{}, errors.Wrapf(err, "propose to instance at %s", to)
	}
	var answer proposal
	if err := keel.DecodeCBOR(e.Body, &answer); err != nil {
		of.sent = true
		return keel.Outcome{}, err
	}
	if answer.Outcome == nil {
		of.sent = of.sent || answer.Sent
		return keel.Outcome{}, errors.Errorf("instance at %s: %s", to, answer.Error)
	}
	return *answer.Outcome, nil
}

// propose commits a change through this voter, which must lead.
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

// proposal carries a change to the leader, and its outcome back.
type proposal struct {
	Change  *keel.Change  `cbor:"1,keyasint,omitempty"`
	Outcome *keel.Outcome `cbor:"2,keyasint,omitempty"`
	// Sent says that the change may have been proposed, though there is no
	// outcome.
	Sent  bool   `cbor:"3,keyasint,omitempty"`
	Error string `cbor:"5,keyasint,omitempty"`
	// Relayed says that a voter passes the change on.
	Relayed bool `cbor:"6,keyasint,omitempty"`
}

// Check reports the faults of what the proposal carries.
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

// HandleMessage takes proposals of other instances. It implements
// [keel.Handler] for [keel.KindPropose].
func (c *control) HandleMessage(ctx context.Context, e keel.Envelope) (keel.Envelope, error) {
	var p proposal
	if err := keel.DecodeCBOR(e.Body, &p); err != nil {
		return keel.Envelope{}, err
	}
	answer := proposal{Error: "this instance is no voter"}
	if c.node != nil && p.Change != nil {
		answer = c.answerProposal(ctx, &p)
	}
	body, err := keel.EncodeCBOR(&answer)
	return keel.Envelope{Kind: keel.KindPropose, Body: body}, err
}

func (c *control) answerProposal(ctx context.Context, p *proposal) proposal {
	of := offer{control: c, change: *p.Change, relayed: p.Relayed, failed: map[netip.AddrPort]int{}}
	o, err := of.here(ctx)
	if err != nil {
		return proposal{Error: err.Error(), Sent: of.sent}
	}
	return proposal{Outcome: &o, Sent: true}
}
