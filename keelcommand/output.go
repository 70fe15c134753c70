package keelcommand

import (
	"encoding/json"
	"io"
	"os"
	"strings"

	"github.com/go-faster/errors"
	"github.com/google/renameio/v2"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keeloperate"
	"github.com/olekukonko/tablewriter"
	"github.com/urfave/cli/v3"
)

const (
	filePermissions = 0o644
	jsonIndent      = "  "
)

func writeJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", jsonIndent)
	return enc.Encode(v)
}

func writeJSONFile(name string, v any) error {
	data, err := json.MarshalIndent(v, "", jsonIndent)
	if err != nil {
		return errors.Wrapf(err, "encode %T", v)
	}
	if err := renameio.WriteFile(name, append(data, '\n'), filePermissions); err != nil {
		return errors.Wrapf(err, "write %s", name)
	}
	return nil
}

// writeTable writes rows as a table with a header.
func writeTable(w io.Writer, header []string, rows [][]string) error {
	t := tablewriter.NewTable(w)
	t.Header(header)
	if err := t.Bulk(rows); err != nil {
		return err
	}
	return t.Render()
}

func jsonOutput(cmd *cli.Command) bool { return cmd.String(flagOutput) == "json" }

// newOperatorClient returns a client of the operator port that the flags name.
func newOperatorClient(cmd *cli.Command) (*keeloperate.Client, error) {
	addr, err := parseAddress(flagOperator, cmd.String(flagOperator))
	if err != nil {
		return nil, err
	}
	c := &keeloperate.Client{Address: addr}
	if file := cmd.String(flagToken); file != "" {
		token, err := os.ReadFile(file)
		if err != nil {
			return nil, fail(ExitUsage, errors.Wrap(err, "operator token"), "name the file operator.token that greengagekeel keys created")
		}
		c.Token = strings.TrimSpace(string(token))
	}
	return c, nil
}

// callError returns the error of a command whose call failed. Its exit code says
// whether a change may have been accepted.
func callError(err error) error {
	var problem *keeloperate.ProblemError
	if errors.As(err, &problem) {
		code, advice := ExitFailed, "see the error; the instance refused the call"
		if problem.Problem.Verdict == keel.MayHaveRun {
			code, advice = ExitUnknown, "run the same command again with the same --id: a change that was accepted is not applied twice"
		}
		return fail(code, err, advice)
	}
	return fail(ExitUnknown, err, "check that --operator names a running instance, then run the same command again")
}

// readCallError returns the error of a command whose read-only call failed.
func readCallError(err error) error {
	return fail(ExitFailed, err, "check that --operator names a running instance; nothing was changed")
}

// parseLabels parses labels of the form key=value.
func parseLabels(list []string) (keel.Labels, error) {
	labels := make(keel.Labels, len(list))
	for _, text := range list {
		key, value, ok := strings.Cut(text, "=")
		if !ok {
			return nil, fail(ExitUsage, errors.Errorf("--label: %q has no =", text), "write it like tier=gold")
		}
		labels[key] = value
	}
	return labels, labels.Check().Err()
}
