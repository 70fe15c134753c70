package keelscenario

import (
	"encoding/json"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelconfig"
	"github.com/greengagekeel/greengagekeel/keelkey"
	"github.com/greengagekeel/greengagekeel/keeloperate"
)

// Timing of instances in scenarios, shorter than the defaults so that scripts
// run faster.
const (
	heartbeat = keel.Duration(250 * time.Millisecond)
	lookupTTL = keel.Duration(time.Second)
)

// instance is an instance that a script has declared, running or not.
type instance struct {
	name   string
	domain keel.DomainName
	region keel.RegionName
	voter  bool
	// listen holds the addresses, which stay the same after a restart.
	listen keelconfig.Listen
	// settingsFile is set for the instance of an example. The settings of the
	// others are generated.
	settingsFile string
	proc         *process
}

func (c *cluster) instance(name string) *instance {
	in := c.instances[name]
	if in == nil {
		c.fatalf("instance %q is not declared", name)
	}
	return in
}

// running returns the instances with a live process.
func (c *cluster) running() []*instance {
	var out []*instance
	for _, name := range c.instanceOrder {
		if in := c.instances[name]; in.proc.running() {
			out = append(out, in)
		}
	}
	return out
}

func cmdInstance(c *cluster, args []string) {
	in := &instance{name: args[0], domain: keel.DomainName(args[1]), region: keel.RegionName(args[2])}
	in.voter = slices.Contains(args[3:], "voter")
	in.listen = keelconfig.Listen{Caller: c.freePort(), Endpoint: c.freePort(), Operator: c.freePort(), Peer: c.freePort()}
	c.instances[in.name] = in
	c.instanceOrder = append(c.instanceOrder, in.name)
}

func cmdStart(c *cluster, args []string) {
	c.issueKeys()
	for _, name := range args {
		c.start(c.instance(name))
	}
}

// issueKeys issues keys to the declared instances that have none.
func (c *cluster) issueKeys() {
	authority, err := keelkey.ReadAuthority(c.keysDir())
	if errors.Is(err, os.ErrNotExist) {
		authority, err = keelkey.NewAuthority(keelkey.AuthorityConfig{Name: "scenario"})
	}
	c.check(err)
	cfg := keelkey.DirConfig{Dir: c.keysDir(), Authority: authority}
	for _, name := range instanceNames(c.instanceOrder) {
		if _, err := os.Stat(filepath.Join(c.keysDir(), keelkey.CertificateFile(name))); err == nil {
			continue
		}
		pair, err := authority.Issue(keelkey.IssueConfig{Instance: name})
		c.check(err)
		cfg.Instances = append(cfg.Instances, pair)
	}
	c.check(keelkey.WriteDir(cfg))
}

func (c *cluster) start(in *instance) {
	if in.proc.running() {
		c.fatalf("instance %q is already running", in.name)
	}
	config := c.ensureSettingsFile(in)
	addresses := filepath.Join(c.dir, in.name+".addresses.json")
	_ = os.Remove(addresses)
	in.proc = c.startProcess(filepath.Join(c.dir, in.name+".log"), "serve", "--config", config, "--addresses", addresses)
	c.waitForAddresses(in.proc, addresses, &in.listen)
	// Names of variables can't contain hyphens.
	prefix := strings.ReplaceAll(in.name, "-", "_")
	c.ts.Setenv(prefix+"_operator", in.listen.Operator.String())
	c.ts.Setenv(prefix+"_caller", in.listen.Caller.String())
	c.ts.Setenv(prefix+"_endpoint", in.listen.Endpoint.String())
}

// ensureSettingsFile returns the settings file of an instance. It generates the
// file unless the instance belongs to an example.
func (c *cluster) ensureSettingsFile(in *instance) string {
	if in.settingsFile != "" {
		return in.settingsFile
	}
	file := filepath.Join(c.dir, in.name+".settings.json")
	data, err := json.MarshalIndent(c.settings(in), "", "  ")
	c.check(err)
	c.check(os.WriteFile(file, data, 0o600))
	return file
}

func (c *cluster) settings(in *instance) *keelconfig.Settings {
	s := keelconfig.Default()
	s.Instance, s.Domain, s.Region = keel.InstanceName(in.name), in.domain, in.region
	s.Listen = in.listen
	s.Keys = c.keysDir()
	s.DataDir = c.dataDir(in)
	s.Voter = in.voter
	s.Log.Level = "debug"
	s.FaultInjection = true
	s.Timing.Heartbeat, s.Timing.LookupTTL = heartbeat, lookupTTL
	for _, name := range c.instanceOrder {
		other := c.instances[name]
		if other.voter {
			s.Voters = append(s.Voters, keel.InstanceName(name))
		}
		if other != in {
			s.Join = append(s.Join, other.listen.Peer)
		}
	}
	return &s
}

func (c *cluster) dataDir(in *instance) string { return filepath.Join(c.dir, "data", in.name) }

// cmdShutdown shuts instances down gracefully, one after the other.
func cmdShutdown(c *cluster, args []string) {
	for _, name := range args {
		cmdLeave(c, []string{name})
		cmdExited(c, []string{name})
	}
}

// cmdLeave starts the graceful shutdown of an instance and does not wait for its
// end.
func cmdLeave(c *cluster, args []string) {
	c.check(c.instance(args[0]).proc.signal(syscall.SIGTERM))
}

// cmdExited waits, without a time limit, until the process of an instance has
// exited, and fails if its exit code is not 0.
func cmdExited(c *cluster, args []string) {
	p := c.instance(args[0]).proc
	if err := p.exit(); err != nil {
		c.fatalf("instance %q exited with %v\n%s", args[0], err, p.tail())
	}
}

func cmdSigkill(c *cluster, args []string) {
	for _, name := range args {
		c.instance(name).proc.kill()
	}
}

func cmdPause(c *cluster, args []string) {
	c.check(c.instance(args[0]).proc.signal(syscall.SIGSTOP))
}

func cmdResume(c *cluster, args []string) {
	c.check(c.instance(args[0]).proc.signal(syscall.SIGCONT))
}

// cmdErase removes the data folder of an instance that is not running.
func cmdErase(c *cluster, args []string) {
	in := c.instance(args[0])
	if in.proc.running() {
		c.fatalf("instance %q is still running", in.name)
	}
	c.check(os.RemoveAll(c.dataDir(in)))
}

func (c *cluster) client(in *instance) *keeloperate.Client {
	token, err := os.ReadFile(filepath.Join(c.keysDir(), keelkey.OperatorTokenFile))
	c.check(err)
	return &keeloperate.Client{Address: in.listen.Operator, Token: strings.TrimSpace(string(token))}
}

// cmdCut cuts the connections, in both directions, between every instance before
// "-" and every one after it.
func cmdCut(c *cluster, args []string) {
	i := slices.Index(args, "-")
	if i < 0 {
		c.fatalf("usage: cut INSTANCE... - INSTANCE...")
	}
	for _, a := range args[:i] {
		for _, b := range args[i+1:] {
			c.cutPeer(c.instance(a), c.instance(b))
			c.cutPeer(c.instance(b), c.instance(a))
		}
	}
}

// cmdCutOneWay drops what the first instance sends to the second.
func cmdCutOneWay(c *cluster, args []string) {
	c.cut(c.instance(args[0]), keeloperate.Cut{
		Addresses: []netip.AddrPort{c.instance(args[1]).listen.Peer}, SendOnly: true,
	})
}

// cutPeer makes one instance drop what it sends to the other and receives from
// it.
func (c *cluster) cutPeer(at, other *instance) {
	c.cut(at, keeloperate.Cut{Addresses: []netip.AddrPort{other.listen.Peer}})
}

// cut installs a cut at an instance. An instance that is not running is skipped.
func (c *cluster) cut(at *instance, cut keeloperate.Cut) {
	if at.proc.running() {
		c.check(c.client(at).Cut(c.ctx, cut))
	}
}

// cmdHeal removes the cuts of all running instances.
func cmdHeal(c *cluster, _ []string) {
	for _, in := range c.running() {
		c.check(c.client(in).Heal(c.ctx))
	}
}

// cmdCutRest cuts an instance off from all others.
func cmdCutRest(c *cluster, args []string) {
	for _, in := range c.running() {
		if in.name != args[0] {
			cmdCut(c, []string{args[0], "-", in.name})
		}
	}
}

// cmdMute drops what an instance sends to all others.
func cmdMute(c *cluster, args []string) {
	for _, in := range c.running() {
		if in.name != args[0] {
			cmdCutOneWay(c, []string{args[0], in.name})
		}
	}
}
