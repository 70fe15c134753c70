package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// homesAfterRestart moves the home of a route to another region, and kills all processes of the
// system at once some seconds later. They are back after half a second.
func homesAfterRestart(s *system, trouble bool) ([]string, error) {
	for _, z := range []string{"dakar-plateau", "thies-nord", "saint-louis-ile"} {
		s.addCore(z)
	}
	dakar, thies := s.addEntry("dakar-plateau"), s.addEntry("thies-nord")
	if err := s.startAll(); err != nil {
		return nil, err
	}
	score := route{name: "r-score", prefix: "/score/", kind: "unsafe", service: "jury", timeoutMS: 4000, targetMS: 600, attempts: 2, homes: []string{"thies"}}
	idle := route{name: "r-idle", prefix: "/idle/", kind: "safe", service: "jury", timeoutMS: 3000, targetMS: 600, attempts: 1}
	if err := s.configure([]route{score, idle}, "jury"); err != nil {
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
	time.Sleep(catchUp)
	// Changes of another route, until the control processes have just stored a snapshot. How old
	// the last one is when the home moves is chance otherwise.
	for n := 0; ; n++ {
		st, err := s.status(s.cores[0])
		if err != nil {
			return nil, err
		}
		if behind := st.Quorum.Last - st.Quorum.Snapshot; st.Quorum.Snapshot > 0 && behind >= 2 && behind <= 10 {
			s.rec.add(time.Now(), "the log of %s ends at entry %d, its snapshot at entry %d", s.cores[0].name, st.Quorum.Last, st.Quorum.Snapshot)
			break
		}
		if n == 200 {
			return nil, fmt.Errorf("no snapshot was stored")
		}
		if err := s.configure([]route{idle}); err != nil {
			return nil, err
		}
	}
	score.homes = []string{"dakar"}
	if err := s.configure([]route{score}); err != nil {
		return nil, err
	}
	moved := time.Now()
	s.rec.add(moved, "the home of r-score is dakar from here on")
	time.Sleep(contactWindow + 2*time.Second)
	c := newClients(s)
	for range 5 { // the change is in force
		for _, p := range s.entries {
			c.send(p, http.MethodPost, "/score/1", "", 4*time.Second, strings.NewReader("score"))
		}
	}
	if trouble {
		s.rec.add(time.Now(), "all processes of the system are killed")
		for _, p := range append(append([]*process{}, s.entries...), s.cores...) {
			_ = p.cmd.Process.Kill()
		}
		for _, p := range append(append([]*process{}, s.entries...), s.cores...) {
			s.kill(p)
		}
		time.Sleep(500 * time.Millisecond)
		if err := s.startAll(); err != nil {
			return nil, err
		}
	}
	for range 80 {
		for _, p := range []*process{dakar, thies} {
			c.wg.Add(1)
			go func() {
				defer c.wg.Done()
				c.send(p, http.MethodPost, "/score/1", "", 4*time.Second, strings.NewReader("score"))
			}()
		}
		time.Sleep(50 * time.Millisecond)
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
