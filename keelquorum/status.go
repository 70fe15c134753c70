package keelquorum

import (
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// Status is the state of a node as shown in the state dump.
type Status struct {
	Self keel.InstanceName `json:"self"`
	// Incarnation identifies the disk of this instance.
	Incarnation uint64 `json:"incarnation"`
	// Role is follower, pre_candidate, candidate or leader.
	Role string `json:"role"`
	Term uint64 `json:"term"`
	// Leader is the presumed leader, or empty if unknown.
	Leader keel.InstanceName `json:"leader,omitempty"`
	// Commit, Applied, Last and Snapshot are indexes of log entries.
	Commit   uint64       `json:"commit"`
	Applied  uint64       `json:"applied"`
	Last     uint64       `json:"last"`
	Snapshot uint64       `json:"snapshot"`
	Voters   []keel.Voter `json:"voters"`
	// SilentFor is the time since the leader last received a message from each
	// other member of the voter set. Members without any message are missing.
	SilentFor map[keel.InstanceName]time.Duration `json:"silent,omitempty"`
	// LeaseValid means that the instance is the leader and holds the lease.
	LeaseValid bool `json:"lease_valid"`
	// HandingOver means that the leader rejects proposals because it is handing
	// over the leadership.
	HandingOver bool `json:"handing_over,omitempty"`
	// Elections is how often this instance has requested pre-votes since it
	// started. Votes is the number of pre-votes or votes in the current election,
	// with its own.
	Elections uint64 `json:"elections,omitempty"`
	Votes     int    `json:"votes,omitempty"`
	// StorageFailure is the error because of which the instance does not vote.
	StorageFailure string `json:"storage_failure,omitempty"`

	// leaseUntil is when the lease ends.
	leaseUntil time.Time
	// publishedAt is when the loop of the node published the status.
	publishedAt time.Time
}

// clearLeadership makes st that of a follower without a known leader.
func (st *Status) clearLeadership() {
	st.Role, st.Leader, st.LeaseValid = string(RoleFollower), "", false
	st.leaseUntil = time.Time{}
}
