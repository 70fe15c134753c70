// Package keelquorum replicates a log among 1, 3 or 5 voters.
//
// [Core] decides: messages and the time go in, actions come out. It holds
// elections with pre-votes, a leader lease, log replication, snapshot transfer,
// learners and changes of one voter at a time. It does no I/O, reads no clock
// and starts no goroutine. [Node] runs a core over a storage, a state machine
// and a transport.
//
// A proposal that returns without an error is on the disks of a majority of the
// voters and is never lost while a majority of them keeps its disks. What was
// accepted is described in docs/design/agreement.md.
//
// The package doesn't look into the entries, and it doesn't tell apart resent
// proposals: that is the state machine's work.
package keelquorum
