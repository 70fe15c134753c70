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

// settingsVariable is the environment variable with the path of the settings file.
const settingsVariable = "GREENGAGEKEEL_SETTINGS"

// settingsPollInterval is how often the settings file is read again without a
// signal.
const settingsPollInterval = 2 * time.Second

// steerInstance is an instance in the role that its settings name.
type steerInstance interface {
	Run(ctx context.Context) error
	Stop(ctx context.Context)
	Reload(s *keelconfig.SteerSettings)
}

func steerCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "steer",
		Usage: "run an instance that finds the others by seeds, in the role that its settings name",
		Flags: []cli.Flag{&cli.StringFlag{
			Name: "config", Usage: "settings file", Required: true, Sources: cli.EnvVars(settingsVariable),
		}, &cli.BoolFlag{Name: "check", Usage: "check the settings and stop"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			// Signals wait from here on: SIGHUP would end a process without a handler.
			signals := make(chan os.Signal, signalQueue)
			signal.Notify(signals, append(slices.Clone(stopSignals), syscall.SIGHUP)...)
			defer signal.Stop(signals)
			s, err := keelconfig.LoadSteer(c.String("config"))
			if err != nil {
				return fail(ExitUsage, err, "correct the settings; docs/operate/seeds.md lists them")
			}
			if c.Bool("check") {
				return nil
			}
			return runSteer(ctx, c.String("config"), s, signals, stdout)
		},
	}
}

// signalQueue is the number of signals that wait until the instance has started.
const signalQueue = 4

// runSteer runs an instance until it has stopped after one of signals.
func runSteer(ctx context.Context, file string, s *keelconfig.SteerSettings, signals chan os.Signal, stdout io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	out := keellog.New(keellog.Config{Out: stdout})
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	if level, err := logrus.ParseLevel(s.LogLevel); err == nil { // an empty level means the default; any other was checked
		logger.SetLevel(level)
	}
	log := logger.WithField("instance", s.Name)
	in, err := newSteerInstance(s, log)
	var group conc.WaitGroup
	group.Go(func() { _ = out.Run(ctx) })
	defer group.Wait()
	if err != nil {
		log.WithError(err).Error("instance not started")
		cancel()
		return fail(ExitFailed, err, "")
	}
	sup := &supervisor{file: file, in: in, log: log, settings: s, signals: signals}
	group.Go(func() { sup.run(ctx) })
	if s.MemoryMB > 0 {
		memory := keelmemory.NewLimitController(s.MemoryBytes() * softMemoryPercent / 100)
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

// softMemoryPercent is the soft memory limit as a percentage of the memory that
// the process may use. The rest is left for data that was received but not read.
const softMemoryPercent = 70

func newSteerInstance(s *keelconfig.SteerSettings, log *logrus.Entry) (steerInstance, error) {
	if s.Role == keelconfig.RoleEntry {
		return keelrole.NewEntry(keelrole.EntryConfig{
			Settings: s, Log: log, Dialect: keelplatform.Dialect, ReadFacts: keelplatform.ReadFacts, Status: keelplatform.StatusOf,
			App: func(in *keelrole.Entry) *fiber.App { return keelplatform.NewDirectoryApp(in) },
		})
	}
	return keelrole.NewControl(keelrole.ControlConfig{
		Settings: s, Log: log,
		App: func(v *keelsync.Voter) *fiber.App {
			return keelplatform.NewControlApp(keelplatform.ControlConfig{
				Control: v, Log: log, Domain: s.Domain, Address: s.Listen.Control,
				DomainExists: func(d keel.DomainName) bool { return s.RegionOf(d) != "" },
			})
		},
	})
}

// supervisor stops an instance when a stop signal arrives, and applies changed
// settings.
type supervisor struct {
	file     string
	in       steerInstance
	log      *logrus.Entry
	settings *keelconfig.SteerSettings
	signals  chan os.Signal
}

func (sup *supervisor) run(ctx context.Context) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case sig := <-sup.signals:
			if sig != syscall.SIGHUP {
				sup.in.Stop(ctx)
				return
			}
			sup.reload()
		case <-ticker.C:
			sup.reload()
		}
	}
}

// reload reads the settings again and applies changed seeds; other changes are
// ignored until the next start. If the settings have faults, they are logged and
// the current settings stay in force.
func (sup *supervisor) reload() {
	s, err := keelconfig.LoadSteer(sup.file)
	if err != nil {
		sup.log.WithError(err).Warn("settings not reloaded, the old ones stay in force")
		return
	}
	if slices.Equal(s.Seeds, sup.settings.Seeds) {
		return
	}
	sup.settings = s
	sup.in.Reload(s)
	sup.log.WithField("seeds", len(s.Seeds)).Info("settings reloaded")
}
