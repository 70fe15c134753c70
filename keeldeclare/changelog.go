package keeldeclare

import (
	"bytes"
	"slices"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// Default limits on the retained changes.
const (
	defaultLogBytes   = 2 << 20
	defaultLogRecords = 10_000
)

// record is a step from one version to a later one. At a replica that fetched
// several changes at once, one record holds all of them.
type record struct {
	From     keel.Version  `cbor:"1,keyasint"`
	To       keel.Version  `cbor:"2,keyasint"`
	Checksum uint64        `cbor:"3,keyasint"` // of the state at To
	ID       keel.ChangeID `cbor:"4,keyasint,omitempty"`
	Author   string        `cbor:"5,keyasint,omitempty"`
	Time     time.Time     `cbor:"6,keyasint,omitzero"`
	// Pieces holds the encoded operations, which need much less memory than the
	// decoded ones.
	Pieces []piece `cbor:"7,keyasint"`
	// BlockSum is the sum of the hashes of all blocks at To.
	BlockSum uint64 `cbor:"8,keyasint"`
}

// pieceBytes is the size at which a piece is full and the next one is started.
const pieceBytes = 4 << 10

// piece is a sequence of operations, encoded as consecutive CBOR values. Pieces
// allow a part of a large change to be read without decoding the rest.
type piece struct {
	Count int    `cbor:"1,keyasint"`
	Ops   []byte `cbor:"2,keyasint"`
}

// packOps encodes operations.
func packOps(ops []keel.Op) ([]piece, error) {
	var out []piece
	for i := range ops {
		b, err := keel.EncodeCBOR(&ops[i])
		if err != nil {
			return nil, err
		}
		if len(out) == 0 || len(out[len(out)-1].Ops) >= pieceBytes {
			out = append(out, piece{})
		}
		p := &out[len(out)-1]
		p.Ops = append(p.Ops, b...)
		p.Count++
	}
	return out, nil
}

// unpack decodes the operations of the piece and appends them to ops.
func (p *piece) unpack(ops []keel.Op) ([]keel.Op, error) {
	r := keel.NewCBORReader(bytes.NewReader(p.Ops))
	for range p.Count {
		var o keel.Op
		if err := r.Read(&o); err != nil {
			return nil, err
		}
		ops = append(ops, o)
	}
	return ops, nil
}

// size returns the size of the encoded operations in bytes.
func (r *record) size() int {
	n := 0
	for i := range r.Pieces {
		n += len(r.Pieces[i].Ops)
	}
	return n
}

func (r *record) ops() ([]keel.Op, error) {
	ops, _, err := r.part(0, r.size()+1)
	return ops, err
}

// part returns the operations after the first skip ones, of about limit bytes
// in all, and whether more follow.
func (r *record) part(skip, limit int) (ops []keel.Op, more bool, err error) {
	size := 0
	for i := range r.Pieces {
		p := &r.Pieces[i]
		if skip >= p.Count {
			skip -= p.Count
			continue
		}
		if size >= limit {
			return ops, true, nil
		}
		before := len(ops)
		if ops, err = p.unpack(ops); err != nil {
			return nil, false, err
		}
		ops = slices.Delete(ops, before, before+skip)
		skip = 0
		size += len(p.Ops)
	}
	return ops, false, nil
}

// changeLog retains the latest records, limited by number and size.
type changeLog struct {
	records    []record
	bytes      int
	maxBytes   int
	maxRecords int
}

func newChangeLog(maxBytes, maxRecords int) changeLog {
	if maxBytes <= 0 {
		maxBytes = defaultLogBytes
	}
	if maxRecords <= 0 {
		maxRecords = defaultLogRecords
	}
	return changeLog{maxBytes: maxBytes, maxRecords: maxRecords}
}

// add appends a record that follows the last one, and drops the oldest ones
// over the limits. The newest record is retained whatever its size.
func (l *changeLog) add(r record) {
	l.records = append(l.records, r)
	l.bytes += r.size()
	drop := 0
	for len(l.records)-drop > 1 && (l.bytes > l.maxBytes || len(l.records)-drop > l.maxRecords) {
		l.bytes -= l.records[drop].size()
		drop++
	}
	l.records = l.records[drop:] // not in place, because copies of l share the array
}

func (l *changeLog) reset(records []record) {
	l.records = nil
	l.bytes = 0
	for _, r := range records {
		l.add(r)
	}
}

// findFrom returns the index of the record that contains the step from version
// v to the next one.
func (l *changeLog) findFrom(v keel.Version) (int, bool) { return findRecord(l.records, v) }

func findRecord(records []record, v keel.Version) (int, bool) {
	i, _ := slices.BinarySearchFunc(records, v, func(r record, v keel.Version) int {
		if r.To <= v {
			return -1
		}
		return 1
	})
	if i == len(records) || records[i].From > v {
		return 0, false
	}
	return i, true
}

// Delta holds the operations that lead from one version to a later one.
// Applying it to the state of any version between the two gives the same
// result, because only the last operation on each name is included.
type Delta struct {
	From keel.Version `json:"from" cbor:"1,keyasint"`
	To   keel.Version `json:"to" cbor:"2,keyasint"`
	// Checksum is the checksum of the state at To.
	Checksum uint64    `json:"checksum" cbor:"3,keyasint"`
	Ops      []keel.Op `json:"ops" cbor:"4,keyasint"`
	// BlockSum is the part of the checksum that covers the blocks, so that a
	// replica that lacks some blocks can verify the rest.
	BlockSum uint64 `json:"block_sum" cbor:"7,keyasint"`
	// Skip is the number of operations of the delta that earlier parts hold.
	// More is true if more parts follow.
	Skip int  `json:"skip,omitempty" cbor:"5,keyasint,omitempty"`
	More bool `json:"more,omitempty" cbor:"6,keyasint,omitempty"`
}

// Check reports versions in the wrong order and malformed operations.
func (d *Delta) Check() keel.Faults {
	var fs keel.Faults
	if d.From >= d.To {
		fs.Add("to", "is %d, must be above from, which is %d", d.To, d.From)
	}
	if d.Skip < 0 {
		fs.Add("skip", "is %d, must not be negative", d.Skip)
	}
	for i := range d.Ops {
		fs.Under(opField(i), d.Ops[i].Check())
	}
	return fs
}

// delta returns the delta from version v, of at least one record and otherwise
// up to about maxBytes; 0 means no limit.
func (l *changeLog) delta(v keel.Version, maxBytes int) (Delta, bool) {
	first, ok := l.findFrom(v)
	if !ok {
		return Delta{}, false
	}
	d := Delta{From: v}
	size := 0
	for i := first; i < len(l.records); i++ {
		r := &l.records[i]
		size += r.size()
		if i > first && maxBytes > 0 && size > maxBytes {
			break
		}
		ops, err := r.ops()
		if err != nil {
			return Delta{}, false
		}
		d.Ops = append(d.Ops, ops...)
		d.To, d.Checksum, d.BlockSum = r.To, r.Checksum, r.BlockSum
	}
	d.Ops = lastOpPerName(d.Ops)
	return d, true
}

// deltaPart is like delta, but splits a record that is larger than maxBytes. If
// the record ends at version to, the part starts after the first skip
// operations.
func (l *changeLog) deltaPart(v, to keel.Version, skip, maxBytes int) (Delta, bool) {
	i, ok := l.findFrom(v)
	if !ok {
		return Delta{}, false
	}
	r := &l.records[i]
	if r.size() <= maxBytes {
		return l.delta(v, maxBytes)
	}
	d := Delta{From: v, To: r.To, Checksum: r.Checksum, BlockSum: r.BlockSum}
	if to == r.To {
		d.Skip = skip
	}
	var err error
	d.Ops, d.More, err = r.part(d.Skip, maxBytes)
	return d, err == nil
}

type opKey struct {
	kind keel.Kind
	name string
}

// lastOpPerName returns ops without operations that a later one on the same
// name overrides.
func lastOpPerName(ops []keel.Op) []keel.Op {
	last := make(map[opKey]int, len(ops))
	for i, o := range ops {
		last[opKey{o.Kind, o.Name}] = i
	}
	if len(last) == len(ops) {
		return ops
	}
	out := make([]keel.Op, 0, len(last))
	for i, o := range ops {
		if last[opKey{o.Kind, o.Name}] == i {
			out = append(out, o)
		}
	}
	return out
}
