package keelquorum

import (
	"fmt"

	keel "github.com/greengagekeel/greengagekeel"

	"github.com/go-faster/errors"
)

// Errors of a node.
var (
	// ErrUnknownOutcome means that a proposal may or may not be committed, now or
	// later. It is safe to repeat it only if the state machine detects
	// duplicates. A node that stops, or whose storage or state machine fails, also
	// returns it from pending reads and waits.
	ErrUnknownOutcome = errors.New("outcome of the proposal is unknown")
	// ErrStopped means that the node has stopped, or that the context ended
	// before [Node.ReadIndex], [Node.HandOver] or [Node.AwaitLeader] completed.
	// Nothing was proposed.
	ErrStopped = errors.New("node is stopped")
	// ErrTooLarge means that an entry is longer than [MaxEntrySize].
	ErrTooLarge = errors.New("entry is too large")
	// ErrChangePending means that another change of the voter set is in progress.
	ErrChangePending = errors.New("another change of the voters is in progress")
	// ErrLeaderRemoval means that the leader was asked to remove itself; it must
	// hand over the leadership first.
	ErrLeaderRemoval = errors.New("the leader can't remove itself, hand over first")
)

// NotLeaderError means that the instance is not the leader or does not hold the
// leader lease. A proposal that returns it is never committed.
type NotLeaderError struct {
	// Leader is the presumed leader, or empty if unknown.
	Leader keel.InstanceName
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "instance is not the leader, and no leader is known"
	}
	return fmt.Sprintf("instance is not the leader, the presumed leader is %s", e.Leader)
}
