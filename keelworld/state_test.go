package keelworld_test

import (
	"bytes"
	"fmt"
	"net/netip"
	"testing"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelworld"
	"github.com/matryer/is"
)

func service(name string, v keelworld.Version) keelworld.Item {
	return keelworld.Item{
		ItemKey: keelworld.ItemKey{Kind: keelworld.ItemService, Name: name}, Version: v,
		Service: &keelworld.Service{MaxConns: 10}, Source: []byte(name),
	}
}

func route(name, prefix, to string, v keelworld.Version) keelworld.Item {
	return keelworld.Item{
		ItemKey: keelworld.ItemKey{Kind: keelworld.ItemRoute, Name: name}, Version: v,
		Route: &keelworld.Route{
			Host: "h", Prefix: prefix, Timeout: time.Second, Attempts: 1,
			Shares: []keelworld.Share{{Service: keel.ServiceName(to), Weight: 1}},
		},
		Source: []byte(name + prefix + to),
	}
}

func removed(it keelworld.Item, v keelworld.Version) keelworld.Item {
	return keelworld.Item{ItemKey: it.ItemKey, Version: v, Removed: true}
}

func patch(items ...keelworld.Item) *keelworld.Command {
	return &keelworld.Command{Patch: &keelworld.Patch{Items: items}}
}

func TestPatch(t *testing.T) {
	first := patch(service("a", 1), service("b", 1), route("r", "/x/", "a", 5))
	tests := []struct {
		name              string
		then              []*keelworld.Command
		refused, conflict bool   // of the last command
		service           string // of the route, "" if there is none
	}{
		{"resent", []*keelworld.Command{first}, false, false, "a"},
		{"higher version", []*keelworld.Command{patch(route("r", "/x/", "b", 6))}, false, false, "b"},
		{"older version is accepted and ignored", []*keelworld.Command{patch(route("r", "/x/", "b", 4))}, false, false, "a"},
		{"same version, other content", []*keelworld.Command{patch(route("r", "/x/", "b", 5))}, true, true, "a"},
		{"removed", []*keelworld.Command{patch(removed(route("r", "", "", 0), 6))}, false, false, ""},
		{"removed, then an older change", []*keelworld.Command{patch(removed(route("r", "", "", 0), 6)), patch(route("r", "/x/", "b", 5))}, false, false, ""},
		{"removed, then a newer change", []*keelworld.Command{patch(removed(route("r", "", "", 0), 6)), patch(route("r", "/x/", "b", 7))}, false, false, "b"},
		{"patch with an unknown service is refused as a whole", []*keelworld.Command{patch(route("r", "/x/", "b", 6), route("q", "/y/", "c", 1))}, true, false, "a"},
		{"two routes with the same host and prefix", []*keelworld.Command{patch(route("q", "/x/", "b", 9))}, true, false, "a"},
		{"host and prefix of a removed route", []*keelworld.Command{patch(removed(route("r", "", "", 0), 6), route("q", "/x/", "b", 1))}, false, false, "b"},
		{"service in use removed", []*keelworld.Command{patch(removed(service("a", 0), 2))}, true, false, "a"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := keelworld.NewState()
			is.Equal(len(s.Apply(1, first).Faults), 0)
			var r keelworld.Result
			for i, c := range tt.then {
				r = s.Apply(uint64(i+2), c)
			}
			is.Equal(len(r.Faults) > 0, tt.refused)
			is.Equal(r.Conflict, tt.conflict)
			got := ""
			if _, rt := s.View().Route("h:80", "/x/1"); rt != nil {
				got = string(rt.Shares[0].Service)
			}
			is.Equal(got, tt.service)
		})
	}
}

func TestItemCheck(t *testing.T) {
	good := route("r", "/x/", "a", 1)
	tests := []struct {
		name string
		edit func(r *keelworld.Route)
	}{
		{"no timeout", func(r *keelworld.Route) { r.Timeout = 0 }},
		{"long timeout", func(r *keelworld.Route) { r.Timeout = 11 * time.Minute }},
		{"no attempts", func(r *keelworld.Route) { r.Attempts = 0 }},
		{"negative weight", func(r *keelworld.Route) { r.Shares = []keelworld.Share{{"a", -1}, {"b", 3}} }},
		{"no service", func(r *keelworld.Route) { r.Shares = nil }},
		{"prefix without slash", func(r *keelworld.Route) { r.Prefix = "/x" }},
		{"no host", func(r *keelworld.Route) { r.Host = "" }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(len(good.Check()), 0)
			it, rt := good, *good.Route
			tt.edit(&rt)
			it.Route = &rt
			is.True(len(it.Check()) > 0)
			s := keelworld.NewState()
			s.Apply(1, patch(service("a", 1), service("b", 1), good))
			it.Version = 2
			is.True(len(s.Apply(2, patch(it)).Faults) > 0) // a refused patch is not in force
			_, held := s.View().Route("h", "/x/1")
			is.Equal(held, good.Route)
		})
	}
}

func endpoint(id, addr string, incarnation, seq int64, state keelworld.EndpointState) keelworld.Endpoint {
	return keelworld.Endpoint{
		ID: id, Incarnation: incarnation, Sequence: seq, State: state, Service: "a", Domain: "z",
		Address: netip.MustParseAddrPort(addr), Slots: 2,
	}
}

func TestEndpoints(t *testing.T) {
	const at, other = "10.0.0.1:80", "10.0.0.2:80"
	serving, draining, left, silent := keelworld.EndpointServing, keelworld.EndpointDraining, keelworld.EndpointLeft, keelworld.EndpointSilent
	tests := []struct {
		name          string
		announcements []keelworld.Endpoint
		want          map[string]keelworld.EndpointState // in the view
	}{
		{"announced", []keelworld.Endpoint{endpoint("e", at, 1, 1, serving)}, map[string]keelworld.EndpointState{"e": serving}},
		{"late announcement after draining", []keelworld.Endpoint{endpoint("e", at, 1, 1, serving), endpoint("e", at, 1, 3, draining), endpoint("e", at, 1, 2, serving)}, map[string]keelworld.EndpointState{"e": draining}},
		{"late announcement after leaving", []keelworld.Endpoint{endpoint("e", at, 1, 1, serving), {ID: "e", Incarnation: 1, State: left}, endpoint("e", at, 1, 9, serving)}, nil},
		{"new incarnation with the same id", []keelworld.Endpoint{endpoint("e", at, 1, 9, draining), {ID: "e", Incarnation: 1, State: left}, endpoint("e", at, 2, 1, serving)}, map[string]keelworld.EndpointState{"e": serving}},
		{"old incarnation after the new one", []keelworld.Endpoint{endpoint("e", at, 2, 1, serving), endpoint("e", at, 1, 50, draining)}, map[string]keelworld.EndpointState{"e": serving}},
		{"address reused by another endpoint", []keelworld.Endpoint{endpoint("e", at, 1, 9, serving), endpoint("f", at, 5, 1, serving)}, map[string]keelworld.EndpointState{"f": serving}},
		{"late announcement of the former endpoint of a reused address", []keelworld.Endpoint{endpoint("f", at, 5, 1, serving), endpoint("e", at, 1, 9, serving)}, map[string]keelworld.EndpointState{"f": serving}},
		{"silent", []keelworld.Endpoint{endpoint("e", at, 1, 1, serving), endpoint("f", other, 1, 1, serving), endpoint("e", at, 1, 1, silent)}, map[string]keelworld.EndpointState{"f": serving}},
		{"silent endpoint at a reused address", []keelworld.Endpoint{endpoint("e", at, 1, 9, serving), endpoint("f", at, 5, 1, serving), endpoint("f", at, 5, 1, silent)}, nil},
		{"announcement after silence", []keelworld.Endpoint{endpoint("e", at, 1, 1, serving), endpoint("e", at, 1, 1, silent), endpoint("e", at, 1, 2, serving)}, map[string]keelworld.EndpointState{"e": serving}},
		{"silence of an earlier incarnation", []keelworld.Endpoint{endpoint("e", at, 1, 1, serving), endpoint("e", at, 2, 1, serving), endpoint("e", at, 1, 1, silent)}, map[string]keelworld.EndpointState{"e": serving}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := keelworld.NewState()
			for i := range tt.announcements {
				s.Apply(uint64(i+1), &keelworld.Command{Endpoints: tt.announcements[i : i+1]})
			}
			got := map[string]keelworld.EndpointState{}
			for _, e := range s.View().Endpoints["a"] {
				got[e.ID] = e.State
			}
			is.Equal(len(got), len(tt.want))
			for id, state := range tt.want {
				is.Equal(got[id], state)
			}
		})
	}
}

func TestSnapshot(t *testing.T) {
	is := is.New(t)
	s := keelworld.NewState()
	s.Apply(1, patch(service("a", 1), route("r", "/x/", "a", 5), removed(route("q", "", "", 0), 3)))
	s.Apply(2, &keelworld.Command{Drain: &keelworld.Drain{Domain: "z", On: true}})
	s.Apply(3, &keelworld.Command{Endpoints: []keelworld.Endpoint{endpoint("e", "10.0.0.1:80", 1, 1, keelworld.EndpointServing)}})
	s.Apply(4, &keelworld.Command{Nodes: []keelworld.Node{{Name: "10.0.0.9", Incarnation: 7, Domain: "z", Region: "g", Caller: netip.MustParseAddrPort("10.0.0.9:1"), Up: true}}})
	var b bytes.Buffer
	is.NoErr(s.Snapshot().Write(&b))
	sn, err := keelworld.ReadSnapshot(&b)
	is.NoErr(err)
	r := keelworld.NewState()
	r.Restore(sn)
	is.Equal(r.Index(), uint64(4))
	is.Equal(r.Snapshot(), s.Snapshot())
	is.Equal(r.View(), s.View())
	// A removed item stays removed after a restart.
	is.Equal(len(r.Apply(5, patch(route("q", "/y/", "a", 2))).Faults), 0)
	_, rt := r.View().Route("h", "/y/1")
	is.Equal(rt, (*keelworld.Route)(nil))
}

// An order is applied after later ones: its caller had given it up and sent it, and others, to
// another voter. It must change nothing, unless it asks for what is the case.
func TestOutdatedOrders(t *testing.T) {
	drain := func(asOf uint64, on bool) *keelworld.Command {
		return &keelworld.Command{AsOf: asOf, Drain: &keelworld.Drain{Domain: "z", On: on}}
	}
	leave := func(asOf uint64) *keelworld.Command {
		return &keelworld.Command{Endpoints: []keelworld.Endpoint{{ID: "e", State: keelworld.EndpointLeft, AsOf: asOf}}}
	}
	start := func(incarnation int64) *keelworld.Command {
		return &keelworld.Command{Endpoints: []keelworld.Endpoint{endpoint("e", "10.0.0.1:80", incarnation, 1, keelworld.EndpointServing)}}
	}
	second := func(asOf uint64) *keelworld.Command { return asOfPatch(asOf, route("r2", "/x/", "a", 2)) }
	tests := []struct {
		name     string
		commands []*keelworld.Command // at the indexes from 1 on
		outdated bool                 // the last one
	}{
		{"drain taken back twice", []*keelworld.Command{drain(0, true), drain(1, false), drain(2, true), drain(1, false)}, true},
		{"drain started twice", []*keelworld.Command{drain(0, true), drain(1, false), drain(0, true)}, true},
		{"copy of a drain in force", []*keelworld.Command{drain(0, true), drain(0, true)}, false},
		{"order after a repeated one", []*keelworld.Command{drain(0, true), drain(1, true), drain(1, false)}, true},
		{"drain of now", []*keelworld.Command{drain(0, true), drain(1, false), drain(2, true)}, false},
		{"drain after other entries", []*keelworld.Command{drain(0, true), start(1), start(2), drain(1, false)}, false},
		{
			"patch that was refused and is valid now",
			[]*keelworld.Command{patch(service("a", 1), route("r1", "/x/", "a", 1)), second(1), asOfPatch(2, removed(route("r1", "", "", 0), 2)), second(1)},
			true,
		},
		{
			"refused patch that is sent anew",
			[]*keelworld.Command{patch(service("a", 1), route("r1", "/x/", "a", 1)), second(1), asOfPatch(2, removed(route("r1", "", "", 0), 2)), second(3)},
			false,
		},
		{"patch beside a valid one", []*keelworld.Command{patch(service("a", 1)), asOfPatch(1, service("b", 1)), asOfPatch(1, service("c", 1))}, false},
		{"leave of an earlier incarnation", []*keelworld.Command{start(1), leave(1), start(2), leave(1)}, true},
		{"leave of an incarnation that has left", []*keelworld.Command{start(1), leave(1), leave(0)}, false},
		{"leave of the incarnation", []*keelworld.Command{start(1), leave(1), start(2), leave(3)}, false},
	}
	for _, tt := range tests {
		for _, snapshot := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, snapshot %v", tt.name, snapshot), func(t *testing.T) {
				is := is.New(t)
				s := keelworld.NewState()
				last := len(tt.commands) - 1
				for i, c := range tt.commands[:last] {
					s.Apply(uint64(i+1), c)
				}
				if snapshot { // a voter that restarts decides like the others
					restored := keelworld.NewState()
					restored.Restore(s.Snapshot())
					s = restored
				}
				before := s.View()
				r := s.Apply(uint64(last+1), tt.commands[last])
				is.Equal(r.Outdated || len(r.OutdatedLeaves) > 0, tt.outdated)
				if tt.outdated {
					before.Index++
					is.Equal(s.View(), before)
				}
			})
		}
	}
}

func asOfPatch(asOf uint64, items ...keelworld.Item) *keelworld.Command {
	c := patch(items...)
	c.AsOf = asOf
	return c
}

func TestRoute(t *testing.T) {
	s := keelworld.NewState()
	s.Apply(1, patch(service("a", 1), route("short", "/x/", "a", 1), route("long", "/x/y/", "a", 1)))
	v := s.View()
	tests := []struct{ host, path, want string }{
		{"h", "/x/1", "short"},
		{"h:8080", "/x/y/1", "long"},
		{"H", "/x/", "short"},
		{"h", "/x", ""},
		{"h", "/xx/", ""},
		{"g", "/x/1", ""},
	}
	for _, tt := range tests {
		is := is.New(t)
		got, _ := v.Route(tt.host, tt.path)
		is.Equal(got, tt.want)
	}
}
