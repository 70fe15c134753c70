package keelinstance

import (
	"path/filepath"

	"github.com/go-faster/errors"
	"github.com/greengagekeel/greengagekeel/keeldeclare"
	"github.com/greengagekeel/greengagekeel/keeloperate"
	"github.com/greengagekeel/greengagekeel/keelquorum"
	"github.com/greengagekeel/greengagekeel/keelstore"
)

// Subdirectories of the data directory.
const (
	voterDir   = "voter"
	replicaDir = "replica"
)

// control holds the declarations of an instance: the replica, which every
// instance has, and the replicated state machine and consensus node of a voter,
// which are nil elsewhere. It implements [keeloperate.Control].
type control struct {
	in      *Instance
	replica *keeldeclare.Replica
	machine *keeldeclare.Machine
	node    *keelquorum.Node
}

// newControl opens the stored declarations, and the voter state if the settings
// make the instance a voter.
func newControl(in *Instance) (*control, error) {
	c := &control{in: in}
	cfg := keeldeclare.ReplicaConfig{OnApply: in.onDeclared}
	if in.cfg.Settings.DataDir != "" {
		cfg.Dir = filepath.Join(in.cfg.Settings.DataDir, replicaDir)
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
	storage, err := keelstore.Open(keelstore.Config{Dir: filepath.Join(c.in.cfg.Settings.DataDir, voterDir)})
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

// onCommit puts committed declarations in force at this instance. The state
// machine calls it while it applies an entry.
func (c *control) onCommit(*keeldeclare.Snapshot) {
	if err := c.replica.AdoptState(c.machine); err != nil {
		c.in.log.WithError(err).Error("committed declarations were not stored")
	}
}

// Declared implements [keeloperate.Control].
func (c *control) Declared() keeloperate.Declared {
	s := c.replica.Current()
	return keeloperate.Declared{Version: s.Version, Declarations: s.FullDeclarations(), Partial: s.Partial}
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
