package keelinstance_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/greengagekeel/greengagekeel/keeloperate"
	"github.com/matryer/is"
)

// apiCall is a call to the endpoint or operator port with its expected answer.
type apiCall struct {
	name, method, path, token, body string
	status                          int
	// field and reason describe the only fault of the answer. Without a field,
	// reason is a part of the body.
	field, reason string
}

// text returns the call as the text of an HTTP request.
func (c apiCall) text() string {
	auth := ""
	if c.token != "" {
		auth = "Authorization: Bearer " + c.token + "\r\n"
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\n%sContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", c.method, c.path, auth, len(c.body), c.body)
}

const (
	sampleChange = `{"id":"x","author":"a","base":1,"ops":[{"action":"put","kind":"region","name":"r2","region":{"name":"r2"}}]}`
	badRegion    = `{"id":"bad","author":"a","base":1,"ops":[{"action":"put","kind":"domain","name":"e","domain":{"name":"e","region":"ghost"}}]}`
	staleChange  = `{"id":"stale","author":"a","base":0,"ops":[{"action":"put","kind":"region","name":"r3","region":{"name":"r3"}}]}`
	goodChange   = `{"id":"good","author":"a","base":1,"ops":[{"action":"put","kind":"region","name":"r2","region":{"name":"r2"}}]}`
	resent       = `{"id":"good","author":"a","base":1,"ops":[{"action":"put","kind":"region","name":"r2","region":{"name":"r2"}}]}`
)

// readCalls need no token, except for the last one, and change nothing.
var readCalls = []apiCall{
	{"health", "GET", "/healthz", "", "", 200, "", "ok\n"},
	{"readiness", "GET", "/readyz", "", "", 200, "", "ready\n"},
	{"metrics", "GET", "/metrics", "", "", 200, "", "# TYPE keel_"},
	{"dump", "GET", "/v1/state", "", "", 200, "", `"ready":"ready"`},
	{"declarations", "GET", "/v1/declarations", "", "", 200, "", `{"version":1,"declarations":{"regions":[{"name":"r"}]`},
	{"history", "GET", "/v1/changes", "", "", 200, "", `{"changes":[{"version":1,"id":"first"`},
	{"short history", "GET", "/v1/changes?limit=0", "", "", 200, "", `{"changes":null}`},
	{"bad limit", "GET", "/v1/changes?limit=many", "", "", 400, "limit", "whole number"},
	{"negative limit", "GET", "/v1/changes?limit=-1", "", "", 400, "limit", "not negative"},
	{"in force", "GET", "/v1/in_force?version=1", "", "", 200, "", `{"version":1,"everywhere":true}`},
	{"not in force", "GET", "/v1/in_force?version=9", "", "", 200, "", `{"version":9,"everywhere":false,"lagging":["i-1"]}`},
	{"bad version", "GET", "/v1/in_force?version=x", "", "", 400, "version", "whole number"},
	{"unknown path", "GET", "/v1/nothing", "", "", 404, "", `"verdict":"not_run"`},
	{"other method", "PUT", "/v1/changes", "", "", 405, "", `"verdict":"not_run"`},
	{"fault injection is off", "POST", "/v1/faults/cut", "TOKEN", `{}`, 404, "", `"verdict":"not_run"`},
}

// refusedChanges are calls that must be refused and leave the declarations
// unchanged.
var refusedChanges = []apiCall{
	{"no token", "POST", "/v1/changes", "", sampleChange, 401, "", "token is missing or wrong"},
	{"wrong token", "POST", "/v1/changes", "guess", sampleChange, 401, "", "token is missing or wrong"},
	{"part of the token", "POST", "/v1/changes", "PART", sampleChange, 401, "", "token is missing or wrong"},
	{"no token and no change", "POST", "/v1/changes", "", `{`, 401, "", "token is missing or wrong"},
	{"empty", "POST", "/v1/changes", "TOKEN", ``, 400, "$", "EOF"},
	{"not JSON", "POST", "/v1/changes", "TOKEN", `id=x`, 400, "$", "invalid character"},
	{"data after", "POST", "/v1/changes", "TOKEN", sampleChange + `{}`, 400, "$", "data after"},
	{"unknown field", "POST", "/v1/changes", "TOKEN", `{"idd":"x"}`, 400, "idd", "unknown field"},
	{"wrong type", "POST", "/v1/changes", "TOKEN", `{"base":"1"}`, 400, "base", "has a JSON string"},
	{"bad time", "POST", "/v1/changes", "TOKEN", `{"time":"noon"}`, 400, "time", "cannot parse"},
	{"bad id", "POST", "/v1/changes", "TOKEN", strings.Replace(sampleChange, `"x"`, `"X"`, 1), 400, "id", "character"},
	{"no author", "POST", "/v1/changes", "TOKEN", strings.Replace(sampleChange, `"author":"a",`, ``, 1), 400, "author", "must not be empty"},
	{"no operations", "POST", "/v1/changes", "TOKEN", `{"id":"x","author":"a","base":1}`, 400, "ops", "must have 1 to"},
	{"unknown action", "POST", "/v1/changes", "TOKEN", strings.Replace(sampleChange, `"put"`, `"add"`, 1), 400, "ops[0].action", `is "add"`},
	{"unknown kind", "POST", "/v1/changes", "TOKEN", strings.Replace(sampleChange, `"kind":"region"`, `"kind":"city"`, 1), 400, "ops[0].city", "must be given"},
	{"other name", "POST", "/v1/changes", "TOKEN", strings.Replace(sampleChange, `"name":"r2"`, `"name":"r9"`, 1), 400, "ops[0].name", "the value's name"},
	{"bad duration", "POST", "/v1/changes", "TOKEN", `{"ops":[{"link":{"round_trip":"fast"}}]}`, 400, "ops[0].link.round_trip", "not a duration"},
	{"faulty declarations", "POST", "/v1/changes", "TOKEN", badRegion, 422, "", `"status":"invalid","version":1,"faults":[{"field":"domains[1].region"`},
	{"old version", "POST", "/v1/changes", "TOKEN", staleChange, 409, "", `"status":"conflict","version":1,"winner":"first"`},
	{"version to come", "POST", "/v1/changes", "TOKEN", strings.Replace(strings.Replace(goodChange, `"good"`, `"early"`, 1), `"base":1`, `"base":7`, 1), 409, "", `"status":"conflict","version":1`},
}

// expectCall makes a call to the operator port and compares status and body. In
// the token field, TOKEN is replaced by the operator token and PART by its first
// half.
func (s *system) expectCall(t *testing.T, c apiCall) {
	t.Helper()
	is := is.New(t)
	token := s.local.Client(0).Token
	c.token = strings.NewReplacer("TOKEN", token, "PART", token[:len(token)/2]).Replace(c.token)
	got := exchangeText(t, s.instance.Addresses().Operator, c.text())
	is.Equal(got.status, c.status)
	if c.field == "" {
		checkContains(t, got.body, c.reason)
		return
	}
	var p keeloperate.Problem
	is.NoErr(json.Unmarshal([]byte(got.body), &p))
	is.Equal(len(p.Faults), 1)
	is.Equal(p.Faults[0].Field, c.field)
	checkContains(t, p.Faults[0].Reason, c.reason)
	is.Equal(p.Verdict.String(), "not_run")
}

// TestOperatorContract makes valid and invalid calls of every kind to the operator
// port.
func TestOperatorContract(t *testing.T) {
	s := newSystem(t)
	for _, c := range append(readCalls, refusedChanges...) {
		t.Run(c.name, func(t *testing.T) { s.expectCall(t, c) })
	}
	is := is.New(t)
	d, err := s.local.Client(0).Declared(t.Context())
	is.NoErr(err)
	is.Equal(int(d.Version), 1) // no refused change had an effect
	is.Equal(len(d.Declarations.Regions), 1)
	logged := s.loggedRefusals("operator", "status")
	is.Equal(logged["401"], 1) // logged once for its cause
	is.Equal(logged["400"], 1)
	s.waitMetrics(t,
		counterLine("operator_calls_refused", `instance="i-1",status="401"`, 4),
		counterLine("operator_calls_refused", `instance="i-1",status="404"`, 2),
		counterLine("operator_calls_refused", `instance="i-1",status="405"`, 1),
	)
	for _, c := range []apiCall{
		{"accepted", "POST", "/v1/changes", "TOKEN", goodChange, 200, "", `{"id":"good","status":"accepted","version":2}`},
		{"sent again", "POST", "/v1/changes", "TOKEN", resent, 200, "", `{"id":"good","status":"accepted","version":2}`},
		{"lost against it", "POST", "/v1/changes", "TOKEN", strings.Replace(goodChange, `"good"`, `"late"`, 1), 409, "", `"status":"conflict","version":2,"winner":"good"`},
	} {
		t.Run(c.name, func(t *testing.T) { s.expectCall(t, c) })
	}
}
