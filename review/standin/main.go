// Command standin plays the platform, its clients and its backends around the real
// programs of the project, on loopback addresses.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	notable = 2 // the case could not run
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD")
		os.Exit(notable)
	}
	rec := newRecord(os.Args[3])
	trouble := os.Getenv("TROUBLE") != "0"
	cases := map[string]func(s *system, trouble bool) int{
		"evacuation": evacuation,
		"poison":     poison,
		"refused":    refused,
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(notable)
	}
	s := newSystem(os.Args[2], rec)
	code := run(s, trouble)
	s.stopAll()
	rec.printf("exit %d", code)
	os.Exit(code)
}

const firstItems = `{"upsert":{"resources":[` +
	`{"resourceKind":"routes","metadata":{"name":"r-1","version":"00000001"},"specification":{"host":"h.example","pathPrefix":"/p/","kind":"safe","timeoutMs":1000,"targetLatencyMs":400,"priority":2,"service":"galerie","attempts":2,"sessionAffinity":true,"homeRegions":[]}},` +
	`{"resourceKind":"routes","metadata":{"name":"r-2","version":"00000001"},"specification":{"host":"h.example","pathPrefix":"/u/","kind":"unsafe","timeoutMs":1200,"targetLatencyMs":600,"priority":1,"service":"galerie","attempts":2,"sessionAffinity":true,"homeRegions":[]}},` +
	`{"resourceKind":"services","metadata":{"name":"galerie","version":"00000001"},"specification":{"healthCheckPath":"/health","maxConnections":720,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":5.9}},` +
	`{"resourceKind":"limits","metadata":{"version":"00000001"},"specification":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}` +
	`]},"remove":{"routes":[]}}`
