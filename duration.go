package keel

import (
	"time"

	"github.com/go-faster/errors"
)

// Duration is a [time.Duration] that is encoded as text, such as "1.5s", in JSON
// and as an integer number of nanoseconds in CBOR.
type Duration time.Duration

// Std returns d as a [time.Duration].
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String formats d like [time.Duration.String].
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText implements [encoding.TextMarshaler].
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements [encoding.TextUnmarshaler].
func (d *Duration) UnmarshalText(text []byte) error {
	std, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Errorf("%q is not a duration; write a number and a unit, such as \"1.5s\"", text)
	}
	*d = Duration(std)
	return nil
}
