package keeldeclare

import (
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
	// OnApply is called with every new state, in the order of versions, by the
	// goroutine that installed it. It may be nil.
	OnApply func(*Snapshot)
	// MaxLogBytes bounds the operations of past changes that are kept for
	// other instances; 0 means 4 MiB.
	MaxLogBytes int
}

// Replica is an instance's copy of the declarations. Its version only rises,
// also through restarts if it has a folder. It is safe for use by several
// goroutines.
type Replica struct {
	cfg     ReplicaConfig
	current atomic.Pointer[Snapshot]

	mu      sync.Mutex // held while a state is installed
	log     changeLog
	refill  *refill
	pending *Delta // parts of a delta that are there
	files   *replicaFiles
	keepErr error // last fault of the folder
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
	r.mu.Unlock()
	return serve(s, &log, &req)
}

// NextRequest returns the request that leads on from what the replica has, for
// a response of about maxBytes.
func (r *Replica) NextRequest(maxBytes int) FetchRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	req := FetchRequest{From: r.current.Load().Version, MaxBytes: maxBytes}
	switch {
	case r.refill == nil:
	case r.refill.done():
		req.From = r.refill.low
	default:
		req.Refill, req.After = true, r.refill.after
	}
	if r.pending != nil && r.pending.From == req.From {
		req.To, req.Skip = r.pending.To, len(r.pending.Ops)
	}
	return req
}

// Install takes a response to the last request. It changes the state in force
// once everything for a higher version is there, and verifies its checksum. With
// [ErrNotKept] the new state is in force.
func (r *Replica) Install(resp FetchResponse) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case resp.Full != nil:
		return r.installPart(&resp)
	case resp.Delta != nil:
		return r.installDelta(resp.Delta)
	default:
		return nil
	}
}

func (r *Replica) installPart(resp *FetchResponse) error {
	if r.refill == nil && resp.Version <= r.current.Load().Version {
		return nil
	}
	if r.refill == nil {
		r.refill = newRefill()
	}
	r.pending = nil
	if err := r.refill.add(resp.Version, resp.Full); err != nil {
		r.refill = nil
		return err
	}
	if !r.refill.done() || r.refill.low != r.refill.high {
		return nil
	}
	s, err := r.refill.base()
	r.refill = nil
	if err != nil {
		return err
	}
	if s.Checksum != resp.Checksum {
		return checksumError(s, resp.Checksum)
	}
	return r.put(s, nil)
}

func checksumError(s *Snapshot, want uint64) error {
	return errors.Errorf("checksum of version %d is %x, should be %x", s.Version, s.Checksum, want)
}

func (r *Replica) installDelta(d *Delta) error {
	d = r.gather(d)
	if d.More {
		return nil
	}
	if r.refill != nil && r.refill.done() {
		return r.finishRefill(d)
	}
	cur := r.current.Load()
	if d.To <= cur.Version {
		return nil
	}
	if d.From > cur.Version {
		return errors.Errorf("delta starts at version %d, the version in force is %d", d.From, cur.Version)
	}
	next, faults := cur.next(d.To, d.Ops, opReplay)
	if err := faults.Err(); err != nil {
		return errors.Wrapf(err, "apply delta from %d to %d", d.From, d.To)
	}
	if next.Checksum != d.Checksum {
		r.refill = newRefill() // this copy differs, so take a whole one
		return checksumError(next, d.Checksum)
	}
	return r.put(next, d)
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

// finishRefill brings the collected parts to one version.
func (r *Replica) finishRefill(d *Delta) error {
	f := r.refill
	if d.From > f.low || d.To <= f.low {
		return errors.Errorf("delta from version %d to %d does not lead on from version %d", d.From, d.To, f.low)
	}
	base, err := f.base()
	if err != nil {
		return err
	}
	next, faults := base.next(d.To, d.Ops, opReplay)
	if err := faults.Err(); err != nil {
		return errors.Wrapf(err, "apply delta from %d to %d", d.From, d.To)
	}
	f.decl, f.blocks, f.low = next.Declarations, next.Blocks, d.To
	if d.To < f.high {
		return nil
	}
	r.refill = nil
	if next.Checksum != d.Checksum {
		return checksumError(next, d.Checksum)
	}
	return r.put(next, nil)
}

// put makes s the state in force. The delta that led to it is kept for other
// instances; without one, older states can't be served a delta.
func (r *Replica) put(s *Snapshot, d *Delta) error {
	if s.Version <= r.current.Load().Version {
		return nil
	}
	if r.refill != nil && r.refill.high <= s.Version {
		r.refill = nil
	}
	if err := r.logDelta(s, d); err != nil {
		return err
	}
	r.keepErr = r.keep(s)
	r.current.Store(s)
	if r.cfg.OnApply != nil {
		r.cfg.OnApply(s)
	}
	if r.keepErr != nil {
		return errors.Wrap(ErrNotKept, r.keepErr.Error())
	}
	return nil
}

func (r *Replica) logDelta(s *Snapshot, d *Delta) error {
	if d == nil {
		r.log.reset(nil)
		return nil
	}
	pieces, err := pack(d.Ops)
	if err != nil {
		return err
	}
	r.log.add(record{
		From: r.current.Load().Version, To: s.Version, Checksum: s.Checksum,
		Pieces: pieces,
	})
	return nil
}

func (r *Replica) keep(s *Snapshot) error {
	if r.files == nil {
		return nil
	}
	return r.files.save(s, r.log.records)
}

// Follow makes the state of a voter's machine the state in force, if it is
// newer. Both then share their memory. It is meant to be called from
// [MachineConfig.OnCommit].
func (r *Replica) Follow(m *Machine) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	cur := r.current.Load()
	s := m.Current()
	if s.Version <= cur.Version {
		return nil
	}
	if d, ok := m.Delta(cur.Version); ok && d.To == s.Version {
		return r.put(s, &d)
	}
	return r.put(s, nil)
}

// ReplicaDump is the replica's part of the state dump.
type ReplicaDump struct {
	Version  keel.Version `json:"version"`
	Checksum uint64       `json:"checksum"`
	Blocks   int          `json:"blocks"`
	Records  int          `json:"changes_kept"`
	LogBytes int          `json:"change_bytes_kept"`
	// Refill tells how far a transfer of the whole state has come.
	Refill *RefillDump `json:"refill,omitempty"`
	// KeepError is the last fault of the folder.
	KeepError string `json:"keep_error,omitempty"`
}

// RefillDump tells how far a transfer of the whole state has come.
type RefillDump struct {
	Blocks int          `json:"blocks"`
	Low    keel.Version `json:"lowest_version"`
	High   keel.Version `json:"highest_version"`
	Done   bool         `json:"all_parts_there"`
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
	if r.refill != nil {
		d.Refill = &RefillDump{Blocks: r.refill.count, Low: r.refill.low, High: r.refill.high, Done: r.refill.done()}
	}
	if r.keepErr != nil {
		d.KeepError = r.keepErr.Error()
	}
	return d
}
