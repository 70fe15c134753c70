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
	// Lost counts requests whose last send got no answer or one that broke off.
	Lost int `json:"lost"`
	// Wrong counts answers that belong to another request or are damaged.
	Wrong int `json:"wrong"`
	// Sends counts all sends, including resends.
	Sends int `json:"sends"`
	// ByDomain counts answers by the failure domain that served them.
	ByDomain map[keel.DomainName]int `json:"by_domain,omitempty"`
	// Slowest is the longest time from the start of a request, including the
	// look-up of its ticket, to its answer.
	Slowest keel.Duration `json:"slowest"`
	// LongestGap is the longest time between two answers, or from the start of
	// the load to the first one. The time after the last answer doesn't count.
	LongestGap keel.Duration `json:"longest_gap"`
	// Details describes the first few sends of each kind of outcome other than
	// an answer. The limit is for each kind, so that a frequent kind doesn't
	// displace a rare one.
	Details []string `json:"details,omitempty"`

	lastAnswer time.Time // or the start of the load
}

// maxDetails is the highest number of details for each kind of outcome.
const maxDetails = 4

// outcomeKind classifies how one send ended.
type outcomeKind int

const (
	answered outcomeKind = iota
	notRun
	mayHaveRun
	ran
	failed
	lost
	wrong
	numOutcomeKinds
)

// outcome is the end of one send.
type outcome struct {
	kind       outcomeKind
	domain     keel.DomainName
	retryAfter time.Duration
	detail     string
}

// record holds the tally and the tokens and keys that [Load.Verify] compares with
// the endpoints' counts.
type record struct {
	mu    sync.Mutex
	tally Tally
	// notRunTokens holds the tokens of sends that were refused as not run,
	// singleRunTokens those of sends that must run at most once because the
	// request is not idempotent.
	notRunTokens    []string
	singleRunTokens []string
	// detailCounts counts the details of each kind of outcome.
	detailCounts [numOutcomeKinds]int
	// keys holds the keys of all requests that ended, notRunKeys those of
	// requests of which every send was refused as not run.
	keys       []string
	notRunKeys []string
}

// addSend records the end of one send. Its token is empty if all sends of the
// request have the same one. mustRunOnce says that the send must not run twice.
func (r *record) addSend(token string, mustRunOnce bool, o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tally.Sends++
	if o.kind != answered && r.detailCounts[o.kind] < maxDetails {
		r.detailCounts[o.kind]++
		r.tally.Details = append(r.tally.Details, o.detail)
	}
	if mustRunOnce && token != "" {
		r.singleRunTokens = append(r.singleRunTokens, token)
	}
	if o.kind == notRun && token != "" {
		r.notRunTokens = append(r.notRunTokens, token)
	}
}

// addRequest records the end of a request with the outcome of its last send. The
// key is empty if the request has none. allNotRun says that every send was
// refused as not run.
func (r *record) addRequest(key string, o outcome, allNotRun bool, elapsed time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := &r.tally
	t.Requests++
	*t.counter(o.kind)++
	if key != "" {
		r.keys = append(r.keys, key)
	}
	if key != "" && allNotRun {
		r.notRunKeys = append(r.notRunKeys, key)
	}
	if o.kind != answered {
		return
	}
	if t.ByDomain == nil {
		t.ByDomain = map[keel.DomainName]int{}
	}
	t.ByDomain[o.domain]++
	t.Slowest = max(t.Slowest, keel.Duration(elapsed))
	t.noteAnswer(now)
}

// noteAnswer records the time of an answer, or the start of the load, and updates
// the longest gap.
func (t *Tally) noteAnswer(now time.Time) {
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
