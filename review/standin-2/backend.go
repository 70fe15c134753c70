package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// arrival is a request that reached a backend.
type arrival struct {
	id   string
	at   time.Time
	cold bool
	// ran is whether the backend began to work on it.
	ran bool
	// leaving is the time since the acknowledgement that the backend drains; 0 before.
	leaving time.Duration
}

// backend is a server of the platform.
type backend struct {
	sys                        *system
	id, service, zone, address string
	slots                      int
	work                       time.Duration
	born                       int64

	mu        sync.Mutex
	state     string
	sequence  int
	coldUntil time.Time
	ackedAt   time.Time
	beatAt    time.Time
	arrivals  []arrival
	running   int
	waiting   chan struct{}
	conns     map[net.Conn]bool
	ln        net.Listener
	server    *http.Server
	stopped   chan struct{}
	ended     bool
}

func newIdentifier() string { return fmt.Sprintf("i-%08x", rand.Uint32()) }

// startBackend starts a backend that listens and announces itself.
func (s *system) startBackend(service, zone string, n, slots int, work time.Duration) (*backend, error) {
	b := &backend{
		sys: s, id: newIdentifier(), service: service, zone: zone, address: s.at(s.address(10, n), "backend"), slots: slots, work: work,
		born: time.Now().UnixMilli(), state: "ready", waiting: make(chan struct{}, slots), conns: map[net.Conn]bool{}, stopped: make(chan struct{}),
	}
	ln, err := net.Listen("tcp4", b.address)
	if err != nil {
		return nil, err
	}
	b.ln = ln
	b.server = &http.Server{Handler: http.HandlerFunc(b.handle), ConnState: b.track, IdleTimeout: 10 * time.Second}
	go func() { _ = b.server.Serve(ln) }()
	s.rec.add(time.Now(), "start of backend %s of %s in %s", b.id, service, zone)
	go b.loop()
	return b, nil
}

func (b *backend) track(c net.Conn, state http.ConnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(b.conns, c)
		return
	}
	b.conns[c] = true
}

// loop sends a heartbeat at each interval.
func (b *backend) loop() {
	b.beat()
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-b.stopped:
			return
		case <-ticker.C:
			b.beat()
		}
	}
}

// beat sends the state to the control processes in turn until one acknowledges it.
func (b *backend) beat() bool {
	for i := range 3 * len(b.sys.cores) {
		b.mu.Lock()
		if b.ended {
			b.mu.Unlock()
			return false
		}
		b.sequence++
		cold := max(time.Until(b.coldUntil), 0)
		body, _ := json.Marshal(map[string]any{
			"address": b.address, "born": b.born,
			"serverInfo": map[string]any{"service": b.service, "version": "v1", "zone": b.zone, "slots": b.slots},
			"status":     map[string]any{"state": b.state, "sequence": b.sequence, "coldRemainingMs": cold.Milliseconds()},
		})
		b.mu.Unlock()
		if b.call(i, "heartbeat", body) {
			b.mu.Lock()
			b.beatAt = time.Now()
			b.mu.Unlock()
			return true
		}
	}
	return false
}

// awaitBeat waits until a heartbeat has just been acknowledged.
func (b *backend) awaitBeat() {
	from := time.Now()
	for {
		b.mu.Lock()
		at := b.beatAt
		b.mu.Unlock()
		if at.After(from) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (b *backend) call(i int, verb string, body []byte) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	p := b.sys.cores[(i+len(b.zone))%len(b.sys.cores)]
	resp, err := client.Post("http://"+b.sys.at(p.ip, "control")+"/-/instances/"+b.id+"/"+verb, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// drain reports that the backend leaves, and returns once that is acknowledged.
func (b *backend) drain() bool {
	b.mu.Lock()
	b.state = "draining"
	b.mu.Unlock()
	b.sys.rec.add(time.Now(), "backend %s reports that it is draining", b.id)
	if !b.beat() {
		return false
	}
	now := time.Now()
	b.mu.Lock()
	b.ackedAt = now
	b.mu.Unlock()
	b.sys.rec.add(now, "backend %s has the acknowledgement", b.id)
	return true
}

// exit sends the last call and ends the backend with all its connections.
func (b *backend) exit() {
	body, _ := json.Marshal(map[string]any{"born": b.born})
	for i := range len(b.sys.cores) {
		if b.call(i, "leave", body) {
			break
		}
	}
	b.sys.rec.add(time.Now(), "backend %s exits", b.id)
	b.end(false)
}

// end ends the backend; a crash resets its connections.
func (b *backend) end(crash bool) {
	b.mu.Lock()
	if b.ended {
		b.mu.Unlock()
		return
	}
	b.ended = true
	close(b.stopped)
	_ = b.ln.Close()
	conns := b.conns
	b.conns = map[net.Conn]bool{}
	b.mu.Unlock()
	for c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok && crash {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	_ = b.server.Close()
}

// turnCold makes the backend cold from now on.
func (b *backend) turnCold() {
	b.mu.Lock()
	b.coldUntil = time.Now().Add(coldStart)
	b.mu.Unlock()
	b.sys.rec.add(time.Now(), "backend %s is cold for %s", b.id, coldStart)
}

func (b *backend) handle(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		b.health(w)
		return
	}
	now := time.Now()
	id := r.Header.Get("X-Greengagekeel-Request-Id")
	w.Header().Set("X-Greengagekeel-Request-Id", id)
	if target := r.Header.Get("X-Greengagekeel-Target-Instance"); target != "" && target != b.id {
		w.Header().Set("X-Greengagekeel-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.mu.Lock()
	a := arrival{id: id, at: now, cold: now.Before(b.coldUntil)}
	if !b.ackedAt.IsZero() {
		a.leaving = now.Sub(b.ackedAt)
	}
	n := len(b.arrivals)
	b.arrivals = append(b.arrivals, a)
	b.mu.Unlock()
	b.sys.rec.add(now, "request %s reaches backend %s%s%s", id, b.id, coldText(a.cold), leavingText(a.leaving))
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case b.waiting <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-b.waiting }()
	b.mu.Lock()
	b.arrivals[n].ran = true
	b.running++
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		b.running--
		b.mu.Unlock()
	}()
	b.sys.rec.add(time.Now(), "backend %s runs request %s", b.id, id)
	select {
	case <-time.After(b.work):
	case <-r.Context().Done():
		b.sys.rec.add(time.Now(), "backend %s is cut off from request %s", b.id, id)
		return
	case <-b.stopped:
		b.sys.rec.add(time.Now(), "request %s ends with backend %s", id, b.id)
		return
	}
	b.mu.Lock()
	load := fmt.Sprintf("%d,%d,%d", b.running, 0, b.slots)
	b.mu.Unlock()
	w.Header().Set("X-Greengagekeel-Response-Seal", "seal."+b.id+"."+id)
	w.Header().Set("X-Greengagekeel-Server-Load", load)
	w.Header().Set("Content-Type", "text/plain")
	_, _ = io.WriteString(w, "page of "+id)
	b.sys.rec.add(time.Now(), "backend %s has answered request %s", b.id, id)
}

// health answers the health check.
func (b *backend) health(w http.ResponseWriter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w.Header().Set("X-Greengagekeel-Instance-Id", b.id)
	w.Header().Set("X-Greengagekeel-Server-Load", fmt.Sprintf("%d,%d,%d", b.running, 0, b.slots))
	if cold := time.Until(b.coldUntil); cold > 0 {
		w.Header().Set("X-Greengagekeel-Cold-Milliseconds", fmt.Sprint(cold.Milliseconds()))
	}
	if b.state != "ready" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func coldText(cold bool) string {
	if cold {
		return ", which is cold"
	}
	return ""
}

func leavingText(d time.Duration) string {
	if d > 0 {
		return fmt.Sprintf(", %.3f s after the acknowledgement that it is draining", d.Seconds())
	}
	return ""
}

// list returns the requests that reached the backend so far.
func (b *backend) list() []arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]arrival(nil), b.arrivals...)
}
