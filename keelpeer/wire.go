package keelpeer

import (
	"io"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
)

// Errors of the transport.
var (
	// ErrUnreachable means that no connection could be established and the peer
	// has read nothing of the message.
	ErrUnreachable = errors.New("peer can't be reached")
	// ErrOutcomeUnknown means that the message was sent but no answer was
	// received. The peer may or may not have handled it.
	ErrOutcomeUnknown = errors.New("outcome at the peer is unknown")
	// ErrTooLarge means that a message exceeds the size limit. It was not sent.
	ErrTooLarge = errors.New("message is too large")
	// ErrClosed means that the transport has stopped.
	ErrClosed = errors.New("transport is closed")
)

// RemoteError is an error that the handler of the peer returned.
type RemoteError struct {
	// Message is the text of the error.
	Message string
}

// Error returns the text of the error.
func (e *RemoteError) Error() string { return "peer: " + e.Message }

// reply is the encoded answer to a call.
type reply struct {
	Envelope keel.Envelope `cbor:"1,keyasint"`
	// Refusal is set if the handler returned one.
	Refusal *keel.Refusal `cbor:"2,keyasint,omitempty"`
	// Failure is the text of any other error of the handler.
	Failure string `cbor:"3,keyasint,omitempty"`
}

// Check reports the faults of a refusal. The envelope is not checked, since it
// is empty if the call failed.
func (r *reply) Check() keel.Faults {
	var fs keel.Faults
	if r.Refusal != nil {
		fs.Under("refusal", r.Refusal.Check())
	}
	return fs
}

func newReply(e keel.Envelope, err error) *reply {
	if err == nil {
		return &reply{Envelope: e}
	}
	var refusal *keel.Refusal
	if errors.As(err, &refusal) {
		return &reply{Refusal: refusal}
	}
	return &reply{Failure: err.Error()}
}

func (r *reply) result() (keel.Envelope, error) {
	switch {
	case r.Refusal != nil:
		return keel.Envelope{}, r.Refusal
	case r.Failure != "":
		return keel.Envelope{}, &RemoteError{Message: r.Failure}
	default:
		return r.Envelope, nil
	}
}

// readValue reads a stream that consists of a single value of at most limit
// bytes.
func readValue(r io.Reader, limit int64, v keel.Checker) error {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return err
	}
	if int64(len(data)) > limit {
		return ErrTooLarge
	}
	return keel.DecodeCBOR(data, v)
}
