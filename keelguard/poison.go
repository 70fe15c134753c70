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
	// AskHome says that the request may be dispatched only with a permission of
	// its fingerprint's home. [Service.Admit] asks for it.
	AskHome bool
	// AvoidEndpoints lists the endpoints that the request must not go to.
	AvoidEndpoints []keel.EndpointID
	// NoRetry says that the request must not be dispatched again if it fails.
	NoRetry bool
	// Refuse is the refusal to answer with, if Allow is false.
	Refuse *keel.Refusal
}

// PoisonConfig sets up a [Poison].
type PoisonConfig struct {
	Self keel.InstanceName
	// Start is the incarnation of the instance.
	Start uint64
	// Started is when the process started.
	Started time.Time
	// MaxEntries bounds the fingerprints with evidence. The oldest is dropped
	// for a new one.
	MaxEntries int
	// Retention is how long evidence counts.
	Retention time.Duration
	// PermitTime is how long a permitted request may run. For as long after its
	// start a home gives no permissions, since it has forgotten those that it
	// gave before, unless it learnt of them by then.
	PermitTime time.Duration
}

// Limits of evidence.
const (
	// refusedAt is the number of crashes with which a request is refused.
	refusedAt = 2
	// crashRetry is the shortest wait that is advised to a suspect request.
	crashRetry = time.Second
)

// flight is a request at an endpoint.
type flight struct {
	endpoint keel.EndpointID
	request  ID
}

// Poison keeps the evidence against requests. A request in flight at an
// endpoint that crashed is a suspect: it may take one more endpoint, with the
// permission of its fingerprint's home, apart from other suspects. If that one
// crashes as well the request is refused until the evidence is too old. If it
// runs to its end it is cleared.
//
// A Poison is not safe for use by several goroutines.
type Poison struct {
	cfg      PoisonConfig
	entries  map[ID]*poisonEntry
	inFlight map[flight]int
	// crashes holds the crash of each endpoint that no fresh connection has
	// confirmed or disproved yet.
	crashes map[keel.EndpointID]Death
	number  uint64
	// recalled says that the permissions from before the start are known.
	recalled bool
}

// poisonEntry is what is known about one fingerprint.
type poisonEntry struct {
	pieces map[Death]*piece
	// liftedAt is when an operator lifted the refusal. Older evidence does not
	// count.
	liftedAt time.Time
	// permit is when this instance, as the home, permitted one more risk that
	// has not ended yet.
	permit time.Time
	newest time.Time
}

type piece struct {
	at      time.Time
	cleared bool
}

// NewPoison returns a table without evidence.
func NewPoison(cfg PoisonConfig) *Poison {
	return &Poison{
		cfg:      cfg,
		entries:  map[ID]*poisonEntry{},
		inFlight: map[flight]int{},
		crashes:  map[keel.EndpointID]Death{},
	}
}

// live returns the crashes that count against the entry.
func (p *Poison) live(now time.Time, e *poisonEntry) []Death {
	var out []Death
	for d, pc := range e.pieces {
		if !pc.cleared && pc.at.After(e.liftedAt) && now.Sub(pc.at) <= p.cfg.Retention {
			out = append(out, d)
		}
	}
	slices.SortFunc(out, compareDeaths)
	return out
}

func compareDeaths(a, b Death) int {
	return cmp.Or(
		cmp.Compare(a.Endpoint.Service, b.Endpoint.Service), cmp.Compare(a.Endpoint.Name, b.Endpoint.Name),
		cmp.Compare(a.Observer, b.Observer), cmp.Compare(a.Start, b.Start), cmp.Compare(a.Number, b.Number),
	)
}

func (p *Poison) suspect(now time.Time, fp ID) bool {
	e, ok := p.entries[fp]
	return ok && len(p.live(now, e)) > 0
}

// Before decides about a request that is about to be dispatched.
func (p *Poison) Before(now time.Time, fp ID) Decision {
	e, ok := p.entries[fp]
	if !ok {
		return Decision{Allow: true}
	}
	crashes := p.live(now, e)
	switch {
	case len(crashes) == 0:
		return Decision{Allow: true}
	case len(crashes) >= refusedAt:
		return Decision{NoRetry: true, Refuse: poisonRefusal(fp, len(crashes))}
	}
	return Decision{
		AskHome:        true,
		NoRetry:        true,
		AvoidEndpoints: p.avoid(now, fp, crashes),
		Refuse: keel.Refuse(keel.NotRun, keel.ReasonPoison, crashRetry,
			"request %s was in flight when an endpoint crashed; it may run again at one endpoint at a time", fp),
	}
}

func poisonRefusal(fp ID, crashes int) *keel.Refusal {
	return keel.Refuse(keel.NotRun, keel.ReasonPoison, 0,
		"%d endpoints crashed while they ran request %s; it was not dispatched again", crashes, fp)
}

// avoid lists the endpoints that crashed, and those where another suspect runs:
// if one of two suspects crashes an endpoint, the other must not be there.
func (p *Poison) avoid(now time.Time, fp ID, crashes []Death) []keel.EndpointID {
	var out []keel.EndpointID
	for _, d := range crashes {
		out = append(out, d.Endpoint)
	}
	for f := range p.inFlight {
		if f.request != fp && p.suspect(now, f.request) && !slices.Contains(out, f.endpoint) {
			out = append(out, f.endpoint)
		}
	}
	slices.SortFunc(out, func(a, b keel.EndpointID) int { return cmp.Compare(a.String(), b.String()) })
	return out
}

// Known reports whether there may be evidence against a request. Without it the
// time does not matter to Before and Started.
func (p *Poison) Known(fp ID) bool {
	_, ok := p.entries[fp]
	return ok
}

// Started notes that a request was sent to an endpoint. Exactly one of
// [Poison.Ended], [Poison.Abandoned] and [Poison.Died] follows.
func (p *Poison) Started(_ time.Time, fp ID, endpoint keel.EndpointID) {
	p.inFlight[flight{endpoint, fp}]++
}

func (p *Poison) leave(fp ID, endpoint keel.EndpointID) {
	f := flight{endpoint, fp}
	n := p.inFlight[f] - 1
	if n <= 0 {
		delete(p.inFlight, f)
		return
	}
	p.inFlight[f] = n
}

// Ended notes that the endpoint gave its whole answer. This clears the request,
// since a poison request never gets that far. It clears a refused one too: of a
// request that many callers send, copies are in flight at several endpoints, and
// those that crash together must not condemn it while others answer it. Ended
// reports whether evidence was cleared, which other instances must learn.
func (p *Poison) Ended(fp ID, endpoint keel.EndpointID) bool {
	p.leave(fp, endpoint)
	e, ok := p.entries[fp]
	return ok && e.clear()
}

// clear reports whether any evidence counted until now.
func (e *poisonEntry) clear() bool {
	e.permit = time.Time{}
	news := false
	for _, pc := range e.pieces {
		news = news || !pc.cleared
		pc.cleared = true
	}
	return news
}

// Abandoned notes that the request was given up while its connection was well,
// which says nothing about it.
func (p *Poison) Abandoned(_ time.Time, fp ID, endpoint keel.EndpointID) { p.leave(fp, endpoint) }

// Died notes that the connection to an endpoint broke with the request in
// flight. It counts as a crash unless [Poison.Confirmed] disproves it; the
// endpoint is to be tried with a fresh connection.
func (p *Poison) Died(now time.Time, fp ID, endpoint keel.EndpointID) {
	p.leave(fp, endpoint)
	crash, open := p.crashes[endpoint]
	if !open {
		p.number++
		crash = Death{Endpoint: endpoint, Observer: p.cfg.Self, Start: p.cfg.Start, Number: p.number}
		p.crashes[endpoint] = crash
	}
	p.add(now, fp, crash, now)
}

// Confirmed notes whether a fresh connection to the endpoint worked. If it did,
// the endpoint had not crashed, and what counted as a crash is cleared.
func (p *Poison) Confirmed(_ time.Time, endpoint keel.EndpointID, ok bool) {
	crash, open := p.crashes[endpoint]
	delete(p.crashes, endpoint)
	if !open || !ok {
		return
	}
	for _, e := range p.entries {
		if pc, known := e.pieces[crash]; known {
			pc.cleared = true
		}
	}
}

// add adds a piece of evidence. It reports whether the piece is new.
func (p *Poison) add(now time.Time, fp ID, crash Death, at time.Time) bool {
	e := p.entry(now, fp)
	if _, known := e.pieces[crash]; known || len(e.pieces) >= maxPieces {
		return false
	}
	e.pieces[crash] = &piece{at: at}
	e.permit = time.Time{}
	if at.After(e.newest) {
		e.newest = at
	}
	return true
}

// maxPieces bounds the evidence against one fingerprint. More of it would
// change nothing.
const maxPieces = 16

func (p *Poison) entry(now time.Time, fp ID) *poisonEntry {
	if e, ok := p.entries[fp]; ok {
		return e
	}
	if len(p.entries) >= p.cfg.MaxEntries {
		p.dropOldest()
	}
	e := &poisonEntry{pieces: map[Death]*piece{}, newest: now}
	p.entries[fp] = e
	return e
}

func (p *Poison) dropOldest() {
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
func (p *Poison) Evidence(now time.Time) []Evidence {
	var out []Evidence
	for _, fp := range slices.Sorted(maps.Keys(p.entries)) {
		out = append(out, p.EvidenceOf(now, fp)...)
	}
	return out
}

// EvidenceOf returns the evidence against one fingerprint.
func (p *Poison) EvidenceOf(now time.Time, fp ID) []Evidence {
	e, ok := p.entries[fp]
	if !ok {
		return nil
	}
	var out []Evidence
	for _, d := range slices.SortedFunc(maps.Keys(e.pieces), compareDeaths) {
		pc := e.pieces[d]
		out = append(out, Evidence{
			ID:      fp,
			Death:   d,
			Age:     keel.Duration(max(0, now.Sub(pc.at))),
			Cleared: pc.cleared || !pc.at.After(e.liftedAt),
		})
	}
	return out
}

// Merge takes evidence of other instances. It reports whether any was new.
func (p *Poison) Merge(now time.Time, evidence []Evidence) bool {
	news := false
	for _, ev := range evidence {
		if ev.Age.Std() > p.cfg.Retention {
			continue
		}
		news = p.add(now, ev.ID, ev.Death, now.Add(-ev.Age.Std())) || news
		pc, known := p.entries[ev.ID].pieces[ev.Death]
		if known && ev.Cleared && !pc.cleared {
			pc.cleared, news = true, true
			p.entries[ev.ID].permit = time.Time{}
		}
	}
	return news
}

// Lift drops the evidence against a fingerprint that is older than now.
func (p *Poison) Lift(now time.Time, fp ID) {
	e := p.entry(now, fp)
	e.liftedAt, e.permit = now, time.Time{}
}

// Expire forgets evidence that no longer counts.
func (p *Poison) Expire(now time.Time) {
	for fp, e := range p.entries {
		maps.DeleteFunc(e.pieces, func(_ Death, pc *piece) bool { return now.Sub(pc.at) > p.cfg.Retention })
		permitted := !e.permit.IsZero() && now.Sub(e.permit) <= p.cfg.Retention
		lifted := !e.liftedAt.IsZero() && now.Sub(e.liftedAt) <= p.cfg.Retention
		if len(e.pieces) == 0 && !permitted && !lifted {
			delete(p.entries, fp)
		}
	}
}
