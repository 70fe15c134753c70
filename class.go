package keel

import (
	"slices"

	"github.com/go-faster/errors"
)

// Class is the priority class of a request among those that wait for the same
// endpoints.
type Class string

// Classes of requests, by descending priority.
const (
	// ClassAtMostOnce is for requests that must not run twice. They carry an
	// Idempotency-Key header.
	ClassAtMostOnce Class = "at_most_once"
	// ClassLive is for interactive reads.
	ClassLive Class = "live"
	// ClassBulk is for uploads and other large transfers.
	ClassBulk Class = "bulk"
	// ClassPatient is for reads that tolerate a long wait but must be answered
	// eventually.
	ClassPatient Class = "patient"
)

// Classes returns all classes by descending priority.
func Classes() []Class {
	return []Class{ClassAtMostOnce, ClassLive, ClassBulk, ClassPatient}
}

// Rank returns the index of c in [Classes], or the last index if c is unknown.
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
