package keeldemo

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelstandin"
	"github.com/olekukonko/tablewriter"
)

// outcomeKind classifies how a request ended for its caller.
type outcomeKind int

const (
	answered outcomeKind = iota
	notRun
	mayHaveRun
	ran
	lost
	wrong
	numOutcomeKinds
)

// outcome is how one send of a request ended.
type outcome struct {
	kind       outcomeKind
	domain     keel.DomainName
	retryAfter time.Duration
	detail     string
}

// Report is the result of a demonstration. Each request counts once, by the
// outcome of its last send.
type Report struct {
	Requests      int `json:"requests"`
	Answered      int `json:"answered"`
	RefusedNotRun int `json:"refused_not_run"`
	MayHaveRun    int `json:"may_have_run"`
	Ran           int `json:"ran"`
	Lost          int `json:"lost"`
	WrongAnswer   int `json:"wrong_answer"`
	// RanTwice is the number of idempotency keys that ran more than once.
	RanTwice int `json:"ran_twice"`
	// DrainMillis is how long the endpoint took to drain, InForceMillis how long
	// the change took until it was in force everywhere.
	DrainMillis   int64 `json:"drain_ms"`
	InForceMillis int64 `json:"in_force_ms"`

	services []serviceReport
	details  []string
}

// OK reports whether nothing was lost, answered wrongly or run twice.
func (r *Report) OK() bool { return r.Lost == 0 && r.WrongAnswer == 0 && r.RanTwice == 0 }

// serviceReport counts the outcomes of one service's requests.
type serviceReport struct {
	name    keel.ServiceName
	kinds   [numOutcomeKinds]int
	domains map[keel.DomainName]int
	latency *hdrhistogram.Histogram
}

// tally counts outcomes. It is safe for use by several goroutines.
type tally struct {
	mu       sync.Mutex
	services map[keel.ServiceName]*serviceReport
	details  []string
}

// Range and precision of latencies, in microseconds.
const (
	minLatencyMicros         = 1
	maxLatencyMicros         = 120_000_000
	latencySignificantDigits = 3
)

func newTally(d *keel.Declarations) *tally {
	t := &tally{services: make(map[keel.ServiceName]*serviceReport)}
	for _, s := range d.Services {
		t.services[s.Name] = &serviceReport{
			name:    s.Name,
			domains: make(map[keel.DomainName]int),
			latency: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencySignificantDigits),
		}
	}
	return t
}

func (t *tally) add(j job, o outcome, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[j.service]
	s.kinds[o.kind]++
	if o.kind == answered {
		s.domains[o.domain]++
		_ = s.latency.RecordValue(took.Microseconds()) // fails only above maxLatencyMicros
		return
	}
	t.details = append(t.details, fmt.Sprintf("%s: %s", j.token(), o.detail))
}

func (d *demo) report() *Report {
	d.tally.mu.Lock()
	defer d.tally.mu.Unlock()
	r := &Report{
		Requests:      d.cfg.Requests,
		DrainMillis:   d.events.drain.Milliseconds(),
		InForceMillis: d.events.inForce.Milliseconds(),
		RanTwice:      ranTwice(d.system.endpoints),
		details:       d.tally.details,
	}
	for _, s := range d.tally.services {
		r.Answered += s.kinds[answered]
		r.RefusedNotRun += s.kinds[notRun]
		r.MayHaveRun += s.kinds[mayHaveRun]
		r.Ran += s.kinds[ran]
		r.Lost += s.kinds[lost]
		r.WrongAnswer += s.kinds[wrong]
		r.services = append(r.services, *s)
	}
	sort.Slice(r.services, func(i, j int) bool { return r.services[i].name < r.services[j].name })
	return r
}

// ranTwice returns the number of keys that ran more than once, counted over all
// endpoints together.
func ranTwice(endpoints map[keel.EndpointName]*keelstandin.Endpoint) int {
	runs := make(map[string]int)
	for _, e := range endpoints {
		for key, n := range e.Counts().ByKey {
			runs[key] += n
		}
	}
	twice := 0
	for _, n := range runs {
		if n > 1 {
			twice++
		}
	}
	return twice
}

// Write writes a table of the services, a line for each request that was not
// answered and, as the last line, the report as JSON.
func (r *Report) Write(w io.Writer) error {
	t := tablewriter.NewTable(w)
	t.Header([]string{"service", "answered", "not_run", "may_have_run", "ran", "lost", "wrong", "p50", "p99", "answered by failure domain"})
	for _, s := range r.services {
		row := []string{string(s.name)}
		for kind := range s.kinds {
			row = append(row, strconv.Itoa(s.kinds[kind]))
		}
		row = append(row, quantile(s.latency, 50), quantile(s.latency, 99), domainCounts(s.domains))
		if err := t.Append(row); err != nil {
			return err
		}
	}
	if err := t.Render(); err != nil {
		return err
	}
	for _, detail := range r.details {
		if _, err := fmt.Fprintln(w, detail); err != nil {
			return err
		}
	}
	data, err := json.Marshal(r)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "%s\n", data)
	return err
}

func quantile(h *hdrhistogram.Histogram, q float64) string {
	d := time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
	return d.Round(10 * time.Microsecond).String()
}

func domainCounts(domains map[keel.DomainName]int) string {
	var parts []string
	for name, n := range domains {
		parts = append(parts, fmt.Sprintf("%s %d", name, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}
