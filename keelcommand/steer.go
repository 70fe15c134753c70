package keelcommand

import (
	"context"
	"io"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/gofiber/fiber/v3"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelconfig"
	"github.com/greengagekeel/greengagekeel/keellog"
	"github.com/greengagekeel/greengagekeel/keelmemory"
	"github.com/greengagekeel/greengagekeel/keelrole"
	"github.com/greengagekeel/greengagekeel/keelsync"
	keelplatform "github.com/greengagekeel/greengagekeel/platform"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/urfave/cli/v3"
)

// settingsVariable is the environment variable with the path of the settings.
const settingsVariable = "GREENGAGEKEEL_SETTINGS"

// settingsPoll is how often changed settings are looked for without a signal.
const settingsPoll = 2 * time.Second

// steered is an instance in one of its roles.
type steered interface {
	Run(ctx context.Context) error
	Stop(ctx context.Context)
	Reload(s *keelconfig.Steer)
}

func newSteer(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "steer",
		Usage: "run an instance that finds the others by seeds, in the role that its settings name",
		Flags: []cli.Flag{&cli.StringFlag{
			Name: "config", Usage: "settings file", Required: true, Sources: cli.EnvVars(settingsVariable),
		}, &cli.BoolFlag{Name: "check", Usage: "check the settings and stop"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := keelconfig.LoadSteer(c.String("config"))
			if err != nil {
				return fail(ExitUsage, err, "mend the settings; docs/operate/seeds.md lists them")
			}
			if c.Bool("check") {
				return nil
			}
			return runSteer(ctx, c.String("config"), s, stdout)
		},
	}
}

func runSteer(ctx context.Context, file string, s *keelconfig.Steer, stdout io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	out := keellog.New(keellog.Config{Out: stdout})
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	if level, err := logrus.ParseLevel(s.LogLevel); err == nil { // empty means the default; else it was checked
		logger.SetLevel(level)
	}
	log := logger.WithField("instance", s.Name)
	in, err := newSteered(s, log)
	var group conc.WaitGroup
	group.Go(func() { _ = out.Run(ctx) })
	defer group.Wait()
	if err != nil {
		log.WithError(err).Error("instance not started")
		cancel()
		return fail(ExitFailed, err, "")
	}
	w := &steerWatch{file: file, in: in, log: log, settings: s, signals: make(chan os.Signal, 4)}
	signal.Notify(w.signals, append(slices.Clone(stopSignals), syscall.SIGHUP)...)
	defer signal.Stop(w.signals)
	group.Go(func() { w.run(ctx) })
	if s.MemoryMB > 0 {
		memory := keelmemory.NewKeeper(int64(s.MemoryMB) << 20 * softPercent / 100)
		group.Go(func() { _ = memory.Run(ctx) })
	}
	err = in.Run(ctx)
	if err != nil {
		log.WithError(err).Error("instance failed")
	}
	cancel()
	if err != nil {
		return fail(ExitFailed, err, "see the log for the part that failed")
	}
	return nil
}

// softPercent is the part of the memory that the process aims to stay below, so
// that what has arrived but is not read fits beside it.
const softPercent = 70

func newSteered(s *keelconfig.Steer, log *logrus.Entry) (steered, error) {
	if s.Role == keelconfig.RoleEntry {
		return keelrole.NewEntry(keelrole.EntryConfig{
			Settings: s, Log: log, Dialect: keelplatform.Dialect, Read: keelplatform.ReadFacts, Status: keelplatform.StatusOf,
			App: func(in *keelrole.Entry) *fiber.App { return keelplatform.NewDirectoryApp(in) },
		})
	}
	return keelrole.NewControl(keelrole.ControlConfig{
		Settings: s, Log: log,
		App: func(v *keelsync.Voter) *fiber.App {
			return keelplatform.NewControlApp(keelplatform.ControlConfig{
				Control: v, Log: log, Domain: s.Domain, Address: s.Listen.Control,
				Known: func(d keel.DomainName) bool { return s.RegionOf(d) != "" },
			})
		},
	})
}

// steerWatch carries out signals and takes changed settings.
type steerWatch struct {
	file     string
	in       steered
	log      *logrus.Entry
	settings *keelconfig.Steer
	signals  chan os.Signal
}

func (w *steerWatch) run(ctx context.Context) {
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case sig := <-w.signals:
			if sig != syscall.SIGHUP {
				w.in.Stop(ctx)
				return
			}
			w.reload()
		case <-ticker.C:
			w.reload()
		}
	}
}

// reload reads the settings again. Settings with faults are logged, and those
// read last stay in force.
func (w *steerWatch) reload() {
	s, err := keelconfig.LoadSteer(w.file)
	if err != nil {
		w.log.WithError(err).Warn("settings not reloaded, the old ones stay in force")
		return
	}
	if slices.Equal(s.Seeds, w.settings.Seeds) {
		return
	}
	w.settings = s
	w.in.Reload(s)
	w.log.WithField("seeds", len(s.Seeds)).Info("settings reloaded")
}
