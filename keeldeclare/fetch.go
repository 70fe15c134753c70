package keeldeclare

import (
	"context"
	"net/netip"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
)

// Limits on the size of a fetch response, in bytes.
const (
	minFetchBytes     = 1 << 10
	defaultFetchBytes = 64 << 10
	maxFetchBytes     = 512 << 10
)

// FetchRequest asks an instance for what it has after a version. Every request
// stands alone: the answering side keeps nothing between two of them, and the
// next one may go to another instance.
type FetchRequest struct {
	// From is the version that the asking side has.
	From keel.Version `json:"from" cbor:"1,keyasint"`
	// Refill asks for the blocks after the block After, or from the first one
	// on if After is not valid, unless there is a higher version.
	Refill bool         `json:"refill,omitempty" cbor:"2,keyasint,omitempty"`
	After  netip.Prefix `json:"after,omitzero" cbor:"3,keyasint,omitzero"`
	// To and Skip ask for the rest of a delta that came in parts.
	To   keel.Version `json:"to,omitempty" cbor:"4,keyasint,omitempty"`
	Skip int          `json:"skip,omitempty" cbor:"5,keyasint,omitempty"`
	// MaxBytes bounds the response; 0 means 64 KiB.
	MaxBytes int `json:"max_bytes,omitempty" cbor:"6,keyasint,omitempty"`
	// Whole asks for the whole state instead of a delta.
	Whole bool `json:"whole,omitempty" cbor:"7,keyasint,omitempty"`
}

// Check reports negative numbers.
func (r *FetchRequest) Check() keel.Faults {
	var fs keel.Faults
	if r.Skip < 0 {
		fs.Add("skip", "is %d, must not be negative", r.Skip)
	}
	if r.MaxBytes < 0 {
		fs.Add("max_bytes", "is %d, must not be negative", r.MaxBytes)
	}
	if r.After.IsValid() && r.After != r.After.Masked() {
		fs.Add("after", "is %s, must be a prefix without host bits", r.After)
	}
	return fs
}

func (r *FetchRequest) limit() int {
	if r.MaxBytes == 0 {
		return defaultFetchBytes
	}
	return min(max(r.MaxBytes, minFetchBytes), maxFetchBytes)
}

// FetchResponse answers a [FetchRequest]. With neither Delta nor Full the asked
// instance has nothing newer.
type FetchResponse struct {
	// Version is the version in force at the asked instance, and Checksum
	// that of its state.
	Version  keel.Version `json:"version" cbor:"1,keyasint"`
	Checksum uint64       `json:"checksum" cbor:"2,keyasint"`
	Delta    *Delta       `json:"delta,omitempty" cbor:"3,keyasint,omitempty"`
	Full     *FullPart    `json:"full,omitempty" cbor:"4,keyasint,omitempty"`
	// BlockSum is the part of Checksum that covers the blocks.
	BlockSum uint64 `json:"block_sum" cbor:"5,keyasint"`
}

// FullPart is a part of the whole state: in the first part everything but the
// blocks, as of the response's version, and in each part a run of blocks.
type FullPart struct {
	// First says that the part is the first one. It holds Declarations.
	First        bool               `json:"first,omitempty" cbor:"1,keyasint,omitempty"`
	Declarations *keel.Declarations `json:"declarations,omitempty" cbor:"2,keyasint,omitempty"`
	Blocks       BlockPart          `json:"blocks" cbor:"3,keyasint"`
	// After is the last block so far; the next request names it.
	After netip.Prefix `json:"after,omitzero" cbor:"4,keyasint,omitzero"`
	// Done says that no blocks follow.
	Done bool `json:"done,omitempty" cbor:"5,keyasint,omitempty"`
	// Begin is the block that the request named.
	Begin netip.Prefix `json:"begin,omitzero" cbor:"6,keyasint,omitzero"`
	// High is the highest version that the blocks may be of; none is of one
	// below the response's version.
	High keel.Version `json:"high" cbor:"7,keyasint"`
}

// Check reports faults of the parts.
func (r *FetchResponse) Check() keel.Faults {
	var fs keel.Faults
	if r.Delta != nil && r.Full != nil {
		fs.Add("delta", "must not be given together with full")
	}
	if r.Delta != nil {
		fs.Under("delta", r.Delta.Check())
	}
	if r.Full == nil {
		return fs
	}
	if r.Full.First != (r.Full.Declarations != nil) {
		fs.Add("full.declarations", "must be given in the first part and in no other")
	}
	if r.Full.High < r.Version {
		fs.Add("full.high", "is %d, must not be below version %d", r.Full.High, r.Version)
	}
	fs.Under("full.blocks", r.Full.Blocks.Check())
	return fs
}

// useful reports whether the response has anything but declarations that the
// asking side may have by now. A peer without more is asked again later.
func (r *FetchResponse) useful() bool {
	return r.Delta != nil || r.Full != nil && (r.Full.Done || r.Full.Blocks.Count > 0)
}

// serve answers a request out of a state and the changes that led to it. A
// higher version goes before blocks that are missing.
func serve(s *Snapshot, log *changeLog, cov covered, req *FetchRequest) FetchResponse {
	resp := FetchResponse{Version: s.Version, Checksum: s.Checksum, BlockSum: s.blockSum}
	switch {
	case req.From > s.Version:
	case req.From == s.Version:
		if req.Refill {
			resp.Full = fullPart(s, req.After, req.limit(), cov)
		}
	case req.From > 0 && !req.Whole:
		if d, ok := log.deltaPart(req.From, req.To, req.Skip, req.limit()); ok {
			resp.Delta = &d
			return resp
		}
		fallthrough
	default:
		resp.Full = fullPart(s, netip.Prefix{}, req.limit(), cov)
	}
	return resp
}

// fullPart returns the part after the given block, or nil if it would hold
// nothing.
func fullPart(s *Snapshot, after netip.Prefix, limit int, cov covered) *FullPart {
	p := &FullPart{First: !after.IsValid(), Begin: after, High: cov.high}
	if p.First {
		p.Declarations = s.Declarations
	}
	p.Blocks, p.After, p.Done = s.Blocks.part(after, limit, cov)
	if p.Blocks.Count == 0 && !p.First && !p.Done {
		return nil
	}
	return p
}

// Handler returns the handler of [keel.KindFetch].
func (r *Replica) Handler() keel.Handler { return fetchHandler{r} }

type fetchHandler struct{ replica *Replica }

// HandleMessage answers a [FetchRequest] with a [FetchResponse].
func (h fetchHandler) HandleMessage(_ context.Context, e keel.Envelope) (keel.Envelope, error) {
	if e.Kind != keel.KindFetch {
		return keel.Envelope{}, errors.Errorf("message kind %d is not a fetch", e.Kind)
	}
	var req FetchRequest
	if err := keel.DecodeCBOR(e.Body, &req); err != nil {
		return keel.Envelope{}, err
	}
	body, err := keel.EncodeCBOR(h.replica.Serve(req))
	if err != nil {
		return keel.Envelope{}, err
	}
	return keel.Envelope{Kind: keel.KindFetch, Body: body}, nil
}
