package keelcapacity

import (
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelconfig"
	"github.com/greengagekeel/greengagekeel/keelinstance"
	"github.com/greengagekeel/greengagekeel/keelkey"
	"github.com/greengagekeel/greengagekeel/keellocal"
	"github.com/greengagekeel/greengagekeel/keeloperate"
)

const (
	startTimeout = 30 * time.Second
	pollInterval = 50 * time.Millisecond
)

// cluster is a set of instances that run as separate processes.
type cluster struct {
	dir       string
	program   string
	token     string
	processes []*process
}

// process is one instance of a cluster.
type process struct {
	settings  keelconfig.Settings
	cmd       *exec.Cmd
	addresses keelinstance.Addresses
}

// newCluster builds the program and starts three voters and an instance without
// a disk, all in one failure domain.
func newCluster(ctx context.Context, dir string) (*cluster, error) {
	c := &cluster{dir: dir, program: filepath.Join(dir, "greengagekeel")}
	out, err := exec.CommandContext(ctx, "go", "build", "-o", c.program, "github.com/greengagekeel/greengagekeel/cmd/greengagekeel").CombinedOutput()
	if err != nil {
		return nil, errors.Wrapf(err, "build the program: %s", out)
	}
	voters := []keel.InstanceName{"voter-1", "voter-2", "voter-3"}
	names := append(voters, "entry")
	if err := c.makeKeys(names); err != nil {
		return nil, err
	}
	for i, name := range names {
		p := &process{settings: c.settings(name, i < len(voters), voters)}
		c.processes = append(c.processes, p)
		if err := c.start(ctx, p); err != nil {
			c.kill()
			return nil, err
		}
	}
	return c, nil
}

func (c *cluster) makeKeys(names []keel.InstanceName) error {
	authority, err := keelkey.NewAuthority(keelkey.AuthorityConfig{Name: "capacity"})
	if err != nil {
		return err
	}
	cfg := keelkey.DirConfig{Dir: filepath.Join(c.dir, "keys"), Authority: authority}
	for _, name := range names {
		pair, err := authority.Issue(keelkey.IssueConfig{Instance: name})
		if err != nil {
			return err
		}
		cfg.Instances = append(cfg.Instances, pair)
	}
	if err := keelkey.WriteDir(cfg); err != nil {
		return err
	}
	token, err := os.ReadFile(filepath.Join(cfg.Dir, keelkey.OperatorTokenFile))
	c.token = strings.TrimSpace(string(token))
	return err
}

func (c *cluster) settings(name keel.InstanceName, voter bool, voters []keel.InstanceName) keelconfig.Settings {
	s := keelconfig.Default()
	s.Instance, s.Domain, s.Region = name, "d", "r"
	s.Listen = keelconfig.Listen{Caller: keellocal.Loopback, Endpoint: keellocal.Loopback, Operator: keellocal.Loopback, Peer: keellocal.Loopback}
	s.Keys = filepath.Join(c.dir, "keys")
	if voter {
		s.DataDir = filepath.Join(c.dir, string(name))
		s.Voter, s.Voters = true, voters
	}
	return s
}

// start starts a process. A restarted one keeps its ports.
func (c *cluster) start(ctx context.Context, p *process) error {
	p.settings.Join = nil
	for _, other := range c.processes {
		if other != p && other.addresses.Peer.IsValid() {
			p.settings.Join = append(p.settings.Join, other.addresses.Peer)
		}
	}
	base := filepath.Join(c.dir, string(p.settings.Instance))
	data, err := json.Marshal(&p.settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(base+".json", data, 0o600); err != nil {
		return err
	}
	log, err := os.Create(base + ".log")
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	addresses := base + ".addresses"
	_ = os.Remove(addresses)
	p.cmd = exec.Command(c.program, "serve", "--config", base+".json", "--addresses", addresses)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	if err := p.waitForAddresses(ctx, addresses); err != nil {
		return errors.Wrapf(err, "start of %s, see %s", p.settings.Instance, log.Name())
	}
	return nil
}

// waitForAddresses waits until the process has written its addresses to the file,
// and sets them in its settings, so that a restart listens on the same ports.
func (p *process) waitForAddresses(ctx context.Context, file string) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return poll(ctx, func() error {
		data, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		if err := json.Unmarshal(data, &p.addresses); err != nil {
			return err
		}
		p.settings.Listen = keelconfig.Listen(p.addresses)
		return nil
	})
}

// stop shuts a process down gracefully and waits for its end.
func (p *process) stop() error {
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return p.cmd.Wait()
}

// kill kills the processes that still run.
func (c *cluster) kill() {
	for _, p := range c.processes {
		if p.cmd != nil && p.cmd.ProcessState == nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Kill()
			_ = p.cmd.Wait()
		}
	}
}

func (c *cluster) client(p *process) *keeloperate.Client {
	return &keeloperate.Client{Address: p.addresses.Operator, Token: c.token}
}

func (c *cluster) dump(ctx context.Context, p *process) (*keelinstance.Dump, error) {
	data, err := c.client(p).Dump(ctx)
	if err != nil {
		return nil, err
	}
	var d keelinstance.Dump
	return &d, json.Unmarshal(data, &d)
}

// residentBytes returns the current and the highest resident memory of the
// process.
func (p *process) residentBytes() (now, highest float64, err error) {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(p.cmd.Process.Pid) + "/status")
	if err != nil {
		return 0, 0, err
	}
	for line := range strings.Lines(string(data)) {
		f := strings.Fields(line)
		if len(f) < 2 {
			continue
		}
		switch f[0] {
		case "VmRSS:":
			now, err = strconv.ParseFloat(f[1], 64)
		case "VmHWM:":
			highest, err = strconv.ParseFloat(f[1], 64)
		}
		if err != nil {
			return 0, 0, err
		}
	}
	const unit = 1 << 10 // the file counts KiB
	return now * unit, highest * unit, nil
}

// poll calls f until it succeeds, or until ctx ends. It then returns the last error
// of f.
func poll(ctx context.Context, f func() error) error {
	for {
		err := f()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pollInterval):
		}
	}
}
