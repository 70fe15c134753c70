package keelcommand

import (
	"context"
	"encoding/json"
	"fmt"
	"os/user"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelconfig"
	"github.com/greengagekeel/greengagekeel/keeldeclare"
	"github.com/greengagekeel/greengagekeel/keeloperate"
	"github.com/urfave/cli/v3"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:        "check",
		Usage:       "check settings and declarations, and list every fault",
		Description: "Example: greengagekeel check --config settings.json --declarations examples/teranga/declarations",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "config", Usage: "`FILE` with settings"},
			&cli.StringSliceFlag{Name: "declarations", Usage: "`FOLDER` with declarations"},
		},
		Action: check,
	}
}

func check(_ context.Context, cmd *cli.Command) error {
	var all keel.Faults
	for _, file := range cmd.StringSlice("config") {
		_, err := keelconfig.Load(file)
		all = append(all, faultsOf(err)...)
	}
	for _, dir := range cmd.StringSlice("declarations") {
		_, err := keeldeclare.LoadDir(dir)
		all = append(all, faultsOf(err)...)
	}
	if len(all) > 0 {
		return printFaults(cmd.Root().ErrWriter, all, "correct the files that are named")
	}
	_, err := fmt.Fprintln(cmd.Root().Writer, "no faults")
	return err
}

func faultsOf(err error) keel.Faults {
	if err == nil {
		return nil
	}
	var fs keel.Faults
	if errors.As(err, &fs) {
		return fs
	}
	return keel.Faults{{Field: "$", Reason: err.Error()}}
}

func declarationsFlag() cli.Flag {
	return &cli.StringFlag{Name: "declarations", Usage: "`FOLDER` with declarations", Required: true}
}

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:  "apply",
		Usage: "make the declarations of the system equal to those in a folder",
		Description: "The change gets an id. If the answer is lost, run the command again with --id: the change is never applied twice.\n\n" +
			"Example: greengagekeel apply --declarations examples/teranga/declarations --token-file keys/operator.token --wait",
		Flags: append(
			operatorFlags(),
			declarationsFlag(),
			&cli.StringFlag{Name: "id", Usage: "`ID` of the change; generated if not given"},
			&cli.StringFlag{Name: "author", Usage: "`NAME` for the history; the user's name if not given"},
			&cli.BoolFlag{Name: "wait", Usage: "wait until every live instance has the change in force"},
		),
		Action: apply,
	}
}

func apply(ctx context.Context, cmd *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration(flagTimeout))
	defer cancel()
	c, ops, base, err := loadDiff(ctx, cmd)
	if err != nil {
		return err
	}
	if len(ops) == 0 {
		return printResult(cmd, applyResult{Status: "unchanged", Version: base})
	}
	change := keel.Change{ID: changeID(cmd), Base: base, Author: changeAuthor(cmd), Time: time.Now().UTC(), Ops: ops}
	o, err := c.Submit(ctx, change)
	if err != nil {
		return callError(err)
	}
	return finishApply(ctx, cmd, c, o)
}

// applyResult is the JSON output of the apply command.
type applyResult struct {
	ID      keel.ChangeID       `json:"id,omitempty"`
	Status  keel.OutcomeStatus  `json:"status"`
	Version keel.Version        `json:"version"`
	Winner  keel.ChangeID       `json:"winner,omitempty"`
	InForce *bool               `json:"in_force,omitempty"`
	Lagging []keel.InstanceName `json:"lagging,omitempty"`
}

func finishApply(ctx context.Context, cmd *cli.Command, c *keeloperate.Client, o keel.Outcome) error {
	out := applyResult{ID: o.ID, Status: o.Status, Version: o.Version, Winner: o.Winner}
	switch o.Status {
	case keel.OutcomeConflict:
		_ = printResult(cmd, out)
		return fail(ExitConflict, errors.Errorf("change %q conflicts with change %q", o.ID, o.Winner), "compare with the declarations in force using greengagekeel diff, then apply again")
	case keel.OutcomeInvalid:
		_ = printResult(cmd, out)
		return printFaults(cmd.Root().ErrWriter, o.Faults, "correct the declarations")
	}
	if !cmd.Bool("wait") {
		return printResult(cmd, out)
	}
	f, err := c.WaitInForce(ctx, o.Version)
	out.InForce, out.Lagging = &f.Everywhere, f.Lagging
	_ = printResult(cmd, out)
	if err != nil {
		return fail(ExitLagging, errors.Errorf("version %d is accepted but not in force at instances %q, no recent report from failure domains %q", o.Version, f.Lagging, f.Unreported), "check the instances and failure domains that are named; the change stays accepted")
	}
	return nil
}

func printResult(cmd *cli.Command, out applyResult) error {
	w := cmd.Root().Writer
	if jsonOutput(cmd) {
		return writeJSON(w, out)
	}
	_, err := fmt.Fprintf(w, "%s: version %d\n", out.Status, out.Version)
	return err
}

func changeID(cmd *cli.Command) keel.ChangeID {
	if id := cmd.String("id"); id != "" {
		return keel.ChangeID(id)
	}
	return keel.ChangeID(uuid.NewString())
}

func changeAuthor(cmd *cli.Command) string {
	if name := cmd.String("author"); name != "" {
		return name
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// loadDiff returns the operations that turn the declarations in force into those
// of the folder, the version that they are based on, and the client that it used.
func loadDiff(ctx context.Context, cmd *cli.Command) (*keeloperate.Client, []keel.Op, keel.Version, error) {
	want, err := keeldeclare.LoadDir(cmd.String("declarations"))
	if err != nil {
		return nil, nil, 0, printFaults(cmd.Root().ErrWriter, err, "correct the declarations")
	}
	c, err := newOperatorClient(cmd)
	if err != nil {
		return nil, nil, 0, err
	}
	have, err := c.Declared(ctx)
	if err != nil {
		return nil, nil, 0, readCallError(err)
	}
	if have.Partial {
		return nil, nil, 0, fail(ExitFailed, errors.New("the instance does not hold all client blocks yet"), "use another instance, or wait until the state dump of this one shows no backfill")
	}
	return c, keeldeclare.Diff(have.Declarations, want), have.Version, nil
}

func diffCommand() *cli.Command {
	return &cli.Command{
		Name:        "diff",
		Usage:       "show what apply would change",
		Description: "Example: greengagekeel diff --declarations examples/teranga/declarations",
		Flags:       append(operatorFlags(), declarationsFlag()),
		Action:      diff,
	}
}

func diff(ctx context.Context, cmd *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration(flagTimeout))
	defer cancel()
	_, ops, base, err := loadDiff(ctx, cmd)
	if err != nil {
		return err
	}
	w := cmd.Root().Writer
	if jsonOutput(cmd) {
		return writeJSON(w, ops)
	}
	rows := make([][]string, 0, len(ops))
	for _, op := range ops {
		value, err := json.Marshal(op)
		if err != nil {
			return err
		}
		rows = append(rows, []string{string(op.Action), string(op.Kind), op.Name, string(value)})
	}
	if len(rows) == 0 {
		_, err := fmt.Fprintf(w, "no difference to version %d\n", base)
		return err
	}
	return writeTable(w, []string{"action", "kind", "name", "operation"}, rows)
}

func getCommand() *cli.Command {
	return &cli.Command{
		Name:        "get",
		Usage:       "print the declarations in force, or write them to a folder",
		Description: "Example: greengagekeel get --folder declarations",
		Flags: append(
			operatorFlags(),
			&cli.StringFlag{Name: "folder", Usage: "`FOLDER` to write to"},
			&cli.IntFlag{Name: "history", Usage: "print the last `N` accepted changes instead"},
		),
		Action: get,
	}
}

func get(ctx context.Context, cmd *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration(flagTimeout))
	defer cancel()
	c, err := newOperatorClient(cmd)
	if err != nil {
		return err
	}
	if n := cmd.Int("history"); n > 0 {
		h, err := c.History(ctx, n)
		if err != nil {
			return readCallError(err)
		}
		return writeJSON(cmd.Root().Writer, h)
	}
	d, err := c.Declared(ctx)
	if err != nil {
		return readCallError(err)
	}
	if dir := cmd.String("folder"); dir != "" {
		if err := keeldeclare.WriteDir(dir, d.Declarations); err != nil {
			return fail(ExitFailed, err, "check the folder")
		}
		return nil
	}
	return writeJSON(cmd.Root().Writer, d)
}
