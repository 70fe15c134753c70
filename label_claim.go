package keel

// LabelClaimBarrierLift on a failure domain admits requests with keys without an
// issue time again after the domain has lost its claims. By setting it the
// operator asserts that no caller resends a key that it used before the loss.
const LabelClaimBarrierLift = "keel.claim_barrier_lift"
