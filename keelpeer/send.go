package keelpeer

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/quic-go/quic-go"
)

// sendTimeout is how long the write of a message may be delayed by flow
// control.
const sendTimeout = 2 * time.Second

// Send implements [keel.Transport]. Without a connection the message is queued
// until one is open, and dropped if that fails.
func (t *Transport) Send(ctx context.Context, to netip.AddrPort, e keel.Envelope) error {
	if int64(len(e.Body)) > t.cfg.MaxMessageBytes {
		return errors.Wrapf(ErrTooLarge, "send to %s", to)
	}
	p := t.pool(poolKey{addr: unmapped(to), class: classMessages})
	if p == nil {
		return ErrClosed
	}
	l := p.enqueue(e)
	if l == nil {
		return nil
	}
	if err := t.sendOn(ctx, l, e); err != nil {
		return errors.Wrapf(err, "send to %s", to)
	}
	return nil
}

func (t *Transport) sendOn(ctx context.Context, l *link, e keel.Envelope) error {
	data, err := keel.EncodeCBOR(e)
	if err != nil {
		return err
	}
	if len(data) <= datagramBytes {
		err := l.conn.SendDatagram(data)
		var tooLarge *quic.DatagramTooLargeError
		if !errors.As(err, &tooLarge) {
			return err
		}
	}
	qs, err := l.conn.OpenUniStreamSync(ctx)
	if err != nil {
		return err
	}
	_ = qs.SetWriteDeadline(time.Now().Add(sendTimeout))
	if _, err := qs.Write(data); err != nil {
		qs.CancelWrite(codeCancelled)
		return err
	}
	return qs.Close()
}

// Call implements [keel.Transport]. The error is [ErrTooLarge] or [ErrClosed] if
// the call was not sent for that reason, [ErrUnreachable] if the peer read nothing
// of it, [ErrOutcomeUnknown] if no answer was received, a [*keel.Refusal] if the
// handler returned one, and otherwise a [*RemoteError].
func (t *Transport) Call(ctx context.Context, to netip.AddrPort, e keel.Envelope) (keel.Envelope, error) {
	data, err := keel.EncodeCBOR(e)
	if err != nil {
		return keel.Envelope{}, err
	}
	if int64(len(data)) > t.cfg.MaxMessageBytes {
		return keel.Envelope{}, errors.Wrapf(ErrTooLarge, "call %s", to)
	}
	l, qs, err := t.openStream(ctx, to, classMessages)
	if err != nil {
		return keel.Envelope{}, err
	}
	defer l.trackInFlight()()
	stopCancelling := context.AfterFunc(ctx, func() { cancelBoth(qs, codeCancelled) })
	defer stopCancelling()
	answer, err := t.exchange(qs, data)
	if err != nil {
		return keel.Envelope{}, t.callError(ctx, to, l, err)
	}
	answer.Envelope.From = l.name
	return answer.result()
}

func (t *Transport) exchange(qs *quic.Stream, data []byte) (*reply, error) {
	if _, err := qs.Write(data); err != nil {
		cancelBoth(qs, codeCancelled)
		return nil, err
	}
	_ = qs.Close()
	answer := &reply{}
	if err := readValue(qs, t.cfg.MaxMessageBytes, answer); err != nil {
		cancelBoth(qs, codeCancelled)
		return nil, err
	}
	return answer, nil
}

// callError returns the error of a failed call. It distinguishes a call that
// the peer never read from one that may have been handled.
func (t *Transport) callError(ctx context.Context, to netip.AddrPort, l *link, err error) error {
	if refusedInHandshake(err) || refusedInHandshake(context.Cause(l.conn.Context())) {
		return unreachableError(to, err)
	}
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	return errors.Wrapf(errors.Join(ErrOutcomeUnknown, err), "call %s", to)
}

// refusedInHandshake reports whether the handshake failed, for example because
// the peer rejected this instance's certificate. The peer then read nothing
// that followed.
func refusedInHandshake(err error) bool {
	var transportErr *quic.TransportError
	return errors.As(err, &transportErr) && transportErr.ErrorCode.IsCryptoError()
}

// openStream opens a stream on a connection from the pool, or on a new one if
// the pool's has just ended. If it fails, nothing was sent.
func (t *Transport) openStream(ctx context.Context, to netip.AddrPort, c class) (*link, *quic.Stream, error) {
	for {
		l, err := t.link(ctx, to, c)
		if err != nil {
			return nil, nil, err
		}
		qs, err := l.conn.OpenStreamSync(ctx)
		if err == nil {
			return l, qs, nil
		}
		if ctx.Err() != nil || l.alive() || refusedInHandshake(err) {
			return nil, nil, unreachableError(to, err)
		}
	}
}

// Open implements [keel.Transport]. If writing e fails, the peer may have
// received it, so Open returns a cancelled stream and no error.
func (t *Transport) Open(ctx context.Context, to netip.AddrPort, e keel.Envelope) (keel.Stream, error) {
	if int64(len(e.Body)) > t.cfg.MaxMessageBytes {
		return nil, errors.Wrapf(ErrTooLarge, "open a stream to %s", to)
	}
	l, qs, err := t.openStream(ctx, to, classStreams)
	if err != nil {
		return nil, err
	}
	return newOpenedStream(ctx, l, qs, e), nil
}
