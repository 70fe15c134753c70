package keelinstance

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelproxy"
	client "github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// metricsPeriod is how often counters are passed on to the scrape format.
const metricsPeriod = time.Second

// refusalLogPeriod is how often a refusal for the same reason is logged.
const refusalLogPeriod = 10 * time.Second

// metrics counts what an instance does. It is safe for use by several
// goroutines.
type metrics struct {
	scope    tally.Scope
	closer   interface{ Close() error }
	reporter prometheus.Reporter

	mu       sync.Mutex
	logged   map[keel.Reason]time.Time
	requests map[requestKey]requestScope
}

func newMetrics(self keel.Instance) *metrics {
	// A registry of its own lets several instances run in one process.
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "keel",
		Tags:           map[string]string{"instance": string(self.Name), "domain": string(self.Domain)},
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,

		OmitCardinalityMetrics: true,
	}, metricsPeriod)
	return &metrics{
		scope: scope, closer: closer, reporter: reporter,
		logged: make(map[keel.Reason]time.Time), requests: make(map[requestKey]requestScope),
	}
}

func (m *metrics) handler() http.Handler { return m.reporter.HTTPHandler() }

// requestKey holds the tags of a counted request.
type requestKey struct {
	service  keel.ServiceName
	selector keel.SelectorName
	status   int
	verdict  string
	reason   keel.Reason
}

// requestScope counts the requests of one key.
type requestScope struct {
	count   tally.Counter
	seconds tally.Histogram
}

// request counts a request that has ended.
func (m *metrics) request(res keelproxy.Result) {
	k := requestKey{selector: res.Request.Selector, status: res.Status / 100 * 100, verdict: "answered"}
	if k.selector != "" {
		k.service = res.Request.Service // names that callers made up would never end
	}
	if res.Refusal != nil {
		k.verdict, k.reason = res.Refusal.Verdict.String(), res.Refusal.Reason
	}
	if res.Broken {
		k.verdict = "broken"
	}
	s := m.requestScope(k)
	s.count.Inc(1)
	s.seconds.RecordDuration(res.Elapsed)
}

func (m *metrics) requestScope(k requestKey) requestScope {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s, ok := m.requests[k]; ok {
		return s
	}
	scope := m.scope.Tagged(map[string]string{
		"service": string(k.service), "selector": string(k.selector),
		"status": strconv.Itoa(k.status), "verdict": k.verdict, "reason": string(k.reason),
	})
	s := requestScope{count: scope.Counter("requests"), seconds: scope.Histogram("request_seconds", latencyBuckets)}
	m.requests[k] = s
	return s
}

var latencyBuckets = tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 2, 16)

// announceRefused counts an announcement that was refused.
func (m *metrics) announceRefused(fs keel.Faults) {
	for _, f := range fs {
		m.scope.Tagged(map[string]string{"field": f.Field}).Counter("announcements_refused").Inc(1)
	}
}

// logRefusal logs a refusal, but only one for each reason in a while.
func (m *metrics) logRefusal(entry *logrus.Entry, refusal *keel.Refusal) {
	now := time.Now()
	m.mu.Lock()
	due := now.Sub(m.logged[refusal.Reason]) > refusalLogPeriod
	if due {
		m.logged[refusal.Reason] = now
	}
	m.mu.Unlock()
	if due {
		entry.WithFields(logrus.Fields{
			"verdict": refusal.Verdict.String(), "reason": refusal.Reason, "detail": refusal.Detail,
		}).Warn("request refused; further ones for this reason are only counted for a while")
	}
}

// runMetrics sets the gauges until ctx ends.
func (in *Instance) runMetrics(ctx context.Context) error {
	ticker := time.NewTicker(metricsPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			if err := in.metrics.closer.Close(); err != nil {
				return errors.Wrap(err, "close metrics")
			}
			return nil
		case <-ticker.C:
			in.setGauges()
		}
	}
}

func (in *Instance) setGauges() {
	s := in.metrics.scope
	s.Gauge("declarations_version").Update(float64(in.control.replica.Current().Version))
	s.Gauge("requests_in_flight").Update(float64(in.front.InFlight()))
	d := in.engine.Dump()
	draining := 0
	for _, drain := range d.Drains {
		if !drain.Done {
			draining++
		}
	}
	s.Gauge("endpoints_draining").Update(float64(draining))
	s.Gauge("silent_connections_closed").Update(float64(d.Retired))
	for _, p := range d.Pools {
		tagged := s.Tagged(map[string]string{"service": string(p.Service)})
		tagged.Gauge("slots").Update(float64(p.Slots))
		tagged.Gauge("slots_free").Update(float64(p.Free))
		tagged.Gauge("requests_waiting").Update(float64(p.Waiting))
	}
}
