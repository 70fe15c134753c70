package keelcommand

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/go-faster/errors"
	"github.com/greengagekeel/greengagekeel/keelexplain"
	"github.com/urfave/cli/v3"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:        "explain",
		Usage:       "list what the logs of instances report about one request",
		ArgsUsage:   "[FILES...]",
		Description: "Reads the logs of any instances from files or standard input. Example: greengagekeel explain --request 9c41d07be2a35f68 entry.log voter.log",
		Flags:       []cli.Flag{&cli.StringFlag{Name: "request", Usage: "`ID` of the request", Required: true}, outputFlag()},
		Action:      explain,
	}
}

func explain(_ context.Context, cmd *cli.Command) error {
	r := keelexplain.NewReader(cmd.String("request"))
	if cmd.Args().Len() == 0 {
		if err := r.Read(cmd.Root().Reader); err != nil {
			return fail(ExitFailed, err, "")
		}
	}
	for _, name := range cmd.Args().Slice() {
		if err := readLog(r, name); err != nil {
			return fail(ExitFailed, err, "give the names of log files, or none to read standard input")
		}
	}
	t := r.Timeline()
	if len(t.Lines) == 0 {
		return fail(ExitFailed, errors.Errorf("no log line of request %q", t.Request), "give the logs of all instances that the caller may have used")
	}
	if jsonOutput(cmd) {
		return writeJSON(cmd.Root().Writer, t)
	}
	var rows [][]string
	for _, l := range t.Lines {
		instance := l.Instance
		if l.Duplicates > 0 {
			instance += fmt.Sprintf(" and %d more", l.Duplicates)
		}
		rows = append(rows, []string{l.Time.Format("15:04:05.000"), instance, l.Message, formatFields(l.Fields)})
	}
	return writeTable(cmd.Root().Writer, []string{"time", "instance", "message", "fields"}, rows)
}

func readLog(r *keelexplain.Reader, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // opened only for reading
	if err := r.Read(f); err != nil {
		return errors.Wrapf(err, "log %s", name)
	}
	return nil
}

// formatFields returns fields as name=value, sorted by name.
func formatFields(fields map[string]any) string {
	var lines []string
	for name, v := range fields {
		lines = append(lines, fmt.Sprintf("%s=%v", name, v))
	}
	slices.Sort(lines)
	return strings.Join(lines, " ")
}
