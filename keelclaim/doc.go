// Package keelclaim lets a request with an idempotency key run at most once.
// The steering engine uses it to claim a key before it dispatches the request.
//
// Every key has a home failure domain. The registered instances of the home are
// the holders of its claims: each of them votes for the first attempt that asks
// for a key. An attempt may dispatch its request once it has the votes of a
// majority of the holders. Any two majorities have a holder in common, so at
// most one attempt can win. The outcome is recorded at the holders, so that a
// resend gets the recorded answer or a refusal that states correctly whether
// the request ran.
//
// [Holder] and [Claimant] make the decisions; they read no clock and start no
// goroutine. [Service] connects them to a [keel.Transport].
//
// The package does not dispatch requests and stores nothing on disk. Claims
// expire once the retention has passed since their last use.
package keelclaim
