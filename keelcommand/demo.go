package keelcommand

import (
	"context"
	"io"
	"os"

	"github.com/go-faster/errors"
	"github.com/greengagekeel/greengagekeel/examples"
	"github.com/greengagekeel/greengagekeel/keeldeclare"
	"github.com/greengagekeel/greengagekeel/keeldemo"
	"github.com/mattn/go-isatty"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"
)

const defaultDemoRequests = 300

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run three instances, six endpoints and checked requests in one process",
		Description: "Exits 0 only if no request was lost, answered wrongly or run twice.\n\n" +
			"Example: greengagekeel demo --requests 300",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "requests", Usage: "`N` requests to send", Value: defaultDemoRequests},
			&cli.BoolFlag{Name: "hold", Usage: "keep running afterwards and print the addresses"},
			&cli.BoolFlag{Name: "log", Usage: "write the instances' logs to standard error"},
		},
		Action: demo,
	}
}

func demo(ctx context.Context, cmd *cli.Command) error {
	ctx, stop := withStopSignals(ctx)
	defer stop()
	declared, err := keeldeclare.LoadFS(keelexamples.Files, "demo/declarations")
	if err != nil {
		return fail(ExitFailed, err, "")
	}
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{})
	log.SetOutput(io.Discard)
	if cmd.Bool("log") {
		log.SetOutput(cmd.Root().ErrWriter)
	}
	cfg := keeldemo.Config{
		Requests: cmd.Int("requests"), Hold: cmd.Bool("hold"), Out: cmd.Root().Writer,
		Declarations: declared, Log: log,
	}
	if isatty.IsTerminal(os.Stderr.Fd()) {
		cfg.Progress = cmd.Root().ErrWriter
	}
	report, err := keeldemo.Run(ctx, cfg)
	if err != nil {
		return fail(ExitFailed, err, "run it with --log to see what the instances report")
	}
	if !report.OK() {
		return fail(ExitFailed, errors.Errorf("lost %d, wrong answers %d, ran twice %d", report.Lost, report.WrongAnswer, report.RanTwice), "")
	}
	return nil
}
