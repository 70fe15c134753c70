// Command standin-2 plays the scripted cases of the second review. It starts the processes of the
// system with the command of the deploy file, and stands in for the platform, the operator, the
// backends and the clients.
//
// Usage: standin-2 CASE ROOT RECORD. The exit code is 0 if the rule held, 1 if it was broken and 2
// if the case could not run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"time"
)

// scenario plays a case and returns a text for each breach of its rule.
type scenario func(s *system, trouble bool) (breaches []string, err error)

var scenarios = map[string]scenario{
	"cold-after-evacuation": coldAfterEvacuation,
	"resend-to-draining":    resendToDraining,
	"homes-after-restart":   homesAfterRestart,
	"homes-after-freeze":    homesAfterFreeze,
	"cold-again":            coldAgain,
	"stale-order":           staleOrder,
}

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE ROOT RECORD")
		return exitNotRun
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	s, err := newSystem(rec, os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer s.stop()
	breaches, err := scenarios[os.Args[1]](s, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.add(time.Now(), "the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	}
	for _, b := range breaches {
		rec.add(time.Now(), "broken: %s", b)
		fmt.Println("broken:", b)
	}
	if len(breaches) > 0 {
		return exitBroken
	}
	rec.add(time.Now(), "the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
