package keelquorum

import (
	"fmt"

	keel "github.com/greengagekeel/greengagekeel"

	"github.com/go-faster/errors"
)

// Errors of a node.
var (
	// ErrUnknownOutcome means that a proposal may or may not be committed, now
	// or later. It is safe to propose it again only if the state machine
	// recognises it.
	ErrUnknownOutcome = errors.New("outcome of the proposal is unknown")
	// ErrStopped means that the node has stopped. Nothing was proposed.
	ErrStopped = errors.New("node is stopped")
	// ErrTooLarge means that an entry is longer than [MaxEntrySize].
	ErrTooLarge = errors.New("entry is too large")
	// ErrChangePending means that another change of the voters is under way.
	ErrChangePending = errors.New("another change of the voters is under way")
	// ErrLeaderRemoval means that the leader was asked to remove itself; it
	// must hand over first.
	ErrLeaderRemoval = errors.New("the leader can't remove itself, hand over first")
)

// NotLeaderError means that the instance is not the leader, or can't prove that
// it is. Nothing was proposed.
type NotLeaderError struct {
	// Leader is the instance that is thought to lead, or empty.
	Leader keel.InstanceName
}

// Error names the leader.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "instance is not the leader, and no leader is known"
	}
	return fmt.Sprintf("instance is not the leader, %s is thought to lead", e.Leader)
}
