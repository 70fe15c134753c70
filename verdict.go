package keel

import "github.com/go-faster/errors"

// Verdict says whether a request that was not answered may have run on an
// endpoint.
type Verdict uint8

const (
	// MayHaveRun means that the request may have run. It is the zero value
	// because it is correct for every request.
	MayHaveRun Verdict = iota
	// NotRun means that the request did not run: no byte of it reached an
	// endpoint, or the endpoint reported that it did not run it.
	NotRun
	// Ran means that the request ran, but its answer is not available.
	Ran
)

var verdictTexts = [...]string{MayHaveRun: "may_have_run", NotRun: "not_run", Ran: "ran"}

// String returns the verdict as written in the Keel-Verdict header.
func (v Verdict) String() string {
	if int(v) >= len(verdictTexts) {
		return verdictTexts[MayHaveRun]
	}
	return verdictTexts[v]
}

// MarshalText implements [encoding.TextMarshaler].
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText implements [encoding.TextUnmarshaler].
func (v *Verdict) UnmarshalText(text []byte) error {
	for i, s := range verdictTexts {
		if s == string(text) {
			*v = Verdict(i)
			return nil
		}
	}
	return errors.Errorf("%q is not a verdict", text)
}

// Weaken returns the strongest verdict that is correct in both cases, v and w: v
// if they are equal, otherwise [MayHaveRun]. Code that combines verdicts on the
// way to the caller must use Weaken.
func (v Verdict) Weaken(w Verdict) Verdict {
	if v == w {
		return v
	}
	return MayHaveRun
}
