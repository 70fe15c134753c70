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
	// Dir is the folder in which the state is stored. If it is empty, a restart
	// begins without declarations.
	Dir string
	// OnApply is called with every new version, and again when a partial state
	// is completed. It is called with the replica locked, so the only method of
	// the replica that it may call is Current. It may be nil.
	OnApply func(*Snapshot)
	// MaxLogBytes limits the size of the changes that are retained for other
	// instances, in bytes; 0 means 2 MiB.
	MaxLogBytes int
}

// Replica is an instance's copy of the declarations. Its version never
// decreases, not even across restarts if it has a folder. It is safe for
// concurrent use.
//
// A replica that can't be updated with a delta puts the declarations into force
// at once and then fetches the client blocks. Its state is partial until it has
// all of them.
type Replica struct {
	cfg     ReplicaConfig
	current atomic.Pointer[Snapshot]

	mu        sync.Mutex // held while a state is installed
	log       changeLog
	backfill  *backfill // nil unless the state is partial
	needWhole bool      // a delta did not apply, so the full state must be fetched
	pending   *Delta    // received parts of an incomplete delta
	files     *replicaFiles
	saveErr   error // last error writing the folder
}

// NewReplica returns a replica with the state stored in its folder. It returns
// an error that names the file if one is damaged.
func NewReplica(cfg ReplicaConfig) (*Replica, error) {
	r := &Replica{cfg: cfg, log: newChangeLog(cfg.MaxLogBytes, 0)}
	r.current.Store(emptySnapshot())
	if cfg.Dir == "" {
		return r, nil
	}
	r.files = &replicaFiles{dir: cfg.Dir}
	s, records, err := r.files.load()
	if err != nil {
		return nil, errors.Wrap(err, "load the stored declarations")
	}
	if s != nil {
		r.current.Store(s)
		r.log.reset(records)
		if s.Partial {
			r.backfill = &backfill{highest: s.Version}
		}
	}
	return r, nil
}

// ErrNotSaved reports a state that is in force but could not be written to the
// folder. A restart would begin with an older one.
var ErrNotSaved = errors.New("declarations could not be saved")

// Current returns the state in force.
func (r *Replica) Current() *Snapshot { return r.current.Load() }

// Serve returns the response to another instance's request.
func (r *Replica) Serve(req FetchRequest) FetchResponse {
	r.mu.Lock()
	s := r.current.Load()
	log := r.log
	cov := r.backfill.coverage(s)
	r.mu.Unlock()
	return serve(s, &log, cov, &req)
}

// NextRequest returns the request for what the replica needs next, with a
// response of about maxBytes.
func (r *Replica) NextRequest(maxBytes int) FetchRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	req := FetchRequest{From: r.current.Load().Version, MaxBytes: maxBytes, Whole: r.needWhole}
	if r.backfill != nil && !r.backfill.done {
		req.Refill, req.After = true, r.backfill.lastReceived
	}
	if r.pending != nil {
		req.To, req.Skip = r.pending.To, len(r.pending.Ops)
	}
	return req
}

// Install installs a response to the last request. A higher version comes into
// force once all its parts are received and its checksum is verified. If
// Install returns [ErrNotSaved], the new state is in force nevertheless.
func (r *Replica) Install(resp FetchResponse) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case resp.Full != nil && resp.Full.First && resp.Version > r.current.Load().Version:
		return r.installFirstPart(&resp)
	case resp.Full != nil:
		return r.installPart(&resp)
	case resp.Delta != nil:
		return r.installDelta(resp.Delta)
	default:
		return nil
	}
}

// installFirstPart installs the declarations and blocks of a first part. The
// other blocks stay as they are until later parts replace them.
func (r *Replica) installFirstPart(resp *FetchResponse) error {
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
	r.needWhole, r.pending = false, nil
	r.log.reset(nil)
	s.Partial = true
	return r.setCurrent(s, true)
}

// installPart installs the next run of blocks.
func (r *Replica) installPart(resp *FetchResponse) error {
	cur := r.current.Load()
	b, p := r.backfill, resp.Full
	if b == nil || b.done || resp.Version < cur.Version || p.Begin != b.lastReceived {
		return nil // outdated, duplicated or superseded
	}
	blocks, err := cur.Blocks.withPart(p)
	if err != nil {
		return err
	}
	b.add(p)
	s := *cur
	s.Blocks = blocks
	return r.setCurrent(&s, false)
}

// completeBackfill ends the backfill if s has all blocks of its version. If
// their hash sum is wrong, it restarts the backfill and returns an error.
func (r *Replica) completeBackfill(s *Snapshot) error {
	f := r.backfill
	if f == nil || !f.done || s.Version < f.highest {
		return nil
	}
	if s.Blocks.hashSum != s.blockSum {
		r.backfill = &backfill{highest: s.Version}
		return errors.Errorf("hash sum of the client blocks of version %d is %x, want %x", s.Version, s.Blocks.hashSum, s.blockSum)
	}
	r.backfill = nil
	s.Partial = false
	return nil
}

func (r *Replica) installDelta(d *Delta) error {
	d = r.joinParts(d)
	if d.More {
		return nil
	}
	cur := r.current.Load()
	if d.To <= cur.Version {
		return nil
	}
	if d.From > cur.Version {
		return errors.Errorf("delta starts at version %d, after the version in force, %d", d.From, cur.Version)
	}
	next, err := cur.replay(d.To, d.Ops, d.Checksum, d.BlockSum)
	if err != nil {
		r.needWhole = true // the local state differs, so fetch the full one
		return errors.Wrapf(err, "apply delta from version %d", d.From)
	}
	if err := r.logDelta(next, d); err != nil {
		return err
	}
	return r.setCurrent(next, true)
}

// joinParts adds a part to the parts of the delta received so far. It returns
// the complete delta, or one with More set.
func (r *Replica) joinParts(d *Delta) *Delta {
	p := r.pending
	r.pending = nil
	if p != nil && d.Skip > 0 && p.From == d.From && p.To == d.To && len(p.Ops) == d.Skip {
		p.Ops = append(p.Ops, d.Ops...)
		p.More = d.More
		d = p
	} else if d.Skip > 0 {
		return &Delta{More: true} // not the requested part
	}
	if d.More {
		r.pending = d
	}
	return d
}

// setCurrent makes s the state in force and saves it. It calls OnApply for a
// new version and when a backfill is completed.
func (r *Replica) setCurrent(s *Snapshot, newVersion bool) error {
	backfillErr := r.completeBackfill(s)
	completed := r.current.Load().Partial && !s.Partial
	if newVersion || completed {
		r.saveErr = r.saveFiles(s, completed)
	}
	r.current.Store(s)
	if r.cfg.OnApply != nil && (newVersion || completed) {
		r.cfg.OnApply(s)
	}
	if backfillErr != nil {
		return backfillErr
	}
	if r.saveErr != nil {
		return errors.Wrap(ErrNotSaved, r.saveErr.Error())
	}
	return nil
}

// logDelta retains a delta for other instances.
func (r *Replica) logDelta(s *Snapshot, d *Delta) error {
	pieces, err := packOps(d.Ops)
	if err != nil {
		return err
	}
	r.log.add(record{
		From: r.current.Load().Version, To: s.Version, Checksum: s.Checksum,
		Pieces: pieces, BlockSum: s.blockSum,
	})
	return nil
}

// saveFiles saves s to the folder, if there is one.
func (r *Replica) saveFiles(s *Snapshot, newBase bool) error {
	if r.files == nil {
		return nil
	}
	return r.files.save(s, r.log.records, newBase)
}

// AdoptState makes the state of a voter's machine the state in force, unless
// the replica has a newer one. Afterwards both share their memory, even if the
// versions were equal before. It is meant to be called from
// [MachineConfig.OnCommit].
func (r *Replica) AdoptState(m *Machine) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	cur := r.current.Load()
	s, records := m.state()
	switch {
	case s.Version < cur.Version:
		return nil
	case s.Version == cur.Version:
		r.shareState(s, records)
		return nil
	}
	r.backfill, r.needWhole, r.pending = nil, false, nil
	at, ok := findRecord(records, cur.Version)
	if !ok {
		r.log.reset(nil)
		return r.setCurrent(s, true)
	}
	for _, record := range records[at:] {
		r.log.add(record)
	}
	return r.setCurrent(s, true)
}

// shareState replaces the state in force and its changes by the machine's equal
// ones, to store them in memory only once. After a restart both were read from
// separate files.
func (r *Replica) shareState(s *Snapshot, records []record) {
	cur := r.current.Load()
	if cur.Partial || cur.Checksum != s.Checksum {
		return
	}
	r.log.reset(records)
	r.current.Store(s)
}

// ReplicaDump is the state of a [Replica] in the state dump.
type ReplicaDump struct {
	Version  keel.Version `json:"version"`
	Checksum uint64       `json:"checksum"`
	Blocks   int          `json:"blocks"`
	Records  int          `json:"changes_kept"`
	LogBytes int          `json:"change_bytes_kept"`
	// Backfill is the progress of the transfer of client blocks, if some are
	// missing.
	Backfill *BackfillDump `json:"backfill,omitempty"`
	// SaveError is the last error writing the folder.
	SaveError string `json:"keep_error,omitempty"`
}

// BackfillDump is the progress of a transfer of client blocks.
type BackfillDump struct {
	Blocks int `json:"blocks"`
	// After is the last block received.
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
		d.Backfill = &BackfillDump{Blocks: f.received, After: f.lastReceived, High: f.highest, Done: f.done}
	}
	if r.saveErr != nil {
		d.SaveError = r.saveErr.Error()
	}
	return d
}
