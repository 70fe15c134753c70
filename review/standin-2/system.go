package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// zones are the zones of the small deployment, with their regions.
var zones = map[string]string{
	"dakar-plateau": "dakar", "dakar-almadies": "dakar",
	"thies-nord": "thies", "thies-sud": "thies",
	"saint-louis-ile": "saint-louis", "saint-louis-sor": "saint-louis",
}

// Bounds of the deployment, those of the site teranga-salon.
const (
	heartbeatInterval = 1500 * time.Millisecond
	drainTime         = 2000 * time.Millisecond
	gracePeriod       = 6 * time.Second
	contactWindow     = 3 * time.Second
	catchUp           = 4 * time.Second
	coldOvershoot     = 1.5
	coldSlack         = 5
	coldPerS          = 4.9
	coldStart         = 3 * time.Second
	configApply       = 2000 * time.Millisecond
	evacuationTime    = 5 * time.Second
)

// process is a process of the system.
type process struct {
	name, zone, role, ip string
	cmd                  *exec.Cmd
}

// system is a small deployment: the processes of the system, and the platform that starts them.
type system struct {
	rec            *record
	program, dir   string
	template       string
	network        int
	ports          map[string]int
	cores, entries []*process
	bootstrap      bool
	version        int
	logs           sync.WaitGroup
}

func newSystem(rec *record, root string) (*system, error) {
	dir, err := os.MkdirTemp("", "keel-case-")
	if err != nil {
		return nil, err
	}
	template, err := os.ReadFile(filepath.Join(root, "deploy", "settings.json"))
	if err != nil {
		return nil, err
	}
	s := &system{
		rec: rec, program: filepath.Join(root, "target", "greengagekeel"), dir: dir, template: string(template),
		network: 16 + rand.IntN(220), ports: map[string]int{}, bootstrap: true,
	}
	for _, name := range []string{"front", "ready", "control", "directory", "internal", "operator", "backend"} {
		if s.ports[name], err = freePort(); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func freePort() (int, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer ln.Close()
	return ln.Addr().(*net.TCPAddr).Port, nil
}

// address returns the loopback address of a machine.
func (s *system) address(group, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", s.network, group, n)
}

func (s *system) at(ip, port string) string { return net.JoinHostPort(ip, fmt.Sprint(s.ports[port])) }

func (s *system) addCore(zone string) {
	n := len(s.cores) + 1
	s.cores = append(s.cores, &process{name: "core-" + zone + "-1", zone: zone, role: "control", ip: s.address(1, n)})
}

func (s *system) addEntry(zone string) *process {
	n := len(s.entries) + 1
	p := &process{name: fmt.Sprintf("frontend-%s-%d", zone, n), zone: zone, role: "entry", ip: s.address(2, n)}
	s.entries = append(s.entries, p)
	return p
}

var placeholder = regexp.MustCompile(`\{\{([a-zA-Z_.0-9]+)(\|json)?\}\}`)

// settings writes the settings file of a process as the platform does, and returns its path.
func (s *system) settings(p *process) (string, error) {
	seeds := []string{}
	for i := range min(3, len(s.cores)) {
		seeds = append(seeds, s.at(s.cores[i].ip, "control"))
	}
	v := map[string]any{
		"nodeName": p.name, "role": p.role, "zone": p.zone, "region": zones[p.zone], "ipAddress": p.ip, "zones": zones,
		"internalPortRange.0": s.ports["internal"], "internalPortRange.1": s.ports["operator"], "seeds": seeds, "bootstrap": s.bootstrap,
		"limits.linkMbps": 700.0, "heartbeatIntervalMs": heartbeatInterval.Milliseconds(), "bounds.gracePeriodS": gracePeriod.Seconds(),
		"bounds.ttl_max_s": 5, "bounds.retryBudgetRatio": 0.2, "bounds.retryBudgetSlack": 120, "bounds.budgetWindowS": 10, "bounds.maxShift": 0.15,
	}
	if p.role == "entry" {
		v["listen.front"], v["listen.ready"], v["listen.directory"] = s.at(p.ip, "front"), s.at(p.ip, "ready"), s.at(p.ip, "directory")
		v["limits.memoryMb"] = 206
	} else {
		v["listen.control"], v["dataDirectory"], v["limits.memoryMb"] = s.at(p.ip, "control"), filepath.Join(s.dir, p.name), 280
	}
	text := placeholder.ReplaceAllStringFunc(s.template, func(m string) string {
		parts := placeholder.FindStringSubmatch(m)
		value := v[parts[1]]
		if parts[2] == "" {
			if value == nil {
				return ""
			}
			return fmt.Sprint(value)
		}
		b, err := json.Marshal(value)
		if err != nil {
			return "null"
		}
		return string(b)
	})
	file := filepath.Join(s.dir, p.name+".json")
	return file, os.WriteFile(file, []byte(text), 0o600)
}

// start starts a process with the command of the deploy file.
func (s *system) start(p *process) error {
	file, err := s.settings(p)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(s.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.cmd = exec.Command(s.program, "steer")
	p.cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GREENGAGEKEEL_SETTINGS=" + file,
		"QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true",
	}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	s.rec.add(time.Now(), "start of %s at %s", p.name, p.ip)
	return p.cmd.Start()
}

func (s *system) startAll() error {
	for _, p := range append(append([]*process{}, s.cores...), s.entries...) {
		if err := s.start(p); err != nil {
			return err
		}
	}
	s.bootstrap = false
	return nil
}

func (s *system) kill(p *process) {
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
		p.cmd = nil
	}
}

// stop ends all processes and removes their files, but for the logs if KEEP_LOGS is set.
func (s *system) stop() {
	for _, p := range append(append([]*process{}, s.cores...), s.entries...) {
		s.kill(p)
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(s.dir)
		return
	}
	fmt.Println("logs:", s.dir)
}

// order sends an order of the operator to the control processes in turn until one acknowledges it.
func (s *system) order(method, path, body string, limit time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	end := time.Now().Add(limit)
	last := "not sent"
	for i := rand.IntN(len(s.cores)); time.Now().Before(end); i++ {
		p := s.cores[i%len(s.cores)]
		r, err := http.NewRequest(method, "http://"+s.at(p.ip, "control")+path, strings.NewReader(body))
		if err != nil {
			return err
		}
		r.Header.Set("Content-Type", "application/json")
		sent := time.Now()
		resp, err := client.Do(r)
		if err != nil {
			last = "no answer"
			time.Sleep(50 * time.Millisecond)
			continue
		}
		answer, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil && resp.StatusCode/100 == 2 {
			s.rec.add(sent, "operator sends %s %s to %s", method, path, p.name)
			s.rec.add(time.Now(), "operator has the acknowledgement of %s", path)
			return nil
		}
		last = fmt.Sprint(resp.StatusCode, " ", string(answer))
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s has no acknowledgement within %s: %s", path, limit, last)
}

// route is a route of the configuration.
type route struct {
	name, prefix, kind, service   string
	timeoutMS, targetMS, attempts int
	affinity                      bool
	homes                         []string
}

const host = "salon.example"

// configure sends the next version of routes and services, and of the limits with the first services.
func (s *system) configure(routes []route, services ...string) error {
	s.version++
	version := fmt.Sprintf("%08x", s.version)
	var items []any
	item := func(kind, name string, spec map[string]any) {
		metadata := map[string]any{"version": version}
		if name != "" {
			metadata["name"] = name
		}
		items = append(items, map[string]any{"resourceKind": kind, "metadata": metadata, "specification": spec})
	}
	for _, r := range routes {
		item("routes", r.name, map[string]any{
			"host": host, "pathPrefix": r.prefix, "kind": r.kind, "timeoutMs": r.timeoutMS, "targetLatencyMs": r.targetMS, "priority": 2,
			"service": r.service, "attempts": r.attempts, "sessionAffinity": r.affinity, "homeRegions": append([]string{}, r.homes...),
		})
	}
	for _, name := range services {
		item("services", name, map[string]any{
			"healthCheckPath": "/health", "maxConnections": 720, "protocol": "h1", "tls": false,
			"coldStartS": coldStart.Seconds(), "coldPerS": coldPerS,
		})
	}
	if len(services) > 0 {
		item("limits", "", map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000})
	}
	body, err := json.Marshal(map[string]any{"upsert": map[string]any{"resources": items}, "remove": map[string]any{"routes": []any{}}})
	if err != nil {
		return err
	}
	return s.order(http.MethodPost, "/-/configuration/patch", string(body), 15*time.Second)
}

// awaitReady waits until all entry processes are ready.
func (s *system) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	end := time.Now().Add(limit)
	for _, p := range s.entries {
		for {
			resp, err := client.Get("http://" + s.at(p.ip, "ready") + "/-/readiness")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", p.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// voterStatus is a part of the state that a control process shows at its operator port.
type voterStatus struct {
	Quorum struct {
		Leader   string `json:"leader"`
		Last     uint64 `json:"last"`
		Snapshot uint64 `json:"snapshot"`
	} `json:"quorum"`
}

func (s *system) status(p *process) (st voterStatus, err error) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + s.at(p.ip, "operator") + "/v1/state")
	if err != nil {
		return st, err
	}
	defer resp.Body.Close()
	return st, json.NewDecoder(resp.Body).Decode(&st)
}
