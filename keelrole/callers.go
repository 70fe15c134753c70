package keelrole

import (
	"context"
	"net"
	"net/netip"

	"github.com/go-faster/errors"
	"github.com/greengagekeel/greengagekeel/keelpeer"
	"github.com/greengagekeel/greengagekeel/keelproxy"
	"github.com/sourcegraph/conc/pool"
)

// limits returns the limits on requests in force.
func (in *Entry) limits() keelproxy.Limits {
	l := in.follower.View().Limits
	return keelproxy.Limits{
		HeaderBytes: l.HeaderBytes, BodyBytes: l.BodyBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout,
	}
}

// listenCallers opens a port that callers reach.
func (in *Entry) listenCallers(at netip.AddrPort) (net.Listener, error) {
	ln, err := net.Listen("tcp4", at.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", at)
	}
	if err := keelproxy.LimitBuffers(ln); err != nil {
		in.cfg.Log.WithError(err).WithField("address", at.String()).Warn("the buffers of callers' connections are not limited")
	}
	return keelpeer.AcceptRetrier{Listener: ln}, nil
}

// callerAppServer serves the HTTP application of an entry instance on an address that callers
// reach.
type callerAppServer struct {
	in   *Entry
	addr netip.AddrPort
}

// maxAppBodyBytes limits the body of a look-up, which has none.
const maxAppBodyBytes = 4 << 10

func (s callerAppServer) run(ctx context.Context) error {
	ln, err := s.in.listenCallers(s.addr)
	if err != nil {
		return err
	}
	p := callerAppPort{ln: ln, server: keelproxy.NewServer(keelproxy.ServerConfig{
		Handler: s.in.cfg.App(s.in).Handler(), Limits: s.limits, BodyIdle: bodyIdleTimeout, Budget: s.in.budget, Log: s.in.cfg.Log,
	})}
	group := pool.New().WithErrors().WithContext(ctx).WithCancelOnError()
	group.Go(p.server.Run)
	group.Go(p.runServe)
	group.Go(p.runShutdown)
	return group.Wait()
}

// callerAppPort is an open port of a callerAppServer.
type callerAppPort struct {
	ln     net.Listener
	server *keelproxy.Server
}

// runServe serves the port until ctx ends.
func (p callerAppPort) runServe(ctx context.Context) error {
	if err := p.server.Serve(p.ln); ctx.Err() == nil {
		return err
	}
	return nil
}

// runShutdown closes the port when ctx ends, after the requests in progress.
func (p callerAppPort) runShutdown(ctx context.Context) error {
	<-ctx.Done()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), appStopTimeout)
	defer cancel()
	_ = p.server.Shutdown(ctx) // what is still open ends with the process
	return nil
}

// limits returns the limits on look-ups.
func (s callerAppServer) limits() keelproxy.Limits {
	l := s.in.limits()
	if l.HeaderBytes == 0 {
		l.HeaderBytes = maxHeaderBytes
	}
	if l.IdleTimeout == 0 {
		l.IdleTimeout = callerIdleTimeout
	}
	l.BodyBytes = maxAppBodyBytes
	return l
}
