// Package keelmember tells which instances are alive, which version of the
// declarations each has in force, and how much room it has.
//
// Inside a failure domain every instance sends heartbeats to every other one.
// Between failure domains only representatives talk: the two live instances
// with the lowest names send digests of their domain, and a digest that
// arrived is passed on inside the domain. So the cost of an instance follows
// the size of its domain and the number of domains, not the number of
// instances.
//
// [Core] decides; it is deterministic and does no input or output. [Service]
// runs it on a transport and publishes a [View].
//
// The package elects nobody and gives no guarantee that two instances have the
// same view. What must hold under a partition is built on leases and majorities
// elsewhere.
package keelmember
