package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// sending is a request of a client and its answer.
type sending struct {
	id         string
	sent, done time.Time
	status     int
	served     bool
}

// clients send requests to entry processes.
type clients struct {
	sys *system
	mu  sync.Mutex
	all map[string]*sending
	seq int
	wg  sync.WaitGroup
}

func newClients(s *system) *clients { return &clients{sys: s, all: map[string]*sending{}} }

// send sends a request to an entry process and waits for the answer.
func (c *clients) send(p *process, method, path, affinity string, deadline time.Duration, body io.Reader) *sending {
	c.mu.Lock()
	c.seq++
	r := &sending{id: fmt.Sprintf("%016x", 0x1c41d07b00000000+c.seq)}
	c.all[r.id] = r
	c.mu.Unlock()
	req, err := http.NewRequest(method, "http://"+c.sys.at(p.ip, "front")+path, body)
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set("X-Greengagekeel-Request-Id", r.id)
	req.Header.Set("X-Greengagekeel-Deadline-Milliseconds", fmt.Sprint(deadline.Milliseconds()))
	if affinity != "" {
		req.Header.Set("X-Greengagekeel-Affinity-Key", affinity)
	}
	client := &http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	sent := time.Now()
	c.mu.Lock()
	r.sent = sent
	c.mu.Unlock()
	c.sys.rec.add(sent, "client sends request %s, %s %s, to %s", r.id, method, path, p.name)
	resp, err := client.Do(req)
	status, served := 0, false
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		status = resp.StatusCode
		served = err == nil && status == http.StatusOK && resp.Header.Get("X-Greengagekeel-Response-Seal") != ""
	}
	now := time.Now()
	c.mu.Lock()
	r.done, r.status, r.served = now, status, served
	c.mu.Unlock()
	c.sys.rec.add(now, "client has status %d for request %s", status, r.id)
	return r
}

// sendLater sends a request without waiting for its answer.
func (c *clients) sendLater(p *process, method, path, affinity string, deadline time.Duration) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		c.send(p, method, path, affinity, deadline, nil)
	}()
}

// sentAt returns when the request with an id was sent.
func (c *clients) sentAt(id string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.all[id]; r != nil {
		return r.sent
	}
	return time.Time{}
}

// count returns how many requests were sent and how many were served.
func (c *clients) count() (sent, served int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.all {
		sent++
		if r.served {
			served++
		}
	}
	return sent, served
}
