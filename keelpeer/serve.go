package keelpeer

import (
	"context"
	"net"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/quic-go/quic-go"
	"github.com/sourcegraph/conc"
)

func (t *Transport) loopAccept(listener *quic.Listener) {
	for {
		conn, err := listener.Accept(t.ctx)
		if err != nil {
			return
		}
		t.start(func() { t.runAccepted(conn) })
	}
}

// runAccepted serves a connection that the peer opened. The connection is added
// to the pool of its address, so that both sides use it.
func (t *Transport) runAccepted(conn *quic.Conn) {
	key := poolKey{
		addr:  unmapped(conn.RemoteAddr().(*net.UDPAddr).AddrPort()),
		class: class(conn.ConnectionState().TLS.NegotiatedProtocol),
	}
	p := t.pool(key)
	if p == nil {
		_ = conn.CloseWithError(codeClosing, "instance stops")
		return
	}
	l := newLink(conn, t.cfg.Clock.Now(), func() {})
	p.add(l)
	t.runLink(p, l)
}

// runLink serves a connection until it ends.
func (t *Transport) runLink(p *pool, l *link) {
	stopClosing := context.AfterFunc(t.ctx, func() {
		_ = l.conn.CloseWithError(codeClosing, "instance stops")
	})
	defer stopClosing()
	var group conc.WaitGroup
	group.Go(func() { t.loopStreams(&group, p.key.class, l) })
	if p.key.class == classMessages {
		group.Go(func() { t.loopUniStreams(&group, l) })
		group.Go(func() { t.loopDatagrams(l) })
	}
	group.Wait()
	t.remove(p, l)
	l.release()
	t.log.WithError(context.Cause(l.conn.Context())).
		WithField("peer", l.name).WithField("address", p.key.addr).
		Debug("peer connection ended")
}

func (t *Transport) loopStreams(group *conc.WaitGroup, c class, l *link) {
	ctx := l.conn.Context()
	for {
		qs, err := l.conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		if c == classMessages {
			group.Go(func() { t.runCall(l, qs) })
		} else {
			group.Go(func() { t.runStream(l, qs) })
		}
	}
}

func (t *Transport) loopUniStreams(group *conc.WaitGroup, l *link) {
	for {
		qs, err := l.conn.AcceptUniStream(l.conn.Context())
		if err != nil {
			return
		}
		group.Go(func() { t.runMessage(l, qs) })
	}
}

func (t *Transport) loopDatagrams(l *link) {
	for {
		data, err := l.conn.ReceiveDatagram(l.conn.Context())
		if err != nil {
			return
		}
		t.handleDatagram(l, data)
	}
}

// handleDatagram handles a message in a goroutine of its own. It drops the
// message if too many are being handled.
func (t *Transport) handleDatagram(l *link, data []byte) {
	if len(data) == 0 {
		return
	}
	var e keel.Envelope
	if err := keel.DecodeCBOR(data, &e); err != nil {
		t.logMalformed(l, err)
		return
	}
	select {
	case t.messageSlots <- struct{}{}:
	default:
		return
	}
	started := t.start(func() {
		defer func() { <-t.messageSlots }()
		t.handleMessage(l, e)
	})
	if !started {
		<-t.messageSlots
	}
}

func (t *Transport) runMessage(l *link, qs *quic.ReceiveStream) {
	var e keel.Envelope
	if err := readValue(qs, t.cfg.MaxMessageBytes, &e); err != nil {
		qs.CancelRead(codeRefused)
		t.logMalformed(l, err)
		return
	}
	t.handleMessage(l, e)
}

func (t *Transport) handleMessage(l *link, e keel.Envelope) {
	e.From = l.name
	if _, err := t.handle(l.conn.Context(), e); err != nil {
		t.log.WithError(err).WithField("peer", l.name).WithField("kind", e.Kind).Debug("message not handled")
	}
}

// runCall handles a call and writes the answer. The context of the handler ends
// when the peer cancels the call.
func (t *Transport) runCall(l *link, qs *quic.Stream) {
	var e keel.Envelope
	if err := readValue(qs, t.cfg.MaxMessageBytes, &e); err != nil {
		cancelBoth(qs, codeRefused)
		t.logMalformed(l, err)
		return
	}
	defer l.trackInFlight()()
	e.From = l.name
	answer, err := t.handle(qs.Context(), e)
	if errors.Is(err, errPanicked) {
		cancelBoth(qs, codeRefused)
		return
	}
	data, encodeErr := keel.EncodeCBOR(newReply(answer, err))
	if encodeErr != nil || int64(len(data)) > t.cfg.MaxMessageBytes {
		data, _ = keel.EncodeCBOR(&reply{Failure: ErrTooLarge.Error()})
	}
	if _, err := qs.Write(data); err != nil {
		qs.CancelWrite(codeCancelled)
		return
	}
	_ = qs.Close()
}

func (t *Transport) runStream(l *link, qs *quic.Stream) {
	s, e, err := acceptStream(l, qs, t.cfg.MaxMessageBytes)
	if err != nil {
		cancelBoth(qs, codeRefused)
		t.logMalformed(l, err)
		return
	}
	t.handleStream(e, s)
	s.finish()
}

func (t *Transport) logMalformed(l *link, err error) {
	if !l.alive() {
		return
	}
	t.log.WithError(err).WithField("peer", l.name).Debug("malformed message dropped")
}

func cancelBoth(qs *quic.Stream, code quic.StreamErrorCode) {
	qs.CancelRead(code)
	qs.CancelWrite(code)
}
