package keel

// LabelClaimBarrierLift with the value [LabelOn] on a failure domain lifts the
// domain's claim barrier, which refuses keys that may have been used before the
// domain lost its claims, such as all keys without an issue time. By setting it
// the operator asserts that no caller resends a key that it used before the loss.
const LabelClaimBarrierLift = "keel.claim_barrier_lift"
