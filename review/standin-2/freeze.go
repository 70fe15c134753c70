package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// homesAfterFreeze moves the home of a route to another region while an entry process is frozen.
func homesAfterFreeze(s *system, trouble bool) ([]string, error) {
	for _, z := range []string{"dakar-plateau", "thies-nord", "saint-louis-ile"} {
		s.addCore(z)
	}
	s.addEntry("dakar-plateau")
	thies := s.addEntry("thies-nord")
	if err := s.startAll(); err != nil {
		return nil, err
	}
	score := route{name: "r-score", prefix: "/score/", kind: "unsafe", service: "jury", timeoutMS: 4000, targetMS: 600, attempts: 2, homes: []string{"thies"}}
	if err := s.configure([]route{score}, "jury"); err != nil {
		return nil, err
	}
	var all []*backend
	for i, z := range []string{"dakar-plateau", "thies-nord"} {
		b, err := s.startBackend("jury", z, i+1, 3, 30*time.Millisecond)
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
	send := func() {
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			c.send(thies, http.MethodPost, "/score/1", "", 4*time.Second, strings.NewReader("score"))
		}()
	}
	send()
	time.Sleep(500 * time.Millisecond)
	if trouble {
		s.rec.add(time.Now(), "%s is frozen", thies.name)
		_ = thies.cmd.Process.Signal(syscall.SIGSTOP)
	}
	time.Sleep(500 * time.Millisecond)
	score.homes = []string{"dakar"}
	if err := s.configure([]route{score}); err != nil {
		return nil, err
	}
	moved := time.Now()
	s.rec.add(moved, "the home of r-score is dakar from here on")
	time.Sleep(3500 * time.Millisecond)
	for range 10 {
		send()
		time.Sleep(50 * time.Millisecond)
	}
	if trouble {
		s.rec.add(time.Now(), "%s goes on", thies.name)
		_ = thies.cmd.Process.Signal(syscall.SIGCONT)
	}
	c.wg.Wait()
	var breaches []string
	for _, b := range all {
		for _, a := range b.list() {
			if region := zones[b.zone]; region != "dakar" && a.at.After(moved.Add(configApply)) {
				breaches = append(breaches, fmt.Sprintf("HOME: request %s reached backend %s in %s %.3f s after the acknowledgement that its home is dakar",
					a.id, b.id, region, a.at.Sub(moved).Seconds()))
			}
		}
		b.end(false)
	}
	sent, served := c.count()
	s.rec.add(time.Now(), "%d requests were sent, %d were served", sent, served)
	return breaches, nil
}
