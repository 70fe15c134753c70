// Package keeldeclare manages the declarations: the replicated state machine
// that holds them at the voters, the replica at every other instance, the
// protocol with which replicas fetch newer versions from each other, and the
// folder of JSON files that operators edit.
//
// A [Snapshot] is an immutable state of one version. [Machine] derives the next
// one from a committed change; [Replica] derives it from what it fetched from
// another instance. Client blocks are stored in [Blocks], a compact table whose
// versions share their unchanged parts.
//
// The package does not order changes, monitor which instances are alive or
// select entry instances for callers; packages keelquorum, keelmember and
// keellookup do.
package keeldeclare
