package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// backend is a sound backend: it announces itself, answers requests that name it and
// records what reaches it.
type backend struct {
	s       *system
	id      string
	service string
	zone    zone
	addr    string
	born    int64

	// work is how long a request takes.
	work time.Duration
	// fragile is whether the backend crashes when it begins to run the request with
	// [poisonPath].
	fragile bool

	mu   sync.Mutex
	runs []run
	// poisoned are the runs of the request with [poisonPath].
	poisoned []run
	// starts counts the starts; it is odd while the backend is down.
	starts int
	ln     net.Listener
	conns  map[net.Conn]bool
	stop   chan struct{}
}

// run is a request that a backend ran.
type run struct {
	at time.Time
	id string
}

func (s *system) newBackend(zoneIndex, host int, service string) *backend {
	b := &backend{
		s: s, service: service, zone: zones[zoneIndex], born: time.Now().UnixMilli(),
		id: fmt.Sprintf("i-%s-%d-%d", service, zoneIndex, host), addr: at(s.ip(zoneIndex, 100+host), s.ports.backend), stop: make(chan struct{}),
	}
	b.conns, b.work = map[net.Conn]bool{}, 5*time.Millisecond
	b.listen()
	go b.beat(zoneIndex)
	return b
}

// listen opens the backend's port.
func (b *backend) listen() {
	ln, err := net.Listen("tcp", b.addr)
	if err != nil {
		panic(err)
	}
	b.mu.Lock()
	b.ln = ln
	b.mu.Unlock()
	go b.accept(ln)
}

func (b *backend) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.conns[c] = true
		b.mu.Unlock()
		go b.serve(c)
	}
}

// crash closes the port and all connections, as the end of the process does. The
// backend is back after a time under its identifier, with another start.
func (b *backend) crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.starts%2 == 1 {
		return
	}
	b.starts++
	_ = b.ln.Close()
	for c := range b.conns {
		_ = c.Close()
	}
	b.conns = map[net.Conn]bool{}
	b.s.record.printf("backend %s crashes", b.id)
	time.AfterFunc(downTime, func() {
		b.mu.Lock()
		b.starts++
		b.born = time.Now().UnixMilli()
		b.mu.Unlock()
		b.listen()
		b.s.record.printf("backend %s is back", b.id)
	})
}

func (b *backend) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("X-Greengagekeel-Request-Id")
		if r.URL.Path == "/health" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Greengagekeel-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", b.id)
			continue
		}
		if r.Header.Get("X-Greengagekeel-Target-Instance") != b.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Greengagekeel-Request-Id: %s\r\nX-Greengagekeel-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		b.mu.Lock()
		poisonous := r.URL.Path == poisonPath
		if poisonous {
			b.poisoned = append(b.poisoned, run{time.Now(), id})
		}
		b.runs = append(b.runs, run{time.Now(), id})
		b.mu.Unlock()
		b.s.record.printf("backend %s (%s) runs request %s", b.id, b.zone.name, id)
		if poisonous && b.fragile {
			b.crash()
			return
		}
		time.Sleep(b.work)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Greengagekeel-Request-Id: %s\r\nX-Greengagekeel-Response-Seal: s-%s\r\nX-Greengagekeel-Server-Load: 0,0,6\r\nContent-Length: 5\r\n\r\nhello", id, id)
	}
}

// runsBetween returns the requests that the backend ran in a span of time.
func (b *backend) runsBetween(from, to time.Time) []run {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []run
	for _, r := range b.runs {
		if r.at.After(from) && r.at.Before(to) {
			out = append(out, r)
		}
	}
	return out
}

// beat sends heartbeats as PROTOCOL.md says: the next node is called if one doesn't
// acknowledge within a second, and an address in the answer is used from then on.
func (b *backend) beat(next int) {
	target, seq, started := "", 0, 0
	for ; ; seq++ {
		b.mu.Lock()
		starts, born := b.starts, b.born
		b.mu.Unlock()
		if starts%2 == 1 { // a backend that is down sends nothing
			time.Sleep(10 * time.Millisecond)
			continue
		}
		if starts != started {
			seq, started, target = 1, starts, ""
		}
		body := fmt.Sprintf(`{"address":%q,"born":%d,"serverInfo":{"service":%q,"version":"v1","zone":%q,"slots":6},"status":{"state":"ready","sequence":%d,"coldRemainingMs":0}}`,
			b.addr, born, b.service, b.zone.name, seq+1)
		for range len(b.s.controls) {
			if target == "" {
				target = at(b.s.controls[next%len(b.s.controls)].ip, b.s.ports.control)
				next++
			}
			status, answer, err := call("POST", "http://"+target+"/-/instances/"+b.id+"/heartbeat", body)
			if err != nil || status/100 != 2 {
				target = ""
				continue
			}
			if _, a, ok := strings.Cut(answer, `"heartbeatAddress":"`); ok {
				target, _, _ = strings.Cut(a, `"`)
			}
			break
		}
		select {
		case <-b.stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// sortRuns sorts runs by their time.
func sortRuns(runs []run) {
	slices.SortFunc(runs, func(a, b run) int { return a.at.Compare(b.at) })
}
