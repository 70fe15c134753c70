package keelroute

import (
	"slices"
	"strings"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// Digest is a serializable copy of an instance's share vectors. Instances send
// it to each other as the body of a message of kind [keel.KindShares]; an
// instance may also restore its own after a restart.
type Digest struct {
	From    keel.InstanceName `json:"from" cbor:"1,keyasint"`
	Vectors []VectorDigest    `json:"vectors,omitempty" cbor:"2,keyasint,omitempty"`
}

// VectorDigest is one share vector with the moves that still count against the
// cap on shift.
type VectorDigest struct {
	Source  Source            `json:"source" cbor:"1,keyasint"`
	Domains []keel.DomainName `json:"domains" cbor:"2,keyasint"`
	// Assigned holds, for each of the [Buckets], a position in Domains.
	Assigned []byte `json:"assigned" cbor:"3,keyasint"`
	Moves    []Move `json:"moves,omitempty" cbor:"4,keyasint,omitempty"`
	// Updated is the time of the last move.
	Updated time.Time `json:"updated" cbor:"5,keyasint"`
	// FrozenUntil is the time before which the vector moves no bucket.
	FrozenUntil time.Time `json:"frozen_until,omitzero" cbor:"6,keyasint,omitzero"`
	// Covers is the period before Updated that Moves covers completely.
	Covers keel.Duration `json:"covers" cbor:"7,keyasint"`
}

// maxVectors is the largest number of vectors accepted in one digest.
const maxVectors = 100_000

// Check validates the digest and returns its faults.
func (d *Digest) Check() keel.Faults {
	fs := keel.CheckName("from", d.From)
	if len(d.Vectors) > maxVectors {
		fs.Add("vectors", "has %d vectors, the limit is %d", len(d.Vectors), maxVectors)
		return fs
	}
	for i := range d.Vectors {
		fs.Under("vectors", d.Vectors[i].Check())
	}
	return fs
}

// Check validates the vector and returns its faults.
func (d *VectorDigest) Check() keel.Faults {
	var fs keel.Faults
	fs = append(fs, keel.CheckName("source.selector", d.Source.Selector)...)
	fs = append(fs, keel.CheckName("source.region", d.Source.Region)...)
	if len(d.Domains) == 0 || len(d.Domains) > maxDomains {
		fs.Add("domains", "has %d domains, must have 1 to %d", len(d.Domains), maxDomains)
	}
	for _, name := range d.Domains {
		fs.Under("domains", keel.CheckName("", name))
	}
	if len(d.Assigned) != Buckets {
		fs.Add("assigned", "has %d buckets, must have %d", len(d.Assigned), Buckets)
	}
	for i, at := range d.Assigned {
		if int(at) >= len(d.Domains) {
			fs.Add("assigned", "bucket %d names domain %d of %d", i, at, len(d.Domains))
			break
		}
	}
	return append(fs, d.checkMoves()...)
}

func (d *VectorDigest) checkMoves() keel.Faults {
	var fs keel.Faults
	if len(d.Moves) > maxMoves {
		fs.Add("moves", "has %d moves, the limit is %d", len(d.Moves), maxMoves)
	}
	for i, m := range d.Moves {
		if m.Buckets < 0 || m.Buckets > Buckets*maxMoves {
			fs.Add("moves", "has %d buckets in one move", m.Buckets)
		}
		if i > 0 && m.At.Before(d.Moves[i-1].At) {
			fs.Add("moves", "must be in the order of their times")
		}
	}
	if d.Covers < 0 {
		fs.Add("covers", "is %s, must not be negative", d.Covers)
	}
	return fs
}

// Digest returns all vectors, sorted by selector and region.
func (s *Shares) Digest() Digest {
	d := Digest{From: s.cfg.Self}
	for src, v := range s.vectors {
		d.Vectors = append(d.Vectors, v.digest(src))
	}
	slices.SortFunc(d.Vectors, func(a, b VectorDigest) int {
		if c := strings.Compare(string(a.Source.Selector), string(b.Source.Selector)); c != 0 {
			return c
		}
		return strings.Compare(string(a.Source.Region), string(b.Source.Region))
	})
	return d
}

// Merge adds the vectors of another instance's digest, or of this instance's
// own digest from before a restart. A source without a vector here later starts
// from the most recently updated vector that was merged, including its moves,
// so that the cap isn't spent twice. A vector that is in use is not changed.
// Among vectors with the same update time, the first one merged is kept.
func (s *Shares) Merge(now time.Time, peer Digest) {
	for _, d := range peer.Vectors {
		if _, inUse := s.vectors[d.Source]; inUse {
			continue
		}
		if d.Updated.After(now) {
			d.Updated = now
		}
		if received, ok := s.received[d.Source]; ok && !d.Updated.After(received.Updated) {
			continue
		}
		s.received[d.Source] = d
	}
}

// digest returns the vector of src. The diverted requests are included as a
// move, since they share the cap on shift.
func (v *vector) digest(src Source) VectorDigest {
	spent := ledger{moves: slices.Clone(v.ledger.moves)}
	if n, diverted := v.traffic.totals(v.lastDiverted); diverted > 0 {
		spent.add(v.lastDiverted, (diverted*Buckets+n-1)/n, v.retention)
	}
	return VectorDigest{
		Source:      src,
		Domains:     slices.Clone(v.domains),
		Assigned:    slices.Clone(v.assigned[:]),
		Moves:       spent.moves,
		Updated:     v.updated,
		FrozenUntil: v.frozenUntil,
		Covers:      keel.Duration(v.retention),
	}
}

// restore sets the vector to that of a digest. If the digest covers less than
// the window of the cap, earlier moves may be missing from it, so the vector is
// frozen for a window after its last move.
func (v *vector) restore(d VectorDigest) {
	v.domains = slices.Clone(d.Domains)
	v.targetCount = make([]int, len(v.domains))
	v.unavailable = make([]bool, len(v.domains))
	copy(v.assigned[:], d.Assigned)
	v.bucketCount = make([]int, len(v.domains))
	for _, at := range v.assigned {
		v.bucketCount[at]++
	}
	v.ledger.moves = slices.Clone(d.Moves)
	v.updated = d.Updated
	v.frozenUntil = d.FrozenUntil
	if w := v.cap.Window.Std(); d.Covers.Std() < w {
		v.freeze(d.Updated.Add(w))
	}
	v.retention = max(v.retention, d.Covers.Std())
}
