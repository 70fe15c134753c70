package keelpeer

import (
	"context"
	"net"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelkey"
	"github.com/valyala/fasthttp"
)

// callServer accepts the calls of a [CallClient], for the handlers of a transport.
type callServer struct {
	t        *Transport
	listener net.Listener
	server   *fasthttp.Server
}

// newCallServer returns a server of the connections to a TCP port.
func newCallServer(t *Transport, ln net.Listener) *callServer {
	s := &callServer{t: t, listener: newHandshakeGate(t.ctx).listen(ln, t.cfg.Keys.ServerTLS())}
	s.server = &fasthttp.Server{
		Handler: s.handle, MaxRequestBodySize: int(t.cfg.MaxMessageBytes), IdleTimeout: serverIdleTimeout, ReadTimeout: serverIdleTimeout,
		NoDefaultServerHeader: true, NoDefaultDate: true, NoDefaultContentType: true, ReduceMemoryUsage: true,
		CloseOnShutdown: true, Logger: discardLogger{},
	}
	return s
}

// run serves until the transport stops.
func (s *callServer) run() {
	stop := context.AfterFunc(s.t.ctx, s.close)
	defer stop()
	if err := s.server.Serve(s.listener); err != nil && s.t.ctx.Err() == nil {
		s.t.log.WithError(err).Error("calls over TCP are not served any more")
	}
}

func (s *callServer) close() {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	_ = s.server.ShutdownWithContext(ctx) // after an error the connections end with the process
	_ = s.listener.Close()                // the server does not if it has not begun to serve
}

func (s *callServer) handle(fctx *fasthttp.RequestCtx) {
	var e keel.Envelope
	if err := keel.DecodeCBOR(fctx.PostBody(), &e); err != nil || string(fctx.Path()) != callPath {
		s.t.log.WithError(err).WithField("address", fctx.RemoteAddr()).Debug("malformed message dropped")
		fctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	e.From = ""
	if cs := fctx.TLSConnectionState(); cs != nil {
		e.From = keelkey.PeerName(*cs)
	}
	answer, err := s.t.handle(s.t.ctx, e)
	if errors.Is(err, errPanicked) {
		fctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	data, err := keel.EncodeCBOR(newReply(answer, err))
	if err != nil || int64(len(data)) > s.t.cfg.MaxMessageBytes {
		data, _ = keel.EncodeCBOR(&reply{Failure: ErrTooLarge.Error()})
	}
	fctx.SetBody(data)
}

// discardLogger drops fasthttp's log lines, which are about connections that their
// clients broke off.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
