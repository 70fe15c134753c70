// Package keelendpoint maintains the directory of the endpoints of one failure
// domain.
//
// An endpoint announces itself to any instance of its failure domain, which
// becomes its registrar. On every change a registrar sends its whole set of
// endpoints to the other instances of the domain. Once a second each instance
// sends a few others a hash of the versions of all sets that it has; an
// instance whose hash differs fetches the sets that it missed. [Directory] is
// the deterministic core, [Service] exchanges sets with other instances, and
// the HTTP server of [NewApp] accepts announcements.
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

// States and events of the state machine in state.json.
const (
	stateServing keelchart.State = "serving"
	stateLeaving keelchart.State = "leaving"
	// stateGone is entered without a leave, so that the endpoint may return.
	stateGone keelchart.State = "gone"
	// stateLeft is final for the incarnation.
	stateLeft     keelchart.State = "left"
	eventAnnounce keelchart.Event = "announce"
	eventLeave    keelchart.Event = "leave"
	eventExpire   keelchart.Event = "expire"
)

// goneRetention is how long the incarnation number of an expired endpoint is
// kept, so that a late announcement of an earlier incarnation is refused and
// does not bring the endpoint back.
const goneRetention = 10 * time.Minute

// Config configures a [Directory].
type Config struct {
	// Self is the name of this instance, Incarnation its incarnation number,
	// which must be higher after each start: other instances ignore sets of
	// lower incarnations.
	Self        keel.InstanceName
	Incarnation uint64
	// Services returns the declared services.
	Services func() []keel.Service
}

// Directory holds the endpoints of one failure domain from the sets that one
// instance has. It is not safe for use by several goroutines.
type Directory struct {
	cfg  Config
	own  map[keel.EndpointID]*ownRecord
	seq  uint64
	sets map[keel.InstanceName]Set
	// deadSince holds, per registrar that is not live, when it was first seen
	// as such.
	deadSince map[keel.InstanceName]time.Time
}

// ownRecord is an endpoint of which this instance is the registrar.
type ownRecord struct {
	announcement keel.Announcement
	machine      keelchart.Machine
	renewedAt    time.Time
	since        time.Time
}

// listed reports whether the endpoint belongs to the set of this registrar. Others are
// kept for their incarnation only.
func (r *ownRecord) listed() bool {
	state := r.machine.State()
	return state != stateGone && state != stateLeft
}

// Record is one endpoint in the set of its registrar.
type Record struct {
	Announcement keel.Announcement `cbor:"1,keyasint" json:"announcement"`
	// Age is the time since the registrar last received an announcement.
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

// Set is the message that registrars exchange. It carries all endpoints of one
// registrar, or, if Summary is set, a hash or a list of set versions.
type Set struct {
	Registrar   keel.InstanceName `cbor:"1,keyasint" json:"registrar"`
	Incarnation uint64            `cbor:"2,keyasint" json:"incarnation"`
	// Seq increases with each change of the set.
	Seq     uint64   `cbor:"3,keyasint" json:"seq"`
	Records []Record `cbor:"4,keyasint,omitempty" json:"records"`
	// Summary is set if the message has no records, only the version of the
	// set.
	Summary bool `cbor:"5,keyasint,omitempty" json:"brief,omitempty"`
	// VersionsHash is, in a summary, a hash of the versions of all sets that
	// the sender has.
	VersionsHash uint64 `cbor:"6,keyasint,omitempty" json:"sum,omitempty"`
	// Versions lists these versions in the answer to a message with
	// AskVersions.
	Versions []SetVersion `cbor:"7,keyasint,omitempty" json:"numbers,omitempty"`
	// AskVersions requests the versions of all sets that the receiver has.
	AskVersions bool      `cbor:"8,keyasint,omitempty" json:"ask_numbers,omitempty"`
	received    time.Time // local time of arrival, not encoded
}

// SetVersion is the version of the set of one registrar.
type SetVersion struct {
	Registrar   keel.InstanceName `cbor:"1,keyasint" json:"registrar"`
	Incarnation uint64            `cbor:"2,keyasint" json:"incarnation"`
	Seq         uint64            `cbor:"3,keyasint" json:"seq"`
}

// maxSetRecords limits the endpoints of one registrar.
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

// Entry is one endpoint in the merged view of all sets.
type Entry struct {
	Announcement keel.Announcement `json:"announcement"`
	Registrar    keel.InstanceName `json:"registrar"`
	// RenewedAt is when the registrar last received an announcement, by the
	// clock of this instance.
	RenewedAt time.Time `json:"heard"`
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

// Announce applies an announcement that an endpoint sent to this instance. It
// returns whether the set changed and must be sent to the other instances, or
// the faults of a refused announcement. An announcement with a lower
// incarnation than the last one is refused.
func (d *Directory) Announce(now time.Time, a keel.Announcement) (changed bool, fs keel.Faults) {
	fs = d.checkAnnouncement(&a)
	if len(fs) > 0 {
		return false, fs
	}
	rec := d.own[a.ID()]
	if rec == nil {
		rec = &ownRecord{machine: keelchart.NewMachine(stateChart), since: now}
		d.own[a.ID()] = rec
	}
	if a.Incarnation < rec.announcement.Incarnation {
		fs.Add("incarnation", "is %d, but endpoint %s has already announced %d", a.Incarnation, a.ID(), rec.announcement.Incarnation)
		return false, fs
	}
	if a.Incarnation > rec.announcement.Incarnation {
		rec.machine = keelchart.NewMachine(stateChart)
	}
	wasListed := rec.listed()
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
	changed = rec.listed() != wasListed || rec.listed() && !sameEndpoint(rec.announcement, a)
	rec.announcement, rec.renewedAt = a, now
	if changed {
		d.seq++
	}
	return changed, nil
}

// checkAnnouncement reports the faults of an announcement, including an
// undeclared service and an address that may not announce it.
func (d *Directory) checkAnnouncement(a *keel.Announcement) keel.Faults {
	fs := a.Check()
	if len(fs) > 0 {
		return fs
	}
	for _, s := range d.cfg.Services() {
		if s.Name != a.Service {
			continue
		}
		if !containsAddr(s.AnnounceFrom, a.Address.Addr()) {
			fs.Add("address", "%s is outside the prefixes from which service %q may be announced", a.Address, a.Service)
		}
		return fs
	}
	fs.Add("service", "%q is not declared", a.Service)
	return fs
}

func containsAddr(prefixes []netip.Prefix, addr netip.Addr) bool {
	return slices.ContainsFunc(prefixes, func(p netip.Prefix) bool { return p.Contains(addr.Unmap()) })
}

// sameEndpoint reports whether b changes nothing that other instances need.
// Load reports are not forwarded.
func sameEndpoint(a, b keel.Announcement) bool {
	return a.Address == b.Address && a.Slots == b.Slots && a.Incarnation == b.Incarnation &&
		a.State == b.State && a.TTL == b.TTL && a.Site == b.Site && maps.Equal(a.Labels, b.Labels)
}

// Expire removes the endpoints of this registrar that have not renewed within
// their TTL, and the sets of registrars that have not been live for
// [keel.MaxAnnounceTTL]. It returns the endpoints that were removed; if there
// are any, the set must be sent to the other instances.
func (d *Directory) Expire(now time.Time, live func(keel.InstanceName) bool) []keel.EndpointID {
	var expired []keel.EndpointID
	for id, rec := range d.own {
		if !rec.listed() {
			if now.Sub(rec.renewedAt) > goneRetention {
				delete(d.own, id)
			}
			continue
		}
		if now.Sub(rec.renewedAt) <= rec.announcement.TTL.Std() {
			continue
		}
		if _, err := rec.machine.Fire(eventExpire); err == nil {
			expired = append(expired, id)
		}
	}
	if len(expired) > 0 {
		d.seq++
	}
	d.expireSets(now, live)
	return expired
}

func (d *Directory) expireSets(now time.Time, live func(keel.InstanceName) bool) {
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

// OwnSet returns the set of this registrar. A summary has no records.
func (d *Directory) OwnSet(now time.Time, summary bool) Set {
	s := Set{Registrar: d.cfg.Self, Incarnation: d.cfg.Incarnation, Seq: d.seq, Summary: summary}
	if summary {
		s.VersionsHash = d.versionsHash()
		return s
	}
	for _, rec := range d.own {
		if !rec.listed() {
			continue
		}
		s.Records = append(s.Records, Record{Announcement: rec.announcement, Age: max(0, now.Sub(rec.renewedAt))})
	}
	slices.SortFunc(s.Records, func(a, b Record) int {
		return strings.Compare(a.Announcement.ID().String(), b.Announcement.ID().String())
	})
	return s
}

// Versions returns the versions of all sets of live registrars, including this
// one, sorted by registrar. Registrars that never had an endpoint are left out.
func (d *Directory) Versions() []SetVersion {
	own := SetVersion{Registrar: d.cfg.Self, Incarnation: d.cfg.Incarnation, Seq: d.seq}
	all := []SetVersion{own}
	for name, s := range d.sets {
		if _, dead := d.deadSince[name]; !dead {
			all = append(all, s.version())
		}
	}
	all = slices.DeleteFunc(all, func(n SetVersion) bool { return n.Seq == 0 })
	slices.SortFunc(all, func(a, b SetVersion) int { return strings.Compare(string(a.Registrar), string(b.Registrar)) })
	return all
}

func (d *Directory) versionsHash() uint64 {
	h := xxh3.New()
	for _, n := range d.Versions() {
		_, _ = fmt.Fprintf(h, "%s %d %d\n", n.Registrar, n.Incarnation, n.Seq) // a hash never fails to write
	}
	return h.Sum64()
}

func (s *Set) version() SetVersion {
	return SetVersion{Registrar: s.Registrar, Incarnation: s.Incarnation, Seq: s.Seq}
}

// Merge stores the set of another registrar. For a summary it stores nothing
// and reports whether the sender has other set versions than this instance,
// which must then request them.
func (d *Directory) Merge(now time.Time, s Set) (differs bool) {
	if s.Summary {
		return s.VersionsHash != d.versionsHash()
	}
	d.store(now, s)
	return false
}

// Outdated returns the registrars of which versions lists a newer set than this
// directory has.
func (d *Directory) Outdated(versions []SetVersion) []keel.InstanceName {
	var out []keel.InstanceName
	for _, n := range versions {
		if d.newer(n) {
			out = append(out, n.Registrar)
		}
	}
	return out
}

// store replaces the set of a registrar unless the one in the directory is
// newer.
func (d *Directory) store(now time.Time, s Set) {
	old, known := d.sets[s.Registrar]
	n := s.version()
	if s.Registrar == d.cfg.Self || known && n != old.version() && !d.newer(n) {
		return
	}
	s.received = now
	d.sets[s.Registrar] = s
}

// newer reports whether n is a newer version than that of the stored set.
func (d *Directory) newer(n SetVersion) bool {
	if n.Registrar == d.cfg.Self {
		return false
	}
	old, known := d.sets[n.Registrar]
	if !known || n.Incarnation != old.Incarnation {
		return !known || n.Incarnation > old.Incarnation
	}
	return n.Seq > old.Seq
}

// Entries returns the merged view, sorted by endpoint ID. Of several records of
// one endpoint the one with the highest incarnation wins, then one that is
// leaving, then the one renewed last. Records of a dead registrar are valid for
// their TTL.
func (d *Directory) Entries(now time.Time) []Entry {
	merged := make(map[keel.EndpointID]Entry, len(d.own))
	for id, rec := range d.own {
		if !rec.listed() {
			continue
		}
		merged[id] = Entry{Announcement: rec.announcement, Registrar: d.cfg.Self, RenewedAt: rec.renewedAt}
	}
	for name, s := range d.sets {
		for _, rec := range s.Records {
			e := Entry{Announcement: rec.Announcement, Registrar: name, RenewedAt: s.received.Add(-rec.Age)}
			if deadSince, dead := d.deadSince[name]; dead && now.Sub(deadSince) > rec.Announcement.TTL.Std() {
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

// supersedes reports whether record a replaces record b of the same endpoint.
func supersedes(a, b Entry) bool {
	x, y := &a.Announcement, &b.Announcement
	if x.Incarnation != y.Incarnation {
		return x.Incarnation > y.Incarnation
	}
	if x.State != y.State {
		return x.State == keel.EndpointLeaving
	}
	return a.RenewedAt.After(b.RenewedAt)
}
