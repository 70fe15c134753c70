// Package keelpeer carries messages and streams between instances.
//
// [Transport] implements [keel.Transport] over QUIC with mutual TLS: small
// messages go as datagrams, larger ones and calls on streams of their own, and
// streams that a caller opens carry bytes in both directions. Messages and
// calls share one connection to each peer; opened streams share another, so
// that a stalled transfer can't hold up a message. [MemoryHub] offers the same
// interface in memory, with faults that a test sets.
//
// The package resends nothing, orders nothing and knows nothing of what the
// messages mean. A call that fails once it was sent ends with
// [ErrOutcomeUnknown], never with a guess.
package keelpeer
