package keel

import (
	"slices"

	"github.com/go-faster/errors"
)

// Class orders requests that wait for the same endpoints.
type Class string

// Classes of requests, the most urgent first.
const (
	// ClassAtMostOnce is work that must not run twice. Its requests carry an
	// Idempotency-Key header.
	ClassAtMostOnce Class = "at_most_once"
	// ClassLive is reads that a person waits for.
	ClassLive Class = "live"
	// ClassBulk is uploads and other large transfers.
	ClassBulk Class = "bulk"
	// ClassPatient is reads that may wait long but must be answered in the end.
	ClassPatient Class = "patient"
)

// Classes lists every class, the most urgent first.
func Classes() []Class {
	return []Class{ClassAtMostOnce, ClassLive, ClassBulk, ClassPatient}
}

// Rank returns the place of c in [Classes], or the last place if c is unknown.
func (c Class) Rank() int {
	if i := slices.Index(Classes(), c); i >= 0 {
		return i
	}
	return len(Classes()) - 1
}

// UnmarshalText implements [encoding.TextUnmarshaler].
func (c *Class) UnmarshalText(text []byte) error {
	if !slices.Contains(Classes(), Class(text)) {
		return errors.Errorf("%q is not a class; classes are %q", text, Classes())
	}
	*c = Class(text)
	return nil
}
