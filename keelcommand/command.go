// Package keelcommand is the command line of greengagekeel.
//
// [Main] parses arguments, runs one command and returns its exit code. The
// commands call the other packages and contain only the handling of input, output
// and exit codes.
package keelcommand

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/urfave/cli/v3"
)

// Exit codes.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailed means that the command failed.
	ExitFailed = 1
	// ExitUsage means that arguments, settings or declarations have faults.
	ExitUsage = 2
	// ExitConflict means that a change conflicts with another one, which was
	// accepted before it.
	ExitConflict = 3
	// ExitUnknown means that it is not known whether a change was accepted.
	ExitUnknown = 4
	// ExitLagging means that a change is accepted but not yet in force at every
	// instance.
	ExitLagging = 5
)

// Version is the version of the program.
const Version = "0.1.0"

// Names of flags that several commands share.
const (
	flagOperator = "operator"
	flagToken    = "token-file"
	flagOutput   = "output"
	flagTimeout  = "timeout"
)

// exitError is an error with an exit code and advice for the user.
type exitError struct {
	code   int
	err    error
	advice string
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

func fail(code int, err error, advice string) error {
	return &exitError{code: code, err: err, advice: advice}
}

// Main runs the command that args name and returns the exit code. Errors are
// printed to stderr with advice for the user.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := newRoot(stdout, stderr)
	err := root.Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	var exit *exitError
	if !errors.As(err, &exit) {
		exit = &exitError{code: ExitUsage, err: err, advice: "see greengagekeel --help"}
	}
	_, _ = fmt.Fprintf(stderr, "greengagekeel: %v\n", exit.err)
	if exit.advice != "" {
		_, _ = fmt.Fprintf(stderr, "%s\n", exit.advice)
	}
	return exit.code
}

const exitCodesHelp = `Exit codes: 0 done; 1 failed; 2 arguments, settings or declarations have
faults; 3 the change conflicts with another one; 4 the change may have been
accepted; 5 accepted, but not yet in force everywhere.`

func newRoot(stdout, stderr io.Writer) *cli.Command {
	return &cli.Command{
		Name:                  "greengagekeel",
		Usage:                 "steers requests across regions and failure domains",
		Description:           exitCodesHelp,
		Version:               Version,
		EnableShellCompletion: true,
		Writer:                stdout,
		ErrWriter:             stderr,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			steerCommand(stdout),
			serveCommand(), checkCommand(), applyCommand(), diffCommand(), getCommand(),
			lookupCommand(), dumpCommand(), keysCommand(), verifyCommand(), standInCommand(),
			demoCommand(), explainCommand(), versionCommand(),
		},
	}
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:        "version",
		Usage:       "print the version",
		Description: "Example: greengagekeel version",
		Action: func(_ context.Context, cmd *cli.Command) error {
			_, err := fmt.Fprintln(cmd.Root().Writer, Version)
			return err
		},
	}
}

// defaultTimeout limits a command that calls an instance.
const defaultTimeout = 10 * time.Second

func operatorFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagOperator, Usage: "`ADDRESS` of an instance's operator port", Value: "127.0.0.1:7413", Sources: cli.EnvVars("KEEL_OPERATOR")},
		&cli.StringFlag{Name: flagToken, Usage: "`FILE` with the operator token", Sources: cli.EnvVars("KEEL_TOKEN_FILE")},
		&cli.DurationFlag{Name: flagTimeout, Usage: "time limit", Value: defaultTimeout},
		outputFlag(),
	}
}

func outputFlag() cli.Flag {
	return &cli.StringFlag{Name: flagOutput, Aliases: []string{"o"}, Usage: "`FORMAT` of the output, table or json", Value: "table", Validator: checkOutput}
}

func checkOutput(s string) error {
	if s != "table" && s != "json" {
		return errors.Errorf("--output is %q, must be table or json", s)
	}
	return nil
}

func parseAddress(name, text string) (netip.AddrPort, error) {
	ap, err := netip.ParseAddrPort(text)
	if err != nil {
		return ap, fail(ExitUsage, errors.Errorf("--%s: %q is not an IP address and port", name, text), "write it like 127.0.0.1:7413")
	}
	return ap, nil
}

// printFaults writes each fault on a line of its own and returns the error of the
// command.
func printFaults(w io.Writer, err error, advice string) error {
	var fs keel.Faults
	if !errors.As(err, &fs) {
		return fail(ExitUsage, err, advice)
	}
	for _, f := range fs {
		_, _ = fmt.Fprintln(w, f.Error())
	}
	return fail(ExitUsage, errors.Errorf("%d faults", len(fs)), advice)
}
