package keel

import "io"

// Buffered returns the bytes that the reader took from its stream after the
// last value. They are valid until the next Read.
func (r *CBORReader) Buffered() io.Reader { return r.dec.Buffered() }
