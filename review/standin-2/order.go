package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// link is the way to a control process. While the process is frozen nothing arrives there, as at
// a frozen machine: what was sent before it froze has arrived, and the end of a connection arrives
// when it is sent again after the machine goes on.
type link struct {
	ln     net.Listener
	target string
	mu     sync.Mutex
	// frozen is closed when the end of a connection can arrive again; nil if it always can.
	frozen chan struct{}
}

func newLink(target string) (*link, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{ln: ln, target: target}
	go l.loop()
	return l, nil
}

func (l *link) loop() {
	for {
		c, err := l.ln.Accept()
		if err != nil {
			return
		}
		go l.pass(c)
	}
}

func (l *link) pass(c net.Conn) {
	to, err := net.Dial("tcp4", l.target)
	if err != nil {
		_ = c.Close()
		return
	}
	go func() {
		_, _ = io.Copy(c, to)
		_ = c.Close()
	}()
	_, _ = io.Copy(to, c)
	l.mu.Lock()
	frozen := l.frozen
	l.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
	_ = to.Close()
}

// freeze holds back the ends of connections until thaw is called.
func (l *link) freeze() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.frozen = make(chan struct{})
}

func (l *link) thaw() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.frozen)
	l.frozen = nil
}

// orderOnce sends an order to one address, gives it up after a second and closes the connection.
func (s *system) orderOnce(address, path string) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	s.rec.add(time.Now(), "operator sends POST %s to %s", path, address)
	resp, err := client.Post("http://"+address+path, "application/json", nil)
	if err != nil {
		s.rec.add(time.Now(), "operator has no answer to %s within a second, and closes the connection", path)
		return err
	}
	_ = resp.Body.Close()
	s.rec.add(time.Now(), "operator has status %d for %s", resp.StatusCode, path)
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// staleOrder freezes a control process while the operator takes an evacuation back and starts it
// again.
func staleOrder(s *system, trouble bool) ([]string, error) {
	const zone = "thies-nord"
	for _, z := range []string{"dakar-plateau", "thies-nord", "saint-louis-ile", "dakar-almadies", "thies-sud", "saint-louis-sor"} {
		s.addCore(z)
	}
	s.addEntry("dakar-plateau")
	s.addEntry(zone)
	if err := s.startAll(); err != nil {
		return nil, err
	}
	routes := []route{{name: "r-gallery", prefix: "/gallery/", kind: "safe", service: "galerie", timeoutMS: 3000, targetMS: 400, attempts: 2, affinity: true}}
	if err := s.configure(routes, "galerie"); err != nil {
		return nil, err
	}
	var all []*backend
	for i, z := range []string{"dakar-plateau", zone} {
		b, err := s.startBackend("galerie", z, i+1, 6, 30*time.Millisecond)
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
	end, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for i := 0; ; i++ {
			select {
			case <-end:
				return
			case <-time.After(50 * time.Millisecond):
				for _, p := range s.entries {
					c.sendLater(p, http.MethodGet, fmt.Sprintf("/gallery/%d", i%20), fmt.Sprint(i%20), 3*time.Second)
				}
			}
		}
	}()
	start, stop := "/-/evacuation/"+zone+"/start", "/-/evacuation/"+zone+"/end"
	if err := s.order(http.MethodPost, start, "", 4*time.Second); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	frozen, other, err := s.followers()
	if err != nil {
		return nil, err
	}
	way, err := newLink(s.at(frozen.ip, "control"))
	if err != nil {
		return nil, err
	}
	defer way.ln.Close()
	frozenAt := time.Now()
	if trouble {
		s.rec.add(frozenAt, "%s freezes", frozen.name)
		_ = frozen.cmd.Process.Signal(syscall.SIGSTOP)
		way.freeze()
	}
	if err := s.orderOnce(way.ln.Addr().String(), stop); err != nil {
		if err := s.orderOnce(s.at(other.ip, "control"), stop); err != nil {
			return nil, err
		}
	}
	time.Sleep(500 * time.Millisecond)
	if err := s.orderOnce(s.at(other.ip, "control"), start); err != nil {
		return nil, err
	}
	acked := time.Now()
	time.Sleep(time.Until(frozenAt.Add(4 * time.Second)))
	goesOn := time.Now()
	if trouble {
		s.rec.add(goesOn, "%s goes on", frozen.name)
		_ = frozen.cmd.Process.Signal(syscall.SIGCONT)
		time.AfterFunc(time.Second, way.thaw) // the end of the connection is sent again by then
	}
	from := acked.Add(evacuationTime)
	if calm := goesOn.Add(2*contactWindow + time.Second); calm.After(from) {
		from = calm
	}
	time.Sleep(time.Until(from.Add(6 * time.Second)))
	close(end)
	<-done
	c.wg.Wait()
	n := 0
	for _, b := range all {
		for _, a := range b.list() {
			if b.zone == zone && a.at.After(from) {
				n++
			}
		}
		b.end(false)
	}
	sent, served := c.count()
	s.rec.add(time.Now(), "%d requests were sent, %d were served", sent, served)
	if n == 0 {
		return nil, nil
	}
	return []string{fmt.Sprintf("EVAC: %d requests reached %s in 6 s, from %.1f s after the acknowledgement of its evacuation and %.1f s after the process went on",
		n, zone, from.Sub(acked).Seconds(), from.Sub(goesOn).Seconds())}, nil
}

// followers returns two control processes that don't lead.
func (s *system) followers() (a, b *process, err error) {
	var found []*process
	for _, p := range s.cores {
		st, err := s.status(p)
		if err != nil {
			return nil, nil, err
		}
		if st.Quorum.Leader != "" && st.Quorum.Leader != p.ip {
			found = append(found, p)
		}
	}
	if len(found) < 2 {
		return nil, nil, errors.New("no leader is known")
	}
	return found[0], found[1], nil
}
