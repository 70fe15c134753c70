// Command keelcapacity measures the figures of docs/CAPACITY.md and prints them as
// a table.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/greengagekeel/greengagekeel/keelcapacity"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"
)

func main() {
	cmd := &cli.Command{
		Name:        "keelcapacity",
		Usage:       "measure what an instance costs at several sizes",
		Description: "Example: go run ./cmd/keelcapacity --plots docs/capacity",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "window", Usage: "how long idle instances are watched", Value: 8 * time.Second},
			&cli.DurationFlag{Name: "memory-rest", Usage: "how long processes stay idle before their memory is measured", Value: 30 * time.Second},
			&cli.IntSliceFlag{Name: "memory-blocks", Usage: "`NUMBERS` of client blocks for which memory is measured", Value: []int{keelcapacity.TargetBlocks / 4, keelcapacity.TargetBlocks / 2, keelcapacity.TargetBlocks}},
			&cli.StringFlag{Name: "only", Usage: "`NAME` of the one measurement to make: blocks, memory, idle-by-size, idle-by-domains or in-force"},
			&cli.StringFlag{Name: "plots", Usage: "`FOLDER` to write plots to"},
		},
		Action: run,
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "keelcapacity:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	log := logrus.New()
	log.SetOutput(io.Discard)
	cfg := keelcapacity.Config{Window: cmd.Duration("window"), MemoryRest: cmd.Duration("memory-rest"), MemoryBlocks: cmd.IntSlice("memory-blocks"), Log: log}
	for _, m := range measurements {
		if only := cmd.String("only"); only != "" && only != m.name {
			continue
		}
		list, err := m.run(ctx, cfg)
		if err != nil {
			return err
		}
		if dir := cmd.String("plots"); dir != "" {
			if err := plotAll(dir, list); err != nil {
				return err
			}
		}
		if err := keelcapacity.WriteTable(os.Stdout, list); err != nil {
			return err
		}
	}
	return nil
}

// measurement is a named group of figures that are measured together.
type measurement struct {
	name string
	run  func(context.Context, keelcapacity.Config) ([]keelcapacity.Series, error)
}

var measurements = []measurement{
	{"blocks", keelcapacity.Blocks},
	{"memory", keelcapacity.Memory},
	{"idle-by-size", keelcapacity.IdleByDomainSize},
	{"idle-by-domains", keelcapacity.IdleByDomains},
	{"in-force", keelcapacity.InForceTime},
}

func plotAll(dir string, list []keelcapacity.Series) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for i := range list {
		name := strings.ReplaceAll(list[i].Name+" by "+list[i].Axis, " ", "-")
		name = strings.ReplaceAll(name, ",", "")
		if err := list[i].WritePlot(filepath.Join(dir, name+".svg")); err != nil {
			return err
		}
	}
	return nil
}
