package main

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"time"
)

// resendToDraining replaces the two backends of a service while an entry process waits for the
// answer to its only request. The request ends with its backend and is sent again.
func resendToDraining(s *system, trouble bool) ([]string, error) {
	const zone = "dakar-plateau"
	for _, z := range []string{zone, "thies-nord", "saint-louis-ile"} {
		s.addCore(z)
	}
	near := s.addEntry(zone)
	s.addEntry("thies-nord")
	if err := s.startAll(); err != nil {
		return nil, err
	}
	routes := []route{{name: "r-archive", prefix: "/archive/", kind: "safe", service: "archives", timeoutMS: 12000, targetMS: 1500, attempts: 2}}
	if err := s.configure(routes, "archives"); err != nil {
		return nil, err
	}
	const work = 2900 * time.Millisecond
	start := func(n int) (*backend, error) { return s.startBackend("archives", zone, n, 4, work) }
	var all []*backend
	for n := range 2 {
		b, err := start(n + 1)
		if err != nil {
			return nil, err
		}
		all = append(all, b)
	}
	old := all
	if err := s.awaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(catchUp + contactWindow) // all machines are in touch from here on
	c := newClients(s)
	c.sendLater(near, http.MethodGet, "/archive/1", "", 12*time.Second)
	time.Sleep(100 * time.Millisecond)
	if trouble {
		// The new backends start first.
		for n := range 2 {
			b, err := start(n + 3)
			if err != nil {
				return nil, err
			}
			all = append(all, b)
		}
		time.Sleep(100 * time.Millisecond)
		acked := make(chan bool)
		for _, b := range old {
			go func() { acked <- b.drain() }()
		}
		for range old {
			if !<-acked {
				return nil, fmt.Errorf("a backend got no acknowledgement")
			}
		}
		ackedAt := time.Now()
		if os.Getenv("BUSY") == "1" { // shows that an entry process with another request keeps the rule
			time.Sleep(500 * time.Millisecond)
			c.sendLater(near, http.MethodGet, "/archive/2", "", 12*time.Second)
		}
		// Both serve for drainMs and a little longer. The one that runs the request exits first.
		time.Sleep(time.Until(ackedAt.Add(drainTime + 400*time.Millisecond)))
		slices.SortFunc(old, func(a, b *backend) int { return len(b.list()) - len(a.list()) })
		old[0].exit()
		time.Sleep(1200 * time.Millisecond)
		old[1].exit()
	}
	c.wg.Wait()
	var breaches []string
	for _, b := range all {
		for _, a := range b.list() {
			if a.leaving > drainTime {
				breaches = append(breaches, fmt.Sprintf("DRAIN: request %s reached backend %s %.3f s after the acknowledgement, %.3f s are allowed",
					a.id, b.id, a.leaving.Seconds(), drainTime.Seconds()))
			}
		}
		b.end(false)
	}
	sent, served := c.count()
	s.rec.add(time.Now(), "%d requests were sent, %d were served", sent, served)
	return breaches, nil
}
