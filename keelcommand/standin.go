package keelcommand

import (
	"context"
	"net/netip"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelstandin"
	"github.com/urfave/cli/v3"
)

func standInCommand() *cli.Command {
	return &cli.Command{
		Name:        "stand-in",
		Usage:       "run an endpoint for demonstrations and tests",
		Description: "Example: greengagekeel stand-in --service gallery --name g1 --announce-to 127.0.0.1:7412",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "service", Usage: "`NAME` of the service", Required: true},
			&cli.StringFlag{Name: "name", Usage: "`NAME` of the endpoint", Required: true},
			&cli.StringFlag{Name: "site", Usage: "`NAME` of its site"},
			&cli.StringFlag{Name: "listen", Usage: "`ADDRESS` to serve on", Value: "127.0.0.1:0"},
			&cli.StringFlag{Name: "control", Usage: "`ADDRESS` of the control port"},
			&cli.StringSliceFlag{Name: "announce-to", Usage: "`ADDRESS` of an instance's endpoint port", Required: true},
			&cli.IntFlag{Name: "slots", Usage: "`N` requests to run at once", Value: 4},
			&cli.DurationFlag{Name: "ttl", Usage: "how long an announcement is valid", Value: 3 * time.Second},
			&cli.StringSliceFlag{Name: "label", Usage: "`KEY=VALUE` of a label"},
			&cli.StringFlag{Name: "addresses", Usage: "`FILE` to write the open ports' addresses to, as JSON"},
		},
		Action: standIn,
	}
}

// standInAddresses is the JSON content of the file that --addresses names.
type standInAddresses struct {
	Serve   netip.AddrPort `json:"serve"`
	Control netip.AddrPort `json:"control"`
}

func standIn(ctx context.Context, cmd *cli.Command) error {
	ctx, stop := withStopSignals(ctx)
	defer stop()
	cfg, err := standInConfig(cmd)
	if err != nil {
		return err
	}
	e, err := keelstandin.New(cfg)
	if err != nil {
		return fail(ExitFailed, err, "check --listen and --control")
	}
	if file := cmd.String("addresses"); file != "" {
		if err := writeJSONFile(file, standInAddresses{Serve: e.Addr(), Control: e.ControlAddr()}); err != nil {
			return fail(ExitFailed, err, "check the folder of --addresses")
		}
	}
	if err := e.Run(ctx); err != nil {
		return fail(ExitFailed, err, "")
	}
	return nil
}

func standInConfig(cmd *cli.Command) (keelstandin.Config, error) {
	cfg := keelstandin.Config{
		Service: keel.ServiceName(cmd.String("service")),
		Name:    keel.EndpointName(cmd.String("name")),
		Site:    keel.SiteName(cmd.String("site")),
		Slots:   cmd.Int("slots"),
		TTL:     cmd.Duration("ttl"),
	}
	var err error
	if cfg.Listen, err = parseAddress("listen", cmd.String("listen")); err != nil {
		return cfg, err
	}
	if text := cmd.String("control"); text != "" {
		if cfg.Control, err = parseAddress("control", text); err != nil {
			return cfg, err
		}
	}
	for _, text := range cmd.StringSlice("announce-to") {
		addr, err := parseAddress("announce-to", text)
		if err != nil {
			return cfg, err
		}
		cfg.AnnounceTo = append(cfg.AnnounceTo, addr)
	}
	cfg.Labels, err = parseLabels(cmd.StringSlice("label"))
	return cfg, err
}
