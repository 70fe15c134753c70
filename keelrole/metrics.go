package keelrole

import (
	"strconv"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/adaptor"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelconfig"
	"github.com/greengagekeel/greengagekeel/keelproxy"
	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// Paths of the operator port.
const (
	PathMetrics = "/metrics"
	PathState   = "/v1/state"
)

// metricsInterval is how often the scope reports its counters to Prometheus.
const metricsInterval = time.Second

// metrics holds the metrics of an instance. It is safe for concurrent use.
type metrics struct {
	scope    tally.Scope
	reporter prometheus.Reporter

	mu       sync.Mutex
	requests map[requestKey]requestScope
}

// requestKey holds the tags of a request's metrics.
type requestKey struct {
	service keel.ServiceName
	status  int // rounded down to a multiple of 100
	verdict string
	reason  keel.Reason
}

// requestScope holds the metrics of requests with equal tags.
type requestScope struct {
	count   tally.Counter
	seconds tally.Histogram
}

// latencyBuckets reach from half a millisecond to 16 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 2, 16)

func newMetrics(s *keelconfig.SteerSettings) *metrics {
	// Separate registries allow several instances in one process.
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "keel_steer",
		Tags:           map[string]string{"instance": string(s.Name), "domain": string(s.Domain), "role": string(s.Role)},
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,

		OmitCardinalityMetrics: true,
	}, metricsInterval)
	return &metrics{scope: scope, reporter: reporter, requests: map[requestKey]requestScope{}}
}

// recordRequest counts a request that has ended and records its duration.
func (m *metrics) recordRequest(res keelproxy.Result) {
	k := requestKey{service: res.Request.Service, status: res.Status / 100 * 100, verdict: "answered"}
	if res.Refusal != nil {
		k.verdict, k.reason = res.Refusal.Verdict.String(), res.Refusal.Reason
	}
	m.mu.Lock()
	s, ok := m.requests[k]
	if !ok {
		scope := m.scope.Tagged(map[string]string{
			"service": string(k.service), "status": strconv.Itoa(k.status), "verdict": k.verdict, "reason": string(k.reason),
		})
		s = requestScope{count: scope.Counter("requests"), seconds: scope.Histogram("request_seconds", latencyBuckets)}
		m.requests[k] = s
	}
	m.mu.Unlock()
	s.count.Inc(1)
	s.seconds.RecordDuration(res.Elapsed)
}

// setGauges sets gauges by name.
func (m *metrics) setGauges(values map[string]float64) {
	for name, v := range values {
		m.scope.Gauge(name).Update(v)
	}
}

// newOperatorApp returns the HTTP application of the operator port: metrics and
// the state dump. values and state are called for each request.
func newOperatorApp(m *metrics, values func() map[string]float64, state func() any) *fiber.App {
	app := fiber.New(fiber.Config{Immutable: true})
	app.Get(PathMetrics, func(c fiber.Ctx) error {
		m.setGauges(values())
		return adaptor.HTTPHandler(m.reporter.HTTPHandler())(c)
	})
	app.Get(PathState, func(c fiber.Ctx) error { return c.JSON(state()) })
	return app
}
