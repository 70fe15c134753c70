package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"
)

var lastRequest atomic.Int64

// client sends safe requests at a steady rate until stop is closed. It asks the
// directory for addresses and opens a connection for each request.
func (s *system) client(zoneIndex int, pause time.Duration, stop <-chan struct{}) {
	var addrs []string
	var fetched time.Time
	for n := 0; ; n++ {
		if time.Since(fetched) > time.Second {
			if a := s.resolve(zoneIndex); len(a) > 0 {
				addrs, fetched = a, time.Now()
			}
		}
		if len(addrs) > 0 {
			go s.request(addrs[rand.IntN(len(addrs))], zoneIndex)
		}
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
	}
}

// resolve asks an entry instance of the zone where to connect.
func (s *system) resolve(zoneIndex int) []string {
	z := zones[zoneIndex]
	_, body, err := call("GET", fmt.Sprintf("http://%s/-/resolve?name=h.example&region=%s&zone=%s", at(s.entries[zoneIndex].ip, s.ports.lookup), z.region, z.name), "")
	if err != nil {
		return nil
	}
	var a struct{ Addresses []string }
	if json.Unmarshal([]byte(body), &a) != nil {
		return nil
	}
	return a.Addresses
}

func (s *system) request(addr string, zoneIndex int) {
	id := fmt.Sprintf("q%08x", lastRequest.Add(1))
	c := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, _ := http.NewRequest("GET", "http://"+addr+"/p/x", nil)
	r.Host = "h.example"
	r.Header.Set("X-Greengagekeel-Request-Id", id)
	r.Header.Set("X-Greengagekeel-Affinity-Key", fmt.Sprint(rand.IntN(1000)))
	r.Header.Set("X-Greengagekeel-Deadline-Milliseconds", "3000")
	resp, err := c.Do(r)
	if err != nil {
		s.record.printf("client in %s: request %s to %s: %v", zones[zoneIndex].name, id, addr, err)
		return
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	s.record.printf("client in %s: request %s to %s: %d %v", zones[zoneIndex].name, id, addr, resp.StatusCode, err)
}
