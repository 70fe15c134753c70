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

// FetchRequest asks another instance for newer declarations. Requests are
// stateless: the serving instance keeps nothing between them, and the next one
// may be sent to a different instance.
type FetchRequest struct {
	// From is the version at the requesting instance.
	From keel.Version `json:"from" cbor:"1,keyasint"`
	// Refill asks for blocks if the serving instance has no higher version:
	// those after the block After, or from the first one on if After is not
	// valid.
	Refill bool         `json:"refill,omitempty" cbor:"2,keyasint,omitempty"`
	After  netip.Prefix `json:"after,omitzero" cbor:"3,keyasint,omitzero"`
	// To and Skip ask for the next part of a delta: the version that it ends
	// at, and the number of operations received so far.
	To   keel.Version `json:"to,omitempty" cbor:"4,keyasint,omitempty"`
	Skip int          `json:"skip,omitempty" cbor:"5,keyasint,omitempty"`
	// MaxBytes limits the size of the response; 0 means 64 KiB.
	MaxBytes int `json:"max_bytes,omitempty" cbor:"6,keyasint,omitempty"`
	// Whole asks for the full state instead of a delta.
	Whole bool `json:"whole,omitempty" cbor:"7,keyasint,omitempty"`
}

// Check reports negative numbers and a block that is not in canonical form.
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

// limit returns the limit on the size of the response, in bytes.
func (r *FetchRequest) limit() int {
	if r.MaxBytes == 0 {
		return defaultFetchBytes
	}
	return min(max(r.MaxBytes, minFetchBytes), maxFetchBytes)
}

// FetchResponse is the response to a [FetchRequest]. If neither Delta nor Full
// is set, the serving instance has nothing newer.
type FetchResponse struct {
	// Version is the version in force at the serving instance, and Checksum the
	// checksum of its state.
	Version  keel.Version `json:"version" cbor:"1,keyasint"`
	Checksum uint64       `json:"checksum" cbor:"2,keyasint"`
	Delta    *Delta       `json:"delta,omitempty" cbor:"3,keyasint,omitempty"`
	Full     *FullPart    `json:"full,omitempty" cbor:"4,keyasint,omitempty"`
	// BlockSum is the part of Checksum that covers the blocks.
	BlockSum uint64 `json:"block_sum" cbor:"5,keyasint"`
}

// FullPart is a part of the full state. The first part holds everything but the
// blocks, at the version of the response. Every part holds a run of blocks.
type FullPart struct {
	// First is true for the first part, the only one that holds Declarations.
	First        bool               `json:"first,omitempty" cbor:"1,keyasint,omitempty"`
	Declarations *keel.Declarations `json:"declarations,omitempty" cbor:"2,keyasint,omitempty"`
	Blocks       BlockPart          `json:"blocks" cbor:"3,keyasint"`
	// After is the last block of this part, or Begin if it has none. The next
	// request continues after it.
	After netip.Prefix `json:"after,omitzero" cbor:"4,keyasint,omitzero"`
	// Done is true if no blocks follow.
	Done bool `json:"done,omitempty" cbor:"5,keyasint,omitempty"`
	// Begin is the block after which the request asked for blocks.
	Begin netip.Prefix `json:"begin,omitzero" cbor:"6,keyasint,omitzero"`
	// High is the highest version that a block of the part may be from. No
	// block is from a version below that of the response.
	High keel.Version `json:"high" cbor:"7,keyasint"`
}

// Check reports faults in the delta or the part of the full state.
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

// useful reports whether the response has more than declarations, which the
// requesting instance may have received already. A peer whose response was not
// useful is asked again only after a delay.
func (r *FetchResponse) useful() bool {
	return r.Delta != nil || r.Full != nil && (r.Full.Done || r.Full.Blocks.Count > 0)
}

// serve returns the response to a request, from a state and the changes that
// led to it. A higher version takes precedence over missing blocks.
func serve(s *Snapshot, log *changeLog, cov coverage, req *FetchRequest) FetchResponse {
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

// fullPart returns the part after the given block, or nil if no block after it
// is available yet.
func fullPart(s *Snapshot, after netip.Prefix, limit int, cov coverage) *FullPart {
	p := &FullPart{First: !after.IsValid(), Begin: after, High: cov.highest}
	if p.First {
		p.Declarations = s.Declarations
	}
	p.Blocks, p.After, p.Done = s.Blocks.encodePart(after, limit, cov)
	if p.Blocks.Count == 0 && !p.First && !p.Done {
		return nil
	}
	return p
}

// Handler returns the handler for messages of kind [keel.KindFetch].
func (r *Replica) Handler() keel.Handler { return fetchHandler{r} }

type fetchHandler struct{ replica *Replica }

// HandleMessage responds to a [FetchRequest] with a [FetchResponse].
func (h fetchHandler) HandleMessage(_ context.Context, e keel.Envelope) (keel.Envelope, error) {
	if e.Kind != keel.KindFetch {
		return keel.Envelope{}, errors.Errorf("message kind %d is not a fetch request", e.Kind)
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
