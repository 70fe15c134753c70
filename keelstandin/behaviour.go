package keelstandin

import (
	"math"

	keel "github.com/greengagekeel/greengagekeel"
)

// Behaviour says in what way an endpoint is faulty. The zero value is none.
type Behaviour struct {
	// CrashMark makes a request whose path or query holds it crash the
	// endpoint: the listener and every connection close at once.
	CrashMark string `json:"crash_mark,omitempty"`
	// RestartAfter is the time from a crash to the next start; zero means
	// never.
	RestartAfter keel.Duration `json:"restart_after,omitempty"`
	// Late delays every answer.
	Late keel.Duration `json:"late,omitempty"`
	// AnswerTwice sends every answer two times.
	AnswerTwice bool `json:"answer_twice,omitempty"`
	// WrongLengthBy is added to the Content-Length of every answer.
	WrongLengthBy int `json:"wrong_length_by,omitempty"`
	// CloseMidBody closes the connection after half of the answer's body.
	CloseMidBody bool `json:"close_mid_body,omitempty"`
	// Stall takes requests, sends no answer and closes nothing.
	Stall bool `json:"stall,omitempty"`
	// Shed answers every request with 503 without running it.
	Shed bool `json:"shed,omitempty"`
	// FrozenUtilisation is reported in place of the real one.
	FrozenUtilisation *float64 `json:"frozen_utilisation,omitempty"`
	// Unannounced stops renewals without leaving.
	Unannounced bool `json:"unannounced,omitempty"`
	// SilentAge makes connections that are older go silent for good: nothing
	// that arrives on them is read and nothing is sent. Zero means none.
	SilentAge keel.Duration `json:"silent_age,omitempty"`
	// SilenceOpen makes the connections that are open when the behaviour is
	// set go silent for good.
	SilenceOpen bool `json:"silence_open,omitempty"`
}

// Check reports negative times and a utilisation out of range.
func (b *Behaviour) Check() keel.Faults {
	var fs keel.Faults
	for _, d := range []struct {
		field string
		value keel.Duration
	}{{"restart_after", b.RestartAfter}, {"late", b.Late}, {"silent_age", b.SilentAge}} {
		if d.value < 0 {
			fs.Add(d.field, "is %s, must not be negative", d.value)
		}
	}
	if u := b.FrozenUtilisation; u != nil && (math.IsNaN(*u) || *u < 0 || *u > 1) {
		fs.Add("frozen_utilisation", "is %v, must lie between 0 and 1", *u)
	}
	return fs
}

// raw reports whether answers have to be written past the HTTP library.
func (b *Behaviour) raw() bool {
	return b.AnswerTwice || b.CloseMidBody || b.Stall || b.WrongLengthBy != 0
}
