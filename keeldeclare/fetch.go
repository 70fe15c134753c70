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
	// Refill asks for the whole state, beginning after the block After, or at
	// the start if After is not valid.
	Refill bool         `json:"refill,omitempty" cbor:"2,keyasint,omitempty"`
	After  netip.Prefix `json:"after,omitzero" cbor:"3,keyasint,omitzero"`
	// To and Skip ask for the rest of a delta that came in parts.
	To   keel.Version `json:"to,omitempty" cbor:"4,keyasint,omitempty"`
	Skip int          `json:"skip,omitempty" cbor:"5,keyasint,omitempty"`
	// MaxBytes bounds the response; 0 means 64 KiB.
	MaxBytes int `json:"max_bytes,omitempty" cbor:"6,keyasint,omitempty"`
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
}

// FullPart is a part of the whole state as of the response's version. Parts of
// one refill may come from different versions: a delta from the lowest of them
// to the highest one or above makes them one state.
type FullPart struct {
	// First says that the part is the first one. It holds Declarations.
	First        bool               `json:"first,omitempty" cbor:"1,keyasint,omitempty"`
	Declarations *keel.Declarations `json:"declarations,omitempty" cbor:"2,keyasint,omitempty"`
	Blocks       BlockPart          `json:"blocks" cbor:"3,keyasint"`
	// After is the last block so far; the next request names it.
	After netip.Prefix `json:"after,omitzero" cbor:"4,keyasint,omitzero"`
	// Done says that no blocks follow.
	Done bool `json:"done,omitempty" cbor:"5,keyasint,omitempty"`
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
	fs.Under("full.blocks", r.Full.Blocks.Check())
	return fs
}

// serve answers a request out of a state and the changes that led to it.
func serve(s *Snapshot, log *changeLog, req *FetchRequest) FetchResponse {
	resp := FetchResponse{Version: s.Version, Checksum: s.Checksum}
	if req.Refill {
		resp.Full = fullPart(s, req.After, req.limit())
		return resp
	}
	if req.From >= s.Version {
		return resp
	}
	if req.From > 0 {
		if d, ok := log.deltaPart(req.From, req.To, req.Skip, req.limit()); ok {
			resp.Delta = &d
		}
	}
	if resp.Delta == nil {
		resp.Full = fullPart(s, netip.Prefix{}, req.limit())
	}
	return resp
}

func fullPart(s *Snapshot, after netip.Prefix, limit int) *FullPart {
	p := &FullPart{First: !after.IsValid()}
	if p.First {
		p.Declarations = s.Declarations
	}
	p.Blocks, p.After, p.Done = s.Blocks.part(after, limit)
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
