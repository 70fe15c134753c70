package keelload

import (
	"sync"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// Tally counts how requests ended.
type Tally struct {
	Requests int `json:"requests"`
	Answered int `json:"answered"`
	// NotRun, MayHaveRun and Ran count requests whose last send was refused
	// with that verdict.
	NotRun     int `json:"not_run"`
	MayHaveRun int `json:"may_have_run"`
	Ran        int `json:"ran"`
	// Failed counts requests that the endpoint itself answered with an error.
	Failed int `json:"failed"`
	// Lost counts requests whose last send broke off or got no answer.
	Lost int `json:"lost"`
	// Wrong counts answers that belong to another request or are damaged.
	Wrong int `json:"wrong"`
	// Sends counts what was sent, resends too.
	Sends int `json:"sends"`
	// ByDomain counts answers by the failure domain that gave them.
	ByDomain map[keel.DomainName]int `json:"by_domain,omitempty"`
	// Slowest is the longest time from the first send to the answer.
	Slowest keel.Duration `json:"slowest"`
	// LongestGap is the longest time without an answer.
	LongestGap keel.Duration `json:"longest_gap"`
	// Details holds the first few texts of sends that ended in each way but an
	// answer, so that many of one kind don't hide a rare one.
	Details []string `json:"details,omitempty"`

	lastAnswer time.Time
}

// maxDetails bounds the details of a tally for each kind of outcome.
const maxDetails = 4

// outcomeKind says how one send ended.
type outcomeKind int

const (
	answered outcomeKind = iota
	notRun
	mayHaveRun
	ran
	failed
	lost
	wrong
	outcomeKinds
)

// outcome is the end of one send.
type outcome struct {
	kind       outcomeKind
	domain     keel.DomainName
	retryAfter time.Duration
	detail     string
}

// record keeps the tally, and what is compared with the endpoints' counts.
type record struct {
	mu    sync.Mutex
	tally Tally
	// unrun holds the tokens of sends that were refused as not run, single those
	// of sends that nobody but their caller may repeat.
	unrun  []string
	single []string
	// detailed counts the details of each kind of outcome.
	detailed [outcomeKinds]int
	keys     []string
	unkeys   []string
}

// sent notes the end of one send. Its token is empty if all sends of the request
// have the same one. single says that the send must not run twice.
func (r *record) sent(token string, single bool, o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tally.Sends++
	if o.kind != answered && r.detailed[o.kind] < maxDetails {
		r.detailed[o.kind]++
		r.tally.Details = append(r.tally.Details, o.detail)
	}
	if single && token != "" {
		r.single = append(r.single, token)
	}
	if o.kind == notRun && token != "" {
		r.unrun = append(r.unrun, token)
	}
}

func (r *record) ended(key string, o outcome, onlyUnrun bool, elapsed time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := &r.tally
	t.Requests++
	*t.counter(o.kind)++
	if key != "" {
		r.keys = append(r.keys, key)
	}
	if key != "" && onlyUnrun {
		r.unkeys = append(r.unkeys, key)
	}
	if o.kind != answered {
		return
	}
	if t.ByDomain == nil {
		t.ByDomain = map[keel.DomainName]int{}
	}
	t.ByDomain[o.domain]++
	t.Slowest = max(t.Slowest, keel.Duration(elapsed))
	t.answerAt(now)
}

// answerAt notes the time of an answer, or the start of the load.
func (t *Tally) answerAt(now time.Time) {
	if !t.lastAnswer.IsZero() {
		t.LongestGap = max(t.LongestGap, keel.Duration(now.Sub(t.lastAnswer)))
	}
	t.lastAnswer = now
}

func (t *Tally) counter(kind outcomeKind) *int {
	switch kind {
	case answered:
		return &t.Answered
	case notRun:
		return &t.NotRun
	case mayHaveRun:
		return &t.MayHaveRun
	case ran:
		return &t.Ran
	case failed:
		return &t.Failed
	case wrong:
		return &t.Wrong
	default:
		return &t.Lost
	}
}
