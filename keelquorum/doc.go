// Package keelquorum replicates a log among voters with a consensus algorithm
// based on Raft. The first start has 1, 3 or 5 voters; others can join later.
//
// [Core] makes the decisions: it receives messages and the current time and
// returns actions. It implements elections with pre-votes, a leader lease, log
// replication, snapshot transfer, learners and changes of one voter at a time. It
// performs no I/O, reads no clock and starts no goroutine. [Node] runs a core
// with a storage, a state machine and a transport.
//
// A proposal that returns without an error is on the disks of a majority of the
// voters and is never lost while a majority of them keeps its disks. The accepted
// trade-offs are described in docs/design/agreement.md.
//
// The package does not interpret the entries and does not detect repeated
// proposals; the state machine must do so.
package keelquorum
