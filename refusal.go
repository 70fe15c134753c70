package keel

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"
)

// Reason is the machine-readable cause of a [Refusal].
type Reason string

// Reasons of a refusal, with the HTTP status of each.
const (
	ReasonBadRequest      Reason = "bad_request"       // 400
	ReasonUnknownService  Reason = "unknown_service"   // 404
	ReasonNoSelector      Reason = "no_selector"       // 404
	ReasonKeyConflict     Reason = "key_conflict"      // 409
	ReasonDuplicate       Reason = "duplicate"         // 409
	ReasonKeyMissing      Reason = "key_missing"       // 400
	ReasonRequestTimeout  Reason = "request_timeout"   // 408
	ReasonTooLarge        Reason = "too_large"         // 413
	ReasonQueueTimeout    Reason = "queue_timeout"     // 503
	ReasonOverload        Reason = "overload"          // 503
	ReasonShiftCap        Reason = "shift_cap"         // 503
	ReasonNoEndpoint      Reason = "no_endpoint"       // 503
	ReasonNoCredit        Reason = "no_credit"         // 503
	ReasonLinkBudget      Reason = "link_budget"       // 503
	ReasonClaimHome       Reason = "claim_home"        // 503
	ReasonClaimBarrier    Reason = "claim_barrier"     // 503
	ReasonLeaving         Reason = "leaving"           // 503
	ReasonPoison          Reason = "poison_request"    // 422
	ReasonEndpointFailed  Reason = "endpoint_failed"   // 502
	ReasonPeerFailed      Reason = "peer_failed"       // 502
	ReasonDeadline        Reason = "deadline_exceeded" // 504
	ReasonCallerGone      Reason = "caller_gone"       // 499
	ReasonDisabledByLabel Reason = "disabled_by_label" // 503
)

var reasonStatus = map[Reason]int{
	ReasonBadRequest: 400, ReasonKeyMissing: 400,
	ReasonUnknownService: 404, ReasonNoSelector: 404, ReasonRequestTimeout: 408,
	ReasonKeyConflict: 409, ReasonDuplicate: 409,
	ReasonTooLarge: 413, ReasonPoison: 422, ReasonCallerGone: 499,
	ReasonEndpointFailed: 502, ReasonPeerFailed: 502,
	ReasonDeadline: 504,
}

const defaultRefusalStatus = 503

// Status returns the HTTP status of a refusal with this reason.
func (r Reason) Status() int {
	if s, ok := reasonStatus[r]; ok {
		return s
	}
	return defaultRefusalStatus
}

// Refusal is the error of a request for which no endpoint's answer is available.
// It is also the body of the HTTP answer.
type Refusal struct {
	// Verdict says whether the request may have run.
	Verdict Verdict `json:"verdict" cbor:"1,keyasint"`
	// Reason is the machine-readable cause.
	Reason Reason `json:"reason" cbor:"2,keyasint"`
	// Detail is a human-readable explanation.
	Detail string `json:"detail,omitempty" cbor:"3,keyasint,omitempty"`
	// RetryAfter is the delay after which a retry may succeed. Zero means that
	// no retry is advised.
	RetryAfter Duration `json:"retry_after,omitempty" cbor:"4,keyasint,omitempty"`
}

// Refuse returns a refusal. Its detail is format with args.
func Refuse(v Verdict, reason Reason, retryAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{
		Verdict:    v,
		Reason:     reason,
		Detail:     fmt.Sprintf(format, args...),
		RetryAfter: Duration(retryAfter),
	}
}

// AfterAttempt returns the refusal to report for a request of which r ended the last
// attempt and previous, if not nil, an earlier one. A request that may have run in
// an earlier attempt is not reported as not run because a later one did not run it.
func (r *Refusal) AfterAttempt(previous *Refusal) *Refusal {
	if previous != nil && previous.Verdict != NotRun && r.Verdict == NotRun {
		return previous
	}
	return r
}

// Error returns the verdict, the reason and the detail.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s: %s", r.Verdict, r.Reason, r.Detail)
}

// Check reports a missing reason or a negative RetryAfter.
func (r *Refusal) Check() Faults {
	var fs Faults
	if r.Reason == "" {
		fs.Add("reason", "must not be empty")
	}
	if r.RetryAfter < 0 {
		fs.Add("retry_after", "is %s, must not be negative", r.RetryAfter)
	}
	return fs
}

// VerdictOf returns the verdict of the [Refusal] in err's chain, or [MayHaveRun] if
// there is none.
func VerdictOf(err error) Verdict {
	var r *Refusal
	if errors.As(err, &r) {
		return r.Verdict
	}
	return MayHaveRun
}
