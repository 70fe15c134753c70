package keelinstance_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelendpoint"
	"github.com/greengagekeel/greengagekeel/keelstandin"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
)

const announcement = `{"service":"pages","name":"p-9","address":"127.0.0.1:9","site":"s","slots":2,"incarnation":5,"state":"serving",` +
	`"labels":{"role":"spare"},"ttl":"3s","report":{"in_flight":1,"utilisation":0.5}}`

// announcementReplacing returns the announcement with the first occurrence of old
// replaced.
func announcementReplacing(old, replacement string) string {
	if !strings.Contains(announcement, old) {
		panic("the announcement does not contain " + old)
	}
	return strings.Replace(announcement, old, replacement, 1)
}

// badAnnouncements are refused as announcements and, except for "other state", as
// leaves.
var badAnnouncements = []apiCall{
	{"empty", "POST", "", "", ``, 400, "$", "EOF"},
	{"not JSON", "POST", "", "", `service=pages`, 400, "$", "invalid character"},
	{"array", "POST", "", "", `[]`, 400, "$", "has a JSON array"},
	{"data after", "POST", "", "", announcement + `1`, 400, "$", "data after"},
	{"unknown field", "POST", "", "", announcementReplacing(`"slots":2`, `"slots":2,"slot":2`), 400, "slot", "unknown field"},
	{"unknown service", "POST", "", "", announcementReplacing(`"pages"`, `"ghosts"`), 400, "service", "not declared"},
	{"bad service", "POST", "", "", announcementReplacing(`"pages"`, `"Pages"`), 400, "service", "character"},
	{"no service", "POST", "", "", announcementReplacing(`"service":"pages",`, ``), 400, "service", "must not be empty"},
	{"no name", "POST", "", "", announcementReplacing(`"name":"p-9",`, ``), 400, "name", "must not be empty"},
	{"long name", "POST", "", "", announcementReplacing(`"p-9"`, `"`+strings.Repeat("p", 64)+`"`), 400, "name", "has 64 bytes"},
	{"name is a number", "POST", "", "", announcementReplacing(`"p-9"`, `9`), 400, "name", "has a JSON number"},
	{"address outside the prefixes", "POST", "", "", announcementReplacing(`127.0.0.1:9`, `10.9.9.9:9`), 400, "address", "outside the prefixes"},
	{"IPv6 outside the prefixes", "POST", "", "", announcementReplacing(`127.0.0.1:9`, `[::1]:9`), 400, "address", "outside the prefixes"},
	{"address without port", "POST", "", "", announcementReplacing(`127.0.0.1:9`, `127.0.0.1`), 400, "address", "not an ip:port"},
	{"port 0", "POST", "", "", announcementReplacing(`127.0.0.1:9`, `127.0.0.1:0`), 400, "address", "other than 0"},
	{"host name", "POST", "", "", announcementReplacing(`127.0.0.1:9`, `localhost:9`), 400, "address", "parse"},
	{"unspecified address", "POST", "", "", announcementReplacing(`127.0.0.1:9`, `0.0.0.0:9`), 400, "address", "must be an IP address"},
	{"no address", "POST", "", "", announcementReplacing(`"address":"127.0.0.1:9",`, ``), 400, "address", "must be an IP address"},
	{"bad site", "POST", "", "", announcementReplacing(`"site":"s"`, `"site":"S"`), 400, "site", "character"},
	{"no slots", "POST", "", "", announcementReplacing(`"slots":2`, `"slots":0`), 400, "slots", "must lie between 1 and 10000"},
	{"too many slots", "POST", "", "", announcementReplacing(`"slots":2`, `"slots":10001`), 400, "slots", "must lie between 1 and 10000"},
	{"negative incarnation", "POST", "", "", announcementReplacing(`"incarnation":5`, `"incarnation":-5`), 400, "incarnation", "has a JSON number"},
	{"other state", "POST", "", "", announcementReplacing(`"serving"`, `"tired"`), 400, "state", `is "tired"`},
	{"bad label", "POST", "", "", announcementReplacing(`"role":`, `"Role":`), 400, "labels[Role]", "character"},
	{"long label", "POST", "", "", announcementReplacing(`"spare"`, `"`+strings.Repeat("s", 64)+`"`), 400, "labels[role]", "has 64 bytes"},
	{"no ttl", "POST", "", "", announcementReplacing(`"ttl":"3s",`, ``), 400, "ttl", "must lie between 1s and 1m0s"},
	{"negative ttl", "POST", "", "", announcementReplacing(`"3s"`, `"-3s"`), 400, "ttl", "must lie between 1s and 1m0s"},
	{"short ttl", "POST", "", "", announcementReplacing(`"3s"`, `"999ms"`), 400, "ttl", "must lie between 1s and 1m0s"},
	{"long ttl", "POST", "", "", announcementReplacing(`"3s"`, `"9h"`), 400, "ttl", "must lie between 1s and 1m0s"},
	{"ttl without unit", "POST", "", "", announcementReplacing(`"3s"`, `"3"`), 400, "ttl", "is not a duration"},
	{"ttl is a number", "POST", "", "", announcementReplacing(`"3s"`, `3`), 400, "ttl", "has a JSON number"},
	{"negative load", "POST", "", "", announcementReplacing(`"in_flight":1`, `"in_flight":-1`), 400, "report.in_flight", "must not be negative"},
	{"load above 1", "POST", "", "", announcementReplacing(`0.5`, `1.5`), 400, "report.utilisation", "must lie between"},
	{"oversized", "POST", "", "", announcementReplacing(`"s"`, `"`+strings.Repeat("s", 64<<10)+`"`), 413, "$", "Too Large"},
	{"other method", "GET", "", "", "", 405, "$", "Method Not Allowed"},
}

// expectAnnouncement makes a call to the endpoint port and compares status and
// answer.
func (s *system) expectAnnouncement(t *testing.T, c apiCall) {
	t.Helper()
	is := is.New(t)
	got := exchangeText(t, s.instance.Addresses().Endpoint, c.text())
	is.Equal(got.status, c.status)
	if c.status == http.StatusOK {
		is.Equal(got.body, c.reason)
		return
	}
	var refused struct{ Faults keel.Faults }
	is.NoErr(json.Unmarshal([]byte(got.body), &refused))
	is.Equal(len(refused.Faults), 1)
	is.Equal(refused.Faults[0].Field, c.field)
	checkContains(t, refused.Faults[0].Reason, c.reason)
}

// endpointStates returns the states of the endpoints in the directory of the
// instance, by name.
func (s *system) endpointStates(t *testing.T) map[string]keel.EndpointState {
	t.Helper()
	d, err := s.local.Dump(t.Context(), 0)
	is.New(t).NoErr(err)
	found := map[string]keel.EndpointState{}
	for _, e := range d.Steering.Endpoints {
		found[string(e.Announcement.Name)] = e.Announcement.State
	}
	return found
}

// TestEndpointContract makes valid and invalid calls of every kind to the endpoint
// port.
func TestEndpointContract(t *testing.T) {
	s := newSystem(t)
	for _, path := range []string{keelendpoint.AnnouncePath, keelendpoint.LeavePath} {
		for _, c := range badAnnouncements {
			if path == keelendpoint.LeavePath && c.name == "other state" {
				continue // the state in a leave is ignored
			}
			c.path = path
			t.Run(path+"/"+c.name, func(t *testing.T) { s.expectAnnouncement(t, c) })
		}
	}
	is := is.New(t)
	s.expectAnnouncement(t, apiCall{method: "POST", path: "/v1/endpoints", body: announcement, status: 404, field: "$", reason: "Not Found"})
	is.Equal(s.endpointStates(t), map[string]keel.EndpointState{"p-1": keel.EndpointServing}) // none of them joined
	logged := s.loggedRefusals("endpoint", "field")
	is.Equal(logged["ttl"], 1) // logged once for its cause
	is.Equal(logged["address"], 1)
	s.waitMetrics(t,
		counterLine("announcements_refused", `field="ttl",instance="i-1"`, 12),
		counterLine("announcements_refused", `field="labels",instance="i-1"`, 4),
	)
	announce, leave := keelendpoint.AnnouncePath, keelendpoint.LeavePath
	accepted := `{"renew_within":"3s"}`
	for _, c := range []apiCall{
		{"joins", "POST", announce, "", announcement, 200, "", accepted},
		{"renews", "POST", announce, "", announcement, 200, "", accepted},
		{"renews with other slots", "POST", announce, "", announcementReplacing(`"slots":2`, `"slots":3`), 200, "", accepted},
		{"older incarnation", "POST", announce, "", announcementReplacing(`"incarnation":5`, `"incarnation":4`), 409, "incarnation", "has already announced 5"},
		{"older incarnation leaves", "POST", leave, "", announcementReplacing(`"incarnation":5`, `"incarnation":4`), 409, "incarnation", "has already announced 5"},
		{"leaves", "POST", leave, "", announcement, 200, "", accepted},
		{"leaves again", "POST", leave, "", announcement, 200, "", accepted},
		{"starts again", "POST", announce, "", announcementReplacing(`"incarnation":5`, `"incarnation":6`), 200, "", accepted},
		{"leaves by its state", "POST", announce, "", strings.Replace(announcementReplacing(`"incarnation":5`, `"incarnation":6`), "serving", "leaving", 1), 200, "", accepted},
		{"stays leaving", "POST", announce, "", announcementReplacing(`"incarnation":5`, `"incarnation":6`), 200, "", accepted},
	} {
		t.Run(c.name, func(t *testing.T) { s.expectAnnouncement(t, c) })
	}
	for s.endpointStates(t)["p-9"] != keel.EndpointLeaving {
		is.NoErr(t.Context().Err())
	}
}

// recorder is an endpoint port that accepts and records every announcement.
type recorder struct{ received chan apiCall }

// ServeHTTP implements [http.Handler].
func (r recorder) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, _ := io.ReadAll(req.Body)
	r.received <- apiCall{method: req.Method, path: req.URL.Path, body: string(body), status: http.StatusOK, reason: `{"renew_within":"3s"}`}
	_, _ = io.WriteString(w, `{"renew_within":"3s"}`)
}

// TestStandInAnnounces records the announcements of a stand-in endpoint and sends
// them to an instance, which must accept them.
func TestStandInAnnounces(t *testing.T) {
	is := is.New(t)
	s := newSystem(t)
	r := recorder{received: make(chan apiCall, 100)}
	fake := httptest.NewServer(r)
	defer fake.Close()
	e, err := keelstandin.New(keelstandin.Config{
		Service: "pages", Name: "p-2", Listen: loopback, Log: logrus.StandardLogger(),
		AnnounceTo: []netip.AddrPort{netip.MustParseAddrPort(fake.Listener.Addr().String())},
	})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	var group conc.WaitGroup
	group.Go(func() { _ = e.Run(ctx) })
	defer group.Wait()
	defer cancel()
	joined := <-r.received
	is.Equal(joined.path, keelendpoint.AnnouncePath)
	s.expectAnnouncement(t, joined)
	e.Leave()
	left := <-r.received
	for left.path != keelendpoint.LeavePath {
		left = <-r.received
	}
	s.expectAnnouncement(t, left)
	for s.endpointStates(t)["p-2"] != keel.EndpointLeaving {
		is.NoErr(t.Context().Err())
	}
}

// TestStandInAnswers sends a stand-in endpoint requests as instances send them, and
// checks that its answers meet the contract of endpoints.
func TestStandInAnswers(t *testing.T) {
	s := newSystem(t)
	for _, tt := range []struct{ name, method, target, header, body string }{
		{"fixed length", "GET", "/?bytes=10", "", ""},
		{"no body", "GET", "/", "", ""},
		{"chunks", "GET", "/?bytes=10&chunked=true", "", ""},
		{"upload", "POST", "/?bytes=1", "Content-Length: 3\r\n", "abc"},
		{"chunked upload", "POST", "/?bytes=1", "Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n0\r\n\r\n"},
		{"with a key", "POST", "/", "Idempotency-Key: k\r\nContent-Length: 0\r\n", ""},
		{"faulty", "GET", "/?bytes=x", "", ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nKeel-Request-Id: id-%s\r\n%s\r\n%s", tt.method, tt.target, strings.ReplaceAll(tt.name, " ", "-"), tt.header, tt.body)
			got := exchangeText(t, s.endpoint.Addr(), text)
			// Instances reuse only connections whose answers return the id.
			is.Equal(got.header.Get("Keel-Request-Id"), "id-"+strings.ReplaceAll(tt.name, " ", "-"))
			is.True(got.header.Get("Content-Length") != "" || tt.target == "/?bytes=10&chunked=true")
		})
	}
}
