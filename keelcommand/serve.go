package keelcommand

import (
	"context"
	"io"
	"os"
	"os/signal"

	"github.com/go-faster/errors"
	"github.com/greengagekeel/greengagekeel/keelconfig"
	"github.com/greengagekeel/greengagekeel/keelinstance"
	"github.com/greengagekeel/greengagekeel/keelkey"
	"github.com/greengagekeel/greengagekeel/keelmemory"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/urfave/cli/v3"
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run an instance",
		Description: "SIGTERM or SIGINT makes the instance leave in order; a second signal stops it at once.\n\n" +
			"Example: greengagekeel serve --config examples/teranga/settings/dakar-a-1.json",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "`FILE` with the settings", Required: true},
			&cli.StringFlag{Name: "addresses", Usage: "`FILE` to write the open ports' addresses to, as JSON"},
		},
		Action: serve,
	}
}

func serve(ctx context.Context, cmd *cli.Command) error {
	settings, err := keelconfig.Load(cmd.String("config"))
	if err != nil {
		return printFaults(cmd.Root().ErrWriter, err, "correct the settings; greengagekeel check --config FILE lists every fault")
	}
	log, err := newLogger(settings, cmd.Root().ErrWriter)
	if err != nil {
		return fail(ExitFailed, err, "check log.file in the settings")
	}
	keys, err := keelkey.Load(keelkey.Config{Dir: settings.Keys, Instance: settings.Instance, Log: log})
	if err != nil {
		return fail(ExitFailed, err, "make keys with: greengagekeel keys --dir "+settings.Keys+" --instance "+string(settings.Instance))
	}
	in, err := keelinstance.New(keelinstance.Config{Settings: settings, Keys: keys, Log: log})
	if err != nil {
		return fail(ExitFailed, err, "see the error for the port or the folder that could not be opened")
	}
	if file := cmd.String("addresses"); file != "" {
		if err := writeJSONFile(file, in.Addresses()); err != nil {
			in.Close()
			return fail(ExitFailed, err, "check the folder of --addresses")
		}
	}
	return runInstance(ctx, in, settings.Memory, log)
}

func newLogger(s *keelconfig.Settings, stderr io.Writer) (*logrus.Logger, error) {
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{})
	log.SetOutput(stderr)
	level, err := logrus.ParseLevel(s.Log.Level)
	if err != nil {
		return nil, errors.Wrap(err, "log.level")
	}
	log.SetLevel(level)
	if s.Log.File == "" {
		return log, nil
	}
	f, err := os.OpenFile(s.Log.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o640)
	if err != nil {
		return nil, errors.Wrap(err, "log.file")
	}
	log.SetOutput(f)
	return log, nil
}

// runInstance runs an instance until it has left gracefully after a first signal,
// or was stopped at once by a second one.
func runInstance(ctx context.Context, in *keelinstance.Instance, m keelconfig.Memory, log *logrus.Logger) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, stopSignals...)
	defer signal.Stop(signals)
	s := &gracefulStop{in: in, log: log, signals: signals, cancel: cancel}
	var group conc.WaitGroup
	group.Go(func() { s.run(ctx) })
	memory := keelmemory.NewLimitController(m.SoftLimitBytes, m.LimitBytes*softMemoryPercent/100)
	group.Go(func() { _ = memory.Run(ctx) })
	err := in.Run(ctx)
	cancel()
	group.Wait()
	if err != nil {
		return fail(ExitFailed, err, "see the log for the part that failed")
	}
	if s.interrupted > 0 {
		return fail(ExitFailed, errors.Errorf("stopped at once; %d requests were interrupted", s.interrupted), "")
	}
	return nil
}

// gracefulStop performs a planned stop when a signal arrives.
type gracefulStop struct {
	in          *keelinstance.Instance
	log         *logrus.Logger
	signals     chan os.Signal
	cancel      context.CancelFunc
	interrupted int
}

func (s *gracefulStop) run(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-s.signals:
	}
	stopCtx, stopNow := context.WithCancel(ctx)
	defer stopNow()
	var group conc.WaitGroup
	group.Go(func() { s.awaitSecondSignal(stopCtx, stopNow) })
	s.interrupted = s.in.Stop(stopCtx)
	stopNow()
	group.Wait()
}

// awaitSecondSignal calls stopNow when another signal arrives, so that the planned
// stop no longer waits for requests in flight.
func (s *gracefulStop) awaitSecondSignal(ctx context.Context, stopNow context.CancelFunc) {
	select {
	case <-ctx.Done():
	case <-s.signals:
		s.log.Warn("second signal: stopping at once")
		stopNow()
	}
}
