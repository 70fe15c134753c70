package keelpeer

import (
	"context"
	"io"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/quic-go/quic-go"
)

// stream implements [keel.Stream] on a QUIC stream.
type stream struct {
	qs     *quic.Stream
	reader io.Reader
	// The context of the QUIC stream also ends with CloseWrite, so the stream
	// needs its own.
	ctx         context.Context
	cancel      context.CancelCauseFunc
	writeClosed atomic.Bool
	readEnded   atomic.Bool
	// release removes the stream from those in flight on its connection.
	release func()
}

var _ keel.Stream = (*stream)(nil)

var errCancelled = errors.New("stream was cancelled")

func newStream(l *link, qs *quic.Stream) *stream {
	s := &stream{qs: qs, reader: qs}
	connCtx := l.conn.Context()
	s.ctx, s.cancel = context.WithCancelCause(context.WithoutCancel(connCtx))
	stopWatching := context.AfterFunc(connCtx, func() { s.cancel(context.Cause(connCtx)) })
	ended := l.trackInFlight()
	s.release = sync.OnceFunc(func() {
		stopWatching()
		ended()
	})
	context.AfterFunc(qs.Context(), s.writeSideEnded)
	context.AfterFunc(s.ctx, s.release)
	return s
}

// releaseIfDone calls release once both directions have ended. The stream's
// context is not cancelled, since nothing failed.
func (s *stream) releaseIfDone() {
	if s.readEnded.Load() && s.writeClosed.Load() {
		s.release()
	}
}

// newOpenedStream returns a stream after writing e as its first value. If the
// write fails, the peer may still have received e, so the stream is returned in
// the cancelled state.
func newOpenedStream(ctx context.Context, l *link, qs *quic.Stream, e keel.Envelope) *stream {
	s := newStream(l, qs)
	stopCancelling := context.AfterFunc(ctx, s.Cancel)
	defer stopCancelling()
	if err := keel.NewCBORWriter(qs).Write(e); err != nil {
		s.cancelWith(err)
	}
	return s
}

// acceptStream reads the first value of a stream that the peer opened.
func acceptStream(l *link, qs *quic.Stream, limit int64) (*stream, keel.Envelope, error) {
	var e keel.Envelope
	limited := io.LimitReader(qs, limit)
	values := keel.NewCBORReader(limited)
	if err := values.Read(&e); err != nil {
		return nil, keel.Envelope{}, err
	}
	e.From = l.name
	s := newStream(l, qs)
	s.reader = io.MultiReader(values.Buffered(), qs)
	return s, e, nil
}

// Read implements [io.Reader].
func (s *stream) Read(p []byte) (int, error) {
	n, err := s.reader.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		s.readEnded.Store(true)
		s.releaseIfDone()
	case err != nil:
		s.cancel(err)
	}
	return n, err
}

// Write implements [io.Writer].
func (s *stream) Write(p []byte) (int, error) {
	n, err := s.qs.Write(p)
	if err != nil {
		s.cancel(err)
	}
	return n, err
}

// CloseWrite implements [keel.Stream].
func (s *stream) CloseWrite() error {
	s.writeClosed.Store(true)
	s.releaseIfDone()
	return s.qs.Close()
}

// Cancel implements [keel.Stream].
func (s *stream) Cancel() { s.cancelWith(errCancelled) }

func (s *stream) cancelWith(cause error) {
	s.cancel(cause)
	cancelBoth(s.qs, codeCancelled)
}

// Context implements [keel.Stream].
func (s *stream) Context() context.Context { return s.ctx }

// writeSideEnded cancels the stream if its write side ended without CloseWrite.
func (s *stream) writeSideEnded() {
	if !s.writeClosed.Load() {
		s.cancel(context.Cause(s.qs.Context()))
	}
}

// finish ends a stream after its handler has returned.
func (s *stream) finish() {
	if s.ctx.Err() == nil && !s.writeClosed.Load() {
		_ = s.CloseWrite()
	}
	if !s.readEnded.Load() {
		s.qs.CancelRead(codeCancelled)
	}
	s.cancel(context.Canceled)
}
