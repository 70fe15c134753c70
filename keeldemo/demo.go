// Package keeldemo demonstrates the system in one process: three instances in two
// failure domains with durable control state, six stand-in endpoints, and callers
// that check every answer.
//
// While requests run, one endpoint drains, one crashes and one selector
// changes. The package reports the outcomes and latencies that callers see; it is
// not a benchmark.
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
	// Hold keeps the system running after the report until the context ends.
	Hold bool
	// Out receives the report.
	Out io.Writer
	// Progress receives a progress line; nil means none.
	Progress io.Writer
	// Declarations are put in force before the first request.
	Declarations *keel.Declarations
	Log          *logrus.Logger
}

// Time limits of a demonstration: for the start, and for each event to complete.
const (
	startTimeout  = 20 * time.Second
	settleTimeout = 20 * time.Second
)

// demo is the state of one demonstration.
type demo struct {
	cfg    Config
	dir    string
	system *system
	tally  *tally
	events eventTimes
}

// Run starts the system, sends the requests, and writes and returns the report.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	dir, err := os.MkdirTemp("", "greengagekeel-demo-")
	if err != nil {
		return nil, errors.Wrap(err, "create data folder")
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
	return d.runPhases(ctx, &group)
}

// runPhases puts the declarations in force, starts the endpoints, sends the
// requests and writes the report.
func (d *demo) runPhases(ctx context.Context, group *conc.WaitGroup) (*Report, error) {
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := d.system.Declare(startCtx, d.cfg.Declarations); err != nil {
		return nil, err
	}
	if err := d.system.runEndpoints(ctx, group); err != nil {
		return nil, err
	}
	if err := d.system.waitCapacity(startCtx); err != nil {
		return nil, err
	}
	if err := d.sendRequests(ctx); err != nil {
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

// eventTimes holds how long the events took that happen while requests run.
type eventTimes struct {
	drain   time.Duration
	inForce time.Duration
}

// Fractions of all requests after which an event starts.
const (
	drainFraction  = 0.2
	crashFraction  = 0.4
	changeFraction = 0.6
)

// drainGalleryEndpoint makes endpoint g2 leave and waits until it has drained.
func (d *demo) drainGalleryEndpoint(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	e := d.system.endpoint("g2")
	e.Leave()
	took, err := d.system.waitDrained(ctx, e.ID())
	d.events.drain = took
	return err
}

// halveGalleryCap halves the cap of selector gallery and waits until the change is
// in force everywhere.
func (d *demo) halveGalleryCap(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	took, err := d.system.halveCap(ctx, "gallery")
	d.events.inForce = took
	return err
}

// crashMark is the path element that makes a score endpoint crash.
const crashMark = "crash-once"

func crashBehaviour() keelstandin.Behaviour {
	return keelstandin.Behaviour{CrashMark: crashMark, RestartAfter: keel.Duration(500 * time.Millisecond)}
}
