package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// bounds are those of teranga-salon in SYSTEM.md.
const (
	heartbeatInterval  = 1500 * time.Millisecond
	callTimeout        = time.Second
	contactWindow      = 3 * time.Second
	evacuationDeadline = 5 * time.Second
	outerBound         = 5 * time.Second
)

// zone is a zone with its region.
type zone struct{ name, region string }

var zones = []zone{
	{"dakar-plateau", "dakar"},
	{"thies-nord", "thies"},
	{"saint-louis-ile", "saint-louis"},
	{"dakar-almadies", "dakar"},
	{"thies-sud", "thies"},
	{"saint-louis-sor", "saint-louis"},
}

// ports are the same on all machines.
type ports struct{ caller, ready, lookup, control, peer, operator, backend int }

// machine is a process of the system on an address of its own.
type machine struct {
	name, ip string
	zone     zone
	role     string
	cmd      *exec.Cmd
}

// system is a small deployment: one control and one entry instance in each zone.
type system struct {
	root, dir string
	net       int
	ports     ports
	controls  []*machine
	entries   []*machine
	record    *record
	bootstrap bool
}

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		log.Fatal(err)
	}
	return &record{f: f, start: time.Now()}
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// newSystem chooses addresses and ports on which nothing listens.
func newSystem(root string, rec *record) *system {
	dir, err := os.MkdirTemp("", "keel-review-")
	if err != nil {
		log.Fatal(err)
	}
	s := &system{root: root, dir: dir, record: rec, net: 16 + rand.IntN(200), bootstrap: true}
	base := 20000 + 10*rand.IntN(1000)
	s.ports = ports{base, base + 1, base + 2, base + 3, base + 4, base + 5, base + 6}
	for i, z := range zones {
		s.controls = append(s.controls, &machine{name: "core-" + z.name + "-1", ip: s.ip(i, 1), zone: z, role: "control"})
		s.entries = append(s.entries, &machine{name: "frontend-" + z.name + "-1", ip: s.ip(i, 11), zone: z, role: "entry"})
	}
	return s
}

// ip returns a loopback address in a zone.
func (s *system) ip(zone, host int) string { return fmt.Sprintf("127.%d.%d.%d", s.net, zone+1, host) }

func at(ip string, port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }

// settings renders what deploy/settings.json renders from the platform's settings.
func (s *system) settings(m *machine) []byte {
	regions := map[string]string{}
	for _, z := range zones {
		regions[z.name] = z.region
	}
	var seeds []string
	for _, c := range s.controls[:3] {
		seeds = append(seeds, at(c.ip, s.ports.control))
	}
	listen := map[string]string{"caller": "", "ready": "", "lookup": "", "control": ""}
	dataDir, memory, link := "", 206, 700.0
	if m.role == "control" {
		listen["control"] = at(m.ip, s.ports.control)
		dataDir, memory, link = filepath.Join(s.dir, m.name), 280, 1000.0
	} else {
		listen["caller"], listen["ready"], listen["lookup"] = at(m.ip, s.ports.caller), at(m.ip, s.ports.ready), at(m.ip, s.ports.lookup)
	}
	b, err := json.MarshalIndent(map[string]any{
		"name": m.name, "role": m.role, "domain": m.zone.name, "region": m.zone.region, "address": m.ip, "regions": regions,
		"listen": listen, "peer_port": s.ports.peer, "operator_port": s.ports.operator, "seeds": seeds, "bootstrap": s.bootstrap,
		"data_dir": dataDir, "peer_trust": "unverified", "memory_mb": memory, "link_mbps": link,
		"timing": map[string]any{"heartbeat_ms": heartbeatInterval.Milliseconds(), "grace_s": 6, "lookup_ttl_s": 5},
		"bounds": map[string]any{"retry_ratio": 0.2, "retry_slack": 120, "retry_window_s": 10, "max_shift": 0.15},
	}, "", "  ")
	if err != nil {
		log.Fatal(err)
	}
	return b
}

// start starts the process of a machine with the command of the deploy file.
func (s *system) start(m *machine) {
	file := filepath.Join(s.dir, m.name+".json")
	if err := os.WriteFile(file, s.settings(m), 0o600); err != nil {
		log.Fatal(err)
	}
	out, err := os.OpenFile(filepath.Join(s.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		log.Fatal(err)
	}
	defer out.Close()
	m.cmd = exec.Command("target/greengagekeel", "steer")
	m.cmd.Dir = s.root
	m.cmd.Env = []string{
		"GREENGAGEKEEL_SETTINGS=" + file, "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true",
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"),
	}
	m.cmd.Stdout, m.cmd.Stderr = out, out
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.cmd.Start(); err != nil {
		log.Fatal(err)
	}
	s.record.printf("started %s at %s, process %d", m.name, m.ip, m.cmd.Process.Pid)
}

// startAll starts all processes of the system.
func (s *system) startAll() {
	for _, m := range append(append([]*machine{}, s.controls...), s.entries...) {
		s.start(m)
	}
	s.bootstrap = false
}

// signal sends a signal to the process of a machine.
func (s *system) signal(m *machine, sig syscall.Signal) {
	s.record.printf("signal %v to %s", sig, m.name)
	_ = m.cmd.Process.Signal(sig)
}

// stopAll ends all processes that were started.
func (s *system) stopAll() {
	for _, m := range append(append([]*machine{}, s.controls...), s.entries...) {
		if m.cmd != nil && m.cmd.Process != nil {
			_ = m.cmd.Process.Signal(syscall.SIGCONT)
			_ = m.cmd.Process.Kill()
			_ = m.cmd.Wait()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs in", s.dir)
	}
}

// dump returns the state dump of a machine's operator port.
func (s *system) dump(m *machine) string {
	_, body, err := call("GET", "http://"+at(m.ip, s.ports.operator)+"/v1/state", "")
	if err != nil {
		return ""
	}
	return body
}

// call makes one call as a caller of the control port: it waits for a second, and its
// connection ends with it.
func call(method, url, body string) (status int, answer string, err error) {
	c := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	if body != "" {
		r.Header.Set("Content-Type", "application/json")
	} else {
		r.Body, r.ContentLength = nil, 0
	}
	resp, err := c.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(bytes.TrimSpace(b)), err
}

// order sends an order of the operator to control instances in turn, the given one
// first, until one acknowledges it. It returns when that was, and whether it was.
func (s *system) order(first int, method, path, body string) (time.Time, bool) {
	until := time.Now().Add(20 * time.Second)
	for i := first; time.Now().Before(until); i++ {
		m := s.controls[i%len(s.controls)]
		sent := time.Now()
		status, answer, err := call(method, "http://"+at(m.ip, s.ports.control)+path, body)
		s.record.printf("operator: %s %s to %s, sent %.3f s before: %d %s %v", method, path, m.name, time.Since(sent).Seconds(), status, clip(answer), err)
		switch {
		case err == nil && status >= 200 && status < 300:
			return time.Now(), true
		case err == nil && (status == 400 || status == 409 || status == 412 || status == 413 || status == 422):
			return time.Now(), false
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Time{}, false
}

func clip(s string) string {
	if len(s) > 160 {
		return s[:160] + "..."
	}
	return s
}
