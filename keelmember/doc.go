// Package keelmember maintains the membership of a deployment: which instances
// are alive, which version of the declarations each has in force, and how much
// free capacity it has.
//
// Inside a failure domain every instance sends heartbeats to every other one.
// Between failure domains only representatives communicate: the two live
// instances with the lowest names send digests of their domain, and a digest
// that arrives is relayed inside the receiving domain. The cost per instance
// therefore grows with the size of its domain and the number of domains, not
// with the total number of instances.
//
// [Core] is a deterministic state machine that does no input or output.
// [Service] runs it on a transport and publishes a [View].
//
// The package elects no leader and does not guarantee that two instances have
// the same view. Guarantees that must hold during a network partition rely on
// leases and majorities in other packages.
package keelmember
