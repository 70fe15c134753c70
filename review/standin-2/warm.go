package main

import (
	"fmt"
	"net/http"
	"time"
)

// coldAgain lets a backend that serves a steady stream of requests become cold again, right after
// a heartbeat. Its health answers say so at once, its next heartbeat says so 1.5 s later.
func coldAgain(s *system, trouble bool) ([]string, error) {
	for _, z := range []string{"dakar-plateau", "thies-nord", "saint-louis-ile"} {
		s.addCore(z)
	}
	near := s.addEntry("dakar-plateau")
	s.addEntry("thies-nord")
	if err := s.startAll(); err != nil {
		return nil, err
	}
	routes := []route{{name: "r-gallery", prefix: "/gallery/", kind: "safe", service: "galerie", timeoutMS: 3000, targetMS: 400, attempts: 2, affinity: true}}
	if err := s.configure(routes, "galerie"); err != nil {
		return nil, err
	}
	var all []*backend
	for i, z := range []string{"dakar-plateau", "thies-nord"} {
		b, err := s.startBackend("galerie", z, i+1, 6, 60*time.Millisecond)
		if err != nil {
			return nil, err
		}
		all = append(all, b)
	}
	if err := s.awaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(catchUp + contactWindow)
	c := newClients(s)
	end := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := 0; ; i++ {
			select {
			case <-end:
				return
			case <-time.After(25 * time.Millisecond):
				c.sendLater(near, http.MethodGet, fmt.Sprintf("/gallery/%d", i%20), fmt.Sprint(i%20), 3*time.Second)
			}
		}
	}()
	time.Sleep(3 * time.Second)
	all[0].awaitBeat()
	if trouble {
		all[0].turnCold()
	}
	time.Sleep(4 * time.Second)
	close(end)
	<-done
	c.wg.Wait()
	for _, b := range all {
		b.end(false)
	}
	sent, served := c.count()
	s.rec.add(time.Now(), "%d requests were sent, %d were served", sent, served)
	return coldBreaches(c, all), nil
}
