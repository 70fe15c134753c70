package main

import (
	"fmt"
	"syscall"
	"time"
)

// evacuation lets an operator take an evacuation back and start it again while one
// control instance stands still. The order that takes it back is sent to that
// instance first, times out there and is sent to another one, as PROTOCOL.md says.
func evacuation(s *system, trouble bool) int {
	s.startAll()
	if _, ok := s.order(0, "POST", "/-/configuration/patch", firstItems); !ok {
		return notable
	}
	var backends []*backend
	for z := range zones {
		for h := range 2 {
			backends = append(backends, s.newBackend(z, h, "galerie"))
		}
	}
	const evacuated = 1 // thies-nord
	stop := make(chan struct{})
	defer close(stop)
	for z := range zones {
		go s.client(z, 100*time.Millisecond, stop)
	}
	// All control instances vote by then (traffic starts 8 s after the machines do).
	time.Sleep(8 * time.Second)
	warm := time.Now()
	time.Sleep(2 * time.Second)
	if n := s.runsIn(backends, evacuated, warm, time.Now()); n == 0 {
		s.record.printf("the zone got no requests before the evacuation")
		return notable
	}
	path := "/-/evacuation/" + zones[evacuated].name
	if _, ok := s.order(0, "POST", path+"/start", ""); !ok {
		return notable
	}
	time.Sleep(6 * time.Second)

	const frozen = 4
	m := s.controls[frozen]
	if trouble {
		s.signal(m, syscall.SIGSTOP)
	}
	stoppedAt := time.Now()
	if _, ok := s.order(frozen, "POST", path+"/end", ""); !ok {
		return notable
	}
	time.Sleep(500 * time.Millisecond)
	acked, ok := s.order(frozen+1, "POST", path+"/start", "")
	if !ok {
		return notable
	}
	s.record.printf("the second evacuation is acknowledged")
	time.Sleep(time.Until(stoppedAt.Add(4 * time.Second)))
	if trouble {
		s.signal(m, syscall.SIGCONT)
	}
	woken := time.Now()

	// The core is stable again contactWindowMs after the process goes on; until then its
	// machines are not in touch, and an unstable core may stretch the deadline.
	from := acked.Add(evacuationDeadline + outerBound)
	if calm := woken.Add(2 * contactWindow); calm.After(from) {
		from = calm
	}
	to := from.Add(8 * time.Second)
	time.Sleep(time.Until(to))
	n := s.runsIn(backends, evacuated, from, to)
	others := 0
	for z := range zones {
		if z != evacuated {
			others += s.runsIn(backends, z, from, to)
		}
	}
	line := fmt.Sprintf("between %.1f and %.1f s after the acknowledgement of the second evacuation %d requests reached the evacuated zone, %d the others",
		from.Sub(acked).Seconds(), to.Sub(acked).Seconds(), n, others)
	s.record.printf("%s", line)
	fmt.Println(line)
	switch {
	case others == 0:
		return notable
	case n > 0:
		return broken
	}
	return held
}

// runsIn counts the requests that the backends of a zone ran in a span of time.
func (s *system) runsIn(backends []*backend, zoneIndex int, from, to time.Time) int {
	n := 0
	for _, b := range backends {
		if b.zone == zones[zoneIndex] {
			n += len(b.runsBetween(from, to))
		}
	}
	return n
}
