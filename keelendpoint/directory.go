// Package keelendpoint keeps the directory of the endpoints of one failure
// domain.
//
// An endpoint announces itself to any instance of its failure domain, which
// becomes its registrar. Each registrar tells the other instances of the domain
// its whole set of endpoints on every change. Once a second each instance tells a
// few others a sum over the numbers of all sets, so that a lost message is
// repaired. [Directory] is the deterministic
// core; [Service] sends and receives; [Handler] answers endpoints over HTTP.
//
// The package does not choose endpoints and opens no connection to them.
package keelendpoint

import (
	_ "embed"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelchart"
	"github.com/zeebo/xxh3"
)

//go:embed state.json
var stateJSON []byte

var stateChart = keelchart.MustParse(stateJSON)

// States and events of the chart in state.json.
const (
	stateServing  keelchart.State = "serving"
	stateLeaving  keelchart.State = "leaving"
	stateGone     keelchart.State = "gone"
	eventAnnounce keelchart.Event = "announce"
	eventLeave    keelchart.Event = "leave"
	eventExpire   keelchart.Event = "expire"
)

// goneRetention is how long the incarnation of an endpoint that is gone is
// remembered, so that a late announcement does not bring it back.
const goneRetention = 10 * time.Minute

// Config configures a [Directory].
type Config struct {
	Self        keel.InstanceName
	Incarnation uint64
	// Services returns the declared services.
	Services func() []keel.Service
}

// Directory is the directory of one failure domain as one instance sees it. It
// is not safe for use by several goroutines.
type Directory struct {
	cfg  Config
	own  map[keel.EndpointID]*ownRecord
	seq  uint64
	sets map[keel.InstanceName]Set
	// deadSince says since when a registrar is not live.
	deadSince map[keel.InstanceName]time.Time
}

type ownRecord struct {
	announcement keel.Announcement
	machine      keelchart.Machine
	heard        time.Time
	since        time.Time
}

// Record is one endpoint as its registrar tells it.
type Record struct {
	Announcement keel.Announcement `cbor:"1,keyasint" json:"announcement"`
	// Age is the time since the registrar last heard the endpoint.
	Age time.Duration `cbor:"2,keyasint" json:"age"`
}

// Check reports the faults of the record.
func (r *Record) Check() keel.Faults {
	fs := r.Announcement.Check()
	if r.Age < 0 {
		fs.Add("age", "is %s, must not be negative", r.Age)
	}
	return fs
}

// Set is every endpoint of one registrar.
type Set struct {
	Registrar   keel.InstanceName `cbor:"1,keyasint" json:"registrar"`
	Incarnation uint64            `cbor:"2,keyasint" json:"incarnation"`
	// Seq rises with each change of the set.
	Seq     uint64   `cbor:"3,keyasint" json:"seq"`
	Records []Record `cbor:"4,keyasint,omitempty" json:"records"`
	// Brief says that only the number of the set is told, not its records.
	Brief bool `cbor:"5,keyasint,omitempty" json:"brief,omitempty"`
	// Sum stands in a brief set for the numbers of all sets that the sender has.
	Sum uint64 `cbor:"6,keyasint,omitempty" json:"sum,omitempty"`
	// Numbers lists these numbers. In a question it is empty and AskNumbers is
	// set.
	Numbers    []SetNumber `cbor:"7,keyasint,omitempty" json:"numbers,omitempty"`
	AskNumbers bool        `cbor:"8,keyasint,omitempty" json:"ask_numbers,omitempty"`
	// received is when the set arrived.
	received time.Time
}

// SetNumber is the number of one registrar's set.
type SetNumber struct {
	Registrar   keel.InstanceName `cbor:"1,keyasint" json:"registrar"`
	Incarnation uint64            `cbor:"2,keyasint" json:"incarnation"`
	Seq         uint64            `cbor:"3,keyasint" json:"seq"`
}

// maxSetRecords bounds the endpoints of one registrar.
const maxSetRecords = 10_000

// Check reports the faults of the set.
func (s *Set) Check() keel.Faults {
	fs := keel.CheckName("registrar", s.Registrar)
	if len(s.Records) > maxSetRecords {
		fs.Add("records", "has %d endpoints, the limit is %d", len(s.Records), maxSetRecords)
		return fs
	}
	for i := range s.Records {
		fs.Under("records", s.Records[i].Check())
	}
	return fs
}

// Entry is one endpoint in the merged view of all registrars.
type Entry struct {
	Announcement keel.Announcement `json:"announcement"`
	Registrar    keel.InstanceName `json:"registrar"`
	// Heard is when the endpoint was last heard.
	Heard time.Time `json:"heard"`
}

// New returns an empty directory.
func New(cfg Config) *Directory {
	return &Directory{
		cfg:       cfg,
		own:       make(map[keel.EndpointID]*ownRecord),
		sets:      make(map[keel.InstanceName]Set),
		deadSince: make(map[keel.InstanceName]time.Time),
	}
}

// Announce takes an announcement of an endpoint to this instance. It reports
// whether the other instances must be told. Faults say what is wrong with it;
// an announcement with a lower incarnation than the last one is refused too.
func (d *Directory) Announce(now time.Time, a keel.Announcement) (changed bool, fs keel.Faults) {
	fs = d.check(&a)
	if len(fs) > 0 {
		return false, fs
	}
	rec := d.own[a.ID()]
	if rec == nil {
		rec = &ownRecord{machine: keelchart.NewMachine(stateChart), since: now}
		d.own[a.ID()] = rec
	}
	if a.Incarnation < rec.announcement.Incarnation {
		fs.Add("incarnation", "is %d, but endpoint %s announced %d already", a.Incarnation, a.ID(), rec.announcement.Incarnation)
		return false, fs
	}
	if a.Incarnation > rec.announcement.Incarnation {
		rec.machine = keelchart.NewMachine(stateChart)
	}
	event := eventAnnounce
	if a.State == keel.EndpointLeaving {
		event = eventLeave
	}
	state, err := rec.machine.Fire(event)
	if err != nil {
		fs.Add("state", "%v", err)
		return false, fs
	}
	if state == stateLeaving {
		a.State = keel.EndpointLeaving
	}
	changed = !sameEndpoint(rec.announcement, a)
	rec.announcement, rec.heard = a, now
	if changed {
		d.seq++
	}
	return changed, nil
}

func (d *Directory) check(a *keel.Announcement) keel.Faults {
	fs := a.Check()
	if len(fs) > 0 {
		return fs
	}
	for _, s := range d.cfg.Services() {
		if s.Name != a.Service {
			continue
		}
		if !containsAddr(s.AnnounceFrom, a.Address.Addr()) {
			fs.Add("address", "%s lies outside the prefixes from which service %q may be announced", a.Address, a.Service)
		}
		return fs
	}
	fs.Add("service", "%q is not declared", a.Service)
	return fs
}

func containsAddr(prefixes []netip.Prefix, addr netip.Addr) bool {
	return slices.ContainsFunc(prefixes, func(p netip.Prefix) bool { return p.Contains(addr.Unmap()) })
}

// sameEndpoint reports whether b says nothing that the other instances must
// know. Load reports are not told on.
func sameEndpoint(a, b keel.Announcement) bool {
	return a.Address == b.Address && a.Slots == b.Slots && a.Incarnation == b.Incarnation &&
		a.State == b.State && a.TTL == b.TTL && a.Site == b.Site && maps.Equal(a.Labels, b.Labels)
}

// Tick drops endpoints of this registrar that have not renewed, and the sets of
// registrars that are long dead. It returns the endpoints that were dropped;
// the other instances must be told if there are any.
func (d *Directory) Tick(now time.Time, live func(keel.InstanceName) bool) []keel.EndpointID {
	var dropped []keel.EndpointID
	for id, rec := range d.own {
		if rec.machine.State() == stateGone {
			if now.Sub(rec.heard) > goneRetention {
				delete(d.own, id)
			}
			continue
		}
		if now.Sub(rec.heard) <= rec.announcement.TTL.Std() {
			continue
		}
		if _, err := rec.machine.Fire(eventExpire); err == nil {
			dropped = append(dropped, id)
		}
	}
	if len(dropped) > 0 {
		d.seq++
	}
	d.tickSets(now, live)
	return dropped
}

func (d *Directory) tickSets(now time.Time, live func(keel.InstanceName) bool) {
	for name := range d.sets {
		if live(name) {
			delete(d.deadSince, name)
			continue
		}
		since, ok := d.deadSince[name]
		if !ok {
			d.deadSince[name] = now
			continue
		}
		if now.Sub(since) > keel.MaxAnnounceTTL.Std() {
			delete(d.sets, name)
			delete(d.deadSince, name)
		}
	}
}

// Own returns the set of this registrar. A brief set has no records.
func (d *Directory) Own(now time.Time, brief bool) Set {
	s := Set{Registrar: d.cfg.Self, Incarnation: d.cfg.Incarnation, Seq: d.seq, Brief: brief}
	if brief {
		s.Sum = d.sum()
		return s
	}
	for _, rec := range d.own {
		if rec.machine.State() == stateGone {
			continue
		}
		s.Records = append(s.Records, Record{Announcement: rec.announcement, Age: max(0, now.Sub(rec.heard))})
	}
	slices.SortFunc(s.Records, func(a, b Record) int {
		return strings.Compare(a.Announcement.ID().String(), b.Announcement.ID().String())
	})
	return s
}

// Numbers returns the numbers of all sets that are known, this one's included,
// in the order of the registrars' names. Registrars that never had an endpoint
// are left out.
func (d *Directory) Numbers() []SetNumber {
	own := SetNumber{Registrar: d.cfg.Self, Incarnation: d.cfg.Incarnation, Seq: d.seq}
	all := []SetNumber{own}
	for name, s := range d.sets {
		if _, dead := d.deadSince[name]; !dead {
			all = append(all, s.number())
		}
	}
	all = slices.DeleteFunc(all, func(n SetNumber) bool { return n.Seq == 0 })
	slices.SortFunc(all, func(a, b SetNumber) int { return strings.Compare(string(a.Registrar), string(b.Registrar)) })
	return all
}

func (d *Directory) sum() uint64 {
	h := xxh3.New()
	for _, n := range d.Numbers() {
		_, _ = fmt.Fprintf(h, "%s %d %d\n", n.Registrar, n.Incarnation, n.Seq) // a hash never fails to write
	}
	return h.Sum64()
}

func (s *Set) number() SetNumber {
	return SetNumber{Registrar: s.Registrar, Incarnation: s.Incarnation, Seq: s.Seq}
}

// Merge takes the set of another registrar. It reports whether the sender of a
// brief set has other sets than this instance, so that their numbers must be
// asked for.
func (d *Directory) Merge(now time.Time, s Set) (ask bool) {
	if s.Brief {
		return s.Sum != d.sum()
	}
	d.put(now, s)
	return false
}

// Missing returns the registrars whose sets are newer than those here.
func (d *Directory) Missing(numbers []SetNumber) []keel.InstanceName {
	var out []keel.InstanceName
	for _, n := range numbers {
		if d.newer(n) {
			out = append(out, n.Registrar)
		}
	}
	return out
}

func (d *Directory) put(now time.Time, s Set) {
	old, known := d.sets[s.Registrar]
	n := s.number()
	if s.Registrar == d.cfg.Self || known && n != old.number() && !d.newer(n) {
		return
	}
	s.received = now
	d.sets[s.Registrar] = s
}

// newer reports whether the number belongs to a newer set than the one here.
func (d *Directory) newer(n SetNumber) bool {
	if n.Registrar == d.cfg.Self {
		return false
	}
	old, known := d.sets[n.Registrar]
	if !known || n.Incarnation != old.Incarnation {
		return !known || n.Incarnation > old.Incarnation
	}
	return n.Seq > old.Seq
}

// Entries returns the merged view, in the order of the endpoints' names. Of
// several records of one endpoint the highest incarnation wins, then the one
// that is leaving, then the one heard last. Records of a dead registrar count
// until their TTL has passed.
func (d *Directory) Entries(now time.Time) []Entry {
	merged := make(map[keel.EndpointID]Entry, len(d.own))
	for id, rec := range d.own {
		if rec.machine.State() == stateGone {
			continue
		}
		merged[id] = Entry{Announcement: rec.announcement, Registrar: d.cfg.Self, Heard: rec.heard}
	}
	for name, s := range d.sets {
		for _, rec := range s.Records {
			e := Entry{Announcement: rec.Announcement, Registrar: name, Heard: s.received.Add(-rec.Age)}
			if since, dead := d.deadSince[name]; dead && now.Sub(since) > rec.Announcement.TTL.Std() {
				continue
			}
			id := rec.Announcement.ID()
			if old, ok := merged[id]; !ok || supersedes(e, old) {
				merged[id] = e
			}
		}
	}
	out := slices.Collect(maps.Values(merged))
	slices.SortFunc(out, func(a, b Entry) int {
		return strings.Compare(a.Announcement.ID().String(), b.Announcement.ID().String())
	})
	return out
}

func supersedes(a, b Entry) bool {
	x, y := &a.Announcement, &b.Announcement
	if x.Incarnation != y.Incarnation {
		return x.Incarnation > y.Incarnation
	}
	if x.State != y.State {
		return x.State == keel.EndpointLeaving
	}
	return a.Heard.After(b.Heard)
}
