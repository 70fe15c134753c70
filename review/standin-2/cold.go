package main

import (
	"fmt"
	"net/http"
	"os"
	"time"
)

// coldAfterEvacuation evacuates a zone and takes that back while the entry process of the zone has
// no clients. Its backends are cold at the end. The clients come to it right afterwards.
func coldAfterEvacuation(s *system, trouble bool) ([]string, error) {
	const zone = "dakar-plateau"
	for _, z := range []string{zone, "thies-nord", "saint-louis-ile"} {
		s.addCore(z)
	}
	near, far := s.addEntry(zone), s.addEntry("thies-nord")
	if err := s.startAll(); err != nil {
		return nil, err
	}
	routes := []route{{name: "r-gallery", prefix: "/gallery/", kind: "safe", service: "galerie", timeoutMS: 3000, targetMS: 400, attempts: 2, affinity: true}}
	if err := s.configure(routes, "galerie"); err != nil {
		return nil, err
	}
	var all []*backend
	for i, z := range []string{zone, "thies-nord", "thies-nord"} {
		b, err := s.startBackend("galerie", z, i+1, 6, 60*time.Millisecond)
		if err != nil {
			return nil, err
		}
		all = append(all, b)
	}
	if err := s.awaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	c := newClients(s)
	path := func(i int) (string, string) { return fmt.Sprintf("/gallery/%d", i%40), fmt.Sprint(i % 40) }
	// Some requests at both, longer than the backends are cold and all machines count as new.
	for i := range 30 {
		for _, p := range []*process{near, far} {
			target, key := path(i)
			c.sendLater(p, http.MethodGet, target, key, 3*time.Second)
		}
		time.Sleep(200 * time.Millisecond)
	}
	c.wg.Wait()
	// Now the clients are all at the other entry process.
	trickle := make(chan struct{})
	go func() {
		for i := 0; ; i++ {
			select {
			case <-trickle:
				return
			case <-time.After(100 * time.Millisecond):
				target, key := path(i)
				c.sendLater(far, http.MethodGet, target, key, 3*time.Second)
				if os.Getenv("BUSY") == "1" { // shows that an entry process with requests keeps the rule
					c.sendLater(near, http.MethodGet, target, key, 3*time.Second)
				}
			}
		}
	}()
	time.Sleep(time.Second)
	if trouble {
		if err := s.order(http.MethodPost, "/-/evacuation/"+zone+"/start", "", 4*time.Second); err != nil {
			return nil, err
		}
	}
	time.Sleep(6 * time.Second)
	all[0].awaitBeat()
	if trouble {
		all[0].turnCold()
		if err := s.order(http.MethodPost, "/-/evacuation/"+zone+"/end", "", 4*time.Second); err != nil {
			return nil, err
		}
	}
	time.Sleep(100 * time.Millisecond)
	// The clients come: 45 requests in a second, of 0.9 s.
	const requests = 45
	for i := range requests {
		target, key := path(i)
		c.sendLater(near, http.MethodGet, target, key, 3*time.Second)
		time.Sleep(900 * time.Millisecond / requests)
	}
	time.Sleep(2 * time.Second)
	close(trickle)
	c.wg.Wait()
	for _, b := range all {
		b.end(false)
	}
	sent, served := c.count()
	s.rec.add(time.Now(), "%d requests were sent, %d were served", sent, served)
	return coldBreaches(c, all), nil
}

// coldBreaches returns the backends that got more requests in a second than they may while they
// are cold. Counted are the requests that were sent and arrived inside that second.
func coldBreaches(c *clients, all []*backend) []string {
	const bound = coldPerS*coldOvershoot + coldSlack
	var breaches []string
	for _, b := range all {
		list, most := b.list(), 0
		for _, first := range list {
			n := 0
			from := c.sentAt(first.id)
			for _, a := range list {
				sent := c.sentAt(a.id)
				if a.cold && !sent.Before(from) && a.at.Before(from.Add(time.Second)) {
					n++
				}
			}
			most = max(most, n)
		}
		c.sys.rec.add(time.Now(), "backend %s got up to %d requests in a second while it was cold, %.2f are allowed", b.id, most, bound)
		if float64(most) > bound {
			breaches = append(breaches, fmt.Sprintf("FAILBACK: cold backend %s got %d requests in a second, %.2f are allowed", b.id, most, bound))
		}
	}
	return breaches
}
