package keelinstance

import (
	"context"
	"net/netip"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keeldeclare"
	"github.com/greengagekeel/greengagekeel/keeloperate"
	"github.com/greengagekeel/greengagekeel/keelquorum"
	"github.com/greengagekeel/greengagekeel/keelstore"
	"github.com/sirupsen/logrus"
)

// Folders below the data folder.
const (
	voterFolder   = "voter"
	replicaFolder = "replica"
)

// proposePause is the time between two tries to reach the leader.
const proposePause = 100 * time.Millisecond

// control is the part of an instance that keeps declarations: the replica of
// every instance, and the replicated state of a voter. It implements
// [keeloperate.Control].
type control struct {
	in      *Instance
	replica *keeldeclare.Replica
	machine *keeldeclare.Machine
	node    *keelquorum.Node
}

// newControl opens the stored declarations. Voter state is opened only if the
// settings make the instance a voter.
func newControl(in *Instance) (*control, error) {
	c := &control{in: in}
	cfg := keeldeclare.ReplicaConfig{OnApply: in.onDeclared}
	if in.cfg.Settings.DataDir != "" {
		cfg.Dir = filepath.Join(in.cfg.Settings.DataDir, replicaFolder)
	}
	replica, err := keeldeclare.NewReplica(cfg)
	if err != nil {
		return nil, errors.Wrap(err, "open stored declarations")
	}
	c.replica = replica
	if !in.cfg.Settings.Voter {
		return c, nil
	}
	return c, c.openVoter()
}

func (c *control) openVoter() error {
	storage, err := keelstore.Open(keelstore.Config{Dir: filepath.Join(c.in.cfg.Settings.DataDir, voterFolder)})
	if err != nil {
		return errors.Wrap(err, "open voter state")
	}
	c.machine = keeldeclare.NewMachine(keeldeclare.MachineConfig{OnCommit: c.onCommit})
	node, err := keelquorum.New(keelquorum.Config{
		Self:      c.in.self.Name,
		Storage:   storage,
		Machine:   c.machine,
		Transport: c.in.peer,
		Resolve:   c.in.resolve,
		Bootstrap: c.in.cfg.Settings.Voters,
		Log:       c.in.log,
		Seed:      c.in.self.Incarnation,
	})
	if err != nil {
		return errors.Wrap(err, "start voter")
	}
	c.node = node
	return nil
}

// onCommit puts committed declarations in force here. It is called while the
// machine applies an entry.
func (c *control) onCommit(*keeldeclare.Snapshot) {
	if err := c.replica.Follow(c.machine); err != nil {
		c.in.log.WithError(err).Error("committed declarations were not stored")
	}
}

// Declared implements [keeloperate.Control].
func (c *control) Declared() keeloperate.Declared {
	s := c.replica.Current()
	return keeloperate.Declared{Version: s.Version, Declarations: s.Whole(), Partial: s.Partial}
}

// Submit implements [keeloperate.Control]. It keeps trying to reach the leader
// until ctx ends, which is harmless since a change has an id.
func (c *control) Submit(ctx context.Context, change keel.Change) (keel.Outcome, error) {
	tried := false
	var last error
	for {
		o, sent, err := c.submitOnce(ctx, change)
		if err == nil {
			return o, nil
		}
		tried = tried || sent
		last = err
		select {
		case <-ctx.Done():
			return keel.Outcome{}, submitRefusal(tried, last)
		case <-time.After(proposePause):
		}
	}
}

func submitRefusal(sent bool, err error) *keel.Refusal {
	verdict := keel.NotRun
	if sent {
		verdict = keel.MayHaveRun
	}
	return keel.Refuse(verdict, keel.ReasonPeerFailed, time.Second, "no voter accepted the change; send it again with the same id: %v", err)
}

// submitOnce offers a change to this voter, or to every known one. It reports
// whether the change may have reached a leader.
func (c *control) submitOnce(ctx context.Context, change keel.Change) (o keel.Outcome, sent bool, err error) {
	if c.node != nil {
		o, sent, err = c.propose(ctx, change)
		var notLeader *keelquorum.NotLeaderError
		if err == nil || !errors.As(err, &notLeader) {
			return o, sent, err
		}
		if peer, ok := c.in.resolve(notLeader.Leader); ok {
			return c.sendProposal(ctx, peer, change)
		}
		return o, sent, err
	}
	err = errors.New("no voter is known")
	for _, peer := range c.in.voters() {
		var mayHave bool
		o, mayHave, err = c.sendProposal(ctx, peer, change)
		if err == nil {
			return o, true, nil
		}
		sent = sent || mayHave
	}
	return o, sent, err
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
	Sent   bool              `cbor:"3,keyasint,omitempty"`
	Leader keel.InstanceName `cbor:"4,keyasint,omitempty"`
	Error  string            `cbor:"5,keyasint,omitempty"`
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

func (c *control) sendProposal(ctx context.Context, to netip.AddrPort, change keel.Change) (keel.Outcome, bool, error) {
	body, err := keel.EncodeCBOR(&proposal{Change: &change})
	if err != nil {
		return keel.Outcome{}, false, err
	}
	e, err := c.in.peer.Call(ctx, to, keel.Envelope{Kind: keel.KindPropose, Body: body})
	if err != nil {
		return keel.Outcome{}, true, errors.Wrapf(err, "propose to instance at %s", to)
	}
	var answer proposal
	if err := keel.DecodeCBOR(e.Body, &answer); err != nil {
		return keel.Outcome{}, true, err
	}
	if answer.Outcome == nil {
		return keel.Outcome{}, answer.Sent, errors.Errorf("instance at %s: %s", to, answer.Error)
	}
	return *answer.Outcome, true, nil
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
		answer = c.answerProposal(ctx, *p.Change)
	}
	body, err := keel.EncodeCBOR(&answer)
	return keel.Envelope{Kind: keel.KindPropose, Body: body}, err
}

func (c *control) answerProposal(ctx context.Context, change keel.Change) proposal {
	o, sent, err := c.propose(ctx, change)
	if err != nil {
		return proposal{Error: err.Error(), Sent: sent}
	}
	return proposal{Outcome: &o, Sent: true}
}

// History implements [keeloperate.Control].
func (c *control) History(limit int) keeloperate.History {
	var h keeloperate.History
	if c.machine == nil {
		return h
	}
	for _, r := range c.machine.History(limit) {
		h.Changes = append(h.Changes, keeloperate.HistoryEntry{
			Version: r.Version, ID: r.ID, Author: r.Author, Time: r.Time, Ops: r.Ops,
		})
	}
	return h
}
