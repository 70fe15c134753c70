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

// metricsPeriod is how often metrics are updated and reported to the scraped
// registry.
const metricsPeriod = time.Second

// refusalLogPeriod is the minimum time between log lines about refusals for the
// same cause.
const refusalLogPeriod = 10 * time.Second

// metrics counts the requests, look-ups and refusals of an instance, and limits
// the log lines about refusals. It is safe for concurrent use.
type metrics struct {
	scope    tally.Scope
	closer   interface{ Close() error }
	reporter prometheus.Reporter

	mu         sync.Mutex
	lastLogged map[refusalCause]time.Time
	requests   map[requestKey]requestScope
	lookups    map[lookupKey]tally.Counter
}

func newMetrics(self keel.Instance) *metrics {
	// Several instances may run in one process, so each has its own registry.
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
		lastLogged: make(map[refusalCause]time.Time), requests: make(map[requestKey]requestScope),
		lookups: make(map[lookupKey]tally.Counter),
	}
}

func (m *metrics) handler() http.Handler { return m.reporter.HTTPHandler() }

// requestKey holds the tags of a counted request.
type requestKey struct {
	service  keel.ServiceName
	selector keel.SelectorName
	status   int // rounded down to a multiple of 100
	verdict  string
	reason   keel.Reason
}

// requestScope counts the requests of one key.
type requestScope struct {
	count   tally.Counter
	seconds tally.Histogram
}

// countRequest counts a finished request.
func (m *metrics) countRequest(res keelproxy.Result) {
	k := requestKey{selector: res.Request.Selector, status: res.Status / 100 * 100, verdict: "answered"}
	if k.selector != "" {
		k.service = res.Request.Service // without a selector the name may be any text of a caller, which is not bounded in number
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

// lookupKey holds the tags of a counted look-up.
type lookupKey struct {
	service keel.ServiceName
	status  int
	reason  keel.Reason
}

// countLookup counts an answered look-up.
func (m *metrics) countLookup(res keelsteer.LookupResult) {
	k := lookupKey{service: res.Service, status: res.Status, reason: res.Reason()}
	if res.Refusal != nil {
		k.service = "" // the name of a refused look-up may be any text of a caller, which is not bounded in number
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

// countRefusedAnnouncement counts the faults of a refused announcement.
func (m *metrics) countRefusedAnnouncement(fs keel.Faults) {
	for _, f := range fs {
		m.scope.Tagged(map[string]string{"field": fieldTag(f.Field)}).Counter("announcements_refused").Inc(1)
	}
}

// countRefusedOperatorCall counts a refused call to the operator port.
func (m *metrics) countRefusedOperatorCall(status int) {
	m.scope.Tagged(map[string]string{"status": strconv.Itoa(status)}).Counter("operator_calls_refused").Inc(1)
}

// unknownField is the tag of faults outside the known fields of an announcement.
const unknownField = "$"

// fieldTag returns the tag of the top-level field at path. Unknown names share one
// tag, since endpoints could send any number of them.
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

// refusalCause identifies refusals whose log lines are limited together.
type refusalCause struct{ port, reason string }

// shouldLog reports whether to log a refusal for the cause now, and if so records
// the time.
func (m *metrics) shouldLog(c refusalCause) bool {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if last, ok := m.lastLogged[c]; ok && now.Sub(last) <= refusalLogPeriod {
		return false
	}
	m.lastLogged[c] = now
	return true
}
