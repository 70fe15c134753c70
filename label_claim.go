package keel

// LabelClaimBarrierLift on a failure domain lets keys without an issue time run
// again after the domain has lost its claims. By setting it the operator
// asserts that no caller sends a key again that it used before the loss.
const LabelClaimBarrierLift = "keel.claim_barrier_lift"
