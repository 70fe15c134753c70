package keeldeclare

import (
	"bytes"
	"slices"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// Limits on what is kept of past changes.
const (
	defaultLogBytes   = 2 << 20
	defaultLogRecords = 10_000
)

// record is one step from a version to a later one. A copy that fetched
// several changes at once has them in one record.
type record struct {
	From     keel.Version  `cbor:"1,keyasint"`
	To       keel.Version  `cbor:"2,keyasint"`
	Checksum uint64        `cbor:"3,keyasint"` // of the state at To
	ID       keel.ChangeID `cbor:"4,keyasint,omitempty"`
	Author   string        `cbor:"5,keyasint,omitempty"`
	Time     time.Time     `cbor:"6,keyasint,omitzero"`
	// Pieces hold the operations, packed: so they take a small part of the
	// memory that they take as values.
	Pieces []piece `cbor:"7,keyasint"`
	// BlockSum is the sum of the hashes of all blocks at To.
	BlockSum uint64 `cbor:"8,keyasint"`
}

// pieceBytes is the size from which on a piece takes no more operations.
const pieceBytes = 4 << 10

// piece is a run of operations, as CBOR values one after the other. A part of
// a large change is read without decoding the rest.
type piece struct {
	Count int    `cbor:"1,keyasint"`
	Ops   []byte `cbor:"2,keyasint"`
}

// pack encodes operations.
func pack(ops []keel.Op) ([]piece, error) {
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

// unpack appends the operations of the piece to ops.
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

// size returns the bytes of the packed operations.
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

// part returns the operations after the first skip ones, about limit bytes of
// them, and whether others follow.
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

// changeLog keeps the last records, bounded by their count and size.
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

// add appends a record that follows the last one, and drops old ones. The last
// record is kept whatever its size.
func (l *changeLog) add(r record) {
	l.records = append(l.records, r)
	l.bytes += r.size()
	drop := 0
	for len(l.records)-drop > 1 && (l.bytes > l.maxBytes || len(l.records)-drop > l.maxRecords) {
		l.bytes -= l.records[drop].size()
		drop++
	}
	l.records = l.records[drop:] // not in place, since copies of l share the array
}

func (l *changeLog) reset(records []record) {
	l.records = nil
	l.bytes = 0
	for _, r := range records {
		l.add(r)
	}
}

// find returns the position of the record that leads on from version v.
func (l *changeLog) find(v keel.Version) (int, bool) { return findRecord(l.records, v) }

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

// Delta is the operations that lead from one version to a later one. Applied to
// any state between the two they give the same result, since only the last
// operation on each name is left.
type Delta struct {
	From keel.Version `json:"from" cbor:"1,keyasint"`
	To   keel.Version `json:"to" cbor:"2,keyasint"`
	// Checksum is that of the state at To.
	Checksum uint64    `json:"checksum" cbor:"3,keyasint"`
	Ops      []keel.Op `json:"ops" cbor:"4,keyasint"`
	// BlockSum is the part of the checksum that covers the blocks, so that a
	// copy can check the rest while it still lacks some of them.
	BlockSum uint64 `json:"block_sum" cbor:"7,keyasint"`
	// Skip is how many operations of the delta went before these in other
	// parts; More says that others follow.
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

// delta returns the delta from v on, up to about maxBytes long but at least one
// record; 0 means no bound.
func (l *changeLog) delta(v keel.Version, maxBytes int) (Delta, bool) {
	first, ok := l.find(v)
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
	d.Ops = lastOps(d.Ops)
	return d, true
}

// deltaPart is like delta, but a record that is larger than maxBytes comes in
// parts: to and skip say which was asked for.
func (l *changeLog) deltaPart(v, to keel.Version, skip, maxBytes int) (Delta, bool) {
	i, ok := l.find(v)
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

// lastOps keeps the last operation on each name.
func lastOps(ops []keel.Op) []keel.Op {
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
