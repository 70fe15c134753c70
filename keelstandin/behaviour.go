package keelstandin

import (
	"math"

	keel "github.com/greengagekeel/greengagekeel"
)

// Behaviour describes the faults of an endpoint. The zero value has none.
type Behaviour struct {
	// CrashMark is a text that crashes the endpoint when the path or query of a
	// request contains it: the listener and every connection close at once.
	CrashMark string `json:"crash_mark,omitempty"`
	// RestartAfter is the time from a crash to the restart; zero means no
	// restart.
	RestartAfter keel.Duration `json:"restart_after,omitempty"`
	// Late is a delay that is added before every answer.
	Late keel.Duration `json:"late,omitempty"`
	// AnswerTwice sends every answer twice on the same connection.
	AnswerTwice bool `json:"answer_twice,omitempty"`
	// WrongLengthBy is added to the Content-Length of every answer.
	WrongLengthBy int `json:"wrong_length_by,omitempty"`
	// CloseMidBody closes the connection after half of the answer's body.
	CloseMidBody bool `json:"close_mid_body,omitempty"`
	// StatusLine replaces the status line of every answer, and need not be valid.
	StatusLine string `json:"status_line,omitempty"`
	// HeaderLine is a further line in the header of every answer, and need not be valid.
	HeaderLine string `json:"header_line,omitempty"`
	// Stall reads requests but sends no answer and keeps the connection open.
	Stall bool `json:"stall,omitempty"`
	// Shed answers every request with 503 without running it.
	Shed bool `json:"shed,omitempty"`
	// FrozenUtilisation is announced in place of the real utilisation.
	FrozenUtilisation *float64 `json:"frozen_utilisation,omitempty"`
	// Unannounced stops announcements without announcing that the endpoint
	// leaves.
	Unannounced bool `json:"unannounced,omitempty"`
	// SilentAge is the age at which a connection goes silent for good: nothing
	// that arrives on it is read and nothing is sent. Zero means never.
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

// needsRawConn reports whether answers have to be written to the connection
// directly, since the HTTP library can't produce them.
func (b *Behaviour) needsRawConn() bool {
	return b.AnswerTwice || b.CloseMidBody || b.Stall || b.WrongLengthBy != 0 || b.StatusLine != "" || b.HeaderLine != ""
}
