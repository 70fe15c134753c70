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

const announced = `{"service":"pages","name":"p-9","address":"127.0.0.1:9","site":"s","slots":2,"incarnation":5,"state":"serving",` +
	`"labels":{"role":"spare"},"ttl":"3s","report":{"in_flight":1,"utilisation":0.5}}`

// with returns the announcement with one part replaced.
func with(old, replacement string) string {
	if !strings.Contains(announced, old) {
		panic("the announcement does not hold " + old)
	}
	return strings.Replace(announced, old, replacement, 1)
}

// badAnnouncements are refused, whether they join or leave.
var badAnnouncements = []apiCall{
	{"empty", "POST", "", "", ``, 400, "$", "EOF"},
	{"not JSON", "POST", "", "", `service=pages`, 400, "$", "invalid character"},
	{"array", "POST", "", "", `[]`, 400, "$", "has a JSON array"},
	{"data after", "POST", "", "", announced + `1`, 400, "$", "data after"},
	{"unknown field", "POST", "", "", with(`"slots":2`, `"slots":2,"slot":2`), 400, "slot", "unknown field"},
	{"unknown service", "POST", "", "", with(`"pages"`, `"ghosts"`), 400, "service", "not declared"},
	{"bad service", "POST", "", "", with(`"pages"`, `"Pages"`), 400, "service", "character"},
	{"no service", "POST", "", "", with(`"service":"pages",`, ``), 400, "service", "must not be empty"},
	{"no name", "POST", "", "", with(`"name":"p-9",`, ``), 400, "name", "must not be empty"},
	{"long name", "POST", "", "", with(`"p-9"`, `"`+strings.Repeat("p", 64)+`"`), 400, "name", "has 64 bytes"},
	{"name is a number", "POST", "", "", with(`"p-9"`, `9`), 400, "name", "has a JSON number"},
	{"address outside the prefixes", "POST", "", "", with(`127.0.0.1:9`, `10.9.9.9:9`), 400, "address", "outside the prefixes"},
	{"IPv6 outside the prefixes", "POST", "", "", with(`127.0.0.1:9`, `[::1]:9`), 400, "address", "outside the prefixes"},
	{"address without port", "POST", "", "", with(`127.0.0.1:9`, `127.0.0.1`), 400, "address", "not an ip:port"},
	{"port 0", "POST", "", "", with(`127.0.0.1:9`, `127.0.0.1:0`), 400, "address", "other than 0"},
	{"host name", "POST", "", "", with(`127.0.0.1:9`, `localhost:9`), 400, "address", "parse"},
	{"unspecified address", "POST", "", "", with(`127.0.0.1:9`, `0.0.0.0:9`), 400, "address", "must be an IP address"},
	{"no address", "POST", "", "", with(`"address":"127.0.0.1:9",`, ``), 400, "address", "must be an IP address"},
	{"bad site", "POST", "", "", with(`"site":"s"`, `"site":"S"`), 400, "site", "character"},
	{"no slots", "POST", "", "", with(`"slots":2`, `"slots":0`), 400, "slots", "must lie between 1 and 10000"},
	{"too many slots", "POST", "", "", with(`"slots":2`, `"slots":10001`), 400, "slots", "must lie between 1 and 10000"},
	{"negative incarnation", "POST", "", "", with(`"incarnation":5`, `"incarnation":-5`), 400, "incarnation", "has a JSON number"},
	{"other state", "POST", "", "", with(`"serving"`, `"tired"`), 400, "state", `is "tired"`},
	{"bad label", "POST", "", "", with(`"role":`, `"Role":`), 400, "labels[Role]", "character"},
	{"long label", "POST", "", "", with(`"spare"`, `"`+strings.Repeat("s", 64)+`"`), 400, "labels[role]", "has 64 bytes"},
	{"no ttl", "POST", "", "", with(`"ttl":"3s",`, ``), 400, "ttl", "must lie between 1s and 1m0s"},
	{"negative ttl", "POST", "", "", with(`"3s"`, `"-3s"`), 400, "ttl", "must lie between 1s and 1m0s"},
	{"short ttl", "POST", "", "", with(`"3s"`, `"999ms"`), 400, "ttl", "must lie between 1s and 1m0s"},
	{"long ttl", "POST", "", "", with(`"3s"`, `"9h"`), 400, "ttl", "must lie between 1s and 1m0s"},
	{"ttl without unit", "POST", "", "", with(`"3s"`, `"3"`), 400, "ttl", "is not a duration"},
	{"ttl is a number", "POST", "", "", with(`"3s"`, `3`), 400, "ttl", "has a JSON number"},
	{"negative load", "POST", "", "", with(`"in_flight":1`, `"in_flight":-1`), 400, "report.in_flight", "must not be negative"},
	{"load above 1", "POST", "", "", with(`0.5`, `1.5`), 400, "report.utilisation", "must lie between"},
	{"oversized", "POST", "", "", with(`"s"`, `"`+strings.Repeat("s", 64<<10)+`"`), 413, "$", "Too Large"},
	{"other method", "GET", "", "", "", 405, "$", "Method Not Allowed"},
}

// expectAnnouncement makes a call at the endpoint port.
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
	has(t, refused.Faults[0].Reason, c.reason)
}

// entries returns the endpoints that the instance knows, with their states.
func (s *system) entries(t *testing.T) map[string]keel.EndpointState {
	t.Helper()
	d, err := s.local.Dump(t.Context(), 0)
	is.New(t).NoErr(err)
	found := map[string]keel.EndpointState{}
	for _, e := range d.Steering.Endpoints {
		found[string(e.Announcement.Name)] = e.Announcement.State
	}
	return found
}

// TestEndpointContract makes every call of the endpoint port, right and wrong.
func TestEndpointContract(t *testing.T) {
	s := newSystem(t)
	for _, path := range []string{keelendpoint.AnnouncePath, keelendpoint.LeavePath} {
		for _, c := range badAnnouncements {
			if path == keelendpoint.LeavePath && c.name == "other state" {
				continue // a leave sets the state
			}
			c.path = path
			t.Run(path+"/"+c.name, func(t *testing.T) { s.expectAnnouncement(t, c) })
		}
	}
	is := is.New(t)
	s.expectAnnouncement(t, apiCall{method: "POST", path: "/v1/endpoints", body: announced, status: 404, field: "$", reason: "Not Found"})
	is.Equal(s.entries(t), map[string]keel.EndpointState{"p-1": keel.EndpointServing}) // none of them joined
	logged := s.refusals("endpoint", "field")
	is.Equal(logged["ttl"], 1) // logged once for its cause
	is.Equal(logged["address"], 1)
	s.waitMetrics(t,
		counted("announcements_refused", `field="ttl",instance="i-1"`, 12),
		counted("announcements_refused", `field="labels",instance="i-1"`, 4),
	)
	announce, leave := keelendpoint.AnnouncePath, keelendpoint.LeavePath
	taken := `{"renew_within":"3s"}`
	for _, c := range []apiCall{
		{"joins", "POST", announce, "", announced, 200, "", taken},
		{"renews", "POST", announce, "", announced, 200, "", taken},
		{"renews with other slots", "POST", announce, "", with(`"slots":2`, `"slots":3`), 200, "", taken},
		{"older incarnation", "POST", announce, "", with(`"incarnation":5`, `"incarnation":4`), 409, "incarnation", "has already announced 5"},
		{"older incarnation leaves", "POST", leave, "", with(`"incarnation":5`, `"incarnation":4`), 409, "incarnation", "has already announced 5"},
		{"leaves", "POST", leave, "", announced, 200, "", taken},
		{"leaves again", "POST", leave, "", announced, 200, "", taken},
		{"starts again", "POST", announce, "", with(`"incarnation":5`, `"incarnation":6`), 200, "", taken},
		{"leaves by its state", "POST", announce, "", strings.Replace(with(`"incarnation":5`, `"incarnation":6`), "serving", "leaving", 1), 200, "", taken},
		{"stays leaving", "POST", announce, "", with(`"incarnation":5`, `"incarnation":6`), 200, "", taken},
	} {
		t.Run(c.name, func(t *testing.T) { s.expectAnnouncement(t, c) })
	}
	for s.entries(t)["p-9"] != keel.EndpointLeaving {
		is.NoErr(t.Context().Err())
	}
}

// recorder takes announcements and keeps them.
type recorder struct{ taken chan apiCall }

// ServeHTTP implements [http.Handler].
func (r recorder) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, _ := io.ReadAll(req.Body)
	r.taken <- apiCall{method: req.Method, path: req.URL.Path, body: string(body), status: http.StatusOK, reason: `{"renew_within":"3s"}`}
	_, _ = io.WriteString(w, `{"renew_within":"3s"}`)
}

// TestStandInAnnounces hands what a stand-in endpoint announces to an instance,
// which must take all of it.
func TestStandInAnnounces(t *testing.T) {
	is := is.New(t)
	s := newSystem(t)
	r := recorder{taken: make(chan apiCall, 100)}
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
	joined := <-r.taken
	is.Equal(joined.path, keelendpoint.AnnouncePath)
	s.expectAnnouncement(t, joined)
	e.Leave()
	left := <-r.taken
	for left.path != keelendpoint.LeavePath {
		left = <-r.taken
	}
	s.expectAnnouncement(t, left)
	for s.entries(t)["p-2"] != keel.EndpointLeaving {
		is.NoErr(t.Context().Err())
	}
}

// TestStandInAnswers sends a stand-in endpoint what instances send, and compares
// with what the contract asks of endpoints.
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
			// Without the id its connections would not be reused.
			is.Equal(got.header.Get("Keel-Request-Id"), "id-"+strings.ReplaceAll(tt.name, " ", "-"))
			is.True(got.header.Get("Content-Length") != "" || tt.target == "/?bytes=10&chunked=true")
		})
	}
}
