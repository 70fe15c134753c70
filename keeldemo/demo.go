// Package keeldemo shows the system at work in one process: three instances in
// two failure domains with durable control state, six stand-in endpoints, and
// callers whose every answer is checked.
//
// While requests run, one endpoint drains, one crashes and one selector
// changes. The package measures what callers see; it is no benchmark.
package keeldemo

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelstandin"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
)

// Config configures a demonstration.
type Config struct {
	// Requests is the number of requests to send.
	Requests int
	// Hold keeps the system running until the context ends.
	Hold bool
	// Out gets the report.
	Out io.Writer
	// Progress gets a progress line; nil means none.
	Progress io.Writer
	// Declarations are put in force before the first request.
	Declarations *keel.Declarations
	Log          *logrus.Logger
}

// Limits of a demonstration.
const (
	startTimeout  = 20 * time.Second
	settleTimeout = 20 * time.Second
)

// demo is one demonstration.
type demo struct {
	cfg    Config
	dir    string
	system *system
	tally  *tally
	events events
}

// Run starts the system, sends the requests and returns the report.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	dir, err := os.MkdirTemp("", "greengagekeel-demo-")
	if err != nil {
		return nil, errors.Wrap(err, "make data folder")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d := &demo{cfg: cfg, dir: dir, tally: newTally(cfg.Declarations)}
	if d.system, err = newSystem(filepath.Join(dir, "data"), cfg.Log); err != nil {
		return nil, err
	}
	var group conc.WaitGroup
	defer group.Wait()
	defer cancel()
	d.system.Run(ctx, &group)
	return d.show(ctx, &group)
}

func (d *demo) show(ctx context.Context, group *conc.WaitGroup) (*Report, error) {
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := d.system.Declare(startCtx, d.cfg.Declarations); err != nil {
		return nil, err
	}
	if err := d.system.runEndpoints(ctx, group); err != nil {
		return nil, err
	}
	if err := d.system.waitServing(startCtx); err != nil {
		return nil, err
	}
	if err := d.load(ctx); err != nil {
		return nil, err
	}
	report := d.report()
	if err := report.Write(d.cfg.Out); err != nil {
		return nil, err
	}
	if d.cfg.Hold {
		d.system.printAddresses(d.cfg.Out)
		<-ctx.Done()
	}
	return report, nil
}

// events are what happens while requests run.
type events struct {
	drain   time.Duration
	inForce time.Duration
}

// Points of the load, as parts of all requests, at which something happens.
const (
	drainAt  = 0.2
	crashAt  = 0.4
	changeAt = 0.6
)

// drainOne makes an endpoint leave and waits until it has drained.
func (d *demo) drainOne(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	e := d.system.endpoint("g2")
	e.Leave()
	took, err := d.system.waitDrained(ctx, e.ID())
	d.events.drain = took
	return err
}

// changeOne changes the cap of a selector and waits until that is in force
// everywhere.
func (d *demo) changeOne(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	took, err := d.system.changeCap(ctx, "gallery")
	d.events.inForce = took
	return err
}

// crashMark is the path element that makes the crashing endpoint crash.
const crashMark = "crash-once"

func crashing() keelstandin.Behaviour {
	return keelstandin.Behaviour{CrashMark: crashMark, RestartAfter: keel.Duration(500 * time.Millisecond)}
}
