// Package keelclaim lets a request with a key run at most once.
//
// Every key has a home failure domain. The registered instances of the home
// are the holders of its claims: each of them votes for the first attempt that
// asks for a key. An attempt may dispatch its request once it has the votes of
// a majority of the holders. Two majorities share a holder, so at most one
// attempt ever may. The outcome is recorded at the holders, so that a resend
// gets the recorded answer or a truthful refusal.
//
// [Holder] and [Claimant] make the decisions; they read no clock and start no
// goroutine. [Service] connects them to a [keel.Transport].
//
// The package does not dispatch requests, keeps nothing on disk, and forgets a
// key once the retention has passed since its last use.
package keelclaim
