package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// twinRoute adds a route in the place of the route r-2, which is invalid while that exists.
const twinRoute = `{"upsert":{"resources":[{"resourceKind":"routes","metadata":{"name":"r-3","version":"00000009"},"specification":{"host":"h.example","pathPrefix":"/u/","kind":"unsafe","timeoutMs":1200,"targetLatencyMs":600,"priority":1,"service":"galerie","attempts":2,"sessionAffinity":true,"homeRegions":[]}}]},"remove":{"routes":[]}}`

// dropRoute removes the route r-2.
const dropRoute = `{"upsert":{"resources":[]},"remove":{"routes":[{"name":"r-2","version":"00000009"}]}}`

// refused sends an invalid configuration while one control instance stands still: it
// times out there and is refused by another one, which ends the call. Then the operator
// removes the item that it was in conflict with.
func refused(s *system, trouble bool) int {
	s.startAll()
	if _, ok := s.order(0, "POST", "/-/configuration/patch", firstItems); !ok {
		return notable
	}
	for z := range zones {
		s.newBackend(z, 0, "galerie")
	}
	// All control instances vote by then (traffic starts 8 s after the machines do).
	time.Sleep(8 * time.Second)
	if n := s.probe("before"); n != len(s.entries) {
		s.record.printf("the route does not work before")
		return notable
	}

	const frozen = 4
	m := s.controls[frozen]
	if trouble {
		s.signal(m, syscall.SIGSTOP)
	}
	stoppedAt := time.Now()
	if _, ok := s.order(frozen, "POST", "/-/configuration/patch", twinRoute); ok {
		s.record.printf("the invalid configuration was acknowledged")
		return notable
	}
	time.Sleep(500 * time.Millisecond)
	if _, ok := s.order(frozen+1, "POST", "/-/configuration/patch", dropRoute); !ok {
		return notable
	}
	time.Sleep(time.Until(stoppedAt.Add(4 * time.Second)))
	if trouble {
		s.signal(m, syscall.SIGCONT)
	}
	time.Sleep(2 * contactWindow)

	// The operator reads the configuration back for contactWindowMs.
	held3 := false
	for until := time.Now().Add(contactWindow); time.Now().Before(until); time.Sleep(500 * time.Millisecond) {
		for _, c := range s.controls {
			status, body, err := call("GET", "http://"+at(c.ip, s.ports.control)+"/-/configuration/read", "")
			s.record.printf("operator: read from %s: %d %v %s", c.name, status, err, body)
			held3 = held3 || strings.Contains(body, `"r-3"`)
		}
	}
	served := s.probe("after")
	line := fmt.Sprintf("the refused route is in the configuration: %v; %d of %d entry instances pass requests on by it", held3, served, len(s.entries))
	s.record.printf("%s", line)
	fmt.Println(line)
	if held3 || served > 0 {
		return broken
	}
	return held
}

// probe sends a request on the path of the routes r-2 and r-3 to each entry instance and
// returns how many of them pass it on to a backend.
func (s *system) probe(when string) int {
	n := 0
	for i, e := range s.entries {
		status, seal := s.send(s.ip(i, 201), at(e.ip, s.ports.caller), "POST", "/u/1", "score=1", fmt.Sprintf("%s-%d", when, i))
		if status == http.StatusOK && seal {
			n++
		}
	}
	return n
}
