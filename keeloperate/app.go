// Package keeloperate serves the operator port of an instance: declarations and
// their changes, the state dump, health, readiness and metrics.
//
// [NewApp] builds the server over the interfaces [Control] and [State]; the
// package holds no state of its own. [Client] calls the port of an instance.
package keeloperate

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/adaptor"
	keel "github.com/greengagekeel/greengagekeel"
)

// Paths of the operator port.
const (
	PathDeclarations = "/v1/declarations"
	PathChanges      = "/v1/changes"
	PathInForce      = "/v1/in_force"
	PathState        = "/v1/state"
	PathHealth       = "/healthz"
	PathReady        = "/readyz"
	PathMetrics      = "/metrics"
)

// Declared holds the declarations in force at an instance.
type Declared struct {
	Version      keel.Version       `json:"version"`
	Declarations *keel.Declarations `json:"declarations"`
	// Partial says that the instance has not yet received all client blocks
	// since it started.
	Partial bool `json:"partial,omitempty"`
}

// Check returns a fault if there are no declarations.
func (d *Declared) Check() keel.Faults {
	var fs keel.Faults
	if d.Declarations == nil {
		fs.Add("declarations", "must be given")
	}
	return fs
}

// HistoryEntry is one accepted change.
type HistoryEntry struct {
	Version keel.Version  `json:"version"`
	ID      keel.ChangeID `json:"id"`
	Author  string        `json:"author"`
	Time    time.Time     `json:"time"`
	Ops     []keel.Op     `json:"ops"`
}

// History lists accepted changes, the newest first.
type History struct {
	Changes []HistoryEntry `json:"changes"`
}

// Check returns no faults. It makes a History a [keel.Checker].
func (h *History) Check() keel.Faults { return nil }

// InForce reports whether a version is in force at all instances.
type InForce struct {
	Version keel.Version `json:"version"`
	// Everywhere says that every live instance reports the version or a higher
	// one, and that every known failure domain has a recent report.
	Everywhere bool `json:"everywhere"`
	// Lagging names live instances that report a lower version.
	Lagging []keel.InstanceName `json:"lagging,omitempty"`
	// Unreported names failure domains without a recent report.
	Unreported []keel.DomainName `json:"unheard,omitempty"`
}

// Check returns no faults. It makes an InForce a [keel.Checker].
func (f *InForce) Check() keel.Faults { return nil }

// Control is the part of an instance that executes the calls of operators.
type Control interface {
	// Declared returns the declarations in force here.
	Declared() Declared
	// Submit forwards a change to the leader and returns its outcome. After an
	// error the outcome is unknown, unless the error is a refusal with the
	// verdict [keel.NotRun].
	Submit(ctx context.Context, c keel.Change) (keel.Outcome, error)
	// History returns at most limit accepted changes, the newest first.
	History(limit int) History
	// InForce reports whether a version is in force at all instances. It may
	// query voters, until ctx ends at the latest.
	InForce(ctx context.Context, v keel.Version) InForce
}

// State is the part of an instance that reports its state and readiness.
type State interface {
	// Dump returns the state as a value that can be encoded as JSON.
	Dump() any
	// Ready returns nil if the instance can serve callers, or else the reason.
	Ready() error
}

// Config configures the operator port.
type Config struct {
	Control Control
	State   State
	// Metrics serves the metrics in the format for scraping.
	Metrics http.Handler
	// Token returns the operator token, which is required by calls that change
	// something.
	Token func() string
	// MaxChangeBytes limits the body of a change; 0 means 64 MiB.
	MaxChangeBytes int
	// OnError is called with the answer to every call that failed. It may be
	// nil.
	OnError func(status int, p Problem)
	// Faults lets operators cut the instance off from others; if nil, the paths
	// of fault injection do not exist.
	Faults FaultInjector
}

const (
	defaultMaxChangeBytes = 64 << 20
	defaultHistoryLimit   = 50
	submitTimeout         = 10 * time.Second
	inForceTimeout        = 2 * time.Second
	bearerPrefix          = "Bearer "
)

type handlers struct{ cfg Config }

// NewApp returns the HTTP server of the operator port.
func NewApp(cfg Config) *fiber.App {
	if cfg.MaxChangeBytes == 0 {
		cfg.MaxChangeBytes = defaultMaxChangeBytes
	}
	h := &handlers{cfg: cfg}
	app := fiber.New(fiber.Config{BodyLimit: cfg.MaxChangeBytes, ErrorHandler: h.handleError})
	app.Get(PathHealth, h.health)
	app.Get(PathReady, h.ready)
	app.Get(PathDeclarations, h.declarations)
	app.Get(PathChanges, h.history)
	app.Get(PathInForce, h.inForce)
	app.Get(PathState, h.state)
	app.Get(PathMetrics, adaptor.HTTPHandler(cfg.Metrics))
	app.Post(PathChanges, h.authorise, h.change)
	if cfg.Faults != nil {
		app.Post(PathCut, h.authorise, h.cut)
		app.Post(PathHeal, h.authorise, h.heal)
	}
	return app
}

func (h *handlers) health(c fiber.Ctx) error { return c.SendString("ok\n") }

func (h *handlers) ready(c fiber.Ctx) error {
	if err := h.cfg.State.Ready(); err != nil {
		return c.Status(fiber.StatusServiceUnavailable).SendString(err.Error() + "\n")
	}
	return c.SendString("ready\n")
}

func (h *handlers) declarations(c fiber.Ctx) error { return c.JSON(h.cfg.Control.Declared()) }

func (h *handlers) state(c fiber.Ctx) error { return c.JSON(h.cfg.State.Dump()) }

func (h *handlers) history(c fiber.Ctx) error {
	limit, err := queryInt(c, "limit", defaultHistoryLimit)
	if err != nil {
		return err
	}
	return c.JSON(h.cfg.Control.History(limit))
}

func (h *handlers) inForce(c fiber.Ctx) error {
	v, err := queryInt(c, "version", 0)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Context(), inForceTimeout)
	defer cancel()
	return c.JSON(h.cfg.Control.InForce(ctx, keel.Version(v)))
}

func queryInt(c fiber.Ctx, name string, fallback int) (int, error) {
	text := c.Query(name)
	if text == "" {
		return fallback, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		return 0, keel.Faults{{Field: name, Reason: "must be a whole number that is not negative"}}
	}
	return n, nil
}

func (h *handlers) authorise(c fiber.Ctx) error {
	given, ok := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), bearerPrefix)
	want := h.cfg.Token()
	if !ok || want == "" || subtle.ConstantTimeCompare([]byte(given), []byte(want)) != 1 {
		return fiber.NewError(fiber.StatusUnauthorized, "the operator token is missing or wrong")
	}
	return c.Next()
}

func (h *handlers) change(c fiber.Ctx) error {
	var change keel.Change
	if err := keel.DecodeJSON(c.Body(), &change); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Context(), submitTimeout)
	defer cancel()
	outcome, err := h.cfg.Control.Submit(ctx, change)
	if err != nil {
		return err
	}
	return c.Status(outcomeStatus(outcome.Status)).JSON(outcome)
}

func outcomeStatus(s keel.OutcomeStatus) int {
	switch s {
	case keel.OutcomeAccepted:
		return fiber.StatusOK
	case keel.OutcomeConflict:
		return fiber.StatusConflict
	default:
		return fiber.StatusUnprocessableEntity
	}
}

// Problem is the JSON body of a call that failed.
type Problem struct {
	Error  string      `json:"error"`
	Faults keel.Faults `json:"faults,omitempty"`
	// Verdict says whether the call may have been executed.
	Verdict keel.Verdict `json:"verdict"`
}

// Check returns a fault if the error text is missing.
func (p *Problem) Check() keel.Faults {
	var fs keel.Faults
	if p.Error == "" {
		fs.Add("error", "must not be empty")
	}
	return fs
}

func (h *handlers) handleError(c fiber.Ctx, err error) error {
	p := Problem{Error: err.Error(), Verdict: keel.NotRun}
	status := fiber.StatusInternalServerError
	var (
		faults  keel.Faults
		refusal *keel.Refusal
		fe      *fiber.Error
	)
	switch {
	case errors.As(err, &faults):
		status, p.Faults = fiber.StatusBadRequest, faults
	case errors.As(err, &refusal):
		status, p.Verdict = refusal.Reason.Status(), refusal.Verdict
	case errors.As(err, &fe):
		status = fe.Code
	default:
		p.Verdict = keel.MayHaveRun
	}
	if h.cfg.OnError != nil {
		h.cfg.OnError(status, p)
	}
	return c.Status(status).JSON(p)
}
