// Package keelworld holds the replicated state by which entry instances route
// requests: configuration items with individual versions, drains of failure
// domains, announced endpoints and entry instances.
//
// [State] applies commands in the order of the replicated log, so that two states
// that applied the same commands are equal. [View] is a read-only form of the
// state for look-ups on the request path. The package does no I/O except on
// readers and writers that it is given.
package keelworld
