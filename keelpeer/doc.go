// Package keelpeer carries messages and streams between instances.
//
// [Transport] implements [keel.Transport] over QUIC with mutual TLS. Small
// messages are sent as datagrams; larger messages and calls each use a stream
// of their own. Streams that a caller opens carry bytes in both directions.
// Messages and calls share one connection to each peer. Opened streams share
// another connection, so that a stalled transfer can't delay a message.
// [CallClient] makes calls over TCP, to transports that accept them, for instances whose
// link may be full, which drops datagrams. [MemoryHub] connects in-memory transports
// with the same interface, in which tests can inject faults.
//
// The package does not retransmit or order messages and does not interpret
// their bodies. A call that fails after it was sent returns
// [ErrOutcomeUnknown], since the peer may have handled it.
package keelpeer
