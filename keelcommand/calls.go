package keelcommand

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"strings"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelkey"
	"github.com/greengagekeel/greengagekeel/keelsteer"
	"github.com/greengagekeel/greengagekeel/keelstore"
	"github.com/urfave/cli/v3"
)

func lookupCommand() *cli.Command {
	return &cli.Command{
		Name:        "lookup",
		Usage:       "ask which instances to use for a service",
		Description: "Example: greengagekeel lookup --caller 127.0.0.1:7411 --service gallery",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "caller", Usage: "`ADDRESS` of an instance's caller port", Value: "127.0.0.1:7411"},
			&cli.StringFlag{Name: "service", Usage: "`NAME` of the service", Required: true},
			&cli.StringFlag{Name: "path", Usage: "`PATH` of the planned request", Value: "/"},
			&cli.StringFlag{Name: "method", Usage: "`METHOD` of the planned request", Value: http.MethodGet},
			&cli.DurationFlag{Name: flagTimeout, Usage: "time limit", Value: defaultTimeout},
			outputFlag(),
		},
		Action: lookup,
	}
}

func lookup(ctx context.Context, cmd *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration(flagTimeout))
	defer cancel()
	addr, err := parseAddress("caller", cmd.String("caller"))
	if err != nil {
		return err
	}
	q := url.Values{"service": {cmd.String("service")}, "path": {cmd.String("path")}, "method": {cmd.String("method")}}
	a, err := keelsteer.LookUp(ctx, addr, q)
	if err != nil {
		return fail(ExitFailed, err, "check that --caller names a running instance and that the service is declared")
	}
	if jsonOutput(cmd) {
		return writeJSON(cmd.Root().Writer, a)
	}
	rows := make([][]string, 0, len(a.Instances))
	for _, in := range a.Instances {
		rows = append(rows, []string{string(in.Name), string(in.Domain), in.Address.String()})
	}
	return writeTable(cmd.Root().Writer, []string{"instance", "failure domain", "address"}, rows)
}

func dumpCommand() *cli.Command {
	return &cli.Command{
		Name:        "dump",
		Usage:       "print the state of an instance as JSON",
		Description: "Example: greengagekeel dump --operator 127.0.0.1:7413 --section steering",
		Flags:       append(operatorFlags(), &cli.StringFlag{Name: "section", Usage: "print only this `PART`"}),
		Action:      dump,
	}
}

func dump(ctx context.Context, cmd *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration(flagTimeout))
	defer cancel()
	c, err := newOperatorClient(cmd)
	if err != nil {
		return err
	}
	state, err := c.Dump(ctx)
	if err != nil {
		return callError(err)
	}
	section := cmd.String("section")
	if section == "" {
		return writeJSON(cmd.Root().Writer, state)
	}
	var parts map[string]json.RawMessage
	if err := json.Unmarshal(state, &parts); err != nil {
		return fail(ExitFailed, errors.Wrap(err, "decode the state dump"), "")
	}
	part, ok := parts[section]
	if !ok {
		return fail(ExitUsage, errors.Errorf("section %q does not exist in the state dump", section), "run the command without --section to see the parts")
	}
	return writeJSON(cmd.Root().Writer, part)
}

func keysCommand() *cli.Command {
	return &cli.Command{
		Name:        "keys",
		Usage:       "make the authority's and the instances' keys",
		Description: "If the folder already holds an authority, it is used.\n\nExample: greengagekeel keys --dir keys --instance dakar-a-1 --instance dakar-a-2",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "dir", Usage: "`FOLDER` of the keys", Required: true},
			&cli.StringSliceFlag{Name: "instance", Usage: "`NAME` of an instance", Required: true},
			&cli.StringSliceFlag{Name: "address", Usage: "IP `ADDRESS` of the instances", Value: []string{"127.0.0.1"}},
			&cli.DurationFlag{Name: "valid-for", Usage: "how long the instances' certificates are valid", Value: keelkey.DefaultValidity},
		},
		Action: keys,
	}
}

func keys(_ context.Context, cmd *cli.Command) error {
	dir := cmd.String("dir")
	authority, err := keelkey.ReadAuthority(dir)
	if errors.Is(err, os.ErrNotExist) {
		authority, err = keelkey.NewAuthority(keelkey.AuthorityConfig{Name: "greengagekeel authority"})
	}
	if err != nil {
		return fail(ExitFailed, err, "check the authority's files in the folder")
	}
	var addresses []netip.Addr
	for _, text := range cmd.StringSlice("address") {
		a, err := netip.ParseAddr(text)
		if err != nil {
			return fail(ExitUsage, errors.Errorf("--address: %q is not an IP address", text), "write it like 10.0.0.1")
		}
		addresses = append(addresses, a)
	}
	files := keelkey.DirConfig{Dir: dir, Authority: authority}
	for _, name := range cmd.StringSlice("instance") {
		pair, err := authority.Issue(keelkey.IssueConfig{
			Instance: keel.InstanceName(name), Addresses: addresses, ValidFor: cmd.Duration("valid-for"),
		})
		if err != nil {
			return fail(ExitFailed, err, "")
		}
		files.Instances = append(files.Instances, pair)
	}
	if err := keelkey.WriteDir(files); err != nil {
		return fail(ExitFailed, err, "check that the folder can be written")
	}
	_, err = fmt.Fprintf(cmd.Root().Writer, "keys of %s written to %s\n", strings.Join(cmd.StringSlice("instance"), ", "), dir)
	return err
}

func verifyCommand() *cli.Command {
	return &cli.Command{
		Name:        "verify",
		Usage:       "check and list a voter's data folder while the instance is stopped",
		Description: "Example: greengagekeel verify --dir data/voter",
		Flags:       []cli.Flag{&cli.StringFlag{Name: "dir", Usage: "`FOLDER` of the voter state", Required: true}, outputFlag()},
		Action:      verify,
	}
}

func verify(_ context.Context, cmd *cli.Command) error {
	report, err := keelstore.Verify(cmd.String("dir"))
	if err != nil {
		return fail(ExitFailed, err, "see docs/operate/replace-a-voter.md")
	}
	if jsonOutput(cmd) {
		return writeJSON(cmd.Root().Writer, report)
	}
	_, err = fmt.Fprintln(cmd.Root().Writer, report)
	return err
}
