package keelinstance

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/gofiber/fiber/v3"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc/pool"
)

// Run serves until ctx ends, [Instance.Stop] has left in order, or a part
// fails. All parts stop together.
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
	group.Go(in.runMetrics)
	group.Go(in.runCurrency)
	if in.control.node != nil {
		group.Go(in.control.node.Run)
	}
	group.Go(server{app: in.endpointApp, in: in}.runEndpoint)
	group.Go(server{app: in.operatorApp, in: in}.runOperator)
	group.Go(in.runFront)
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

// errStopped ends the run group after a planned stop.
var errStopped = errors.New("the instance has left")

// runStop ends the run group once the instance has left.
func (in *Instance) runStop(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-in.stop:
		return errStopped
	}
}

// runFront serves callers until ctx ends.
func (in *Instance) runFront(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = in.ports.caller.Close() })
	defer stop()
	err := in.front.Serve(in.ports.caller)
	if ctx.Err() != nil || in.leaving.Load() {
		<-ctx.Done()
		return nil
	}
	return err
}

// server runs one of the HTTP ports.
type server struct {
	app *fiber.App
	in  *Instance
}

// appStopTimeout limits the wait for calls to the endpoint and operator ports
// when the instance stops.
const appStopTimeout = time.Second

func (s server) runEndpoint(ctx context.Context) error {
	stop := context.AfterFunc(ctx, s.shutdown)
	defer stop()
	err := s.app.Listener(s.in.ports.endpoint, fiber.ListenConfig{DisableStartupMessage: true})
	return s.ended(ctx, err, "endpoint port")
}

func (s server) runOperator(ctx context.Context) error {
	stop := context.AfterFunc(ctx, s.shutdown)
	defer stop()
	err := s.app.Listener(s.in.ports.operator, fiber.ListenConfig{DisableStartupMessage: true})
	return s.ended(ctx, err, "operator port")
}

func (s server) shutdown() {
	if err := s.app.ShutdownWithTimeout(appStopTimeout); err != nil {
		s.in.log.WithError(err).Debug("port closed with calls under way")
	}
}

func (s server) ended(ctx context.Context, err error, port string) error {
	if err == nil || ctx.Err() != nil {
		return nil
	}
	return errors.Wrap(err, port)
}
