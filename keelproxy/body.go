package keelproxy

import (
	"io"

	"github.com/go-faster/errors"
)

// CleanEnd reports whether err is the end of a body that is whole. A body that
// broke off ends with [io.ErrUnexpectedEOF] even where
// the error also wraps [io.EOF].
func CleanEnd(err error) bool {
	return errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF)
}

// Interrupt ends a blocked read of a body, if the body has a method Interrupt.
// Other bodies are left alone.
func Interrupt(body io.Reader) {
	if b, ok := body.(interface{ Interrupt() }); ok {
		b.Interrupt()
	}
}
