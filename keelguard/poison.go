package keelguard

import (
	"cmp"
	"maps"
	"slices"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// Decision says how a request may be dispatched.
type Decision struct {
	// Allow says that the request may be dispatched now.
	Allow bool
	// AskHome says that the request may be dispatched only with a permit of its
	// fingerprint's home. [Service.Admit] asks for it.
	AskHome bool
	// AvoidEndpoints lists the endpoints that the request must not be sent to.
	AvoidEndpoints []keel.EndpointID
	// NoRetry says that the request must not be dispatched again if it fails.
	NoRetry bool
	// Refuse is the refusal to return to the caller if Allow is false.
	Refuse *keel.Refusal
}

// PoisonConfig configures a [PoisonDetector].
type PoisonConfig struct {
	Self keel.InstanceName
	// Incarnation is the incarnation number of the instance.
	Incarnation uint64
	// Started is when the process started.
	Started time.Time
	// MaxEntries limits the number of fingerprints with evidence. The oldest is
	// evicted for a new one.
	MaxEntries int
	// Retention is how long evidence counts.
	Retention time.Duration
	// PermitTime is how long a request with a permit may run. A restarted home
	// has no record of the permits that it gave before. It gives no new ones for
	// this time, unless the other instances report those in use earlier.
	PermitTime time.Duration
}

// Limits of evidence.
const (
	// refusalCrashes is the number of crashes from which on a request is
	// refused.
	refusalCrashes = 2
	// suspectRetryAfter is the shortest Retry-After that is returned for a
	// suspect request.
	suspectRetryAfter = time.Second
)

// dispatch is a request in flight at an endpoint.
type dispatch struct {
	endpoint keel.EndpointID
	request  ID
}

// PoisonDetector keeps the evidence against requests. A request that was in
// flight at an endpoint when it crashed is a suspect. With a permit of its
// fingerprint's home it may be dispatched to one more endpoint, at which no
// other suspect runs. If that endpoint crashes as well, the request is refused
// until the evidence expires. If the request is answered, it is cleared.
//
// A PoisonDetector is not safe for concurrent use.
type PoisonDetector struct {
	cfg      PoisonConfig
	entries  map[ID]*poisonEntry
	inFlight map[dispatch]int
	// unconfirmed holds the crashes of endpoints that no probe with a fresh
	// connection has confirmed or disproved yet.
	unconfirmed map[keel.EndpointID]Crash
	// number is the sequence number of the last observed crash.
	number uint64
	// permitsKnown says that every permit from before the start is known.
	permitsKnown bool
}

// poisonEntry is the state of one fingerprint.
type poisonEntry struct {
	crashes map[Crash]*crashRecord
	// liftedAt is when an operator lifted the refusal. Older evidence does not
	// count.
	liftedAt time.Time
	// permittedAt is when this instance, as the home, gave a permit that has
	// not ended yet.
	permittedAt time.Time
	// newest is the time of the newest evidence, or when the entry was created
	// if that is later.
	newest time.Time
}

type crashRecord struct {
	at      time.Time
	cleared bool
}

// NewPoisonDetector returns a detector without evidence.
func NewPoisonDetector(cfg PoisonConfig) *PoisonDetector {
	return &PoisonDetector{
		cfg:         cfg,
		entries:     map[ID]*poisonEntry{},
		inFlight:    map[dispatch]int{},
		unconfirmed: map[keel.EndpointID]Crash{},
	}
}

// countingCrashes returns the crashes that count against the entry: not
// cleared, not lifted and within the retention.
func (p *PoisonDetector) countingCrashes(now time.Time, e *poisonEntry) []Crash {
	var out []Crash
	for crash, record := range e.crashes {
		if !record.cleared && record.at.After(e.liftedAt) && now.Sub(record.at) <= p.cfg.Retention {
			out = append(out, crash)
		}
	}
	slices.SortFunc(out, compareCrashes)
	return out
}

func compareCrashes(a, b Crash) int {
	return cmp.Or(
		cmp.Compare(a.Endpoint.Service, b.Endpoint.Service), cmp.Compare(a.Endpoint.Name, b.Endpoint.Name),
		cmp.Compare(a.Observer, b.Observer), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Number, b.Number),
	)
}

func (p *PoisonDetector) isSuspect(now time.Time, fp ID) bool {
	e, ok := p.entries[fp]
	return ok && len(p.countingCrashes(now, e)) > 0
}

// Check decides whether a request may be dispatched.
func (p *PoisonDetector) Check(now time.Time, fp ID) Decision {
	e, ok := p.entries[fp]
	if !ok {
		return Decision{Allow: true}
	}
	crashes := p.countingCrashes(now, e)
	switch {
	case len(crashes) == 0:
		return Decision{Allow: true}
	case len(crashes) >= refusalCrashes:
		return Decision{NoRetry: true, Refuse: poisonRefusal(fp, len(crashes))}
	}
	return Decision{
		AskHome:        true,
		NoRetry:        true,
		AvoidEndpoints: p.endpointsToAvoid(now, fp, crashes),
		Refuse: keel.Refuse(keel.NotRun, keel.ReasonPoison, suspectRetryAfter,
			"request %s was in flight when an endpoint crashed; it may run again at one endpoint at a time", fp),
	}
}

func poisonRefusal(fp ID, crashes int) *keel.Refusal {
	return keel.Refuse(keel.NotRun, keel.ReasonPoison, 0,
		"%d endpoints crashed while they ran request %s; it was not dispatched again", crashes, fp)
}

// endpointsToAvoid lists the endpoints that crashed with the request in flight,
// and those at which another suspect runs: if one of two suspects crashes an
// endpoint, the other must not be in flight there.
func (p *PoisonDetector) endpointsToAvoid(now time.Time, fp ID, crashes []Crash) []keel.EndpointID {
	var out []keel.EndpointID
	for _, crash := range crashes {
		out = append(out, crash.Endpoint)
	}
	for running := range p.inFlight {
		if running.request != fp && p.isSuspect(now, running.request) && !slices.Contains(out, running.endpoint) {
			out = append(out, running.endpoint)
		}
	}
	slices.SortFunc(out, func(a, b keel.EndpointID) int { return cmp.Compare(a.String(), b.String()) })
	return out
}

// HasEvidence reports whether there may be evidence against a request. If not,
// Check allows the request at any time.
func (p *PoisonDetector) HasEvidence(fp ID) bool {
	_, ok := p.entries[fp]
	return ok
}

// Dispatched records that a request was sent to an endpoint. Exactly one of
// [PoisonDetector.Answered], [PoisonDetector.Abandoned] and
// [PoisonDetector.ConnectionBroke] must follow.
func (p *PoisonDetector) Dispatched(_ time.Time, fp ID, endpoint keel.EndpointID) {
	p.inFlight[dispatch{endpoint, fp}]++
}

func (p *PoisonDetector) removeInFlight(fp ID, endpoint keel.EndpointID) {
	d := dispatch{endpoint, fp}
	n := p.inFlight[d] - 1
	if n <= 0 {
		delete(p.inFlight, d)
		return
	}
	p.inFlight[d] = n
}

// Answered records that the endpoint gave a whole answer. This clears the
// request, since a poison request never gets that far. It clears a refused one
// too: if many callers send the same request, copies are in flight at several
// endpoints, and crashes of some of these must not count against a request that
// others answer. Answered reports whether evidence was cleared, which must then
// be shared with the other instances.
func (p *PoisonDetector) Answered(fp ID, endpoint keel.EndpointID) bool {
	p.removeInFlight(fp, endpoint)
	e, ok := p.entries[fp]
	return ok && e.clear()
}

// clear clears the entry's evidence and ends its permit. It reports whether any
// evidence was not cleared before.
func (e *poisonEntry) clear() bool {
	e.permittedAt = time.Time{}
	changed := false
	for _, record := range e.crashes {
		changed = changed || !record.cleared
		record.cleared = true
	}
	return changed
}

// Abandoned records that the request was cancelled while its connection worked,
// which is no evidence either way.
func (p *PoisonDetector) Abandoned(_ time.Time, fp ID, endpoint keel.EndpointID) {
	p.removeInFlight(fp, endpoint)
}

// ConnectionBroke records that the connection to an endpoint broke with the
// request in flight. It counts as a crash unless [PoisonDetector.Probed]
// disproves it; the caller must probe the endpoint with a fresh connection.
func (p *PoisonDetector) ConnectionBroke(now time.Time, fp ID, endpoint keel.EndpointID) {
	p.removeInFlight(fp, endpoint)
	crash, open := p.unconfirmed[endpoint]
	if !open {
		p.number++
		crash = Crash{Endpoint: endpoint, Observer: p.cfg.Self, Incarnation: p.cfg.Incarnation, Number: p.number}
		p.unconfirmed[endpoint] = crash
	}
	p.add(now, fp, crash, now)
}

// Probed records whether a fresh connection to the endpoint worked. If it did,
// the endpoint had not crashed, and the evidence of the crash is cleared.
func (p *PoisonDetector) Probed(_ time.Time, endpoint keel.EndpointID, ok bool) {
	crash, open := p.unconfirmed[endpoint]
	delete(p.unconfirmed, endpoint)
	if !open || !ok {
		return
	}
	for _, e := range p.entries {
		if record, known := e.crashes[crash]; known {
			record.cleared = true
		}
	}
}

// add adds evidence. It reports whether it is new.
func (p *PoisonDetector) add(now time.Time, fp ID, crash Crash, at time.Time) bool {
	e := p.entry(now, fp)
	if _, known := e.crashes[crash]; known || len(e.crashes) >= maxCrashes {
		return false
	}
	e.crashes[crash] = &crashRecord{at: at}
	e.permittedAt = time.Time{}
	if at.After(e.newest) {
		e.newest = at
	}
	return true
}

// maxCrashes limits the evidence against one fingerprint. Further crashes would
// not change a decision.
const maxCrashes = 16

func (p *PoisonDetector) entry(now time.Time, fp ID) *poisonEntry {
	if e, ok := p.entries[fp]; ok {
		return e
	}
	if len(p.entries) >= p.cfg.MaxEntries {
		p.dropOldest()
	}
	e := &poisonEntry{crashes: map[Crash]*crashRecord{}, newest: now}
	p.entries[fp] = e
	return e
}

func (p *PoisonDetector) dropOldest() {
	var oldest ID
	var at time.Time
	for fp, e := range p.entries {
		if at.IsZero() || e.newest.Before(at) || e.newest.Equal(at) && fp < oldest {
			oldest, at = fp, e.newest
		}
	}
	delete(p.entries, oldest)
}

// Evidence returns all evidence, to be shared with other instances.
func (p *PoisonDetector) Evidence(now time.Time) []Evidence {
	var out []Evidence
	for _, fp := range slices.Sorted(maps.Keys(p.entries)) {
		out = append(out, p.EvidenceOf(now, fp)...)
	}
	return out
}

// EvidenceOf returns the evidence against one fingerprint.
func (p *PoisonDetector) EvidenceOf(now time.Time, fp ID) []Evidence {
	e, ok := p.entries[fp]
	if !ok {
		return nil
	}
	var out []Evidence
	for _, crash := range slices.SortedFunc(maps.Keys(e.crashes), compareCrashes) {
		record := e.crashes[crash]
		out = append(out, Evidence{
			ID:      fp,
			Crash:   crash,
			Age:     keel.Duration(max(0, now.Sub(record.at))),
			Cleared: record.cleared || !record.at.After(e.liftedAt),
		})
	}
	return out
}

// Merge merges evidence of other instances. It reports whether any was new.
func (p *PoisonDetector) Merge(now time.Time, evidence []Evidence) bool {
	changed := false
	for _, ev := range evidence {
		if ev.Age.Std() > p.cfg.Retention {
			continue
		}
		changed = p.add(now, ev.ID, ev.Crash, now.Add(-ev.Age.Std())) || changed
		record, known := p.entries[ev.ID].crashes[ev.Crash]
		if known && ev.Cleared && !record.cleared {
			record.cleared, changed = true, true
			p.entries[ev.ID].permittedAt = time.Time{}
		}
	}
	return changed
}

// ClearBefore clears the evidence against a fingerprint that is older than now.
func (p *PoisonDetector) ClearBefore(now time.Time, fp ID) {
	e := p.entry(now, fp)
	e.liftedAt, e.permittedAt = now, time.Time{}
}

// Expire removes evidence that no longer counts.
func (p *PoisonDetector) Expire(now time.Time) {
	for fp, e := range p.entries {
		maps.DeleteFunc(e.crashes, func(_ Crash, record *crashRecord) bool { return now.Sub(record.at) > p.cfg.Retention })
		permitted := !e.permittedAt.IsZero() && now.Sub(e.permittedAt) <= p.cfg.Retention
		lifted := !e.liftedAt.IsZero() && now.Sub(e.liftedAt) <= p.cfg.Retention
		if len(e.crashes) == 0 && !permitted && !lifted {
			delete(p.entries, fp)
		}
	}
}
