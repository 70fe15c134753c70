package keelinstance_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelstandin"
	"github.com/matryer/is"
)

// rawAnswer is the answer to a request that was sent as text.
type rawAnswer struct {
	status int
	header http.Header
	body   string
	// closes is set if the answer announces the end of the connection.
	closes bool
}

// exchangeText sends text unchanged on a new connection and reads one answer. The
// connection stays open in both directions meanwhile: a caller that closes its
// sending direction counts as disconnected.
func exchangeText(t *testing.T, addr netip.AddrPort, text string) rawAnswer {
	t.Helper()
	return exchange(t, addr, text, false)
}

// exchange works like exchangeText, but if cut is set, it closes the sending
// direction after text.
func exchange(t *testing.T, addr netip.AddrPort, text string, cut bool) rawAnswer {
	t.Helper()
	is := is.New(t)
	c, err := net.Dial("tcp", addr.String())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, text) // may fail if the server does not read all of it
	if cut {
		_ = c.(*net.TCPConn).CloseWrite()
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	return rawAnswer{resp.StatusCode, resp.Header, string(body), resp.Close}
}

// checkContains fails the test if text does not contain want.
func checkContains(t *testing.T, text, want string) {
	t.Helper()
	if !strings.Contains(text, want) {
		t.Errorf("%q does not contain %q", text, want)
	}
}

// reportTime is left for the report of a failure before the time limit of the test
// run, which ends the process without the output of failed subtests.
const reportTime = 30 * time.Second

// waitMetrics scrapes the metrics until they contain every line, since counters are
// reported periodically.
func (s *system) waitMetrics(t *testing.T, lines ...string) {
	t.Helper()
	for {
		text := exchangeText(t, s.instance.Addresses().Operator, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n").body
		missing := ""
		for _, line := range lines {
			if !strings.Contains(text, line) {
				missing = line
			}
		}
		if missing == "" {
			return
		}
		if deadline, ok := t.Deadline(); t.Failed() || ok && time.Until(deadline) < reportTime {
			t.Fatalf("metrics did not contain %s:\n%s", missing, text)
		}
	}
}

// counterLine returns the line of a metric with the given tags and value.
func counterLine(name, tags string, n int) string {
	return fmt.Sprintf("keel_%s{domain=\"d\",%s} %d\n", name, tags, n)
}

// loggedRefusals counts the log lines about refusals at a port by the value of a
// field.
func (s *system) loggedRefusals(port, field string) map[string]int {
	found := map[string]int{}
	for _, e := range s.logs.AllEntries() {
		if e.Data["port"] == port {
			found[fmt.Sprint(e.Data[field])]++
		}
	}
	return found
}

// longBody is longer than the part of a body that is read before the request is
// handled.
var longBody = strings.Repeat("x", 70_000)

func keyedRequestText(key string, length int) string {
	return fmt.Sprintf("POST /pay HTTP/1.1\r\nHost: pages\r\nIdempotency-Key: %s\r\nContent-Length: %d\r\n\r\n", key, length)
}

// badRequest is a request of a caller that is refused before an endpoint receives
// it.
type badRequest struct {
	name, text string
	status     int
	reason     keel.Reason
	detail     string
}

// cutRequests are requests whose callers close the sending direction within the body.
var cutRequests = []badRequest{
	{"keyed body cut short", keyedRequestText("k2", 10) + "x", 400, keel.ReasonBadRequest, "unexpected EOF"},
	{"keyed long body cut short", keyedRequestText("k3", 100_000) + longBody, 400, keel.ReasonBadRequest, "body of request"},
}

// badRequests are requests whose callers wait for the answer.
var badRequests = []badRequest{
	{"no version", "GET /\r\n\r\n", 400, keel.ReasonBadRequest, "request"},
	{"not HTTP", "\x16\x03\x01\x02\x00\r\n\r\n", 400, keel.ReasonBadRequest, "request"},
	{"field without colon", "GET / HTTP/1.1\r\nHost: pages\r\nbroken\r\n\r\n", 400, keel.ReasonBadRequest, "request"},
	{"space before colon", "GET / HTTP/1.1\r\nHost: pages\r\nX : y\r\n\r\n", 400, keel.ReasonBadRequest, "request"},
	{"no host and no service", "GET / HTTP/1.1\r\n\r\n", 400, keel.ReasonBadRequest, ""},
	{"header too large", "GET / HTTP/1.1\r\nHost: pages\r\nX: " + strings.Repeat("x", 17<<10) + "\r\n\r\n", 413, keel.ReasonTooLarge, "exceeds 16384 bytes"},
	{"target too large", "GET /" + strings.Repeat("x", 17<<10) + " HTTP/1.1\r\nHost: pages\r\n\r\n", 413, keel.ReasonTooLarge, "exceeds 16384 bytes"},
	{"length is no number", "POST / HTTP/1.1\r\nHost: pages\r\nContent-Length: ten\r\n\r\n", 400, keel.ReasonBadRequest, "request"},
	{"negative length", "POST / HTTP/1.1\r\nHost: pages\r\nContent-Length: -5\r\n\r\n", 400, keel.ReasonBadRequest, "request"},
	{"length overflows", "POST / HTTP/1.1\r\nHost: pages\r\nContent-Length: 99999999999999999999\r\n\r\n", 400, keel.ReasonBadRequest, "request"},
	{"two lengths", "POST / HTTP/1.1\r\nHost: pages\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx", 400, keel.ReasonBadRequest, "request"},
	{"other encoding", "POST / HTTP/1.1\r\nHost: pages\r\nTransfer-Encoding: gzip\r\n\r\nx", 400, keel.ReasonBadRequest, "request"},
	{"bad chunk", "POST /pay HTTP/1.1\r\nHost: pages\r\nIdempotency-Key: k1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400, keel.ReasonBadRequest, ""},
	{"keyed body too large", keyedRequestText("k4", 2_000_000) + longBody, 413, keel.ReasonTooLarge, "1048576"},
	{"key missing", "POST /pay HTTP/1.1\r\nHost: pages\r\n\r\n", 400, keel.ReasonKeyMissing, "Idempotency-Key"},
	{"timeout is no duration", "GET / HTTP/1.1\r\nHost: pages\r\nKeel-Timeout: soon\r\n\r\n", 400, keel.ReasonBadRequest, `header Keel-Timeout: \"soon\" is not a duration`},
	{"timeout too long", "GET / HTTP/1.1\r\nHost: pages\r\nKeel-Timeout: 2h\r\n\r\n", 400, keel.ReasonBadRequest, "must lie between"},
	{"timeout of nothing", "GET / HTTP/1.1\r\nHost: pages\r\nKeel-Timeout: 0s\r\n\r\n", 400, keel.ReasonBadRequest, "must lie between"},
	{"bad service name", "GET / HTTP/1.1\r\nHost: pages\r\nKeel-Service: No!Name\r\n\r\n", 400, keel.ReasonBadRequest, "header Keel-Service"},
	{"unknown service", "GET / HTTP/1.1\r\nHost: ghosts\r\n\r\n", 404, keel.ReasonUnknownService, `service \"ghosts\"`},
	{"no selector for path", "GET / HTTP/1.1\r\nHost: reads\r\n\r\n", 404, keel.ReasonNoSelector, "matches GET /"},
	{"no selector for method", "POST /reads HTTP/1.1\r\nHost: reads\r\nContent-Length: 0\r\n\r\n", 404, keel.ReasonNoSelector, "matches POST /reads"},
	{"selector matches no endpoint", "GET /nowhere HTTP/1.1\r\nHost: pages\r\n\r\n", 503, keel.ReasonNoEndpoint, "nowhere"},
	{"service without endpoints", "GET /reads HTTP/1.1\r\nHost: reads\r\n\r\n", 503, keel.ReasonNoEndpoint, "reads"},
	{"look-up without service", "GET /v1/lookup HTTP/1.1\r\nHost: x\r\n\r\n", 400, keel.ReasonBadRequest, "query parameter service"},
	{"look-up of a bad name", "GET /v1/lookup?service=No%21 HTTP/1.1\r\nHost: x\r\n\r\n", 400, keel.ReasonBadRequest, "query parameter service"},
	{"look-up of an unknown service", "GET /v1/lookup?service=ghosts HTTP/1.1\r\nHost: x\r\n\r\n", 404, keel.ReasonUnknownService, "ghosts"},
	{"look-up without selector", "GET /v1/lookup?service=reads HTTP/1.1\r\nHost: x\r\n\r\n", 404, keel.ReasonNoSelector, "reads"},
}

// TestCallerRefusals sends invalid requests twice each. They must be refused as not
// run and counted, and each cause must be logged once.
func TestCallerRefusals(t *testing.T) {
	s := newSystem(t)
	runs := s.endpoint.Counts().Runs
	for _, r := range badRequests {
		t.Run(r.name, func(t *testing.T) { s.expectRefusals(t, r, false) })
	}
	for _, r := range cutRequests {
		t.Run(r.name, func(t *testing.T) { s.expectRefusals(t, r, true) })
	}
	is := is.New(t)
	got := exchangeText(t, s.instance.Addresses().Caller, "POST /v1/lookup?service=pages HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
	is.Equal(got.status, 405)
	is.Equal(got.header.Get("Allow"), "GET, HEAD")
	is.Equal(s.endpoint.Counts().Runs, runs) // none of them reached the endpoint
	for port, reasons := range s.badReasons() {
		for reason := range reasons {
			is.Equal(s.loggedRefusals(port, "reason")[reason], 1) // logged once for its cause
		}
	}
	s.waitMetrics(t,
		counterLine("requests", `instance="i-1",reason="unknown_service",selector="",service="",status="400",verdict="not_run"`, 2),
		counterLine("requests", `instance="i-1",reason="too_large",selector="",service="",status="400",verdict="not_run"`, 4),
		counterLine("requests", `instance="i-1",reason="no_endpoint",selector="nowhere",service="pages",status="500",verdict="not_run"`, 2),
		counterLine("requests", `instance="i-1",reason="key_missing",selector="pay",service="pages",status="400",verdict="not_run"`, 2),
		counterLine("lookups", `instance="i-1",reason="bad_request",service="",status="400"`, 4),
		counterLine("lookups", `instance="i-1",reason="bad_request",service="",status="405"`, 1),
		counterLine("lookups", `instance="i-1",reason="unknown_service",service="",status="404"`, 2),
	)
}

// expectRefusals sends a request twice and compares the answers.
func (s *system) expectRefusals(t *testing.T, r badRequest, cut bool) {
	t.Helper()
	is := is.New(t)
	for range 2 {
		got := exchange(t, s.instance.Addresses().Caller, r.text, cut)
		is.Equal(got.status, r.status)
		is.Equal(got.header.Get("Keel-Verdict"), keel.NotRun.String())
		is.Equal(got.header.Get("Content-Type"), "application/json")
		var refusal keel.Refusal
		is.NoErr(json.Unmarshal([]byte(got.body), &refusal))
		is.Equal(refusal.Verdict, keel.NotRun)
		is.Equal(refusal.Reason, r.reason)
		is.Equal(got.header.Get("Retry-After") != "", refusal.RetryAfter > 0)
		checkContains(t, got.body, r.detail)
	}
}

// badReasons returns the reasons of the refused requests by the port that logs them.
func (s *system) badReasons() map[string]map[string]bool {
	found := map[string]map[string]bool{"caller": {}, "lookup": {}}
	for _, r := range slices.Concat(badRequests, cutRequests) {
		port := "caller"
		if strings.Contains(r.text, "/v1/lookup") {
			port = "lookup"
		}
		found[port][string(r.reason)] = true
	}
	return found
}

// TestLengthAndChunks sends a request with both Content-Length and chunked encoding.
// The chunks must determine the body, and the request that follows on the
// connection must not be handled.
func TestLengthAndChunks(t *testing.T) {
	is := is.New(t)
	s := newSystem(t)
	got := exchangeText(t, s.instance.Addresses().Caller, "POST / HTTP/1.1\r\nHost: pages\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: pages\r\n\r\n")
	is.Equal(got.status, http.StatusOK)
	is.Equal(got.header.Get("Stand-In-Checksum"), keelstandin.Checksum([]byte("abc")))
	is.True(got.closes)
}
