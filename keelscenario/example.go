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

// examplesDir is the folder of examples as seen from the folder of scripts.
const examplesDir = "../examples"

// cmdExample copies an example to the folder of the script and declares the
// instances that its settings are for. In the copy, the ports of the instances
// are replaced by free ones, since scripts run beside each other; nothing else
// is changed.
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
		c.addPorts(ports, file)
	}
	for _, file := range files {
		c.declareExample(file, ports)
	}
}

// exampleSettings is what a script needs to know of an instance.
type exampleSettings struct {
	Instance keel.InstanceName   `json:"instance"`
	Domain   keel.DomainName     `json:"domain"`
	Region   keel.RegionName     `json:"region"`
	Listen   keelconfig.Listen   `json:"listen"`
	Voters   []keel.InstanceName `json:"voters"`
}

func (c *cluster) readExample(file string) (exampleSettings, string) {
	data, err := os.ReadFile(file)
	c.check(err)
	var s exampleSettings
	c.check(json.Unmarshal(data, &s))
	return s, string(data)
}

// addPorts chooses free ports for the instance of a settings file.
func (c *cluster) addPorts(ports map[netip.AddrPort]netip.AddrPort, file string) {
	s, _ := c.readExample(file)
	for _, addr := range []netip.AddrPort{s.Listen.Caller, s.Listen.Endpoint, s.Listen.Operator, s.Listen.Peer} {
		ports[addr] = c.freePort()
	}
}

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
		listen: s.Listen, config: file,
	}
	c.order = append(c.order, name)
}
