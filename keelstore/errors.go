package keelstore

import "fmt"

// DamageError reports stored data that a lost write can't explain. The data
// folder must be replaced; see docs/operate/replace-a-voter.md.
type DamageError struct {
	// File is the path of the damaged file.
	File string
	// Offset is the place of the damage, in bytes from the start of the file.
	Offset int64
	// Reason says what is wrong there.
	Reason string
}

// Error names the file, the offset and the reason.
func (e *DamageError) Error() string {
	return fmt.Sprintf("%s: damaged at offset %d: %s", e.File, e.Offset, e.Reason)
}

// FailedError reports a store that refuses to work since a write or a sync
// failed. What that write held may or may not be on the disk.
type FailedError struct {
	// Op says what was being written.
	Op string
	// Err is the first failure.
	Err error
}

// Error names the write that failed and its cause.
func (e *FailedError) Error() string {
	return fmt.Sprintf("store failed at %s and is out of use until a restart: %v", e.Op, e.Err)
}

// Unwrap returns the first failure.
func (e *FailedError) Unwrap() error { return e.Err }
