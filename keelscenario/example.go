package keelscenario

import (
	"encoding/json"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelconfig"
)

// examplesDir is the folder of examples, relative to the folder of the scripts.
const examplesDir = "../examples"

// cmdExample copies an example to the working folder of the script and declares
// an instance for each of its settings files. In the copy, the ports of the
// instances are replaced by free ones, since scripts run in parallel; nothing
// else is changed.
func cmdExample(c *cluster, args []string) {
	dir := filepath.Join(c.dir, "examples", args[0])
	c.check(os.CopyFS(dir, os.DirFS(filepath.Join(examplesDir, args[0]))))
	c.keys = filepath.Join("run", "keys")
	c.ts.Setenv("KEEL_TOKEN_FILE", filepath.Join(c.keysDir(), "operator.token"))
	files, err := filepath.Glob(filepath.Join(dir, "settings", "*.json"))
	c.check(err)
	if len(files) == 0 {
		c.fatalf("example %q has no settings", args[0])
	}
	ports := map[netip.AddrPort]netip.AddrPort{}
	for _, file := range files {
		c.assignPorts(ports, file)
	}
	for _, file := range files {
		c.declareExample(file, ports)
	}
}

// exampleSettings holds the settings of an instance that a script uses.
type exampleSettings struct {
	Instance keel.InstanceName   `json:"instance"`
	Domain   keel.DomainName     `json:"domain"`
	Region   keel.RegionName     `json:"region"`
	Listen   keelconfig.Listen   `json:"listen"`
	Voters   []keel.InstanceName `json:"voters"`
}

// readExample returns the settings in a file, decoded and as text.
func (c *cluster) readExample(file string) (exampleSettings, string) {
	data, err := os.ReadFile(file)
	c.check(err)
	var s exampleSettings
	c.check(json.Unmarshal(data, &s))
	return s, string(data)
}

// assignPorts maps each address of the instance of a settings file to one with
// a free port.
func (c *cluster) assignPorts(ports map[netip.AddrPort]netip.AddrPort, file string) {
	s, _ := c.readExample(file)
	for _, addr := range []netip.AddrPort{s.Listen.Caller, s.Listen.Endpoint, s.Listen.Operator, s.Listen.Peer} {
		ports[addr] = c.freePort()
	}
}

// declareExample replaces the addresses in a settings file and declares its
// instance.
func (c *cluster) declareExample(file string, ports map[netip.AddrPort]netip.AddrPort) {
	_, text := c.readExample(file)
	var pairs []string
	for from, to := range ports {
		pairs = append(pairs, `"`+from.String()+`"`, `"`+to.String()+`"`)
	}
	text = strings.NewReplacer(pairs...).Replace(text)
	c.check(os.WriteFile(file, []byte(text), 0o600))
	s, _ := c.readExample(file)
	name := string(s.Instance)
	c.instances[name] = &instance{
		name: name, domain: s.Domain, region: s.Region, voter: slices.Contains(s.Voters, s.Instance),
		listen: s.Listen, settingsFile: file,
	}
	c.instanceOrder = append(c.instanceOrder, name)
}
