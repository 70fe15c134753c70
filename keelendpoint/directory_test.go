package keelendpoint_test

import (
	"net/netip"
	"testing"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelendpoint"
	"github.com/matryer/is"
)

var start = time.Unix(1_000_000, 0)

func newDirectory(self keel.InstanceName) *keelendpoint.Directory {
	services := []keel.Service{{Name: "s", AnnounceFrom: []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")}}}
	return keelendpoint.New(keelendpoint.Config{Self: self, Incarnation: 1, Services: func() []keel.Service { return services }})
}

func announcement(edit func(*keel.Announcement)) keel.Announcement {
	a := keel.Announcement{
		Service: "s", Name: "e", Address: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 3, Incarnation: 5,
		State: keel.EndpointServing, TTL: keel.Duration(3 * time.Second),
	}
	if edit != nil {
		edit(&a)
	}
	return a
}

func TestAnnounce(t *testing.T) {
	tests := []struct {
		name    string
		edit    func(*keel.Announcement)
		field   string
		changed bool
	}{
		{"same again", nil, "", false},
		{"more slots", func(a *keel.Announcement) { a.Slots = 4 }, "", true},
		{"leaving", func(a *keel.Announcement) { a.State = keel.EndpointLeaving }, "", true},
		{"restarted", func(a *keel.Announcement) { a.Incarnation = 6 }, "", true},
		{"old incarnation", func(a *keel.Announcement) { a.Incarnation = 4 }, "incarnation", false},
		{"unknown service", func(a *keel.Announcement) { a.Service = "x" }, "service", false},
		{"outside the prefixes", func(a *keel.Announcement) { a.Address = netip.MustParseAddrPort("11.0.0.1:80") }, "address", false},
		{"endless", func(a *keel.Announcement) { a.TTL = keel.Duration(time.Hour) }, "ttl", false},
		{"no slots", func(a *keel.Announcement) { a.Slots = 0 }, "slots", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := newDirectory("a")
			_, fs := d.Announce(start, announcement(nil))
			is.Equal(len(fs), 0)
			changed, fs := d.Announce(start.Add(time.Second), announcement(tt.edit))
			is.Equal(changed, tt.changed)
			if tt.field != "" {
				is.Equal(fs[0].Field, tt.field)
			}
		})
	}
}

// TestLateRenewal checks that a renewal does not revert the leave of an
// endpoint, and that an endpoint expires after its TTL.
func TestLateRenewal(t *testing.T) {
	is := is.New(t)
	d := newDirectory("a")
	_, _ = d.Announce(start, announcement(func(a *keel.Announcement) { a.State = keel.EndpointLeaving }))
	_, _ = d.Announce(start, announcement(nil)) // arrives after the leave
	is.Equal(d.Entries(start)[0].Announcement.State, keel.EndpointLeaving)
	live := func(keel.InstanceName) bool { return true }
	is.Equal(len(d.Expire(start.Add(3*time.Second), live)), 0)
	is.Equal(len(d.Expire(start.Add(3*time.Second+1), live)), 1)
	is.Equal(len(d.Entries(start.Add(4*time.Second))), 0)
}

// TestReturnAfterExpiry has an endpoint whose announcements pause for longer than its TTL.
// When it announces itself again, unchanged, other instances must get it back as well.
func TestReturnAfterExpiry(t *testing.T) {
	is := is.New(t)
	a, b := newDirectory("a"), newDirectory("b")
	live := func(keel.InstanceName) bool { return true }
	_, _ = a.Announce(start, announcement(nil))
	later := start.Add(4 * time.Second)
	is.Equal(len(a.Expire(later, live)), 1)
	b.Merge(later, a.OwnSet(later, false))
	is.Equal(len(b.Entries(later)), 0)
	changed, fs := a.Announce(later, announcement(nil))
	is.Equal(len(fs), 0)
	is.True(changed)
	is.True(b.Merge(later, a.OwnSet(later, true))) // a summary shows the change
	b.Merge(later, a.OwnSet(later, false))
	is.Equal(len(b.Entries(later)), 1)
}

// TestRenewalAfterLeave has an announcement that was delayed until its endpoint had left
// and expired. The endpoint must stay out until its next incarnation.
func TestRenewalAfterLeave(t *testing.T) {
	leaving := announcement(func(a *keel.Announcement) { a.State = keel.EndpointLeaving })
	for name, announcements := range map[string][]keel.Announcement{
		"left before it expired": {leaving},
		"left after it expired":  {announcement(nil), leaving},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newDirectory("a")
			now := start
			for _, a := range announcements {
				_, _ = d.Announce(now, a)
				now = now.Add(4 * time.Second)
				d.Expire(now, func(keel.InstanceName) bool { return true })
			}
			changed, fs := d.Announce(now, announcement(nil))
			is.Equal(len(fs), 0)
			is.True(!changed)
			is.Equal(len(d.Entries(now)), 0)
			changed, fs = d.Announce(now, announcement(func(a *keel.Announcement) { a.Incarnation++ }))
			is.Equal(len(fs), 0)
			is.True(changed)
			is.Equal(len(d.Entries(now)), 1)
		})
	}
}

// TestRepair checks that the loss of a set is detected through the summary and
// repaired, and that a late older set is ignored.
func TestRepair(t *testing.T) {
	is := is.New(t)
	a, b, c := newDirectory("a"), newDirectory("b"), newDirectory("c")
	is.True(!b.Merge(start, a.OwnSet(start, true))) // no endpoints yet
	_, _ = a.Announce(start, announcement(nil))
	is.True(b.Merge(start, a.OwnSet(start, true)))
	is.Equal(b.Outdated(a.Versions()), []keel.InstanceName{"a"})
	b.Merge(start, a.OwnSet(start, false))
	is.True(!b.Merge(start, a.OwnSet(start, true)))
	is.Equal(len(b.Entries(start)), 1)
	is.True(c.Merge(start, b.OwnSet(start, true))) // detected also through a third instance
	old := a.OwnSet(start, false)
	_, _ = a.Announce(start, announcement(func(a *keel.Announcement) { a.State = keel.EndpointLeaving }))
	b.Merge(start, a.OwnSet(start, false))
	b.Merge(start, old) // arrives late
	is.Equal(b.Entries(start)[0].Announcement.State, keel.EndpointLeaving)
}

// TestDeadRegistrar checks that the endpoints of a dead registrar stay in the
// view for their TTL.
func TestDeadRegistrar(t *testing.T) {
	is := is.New(t)
	a, b := newDirectory("a"), newDirectory("b")
	_, _ = a.Announce(start, announcement(nil))
	b.Merge(start, a.OwnSet(start, false))
	dead := func(keel.InstanceName) bool { return false }
	b.Expire(start, dead)
	is.Equal(len(b.Entries(start.Add(3*time.Second))), 1)
	is.Equal(len(b.Entries(start.Add(3*time.Second+1))), 0)
}

func FuzzSet(f *testing.F) {
	d := newDirectory("a")
	_, _ = d.Announce(start, announcement(nil))
	set := d.OwnSet(start, false)
	seed, err := keel.EncodeCBOR(&set)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(_ *testing.T, data []byte) {
		var s keelendpoint.Set
		if keel.DecodeCBOR(data, &s) == nil {
			d := newDirectory("b")
			d.Merge(start, s)
			d.Outdated(s.Versions)
			d.Entries(start)
		}
	})
}
