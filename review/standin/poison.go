package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// poisonPath is the path of the request that crashes backends. Its route is safe, so
	// that clients may send it again after any failure.
	poisonPath = "/p/poison"
	// sends is how often its client sends it.
	sends = 12
	// downTime is how long a crashed backend is away.
	downTime = 3 * time.Second
	// resendPause is the time between two sends of the request by its client.
	resendPause = 2 * time.Second
	// maxRetries is the number of retries that the rule allows after the third crash.
	maxRetries = 3
)

// poison lets one client send a request again and again that crashes each backend that
// begins to run it. Other clients go on meanwhile.
func poison(s *system, trouble bool) int {
	s.startAll()
	if _, ok := s.order(0, "POST", "/-/configuration/patch", firstItems); !ok {
		return notable
	}
	var backends []*backend
	for z := range zones {
		for h := range 2 {
			b := s.newBackend(z, h, "galerie")
			b.work = 200 * time.Millisecond
			b.fragile = trouble
			backends = append(backends, b)
		}
	}
	time.Sleep(8 * time.Second)
	stop := make(chan struct{})
	lost := &tally{}
	for z := range zones {
		go s.judge(z, 150*time.Millisecond, lost, stop)
	}
	time.Sleep(2 * time.Second)

	// The client sends the request to the entry instances in turn, as a person does who
	// loads the page again.
	served := 0
	caller := s.ip(len(zones), 1)
	for n := range sends {
		e := s.entries[n%len(s.entries)]
		status, seal := s.send(caller, at(e.ip, s.ports.caller), "GET", poisonPath, "", fmt.Sprintf("poison-%02d", n))
		if status == http.StatusOK && seal {
			served++
		}
		time.Sleep(resendPause)
	}
	close(stop)
	time.Sleep(4 * time.Second)

	var crashes []run
	for _, b := range backends {
		b.mu.Lock()
		crashes = append(crashes, b.poisoned...)
		b.mu.Unlock()
	}
	sortRuns(crashes)
	s.record.printf("%d runs of the request, %d successes", len(crashes), served)
	if !trouble {
		if served == 0 || lost.get() > 0 {
			return notable
		}
		return held
	}
	if len(crashes) < 3 {
		s.record.printf("the request crashed fewer than three backends")
		return held
	}
	// Each send counts once, however many backends it reached.
	retries := map[string]bool{}
	for _, c := range crashes[3:] {
		if c.at.Sub(crashes[2].at) > contactWindow {
			retries[c.id] = true
		}
	}
	late := len(retries)
	line := fmt.Sprintf("the request crashed backends %d times; %d retries reached a backend later than %s after the third crash, %d are allowed; "+
		"%d requests of other clients were lost with the backends", len(crashes), late, contactWindow, maxRetries, lost.get())
	s.record.printf("%s", line)
	fmt.Println(line)
	if late > maxRetries {
		return broken
	}
	return held
}

// tally counts requests of other clients that were sent to a backend and got no answer of it.
type tally struct {
	mu sync.Mutex
	n  int
}

func (t *tally) add() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.n++
}

func (t *tally) get() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.n
}

// judge sends requests that may run once at most, each with a body of its own.
func (s *system) judge(zoneIndex int, pause time.Duration, lost *tally, stop <-chan struct{}) {
	for n := 0; ; n++ {
		e := s.entries[(zoneIndex+n)%len(s.entries)]
		go func() {
			id := fmt.Sprintf("judge-%d-%04d", zoneIndex, n)
			if status, _ := s.send(s.ip(zoneIndex, 201), at(e.ip, s.ports.caller), "POST", fmt.Sprintf("/u/%d/%d", zoneIndex, n), "score="+id, id); status == http.StatusBadGateway || status == http.StatusGatewayTimeout || status == 0 {
				lost.add()
			}
		}()
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
	}
}

// send sends a request from an address of a client. It returns the status, or 0 if the
// connection ended, and whether the answer has a seal.
func (s *system) send(from, addr, method, path, body, id string) (status int, seal bool) {
	d := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	c := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DialContext: d.DialContext}}
	var content io.Reader
	if body != "" {
		content = strings.NewReader(body)
	}
	r, err := http.NewRequest(method, "http://"+addr+path, content)
	if err != nil {
		panic(err)
	}
	r.Host = "h.example"
	r.Header.Set("X-Greengagekeel-Request-Id", id)
	r.Header.Set("X-Greengagekeel-Affinity-Key", path)
	r.Header.Set("X-Greengagekeel-Deadline-Milliseconds", "4000")
	resp, err := c.Do(r)
	if err != nil {
		s.record.printf("client %s: %s %s (%s) to %s: %v", from, method, path, id, addr, err)
		return 0, false
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	seal = resp.Header.Get("X-Greengagekeel-Response-Seal") != "" && err == nil
	s.record.printf("client %s: %s %s (%s) to %s: %d, seal %v, %s", from, method, path, id, addr, resp.StatusCode, seal, clip(string(b)))
	return resp.StatusCode, seal
}
