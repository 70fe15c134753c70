package keel

import (
	"context"
	"io"
	"net/netip"
)

// MessageKind determines the type of an envelope's body and its handler.
type MessageKind uint16

// Kinds of messages between instances. The numbers are part of the peer protocol
// and are never reused for another meaning.
const (
	KindHello     MessageKind = 1  // keelmember: join request and its answer
	KindHeartbeat MessageKind = 2  // keelmember: heartbeat within a domain
	KindDigest    MessageKind = 3  // keelmember: summary between domains
	KindQuorum    MessageKind = 4  // keelquorum: all messages between voters
	KindFetch     MessageKind = 5  // keeldeclare: delta or snapshot since a version
	KindPropose   MessageKind = 6  // keelinstance: change forwarded to a voter or the leader
	KindAnnounce  MessageKind = 7  // keelendpoint: endpoint announcement within a domain
	KindClaim     MessageKind = 8  // keelclaim: vote, settle, release, refill
	KindGuard     MessageKind = 9  // keelguard: evidence and verdicts
	KindForward   MessageKind = 10 // keelproxy: header of a forwarded request
	KindCredit    MessageKind = 11 // keeladmit: credit requests and grants between domains
	KindShares    MessageKind = 12 // keelroute: traffic share vectors
	KindHandOver  MessageKind = 13 // keelsteer: ownership handover at a planned stop
	KindInForce   MessageKind = 14 // keelinstance: query to a voter for the instances with a version in force
	KindCommand   MessageKind = 15 // keelsync: command forwarded to the leader
	KindFeed      MessageKind = 16 // keelsync: request for the log entries after an index
	KindLiveness  MessageKind = 17 // keelsync: liveness report or join request
)

// Envelope is one message between instances.
type Envelope struct {
	Kind MessageKind `cbor:"1,keyasint"`
	// From names the sender. The receiving transport overwrites it with the
	// name in the sender's certificate.
	From InstanceName `cbor:"2,keyasint"`
	// Body is the CBOR encoding of the type that belongs to Kind.
	Body []byte `cbor:"3,keyasint"`
}

// Check reports a missing kind.
func (e *Envelope) Check() Faults {
	var fs Faults
	if e.Kind == 0 {
		fs.Add("kind", "must not be 0")
	}
	return fs
}

// CallTransport carries calls to other instances. Implementations are safe for use by
// several goroutines.
type CallTransport interface {
	// Call sends e and waits for the answer of the receiver's handler. After an
	// error the message may or may not have been handled.
	Call(ctx context.Context, to netip.AddrPort, e Envelope) (Envelope, error)
}

// Transport carries messages and streams to other instances. Implementations
// are safe for use by several goroutines.
type Transport interface {
	CallTransport
	// Send sends e without waiting for delivery. The message may be lost,
	// duplicated or reordered.
	Send(ctx context.Context, to netip.AddrPort, e Envelope) error
	// Open opens a bidirectional stream, whose first message is e. An error
	// means that the receiver's handler was not called.
	Open(ctx context.Context, to netip.AddrPort, e Envelope) (Stream, error)
}

// Stream is a bidirectional stream of bytes between two instances.
type Stream interface {
	io.Reader
	io.Writer
	// CloseWrite closes the sending direction; the other side reads [io.EOF].
	CloseWrite() error
	// Cancel aborts both directions. Reads and writes of the other side fail.
	Cancel()
	// Context returns a context that is cancelled when the other side cancels
	// the stream or the connection is lost.
	Context() context.Context
}

// Handler handles received messages of the kinds for which it is registered.
type Handler interface {
	// HandleMessage handles one message. Its result is the answer to
	// [Transport.Call]; for a message of [Transport.Send] it is ignored.
	HandleMessage(ctx context.Context, e Envelope) (Envelope, error)
}

// StreamHandler handles streams that other instances open.
type StreamHandler interface {
	// HandleStream handles a stream whose first message was e. The stream is
	// closed when it returns.
	HandleStream(ctx context.Context, e Envelope, s Stream)
}
