// Package keelsync replicates the state of [keelworld] among the control
// instances and distributes it to the entry instances.
//
// A [Voter] is a member of the quorum of [keelquorum]: it forwards commands to
// the leader, serves the log to followers and requests to join the voter set. As
// leader it also detects silent endpoints and instances. A [Follower] holds a
// copy of the state in memory and polls the voters for updates.
//
// The package does not define the commands or how they change the state; that
// is the work of [keelworld].
package keelsync
