package keelpeer

import (
	"context"
	"io"
	"net/netip"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// memoryStream is one end of an in-memory stream.
type memoryStream struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	in     *io.PipeReader
	out    *io.PipeWriter
	other  *memoryStream
	hub    *MemoryHub
	route  route
}

// newMemoryStreams returns both ends of a stream. Each end also ends with the
// context of its member.
func newMemoryStreams(a, b context.Context) (*memoryStream, *memoryStream) {
	inA, outB := io.Pipe()
	inB, outA := io.Pipe()
	s, r := &memoryStream{in: inA, out: outA}, &memoryStream{in: inB, out: outB}
	s.ctx, s.cancel = context.WithCancelCause(a)
	r.ctx, r.cancel = context.WithCancelCause(b)
	s.other, r.other = r, s
	context.AfterFunc(s.ctx, s.Cancel)
	context.AfterFunc(r.ctx, r.Cancel)
	return s, r
}

// Open implements [keel.Transport].
func (t *MemoryTransport) Open(ctx context.Context, to netip.AddrPort, e keel.Envelope) (keel.Stream, error) {
	p := t.hub.delivery(t.addr, to)
	if err := t.checkReachable(ctx, to, p); err != nil {
		return nil, err
	}
	near, far := newMemoryStreams(t.ctx, p.member.ctx)
	near.hub, near.route = t.hub, route{t.addr, to}
	far.hub, far.route = t.hub, route{to, t.addr}
	if !p.member.start(func() { p.member.runStream(p.delay, t.outgoing(e), far) }) {
		return nil, unreachableError(to, ErrClosed)
	}
	return near, nil
}

func (t *MemoryTransport) runStream(delay time.Duration, e keel.Envelope, s *memoryStream) {
	if !t.wait(s.ctx, delay) {
		s.Cancel()
		return
	}
	t.handleStream(e, s)
	s.finish()
}

// Read implements [io.Reader].
func (s *memoryStream) Read(p []byte) (int, error) { return s.in.Read(p) }

// Write implements [io.Writer]. It blocks while the route is cut.
func (s *memoryStream) Write(p []byte) (int, error) {
	for {
		healed := s.hub.delivery(s.route.from, s.route.to).healed
		if healed == nil {
			return s.out.Write(p)
		}
		select {
		case <-healed:
		case <-s.ctx.Done():
			return 0, context.Cause(s.ctx)
		}
	}
}

// CloseWrite implements [keel.Stream].
func (s *memoryStream) CloseWrite() error { return s.out.Close() }

// Cancel implements [keel.Stream].
func (s *memoryStream) Cancel() {
	s.in.CloseWithError(errCancelled)
	s.out.CloseWithError(errCancelled)
	s.cancel(errCancelled)
	s.other.cancel(errCancelled)
}

// Context implements [keel.Stream].
func (s *memoryStream) Context() context.Context { return s.ctx }

// finish ends a stream after its handler has returned. Everything written has
// been read, since pipes are unbuffered.
func (s *memoryStream) finish() {
	_ = s.out.Close()
	s.in.CloseWithError(errCancelled)
}
