package keelsync

import (
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelworld"
)

// commandAnswer answers a command that was forwarded to the leader.
type commandAnswer struct {
	Result *keelworld.Result `cbor:"1,keyasint,omitempty"`
	Error  string            `cbor:"3,keyasint,omitempty"`
}

// Check returns no faults. The receiver treats an answer without a result as a
// failure.
func (*commandAnswer) Check() keel.Faults { return nil }

// feedRequest asks a voter for the log entries after a given one.
type feedRequest struct {
	// Node is the sender.
	Node keelworld.Node `cbor:"1,keyasint"`
	// After is the index of the last entry that the sender has applied; 0 requests
	// a snapshot.
	After uint64 `cbor:"2,keyasint,omitempty"`
	// Wait is how long the voter may hold the request until there is a new entry.
	Wait time.Duration `cbor:"3,keyasint,omitempty"`
	// PartBytes is the size of a part that the sender accepts; 0 means that it
	// accepts only whole entries and snapshots.
	PartBytes int `cbor:"4,keyasint,omitempty"`
	// Blob and Offset request the next part of a blob, if the voter still has it.
	Blob   blobID `cbor:"5,keyasint,omitempty"`
	Offset int    `cbor:"6,keyasint,omitempty"`
	// Answered and Crashes are what the sender observed and its state lacks, see
	// [keelworld.Command].
	Answered []uint64          `cbor:"7,keyasint,omitempty"`
	Crashes  []keelworld.Crash `cbor:"8,keyasint,omitempty"`
	// RateLimits are the limits of endpoints on which the sender's state is out of date.
	RateLimits []keelworld.RateLimit `cbor:"9,keyasint,omitempty"`
}

// MaxReported limits the crashes, the answered requests, and the limits of endpoints, in one
// poll.
const MaxReported = 256

// maxFeedWait is the limit of feedRequest.Wait.
const maxFeedWait = 5 * time.Second

// Check reports the faults of the node and a wait that is out of range.
func (r *feedRequest) Check() keel.Faults {
	fs := r.Node.Check()
	if r.Wait < 0 || r.Wait > maxFeedWait {
		fs.Add("wait", "is %s, must lie between 0s and %s", r.Wait, maxFeedWait)
	}
	if r.PartBytes < 0 || r.Offset < 0 {
		fs.Add("part_bytes", "part of %d bytes at %d must not be negative", r.PartBytes, r.Offset)
	}
	if len(r.Answered) > MaxReported || len(r.Crashes) > MaxReported {
		fs.Add("crashes", "has %d crashes and %d answered requests, the limit of each is %d", len(r.Crashes), len(r.Answered), MaxReported)
	}
	for i := range r.Crashes {
		fs.Under("crashes", r.Crashes[i].Check())
	}
	if len(r.RateLimits) > MaxReported {
		fs.Add("rate_limits", "has %d entries, the limit is %d", len(r.RateLimits), MaxReported)
	}
	for i := range r.RateLimits {
		fs.Under("rate_limits", r.RateLimits[i].Check())
	}
	return fs
}

// entry is a log entry that holds an encoded command.
type entry struct {
	Index uint64 `cbor:"1,keyasint"`
	Data  []byte `cbor:"2,keyasint"`
}

// feedAnswer answers a feedRequest with entries, a snapshot or a part of a blob.
// All are empty if there is nothing new.
type feedAnswer struct {
	Entries  []entry             `cbor:"1,keyasint,omitempty"`
	Snapshot *keelworld.Snapshot `cbor:"2,keyasint,omitempty"`
	// Stale means that the voter has no leader, or lags behind the sender, so that
	// other voters may have newer entries.
	Stale bool `cbor:"3,keyasint,omitempty"`
	// Voters are the members of the voter set, any of which can be polled.
	Voters []keelworld.Node `cbor:"4,keyasint,omitempty"`
	// Part is sent to followers that accept parts.
	Part *blobPart `cbor:"5,keyasint,omitempty"`
	// More means that the voter has further entries, which did not fit.
	More bool `cbor:"6,keyasint,omitempty"`
	// Held is the time from the arrival of the request to when the voter found that
	// the answer is current.
	Held time.Duration `cbor:"7,keyasint,omitempty"`
	// NoLeader means that the voter has no leader. Builds before this field leave it out.
	NoLeader bool `cbor:"8,keyasint,omitempty"`
}

// Check reports the faults of the part and a negative time. Entries are checked when
// they are applied.
func (a *feedAnswer) Check() keel.Faults {
	var fs keel.Faults
	if a.Held < 0 {
		fs.Add("held", "is %s, must not be negative", a.Held)
	}
	if a.Part != nil {
		fs = append(fs, a.Part.Check()...)
	}
	return fs
}

// empty reports whether there is nothing new.
func (a *feedAnswer) empty() bool {
	return a.Snapshot == nil && a.Part == nil && len(a.Entries) == 0
}

// livenessReport is what a voter periodically sends to the leader.
type livenessReport struct {
	// Endpoints and Nodes are those that contacted the sender since its last
	// report.
	Endpoints []string            `cbor:"1,keyasint,omitempty"`
	Nodes     []keel.InstanceName `cbor:"2,keyasint,omitempty"`
	// Join requests that the sender become a voter.
	Join bool `cbor:"3,keyasint,omitempty"`
	// For is the instance that requested to join, if the sender forwards the
	// request.
	For keel.InstanceName `cbor:"4,keyasint,omitempty"`
}

// Check reports an invalid name in For. Unknown endpoints and nodes are ignored.
func (m *livenessReport) Check() keel.Faults {
	if m.For == "" {
		return nil
	}
	return keel.CheckName("for", m.For)
}
