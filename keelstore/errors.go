package keelstore

import "fmt"

// DamageError reports damage to stored data that is not the result of an
// interrupted write. The data folder must be replaced; see
// docs/operate/replace-a-voter.md.
type DamageError struct {
	// File is the path of the damaged file.
	File string
	// Offset is the position of the damage, in bytes from the start of the file.
	Offset int64
	// Reason describes the damage.
	Reason string
}

// Error names the file, the offset and the reason.
func (e *DamageError) Error() string {
	return fmt.Sprintf("%s: damaged at offset %d: %s", e.File, e.Offset, e.Reason)
}

// FailedError is returned by every operation of a store after a write or a sync
// failed, until [Store.Reopen] succeeds, or after the store was closed. The data of
// the failed write may or may not be on the disk.
type FailedError struct {
	// Op names what was being written. It is "close" if the store was closed.
	Op string
	// Err is the first failure, or [os.ErrClosed] if the store was closed.
	Err error
}

// Error names the write that failed and its cause.
func (e *FailedError) Error() string {
	return fmt.Sprintf("store failed at %s and rejects every operation until it is reopened: %v", e.Op, e.Err)
}

// Unwrap returns the first failure.
func (e *FailedError) Unwrap() error { return e.Err }
