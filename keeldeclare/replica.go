package keeldeclare

import (
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
)

// ReplicaConfig is the configuration of a [Replica].
type ReplicaConfig struct {
	// Dir is the folder that the state is kept in. Empty means that a restart
	// begins with nothing.
	Dir string
	// OnApply is called with every new version, and once more when the last
	// missing client blocks of a partial state came. The goroutine that
	// installs the state calls it, so of the replica's methods it may call
	// only Current. It may be nil.
	OnApply func(*Snapshot)
	// MaxLogBytes bounds the operations of past changes that are kept for
	// other instances; 0 means 2 MiB.
	MaxLogBytes int
}

// Replica is an instance's copy of the declarations. Its version only rises,
// also through restarts if it has a folder. It is safe for use by several
// goroutines.
//
// A replica that can't be brought up by a delta takes the declarations into
// force at once, and fetches the client blocks after that; until it has them
// all its state is partial.
type Replica struct {
	cfg     ReplicaConfig
	current atomic.Pointer[Snapshot]

	mu       sync.Mutex // held while a state is installed
	log      changeLog
	backfill *backfill // while the state is partial
	whole    bool      // a delta did not fit, so that a whole state is needed
	pending  *Delta    // parts of a delta that are there
	files    *replicaFiles
	keepErr  error // last fault of the folder
}

// NewReplica returns a replica with the state that its folder holds. A damaged
// file is an error that names it.
func NewReplica(cfg ReplicaConfig) (*Replica, error) {
	r := &Replica{cfg: cfg, log: newChangeLog(cfg.MaxLogBytes, 0)}
	r.current.Store(emptySnapshot())
	if cfg.Dir == "" {
		return r, nil
	}
	r.files = &replicaFiles{dir: cfg.Dir}
	s, records, err := r.files.load()
	if err != nil {
		return nil, errors.Wrap(err, "load the kept declarations")
	}
	if s != nil {
		r.current.Store(s)
		r.log.reset(records)
		if s.Partial {
			r.backfill = &backfill{high: s.Version}
		}
	}
	return r, nil
}

// ErrNotKept reports a state that is in force but could not be written to the
// folder. A restart would begin with an older one.
var ErrNotKept = errors.New("declarations not kept on disk")

// Current returns the state in force.
func (r *Replica) Current() *Snapshot { return r.current.Load() }

// Serve answers a request of another instance.
func (r *Replica) Serve(req FetchRequest) FetchResponse {
	r.mu.Lock()
	s := r.current.Load()
	log := r.log
	cov := r.backfill.covered(s)
	r.mu.Unlock()
	return serve(s, &log, cov, &req)
}

// NextRequest returns the request that leads on from what the replica has, for
// a response of about maxBytes.
func (r *Replica) NextRequest(maxBytes int) FetchRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	req := FetchRequest{From: r.current.Load().Version, MaxBytes: maxBytes, Whole: r.whole}
	if r.backfill != nil && !r.backfill.done {
		req.Refill, req.After = true, r.backfill.after
	}
	if r.pending != nil {
		req.To, req.Skip = r.pending.To, len(r.pending.Ops)
	}
	return req
}

// Install takes a response to the last request. A higher version is in force
// when it returns, once all parts of it are there; its checksum was verified
// then. With [ErrNotKept] the new state is in force too.
func (r *Replica) Install(resp FetchResponse) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case resp.Full != nil && resp.Full.First && resp.Version > r.current.Load().Version:
		return r.begin(&resp)
	case resp.Full != nil:
		return r.fill(&resp)
	case resp.Delta != nil:
		return r.installDelta(resp.Delta)
	default:
		return nil
	}
}

// begin takes the declarations of a first part into force, and its blocks. The
// blocks that were there stay until others come in their place.
func (r *Replica) begin(resp *FetchResponse) error {
	p := resp.Full
	blocks, err := r.current.Load().Blocks.withPart(p)
	if err != nil {
		return err
	}
	s, err := newPartial(resp.Version, p.Declarations, blocks, resp.BlockSum)
	if err != nil {
		return err
	}
	if s.Checksum != resp.Checksum {
		return checksumError(s, resp.Checksum)
	}
	r.backfill = &backfill{}
	r.backfill.add(p)
	r.whole, r.pending = false, nil
	r.log.reset(nil)
	s.Partial = true
	return r.store(s, true)
}

// fill takes the next run of blocks.
func (r *Replica) fill(resp *FetchResponse) error {
	cur := r.current.Load()
	f, p := r.backfill, resp.Full
	if f == nil || f.done || resp.Version < cur.Version || p.Begin != f.after {
		return nil // old, doubled or overtaken
	}
	blocks, err := cur.Blocks.withPart(p)
	if err != nil {
		return err
	}
	f.add(p)
	s := *cur
	s.Blocks = blocks
	return r.store(&s, false)
}

// complete ends the backfill if s has all blocks of its version. If they are
// not what they should be, it starts again.
func (r *Replica) complete(s *Snapshot) error {
	f := r.backfill
	if f == nil || !f.done || s.Version < f.high {
		return nil
	}
	if s.Blocks.sum != s.blockSum {
		r.backfill = &backfill{high: s.Version}
		return errors.Errorf("client blocks of version %d have the sum %x, should have %x", s.Version, s.Blocks.sum, s.blockSum)
	}
	r.backfill = nil
	s.Partial = false
	return nil
}

func (r *Replica) installDelta(d *Delta) error {
	d = r.gather(d)
	if d.More {
		return nil
	}
	cur := r.current.Load()
	if d.To <= cur.Version {
		return nil
	}
	if d.From > cur.Version {
		return errors.Errorf("delta starts at version %d, the version in force is %d", d.From, cur.Version)
	}
	next, err := cur.replay(d.To, d.Ops, d.Checksum, d.BlockSum)
	if err != nil {
		r.whole = true // this copy differs, so take a whole one
		return errors.Wrapf(err, "apply delta from %d", d.From)
	}
	if err := r.logDelta(next, d); err != nil {
		return err
	}
	return r.store(next, true)
}

// gather joins the parts of a delta. It returns the whole delta, or one with
// More set.
func (r *Replica) gather(d *Delta) *Delta {
	p := r.pending
	r.pending = nil
	if p != nil && d.Skip > 0 && p.From == d.From && p.To == d.To && len(p.Ops) == d.Skip {
		p.Ops = append(p.Ops, d.Ops...)
		p.More = d.More
		d = p
	} else if d.Skip > 0 {
		return &Delta{More: true} // not the part that was asked for
	}
	if d.More {
		r.pending = d
	}
	return d
}

// store makes s the state in force. It tells of a new version, and of the end
// of a backfill.
func (r *Replica) store(s *Snapshot, newVersion bool) error {
	fillErr := r.complete(s)
	whole := r.current.Load().Partial && !s.Partial
	if newVersion || whole {
		r.keepErr = r.keep(s, whole)
	}
	r.current.Store(s)
	if r.cfg.OnApply != nil && (newVersion || whole) {
		r.cfg.OnApply(s)
	}
	if fillErr != nil {
		return fillErr
	}
	if r.keepErr != nil {
		return errors.Wrap(ErrNotKept, r.keepErr.Error())
	}
	return nil
}

// logDelta keeps a delta for other instances.
func (r *Replica) logDelta(s *Snapshot, d *Delta) error {
	pieces, err := pack(d.Ops)
	if err != nil {
		return err
	}
	r.log.add(record{
		From: r.current.Load().Version, To: s.Version, Checksum: s.Checksum,
		Pieces: pieces, BlockSum: s.blockSum,
	})
	return nil
}

func (r *Replica) keep(s *Snapshot, newBase bool) error {
	if r.files == nil {
		return nil
	}
	return r.files.save(s, r.log.records, newBase)
}

// Follow makes the state of a voter's machine the state in force, if it is
// newer. Both then share their memory, also if the versions are equal. It is
// meant to be called from [MachineConfig.OnCommit].
func (r *Replica) Follow(m *Machine) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	cur := r.current.Load()
	s, records := m.state()
	switch {
	case s.Version < cur.Version:
		return nil
	case s.Version == cur.Version:
		r.share(s, records)
		return nil
	}
	r.backfill, r.whole, r.pending = nil, false, nil
	at, ok := findRecord(records, cur.Version)
	if !ok {
		r.log.reset(nil)
		return r.store(s, true)
	}
	for _, record := range records[at:] {
		r.log.add(record)
	}
	return r.store(s, true)
}

// share replaces the state in force and the changes that led to it by equal
// ones of the machine. After a restart both were read from files of their own.
func (r *Replica) share(s *Snapshot, records []record) {
	cur := r.current.Load()
	if cur.Partial || cur.Checksum != s.Checksum {
		return
	}
	r.log.reset(records)
	r.current.Store(s)
}

// ReplicaDump is the replica's part of the state dump.
type ReplicaDump struct {
	Version  keel.Version `json:"version"`
	Checksum uint64       `json:"checksum"`
	Blocks   int          `json:"blocks"`
	Records  int          `json:"changes_kept"`
	LogBytes int          `json:"change_bytes_kept"`
	// Backfill tells how far the transfer of client blocks has come, if some
	// are missing.
	Backfill *BackfillDump `json:"backfill,omitempty"`
	// KeepError is the last fault of the folder.
	KeepError string `json:"keep_error,omitempty"`
}

// BackfillDump tells how far a transfer of client blocks has come.
type BackfillDump struct {
	Blocks int `json:"blocks"`
	// After is the last block that came.
	After netip.Prefix `json:"after,omitzero"`
	// High is the version of the newest part.
	High keel.Version `json:"highest_version"`
	Done bool         `json:"all_parts_there"`
}

// Dump returns the replica's part of the state dump.
func (r *Replica) Dump() ReplicaDump {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.current.Load()
	d := ReplicaDump{
		Version: s.Version, Checksum: s.Checksum, Blocks: s.Blocks.Len(),
		Records: len(r.log.records), LogBytes: r.log.bytes,
	}
	if f := r.backfill; f != nil {
		d.Backfill = &BackfillDump{Blocks: f.count, After: f.after, High: f.high, Done: f.done}
	}
	if r.keepErr != nil {
		d.KeepError = r.keepErr.Error()
	}
	return d
}
