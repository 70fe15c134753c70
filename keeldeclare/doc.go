// Package keeldeclare holds the declarations: the state machine that the agreed
// log drives, the copy that every instance keeps, how copies fetch what they
// miss from each other, and the folder of JSON files that operators edit.
//
// A [Snapshot] is an immutable state of one version. [Machine] makes the next
// one out of a committed change; [Replica] makes it out of what another
// instance sent. Client blocks are held in [Blocks], a compact table whose
// versions share what they have in common.
//
// The package does not agree on the order of changes, does not know who is
// alive and does not look up callers; packages keelquorum, keelmember and
// keellookup do.
package keeldeclare
