package keelinstance

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelproxy"
	"github.com/greengagekeel/greengagekeel/keelsteer"
	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// metricsPeriod is how often counters are passed on to the scrape format.
const metricsPeriod = time.Second

// refusalLogPeriod is how often a refusal for the same cause is logged.
const refusalLogPeriod = 10 * time.Second

// metrics counts what an instance does. It is safe for use by several
// goroutines.
type metrics struct {
	scope    tally.Scope
	closer   interface{ Close() error }
	reporter prometheus.Reporter

	mu       sync.Mutex
	logged   map[cause]time.Time
	requests map[requestKey]requestScope
	lookups  map[lookupKey]tally.Counter
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
		logged: make(map[cause]time.Time), requests: make(map[requestKey]requestScope),
		lookups: make(map[lookupKey]tally.Counter),
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

// lookupKey holds the tags of counted look-ups.
type lookupKey struct {
	service keel.ServiceName
	status  int
	reason  keel.Reason
}

// lookup counts a look-up that has been answered.
func (m *metrics) lookup(res keelsteer.LookupResult) {
	k := lookupKey{service: res.Service, status: res.Status, reason: res.Reason()}
	if res.Refusal != nil {
		k.service = "" // names that callers made up would never end
	}
	m.mu.Lock()
	c, ok := m.lookups[k]
	if !ok {
		c = m.scope.Tagged(map[string]string{
			"service": string(k.service), "status": strconv.Itoa(k.status), "reason": string(k.reason),
		}).Counter("lookups")
		m.lookups[k] = c
	}
	m.mu.Unlock()
	c.Inc(1)
}

// announceRefused counts the faults of an announcement that was refused.
func (m *metrics) announceRefused(fs keel.Faults) {
	for _, f := range fs {
		m.scope.Tagged(map[string]string{"field": fieldTag(f.Field)}).Counter("announcements_refused").Inc(1)
	}
}

// operatorRefused counts a call to the operator port that was refused.
func (m *metrics) operatorRefused(status int) {
	m.scope.Tagged(map[string]string{"status": strconv.Itoa(status)}).Counter("operator_calls_refused").Inc(1)
}

// unknownField is the tag of a field that announcements do not have.
const unknownField = "$"

// fieldTag returns the field of an announcement that a fault is about. Names
// that endpoints made up would never end.
func fieldTag(path string) string {
	name, _, _ := strings.Cut(path, ".")
	name, _, _ = strings.Cut(name, "[")
	if slices.Contains(announcementFields, name) {
		return name
	}
	return unknownField
}

var announcementFields = []string{
	"service", "name", "address", "site", "slots", "incarnation", "state", "labels", "ttl", "report",
}

// cause identifies refusals that are logged once in a while only.
type cause struct{ port, reason string }

// due reports whether a refusal for a cause is to be logged now.
func (m *metrics) due(c cause) bool {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if last, ok := m.logged[c]; ok && now.Sub(last) <= refusalLogPeriod {
		return false
	}
	m.logged[c] = now
	return true
}
