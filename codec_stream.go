package keel

import "io"

// Buffered returns the bytes that were read from the stream but not yet decoded.
// They are valid until the next Read.
func (r *CBORReader) Buffered() io.Reader { return r.dec.Buffered() }
