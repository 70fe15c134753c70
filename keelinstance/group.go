package keelinstance

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/gofiber/fiber/v3"
	"github.com/greengagekeel/greengagekeel/keelbudget"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc/pool"
)

// Run serves until ctx ends, [Instance.Stop] has completed, or a component fails.
// All components stop together.
func (in *Instance) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group := pool.New().WithErrors().WithContext(ctx).WithCancelOnError()
	group.Go(in.peer.Run)
	group.Go(in.cfg.Keys.Run)
	group.Go(in.members.Run)
	group.Go(in.fetcher.Run)
	group.Go(in.endpoints.Run)
	group.Go(in.claims.Run)
	group.Go(in.guard.Run)
	group.Go(in.engine.Run)
	group.Go(in.front.Run)
	group.Go(keelbudget.Reporter{Budget: in.budget, Log: in.log}.Run)
	group.Go(in.runMetrics)
	group.Go(in.runCurrentCheck)
	if in.control.node != nil {
		group.Go(in.control.node.Run)
	}
	group.Go(server{app: in.endpointApp, in: in}.runEndpoint)
	group.Go(server{app: in.operatorApp, in: in}.runOperator)
	group.Go(in.runCaller)
	group.Go(in.runStop)
	a := in.Addresses()
	in.log.WithFields(logrus.Fields{
		"caller": a.Caller.String(), "endpoint": a.Endpoint.String(), "operator": a.Operator.String(), "peer": a.Peer.String(),
	}).Info("instance started")
	err := group.Wait()
	if errors.Is(err, errStopped) {
		return nil
	}
	return err
}

// errStopped makes the run group end after a planned stop.
var errStopped = errors.New("the instance has left")

// runStop ends the run group once the instance has left.
func (in *Instance) runStop(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-in.stopped:
		return errStopped
	}
}

// runCaller serves callers until ctx ends.
func (in *Instance) runCaller(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = in.ports.caller.Close() })
	defer stop()
	err := in.front.Serve(in.ports.caller)
	if ctx.Err() != nil || in.leaving.Load() {
		<-ctx.Done()
		return nil
	}
	return err
}

// server serves the endpoint port or the operator port.
type server struct {
	app *fiber.App
	in  *Instance
}

// appStopTimeout limits how long a stopping instance waits for calls in progress
// on the endpoint and operator ports.
const appStopTimeout = time.Second

func (s server) runEndpoint(ctx context.Context) error {
	stop := context.AfterFunc(ctx, s.shutdown)
	defer stop()
	err := s.app.Listener(s.in.ports.endpoint, fiber.ListenConfig{DisableStartupMessage: true})
	return s.serveError(ctx, err, "endpoint port")
}

func (s server) runOperator(ctx context.Context) error {
	stop := context.AfterFunc(ctx, s.shutdown)
	defer stop()
	err := s.app.Listener(s.in.ports.operator, fiber.ListenConfig{DisableStartupMessage: true})
	return s.serveError(ctx, err, "operator port")
}

func (s server) shutdown() {
	if err := s.app.ShutdownWithTimeout(appStopTimeout); err != nil {
		s.in.log.WithError(err).Debug("port closed with calls in progress")
	}
}

// serveError returns why the port stopped serving, or nil if there was no error or
// ctx has ended.
func (s server) serveError(ctx context.Context, err error, port string) error {
	if err == nil || ctx.Err() != nil {
		return nil
	}
	return errors.Wrap(err, port)
}
