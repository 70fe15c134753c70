// Package keelguard protects endpoints and callers from two faults that health
// checks don't detect.
//
// [PoisonDetector] finds requests that crash the endpoints which run them, and
// limits how many endpoints such a request may crash. [SilenceDetector] finds
// connections that went silent for good while new ones to the same peer work.
// Both are deterministic: they read no clock and start no goroutine. [Service]
// shares the evidence of a [PoisonDetector] with other instances. It also obtains
// the permits without which a suspect request is not dispatched again. All permits
// for a request come from one instance, the home of the request's fingerprint.
//
// The package neither sends requests nor opens or closes connections to
// endpoints: its callers act on the decisions and actions that it returns.
package keelguard
