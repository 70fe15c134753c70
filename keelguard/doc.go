// Package keelguard protects endpoints and callers from two faults that health
// checks don't show.
//
// [Poison] finds requests that crash the endpoints which run them, and bounds
// how many endpoints such a request may take. [Silence] finds connections that
// went silent for good while new ones to the same peer work. Both are
// deterministic: they read no clock and start no goroutine. [Service] shares
// what [Poison] knows with other instances.
//
// The package neither sends requests nor opens or closes connections: its
// callers act on what it returns.
package keelguard
