// Package keelsteer implements the request path of an instance: it finds the
// selector of a request, chooses a failure domain, claims the key of an
// at-most-once request, waits for a slot of an endpoint, dispatches or forwards
// the request, and retries where the verdict allows it.
//
// The decisions are made in keelroute, keeladmit, keellookup, keelclaim and
// keelguard. [Engine] passes them the local state and the reports of other
// instances, and carries out their results. The package stores nothing on disk
// and takes no part in consensus.
package keelsteer
